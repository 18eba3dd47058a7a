// The only unit that includes libjsonrpccpp; compiled as C++14 (see CMakeLists.txt).

#include "jsonrpc.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server/abstractserver.h>

namespace cactuscove {

namespace {

// Keeps the request that the client builds in place of sending it, and feeds it a response.
class CapturingConnector : public jsonrpc::IClientConnector
{
public:
    // The library's own signature; dynamic exception specifications need C++14.
    void SendRPCMessage(const std::string &message, // NOLINT(readability-identifier-naming)
                        std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        request = message;
        result = response;
    }

    std::string request;
    std::string response;
};

// The client insists on a response to each call; the ids of all calls here are 1.
const char EmptyResponse[] = R"({"jsonrpc":"2.0","id":1,"result":null})";
const char AnyMethod[] = "any";

class MemoryConnector : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }
    bool SendResponse(const std::string &response, void *) override
    {
        m_response = response;
        return true;
    }
    std::string takeResponse() { return std::move(m_response); }

private:
    std::string m_response;
};

} // namespace

std::string buildRpcRequest(const std::string &method, const Json::Value &params)
{
    CapturingConnector connector;
    connector.response = EmptyResponse;
    jsonrpc::Client client(connector);
    Json::Value ignored;
    client.CallMethod(method, params, ignored);
    return connector.request;
}

bool parseRpcResponse(const std::string &text, Json::Value &result, std::string &error)
{
    CapturingConnector connector;
    connector.response = text;
    jsonrpc::Client client(connector);
    try {
        client.CallMethod(AnyMethod, Json::objectValue, result);
        return true;
    } catch (const jsonrpc::JsonRpcException &ex) {
        error = ex.GetMessage();
    } catch (const std::exception &ex) { // jsoncpp throws its own type on malformed values
        error = ex.what();
    }
    return false;
}

namespace {

// A base class, so that the connector is built before the server that refers to it.
struct ConnectorHolder
{
    MemoryConnector connector;
};

} // namespace

class RpcDispatcher::Impl : private ConnectorHolder,
                            public jsonrpc::AbstractServer<RpcDispatcher::Impl>
{
public:
    Impl(const std::string &method, Handler onCall)
        : jsonrpc::AbstractServer<Impl>(ConnectorHolder::connector)
        , m_handler(std::move(onCall))
    {
        bindAndAddMethod(
            jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr),
            &Impl::call);
    }

    void call(const Json::Value &params, Json::Value &result) { m_handler(params, result); }

    std::string handle(const std::string &request)
    {
        connector.OnRequest(request);
        return connector.takeResponse();
    }

private:
    Handler m_handler;
};

RpcDispatcher::RpcDispatcher(const std::string &method, Handler handler)
    : m_impl(new Impl(method, std::move(handler)))
{}

RpcDispatcher::~RpcDispatcher() = default;

std::string RpcDispatcher::handle(const std::string &request)
{
    return m_impl->handle(request);
}

} // namespace cactuscove
