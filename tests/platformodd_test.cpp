// Messages from outside that no well-behaved sender writes: nested deeply, with numbers that are
// too large, or with one odd element among good ones. None may end the process or hide the rest.

#include "jsonbody.h"
#include "platform.h"
#include "platformmessages.h"

#include "textencoding.h"

#include <gtest/gtest.h>

namespace cactuscove::platform {

namespace {

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

// Guards against a heartbeat whose number overflows a sum, or makes all later heartbeats of the
// worker count as older.
TEST(PlatformOdd, AHeartbeatWithANumberThatIsTooLargeNamesNoWorker)
{
    const auto isUsable = [](const std::string &born, const std::string &sequence,
                             const std::string &capacity) {
        return isOk(parseWorkerReport(
            heartbeat(R"({"service":"s","zone":"z","state":"ready","address":"10.0.0.9:80","born":)"
                      + born + R"(,"seq_num":)" + sequence + R"(,"capacity":)" + capacity + "}")));
    };
    const std::string good = R"({"cpu":16000,"mem_mb":32768})";
    EXPECT_TRUE(isUsable("1788269136761", "4", good));
    for (const char *number :
         {"9223372036854775807", "1e30", "18446744073709551615", "-1", "1.5"}) {
        EXPECT_FALSE(isUsable(number, "4", good)) << number;
        EXPECT_FALSE(isUsable("1788269136761", number, good)) << number;
        EXPECT_FALSE(isUsable("1788269136761", "4", R"({"cpu":)" + std::string(number) + "}"))
            << number;
    }
}

// Guards against run times and needs that turn negative in another unit or in the sum over a job.
TEST(PlatformOdd, NumbersOfAJobThatAreTooLargeDoNotOverflow)
{
    const auto job = [](const std::string &fields) {
        return parseJob("5c0e7a21d94b36f8",
                        R"({"best_effort":true,"phases":[{"count":2,)" + fields + "}]}");
    };
    for (const char *number : {"9223372036854775807", "1e30"}) {
        const auto declared = job(R"("est_runtime_ms":)" + std::string(number));
        ASSERT_TRUE(isOk(declared)) << number;
        EXPECT_EQ(valueOf(declared).declaredRunTime, json::MaxDuration);
        for (const char *name : {"cpu", "mem_mb", "gpu", "count"})
            EXPECT_FALSE(isOk(job('"' + std::string(name) + "\":" + number))) << name << number;
    }
    HttpRequest request;
    request.headers["deadline-ms"] = "9223372036854775807";
    EXPECT_EQ(callerTimeout(request), json::MaxDuration);
}

// Guards against a version that is refused for a limit that is merely large or not whole, so that
// an older one stays in force, and against a limit that a narrower type turns into 0.
TEST(PlatformOdd, LargeLimitsOfAConfigurationCountAsTheLargest)
{
    const auto config = parseConfig(
        R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/","service":"s",)"
        R"("timeout_ms":1500.5,"target_latency_ms":9223372036854775807,"priority":4294967296,)"
        R"("attempts":4294967296,"slack_factor":1e300}]})");
    ASSERT_TRUE(isOk(config)) << errorOf(config).reason;
    const QueueSettings &queue = valueOf(config).queues.at(0);
    EXPECT_EQ(queue.timeout, std::chrono::microseconds(1'500'500));
    EXPECT_EQ(queue.targetLatency, json::MaxDuration);
    EXPECT_GT(queue.priority, 0);
    EXPECT_GT(queue.maxAttempts, 0);
    EXPECT_LT(queue.slackFactor, 1e6);
}

// Guards against a reply that moves the worker's clock or the number of an attempt out of range.
TEST(PlatformOdd, RepliesOfAWorkerWithANumberThatIsTooLargeAreNoAnswer)
{
    EXPECT_EQ(parseStartReply(reply(200, R"({"clock_ms":9223372036854775807})")).clock,
              std::nullopt);
    for (const char *body :
         {R"({"clock_ms":9223372036854775807,"active":[],"finished":[]})",
          R"({"clock_ms":1,"active":[["5c0e.0.0.1",4294967297,"",5]],"finished":[]})",
          R"({"clock_ms":1,"active":[],"finished":[[9223372036854775807,"5c0e.0.0.1",1,"done"]]})"})
        EXPECT_EQ(parsePollReply(reply(200, body)).answer, CallAnswer::NoAnswer) << body;
}

// Guards against one odd item that hides all other records of its page, again at each read.
TEST(PlatformOdd, NewestRecordsBesideAnOddItemAreRead)
{
    const std::string good = R"({"key":"config","value":")" + toBase64("one") + R"(","offset":4})";
    for (const char *odd :
         {"7", "null", "[]", "{}", R"({"key":7,"value":"","offset":1})",
          R"({"key":"odd","value":7,"offset":1})", R"({"key":"odd","value":"","offset":-1})",
          R"({"key":"odd","value":"","offset":1e30})", R"({"key":"odd","value":"!","offset":1})"}) {
        const auto page = parseNewest(reply(200, R"({"items":[)" + good + ',' + odd
                                                     + R"(],"has_more":true,"end_offset":6})"));
        ASSERT_TRUE(isOk(page)) << odd << ": " << errorOf(page).detail;
        ASSERT_EQ(valueOf(page).records.size(), 1u) << odd;
        EXPECT_EQ(valueOf(page).records[0].value, "one");
        EXPECT_EQ(valueOf(page).unreadableKeys.size(), 1u);
        EXPECT_FALSE(valueOf(page).continueAfterKey.empty());
    }
}

// Guards against a run that is taken for that of task 0 because its index is out of range.
TEST(PlatformOdd, ATaskWithAnIndexOutOfRangeIsNotTaskZero)
{
    const PollReply poll = parsePollReply(
        reply(200, R"({"clock_ms":1,"active":[["5c0e.0.0.99999999999",1,"",5]],"finished":[]})"));
    EXPECT_EQ(poll.answer, CallAnswer::NoAnswer);
}

} // namespace cactuscove::platform
