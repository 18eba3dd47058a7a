// Text of JSON-RPC 2.0 requests and responses, built and parsed by libjsonrpccpp without any I/O.
// PeerLinks sends the texts over HTTP. This header must not include headers of the library, because
// those can only be compiled up to C++14.

#pragma once

#include <json/value.h>

#include <functional>
#include <memory>
#include <string>

namespace cactuscove {

// Returns the text of a call of `method`. `params` is an object with the named parameters.
std::string buildRpcRequest(const std::string &method, const Json::Value &params);

// Stores the result of a response in `result`. Returns false and stores the reason in `error` if
// the text is not a valid response or contains an error.
bool parseRpcResponse(const std::string &text, Json::Value &result, std::string &error);

// Serves calls of one method.
class RpcDispatcher
{
public:
    // Receives the named parameters of a call and stores its result.
    using Handler = std::function<void(const Json::Value &params, Json::Value &result)>;

    RpcDispatcher(const std::string &method, Handler handler);
    ~RpcDispatcher();
    RpcDispatcher(const RpcDispatcher &) = delete;
    RpcDispatcher &operator=(const RpcDispatcher &) = delete;

    // Runs the handler for the call in the text `request` and returns the text of the response. An
    // invalid request yields a JSON-RPC error response.
    std::string handle(const std::string &request);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace cactuscove
