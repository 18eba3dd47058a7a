// Messages from outside that no well-behaved sender writes: nested deeply, with numbers that are
// too large, or with one odd element among good ones. None may end the process or hide the rest.

#include "platform.h"

#include "textencoding.h"

#include <gtest/gtest.h>

namespace cactuscove::platform {

namespace {

CallResult reply(int status, std::string body)
{
    HttpReply it;
    it.status = status;
    it.body = std::move(body);
    return it;
}

HttpRequest heartbeat(std::string body)
{
    HttpRequest request;
    request.method = "PUT";
    request.path = "/-/instances/i-7f";
    request.body = std::move(body);
    return request;
}

// A document whose field `name` is nested 5,000 deep.
std::string nested(const std::string &name)
{
    constexpr std::size_t Depth = 5000;
    return "{\"" + name + "\":" + std::string(Depth, '[') + std::string(Depth, ']') + "}";
}

} // namespace

// Guards against an exception of the JSON library that ends the process.
TEST(PlatformOdd, ADeeplyNestedDocumentIsAnErrorOfItsDecoder)
{
    EXPECT_EQ(errorOf(parseJob("5c0e7a21d94b36f8", nested("tasks"))).field, "body");
    EXPECT_EQ(errorOf(parseWorkerReport(heartbeat(nested("labels")))).status, 400);
    EXPECT_EQ(errorOf(parseNewest(reply(200, nested("items")))).kind, StoreFailure::Malformed);
    EXPECT_FALSE(isOk(parseConfig(nested("routes"))));
    EXPECT_FALSE(isOk(parseEvacuation({"evacuate/a", nested("by"), {}})));
    EXPECT_EQ(parseStartReply(reply(200, nested("clock_ms"))).clock, std::nullopt);
    EXPECT_EQ(parseStartReply(reply(409, nested("reason"))).answer, StartAnswer::OldAttempt);
    EXPECT_EQ(parseStopReply(reply(200, nested("clock_ms"))).clock, std::nullopt);
    EXPECT_EQ(parsePollReply(reply(200, nested("active"))).answer, CallAnswer::NoAnswer);
}

// Guards against a reader that stays broken after it has failed.
TEST(PlatformOdd, ADocumentAfterADeeplyNestedOneIsRead)
{
    EXPECT_FALSE(isOk(parseConfig(nested("routes"))));
    EXPECT_TRUE(isOk(parseConfig(R"({"version":7,"routes":[]})")));
}

// Guards against a worker that is known but can never be called.
TEST(PlatformOdd, AHeartbeatWithAnAddressThatCannotBeCalledNamesNoWorker)
{
    const auto isUsable = [](const std::string &address) {
        return isOk(parseWorkerReport(heartbeat(
            R"({"service":"s","zone":"z","state":"ready","seq_num":4,"capacity":{"cpu":1},)"
            R"("address":")"
            + address + "\"}")));
    };
    EXPECT_TRUE(isUsable("10.0.0.9:65535"));
    for (const char *address : {"10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:-1", "10.0.0.9:", ":80",
                                "10.0.0.900:80", "1.2.3:80", "worker:80", "10.0.0.9:80 "})
        EXPECT_FALSE(isUsable(address)) << address;
}

} // namespace cactuscove::platform
