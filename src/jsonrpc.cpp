// The only file that includes headers of libjsonrpccpp. It is compiled as C++14, because the
// library uses dynamic exception specifications, which later standards reject (see CMakeLists.txt).

#include "jsonrpc.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server/abstractserver.h>

namespace cactuscove {

namespace {

// Transport of a client that stores the request instead of sending it, and returns a response that
// was set before.
class CapturingConnector : public jsonrpc::IClientConnector
{
public:
    // The signature is that of the library.
    void SendRPCMessage(const std::string &message, // NOLINT(readability-identifier-naming)
                        std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        request = message;
        result = response;
    }

    std::string request;
    std::string response;
};

// The client needs a response to each call. The id of every call here is 1, because each has a
// client of its own.
const char EmptyResponse[] = R"({"jsonrpc":"2.0","id":1,"result":null})";
const char AnyMethod[] = "any"; // the client needs a method name to parse a response

// Transport of a server that stores the response instead of sending it.
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
    } catch (const std::exception &ex) { // jsoncpp throws other exceptions for malformed values
        error = ex.what();
    }
    return false;
}

namespace {

// A base class of Impl, so that the connector exists before the server base that refers to it.
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
