// JSON-RPC 2.0 requests and responses by libjsonrpccpp, independent of any transport. Plain types
// only, because the library's own headers need C++14.

#pragma once

#include <json/value.h>

#include <functional>
#include <memory>
#include <string>

namespace cactuscove {

// Builds a call of `method` with named parameters.
std::string buildRpcRequest(const std::string &method, const Json::Value &params);

// Reads the result of a response into `result`. Returns false with the reason in `error` if the
// text is no response or carries an error.
bool parseRpcResponse(const std::string &text, Json::Value &result, std::string &error);

// Dispatches requests to one method with named parameters of any structure.
class RpcDispatcher
{
public:
    using Handler = std::function<void(const Json::Value &params, Json::Value &result)>;

    RpcDispatcher(const std::string &method, Handler handler);
    ~RpcDispatcher();
    RpcDispatcher(const RpcDispatcher &) = delete;
    RpcDispatcher &operator=(const RpcDispatcher &) = delete;

    // Returns the response text; an invalid request yields a JSON-RPC error response.
    std::string handle(const std::string &request);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace cactuscove
