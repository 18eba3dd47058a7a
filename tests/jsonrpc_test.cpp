// JSON-RPC requests and responses.

#include "jsonrpc.h"

#include <gtest/gtest.h>

namespace cactuscove {
namespace {

TEST(JsonRpc, CarriesStructuredParametersAndResult)
{
    RpcDispatcher dispatcher("deliver", [](const Json::Value &params, Json::Value &result) {
        result["echo"] = params["messages"];
    });
    Json::Value params;
    params["messages"].append("a");
    Json::Value result;
    std::string error;
    ASSERT_TRUE(
        parseRpcResponse(dispatcher.handle(buildRpcRequest("deliver", params)), result, error))
        << error;
    EXPECT_EQ(result["echo"][0].asString(), "a");
}

// A peer that sends malformed text must get an error response and must not end the process.
TEST(JsonRpc, MalformedRequestYieldsAnErrorResponse)
{
    RpcDispatcher dispatcher("deliver", [](const Json::Value &, Json::Value &) {});
    Json::Value result;
    std::string error;
    EXPECT_FALSE(parseRpcResponse(dispatcher.handle("{\"jsonrpc\": 2"), result, error));
    EXPECT_FALSE(error.empty());
    EXPECT_FALSE(parseRpcResponse("not json", result, error));
}

} // namespace
} // namespace cactuscove
