// Formats of the users' platform. Guards against fields that are decoded wrongly and against
// invalid messages that are accepted.

#include "platform.h"
#include "platformmessages.h"

#include "textencoding.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace cactuscove::platform {

namespace {

using namespace std::chrono_literals;

constexpr char EntrySettings[] = R"(
node_name = "edge-cape-north-1"
ip = "10.1.0.13"
zone = "cape-north"
port_range = [7720,7735]
seeds = ["10.1.0.13:8166","10.2.0.30:8166"]
[bind_addrs]
frontend = "10.1.0.13:8161"
ready = "10.1.0.13:8167"
[bounds]
hold_max_ms = 1000
stop_timeout_ms = 50
grace_s = 6
resend_ms = 1300
drain_ms = 2000
config_apply_ms = 2000
[platform]
address = "10.200.1.7:8169"
)";

std::string record(std::string_view key, std::string_view value)
{
    std::string out("\0\0\0", 3);
    out += static_cast<char>(1 + key.size() + value.size());
    out += static_cast<char>(key.size());
    return out.append(key).append(value);
}

} // namespace

// Guards against an address or time that is read from the wrong field.
TEST(PlatformSettings, AreDecodedOnce)
{
    const auto settings = parseSettings(EntrySettings, Role::Entry);
    ASSERT_TRUE(isOk(settings)) << errorOf(settings).lines.front();
    EXPECT_EQ(valueOf(settings).callerAddress, "10.1.0.13:8161");
    EXPECT_EQ(valueOf(settings).linkAddress, "10.1.0.13:7720");
    EXPECT_EQ(valueOf(settings).seedLinkAddresses,
              (std::vector<std::string>{"10.1.0.13:7720", "10.2.0.30:7720"}));
    EXPECT_EQ(valueOf(settings).shutdownGracePeriod, 6s);
}

// Guards against placement that ignores the cost of a remote worker, or counts it as a gain.
TEST(PlatformSettings, TheCostOfARemoteWorkerIsOptional)
{
    const auto slownessOf = [](std::string text, const std::string &field) {
        text.insert(text.find("grace_s"), field);
        return valueOf(parseSettings(text, Role::Entry)).remoteSlowness;
    };
    EXPECT_EQ(slownessOf(EntrySettings, ""), 1.5);
    EXPECT_EQ(slownessOf(EntrySettings, "remote_factor = 2.5\n"), 2.5);
    EXPECT_EQ(slownessOf(EntrySettings, "remote_factor = 0.2\n"), 1);
}

// Guards against reporting only the first mistake, so that each start reveals one more.
TEST(PlatformSettings, NameEveryMistakeAtOnce)
{
    const auto settings = parseSettings("node_name = 7\nport_range = [0]\n", Role::Agent);
    ASSERT_FALSE(isOk(settings));
    const auto &lines = errorOf(settings).lines;
    EXPECT_GE(lines.size(), 8u);
    EXPECT_NE(std::find(lines.begin(), lines.end(), "node_name: missing or not a string"),
              lines.end());
    EXPECT_NE(
        std::find(lines.begin(), lines.end(), "bind_addrs.control_plane: missing or not a string"),
        lines.end());
    EXPECT_FALSE(isOk(parseSettings("node_name = ", Role::Agent)));
}

// Guards against a time that turns negative in another unit.
TEST(PlatformSettings, ATimeThatIsTooLongIsNamed)
{
    for (const char *value : {"-1", "1e300", "nan", "inf", "9223372036854775807"}) {
        std::string text = EntrySettings;
        text.replace(text.find("grace_s = 6"), 11, "grace_s = " + std::string(value));
        const auto settings = parseSettings(text, Role::Entry);
        ASSERT_FALSE(isOk(settings)) << value;
        EXPECT_TRUE(errorOf(settings).lines.front().starts_with("bounds.grace_s: ")) << value;
    }
}

// Guards against tasks that run with the wrong resources or a changed payload.
TEST(PlatformJobs, ABestEffortJobIsDecoded)
{
    const auto job
        = parseJob("5c0e7a21d94b36f8",
                   R"({"spec":"x\"y","best_effort":true,"phases":[)"
                   R"({"count":4,"cpu":500,"mem_mb":256,"est_runtime_ms":90,"gang":false}]})");
    ASSERT_TRUE(isOk(job)) << errorOf(job).field;
    EXPECT_EQ(valueOf(job).payload, "x\"y");
    EXPECT_EQ(valueOf(job).taskCount, 4u);
    EXPECT_EQ(valueOf(job).needs, (Resources{500, 256, 0}));
    EXPECT_EQ(valueOf(job).declaredRunTime, 90ms);
}

// Guards against accepting a job and ignoring an unsupported field of it.
TEST(PlatformJobs, WhatIsNotBuiltIsRefusedByItsField)
{
    const auto fieldOf = [](const char *body) {
        const auto job = parseJob("5c0e7a21d94b36f8", body);
        return isOk(job) ? std::string("taken") : errorOf(job).field;
    };
    EXPECT_EQ(fieldOf(R"({"phases":[{"count":1}]})"), "best_effort");
    EXPECT_EQ(fieldOf(R"({"best_effort":true,"phases":[{},{}]})"), "phases");
    EXPECT_EQ(fieldOf(R"({"best_effort":true,"phases":[{"count":1,"gang":true}]})"),
              "phases[0].gang");
    EXPECT_EQ(fieldOf(R"({"best_effort":true,"repeat_count":2,"phases":[{"count":1}]})"),
              "repeat_count");
    EXPECT_EQ(fieldOf(R"({"best_effort":true,"phases":[{"count":"1"}]})"), "body");
    EXPECT_EQ(fieldOf("nonsense"), "body");
}

// Guards against a short time that is rounded to 0, so that refused callers retry at once.
TEST(PlatformJobs, RetryAfterIsAtLeastASecond)
{
    const HttpResponse response = formatAnswer({JobOutcome::Refused, "overloaded", 20ms});
    EXPECT_EQ(response.status, 503);
    EXPECT_EQ(response.headers.at("Retry-After"), "1");
}

// Guards against placing tasks by the wrong capacity or labels, or on a worker that is draining.
TEST(PlatformWorkers, AHeartbeatIsDecoded)
{
    const auto report = parseWorkerReport(heartbeat(
        R"({"service":"s","address":"10.0.0.9:80","zone":"z","state":"draining","seq_num":4,)"
        R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],"born":1788269136761})"));
    ASSERT_TRUE(isOk(report)) << errorOf(report).reason;
    const WorkerInfo &info = *valueOf(report).info;
    EXPECT_EQ(info.id, "i-7f");
    EXPECT_TRUE(info.isDraining);
    EXPECT_EQ(info.capacity.cpuMillis, 16000);
    EXPECT_EQ(info.labels, (std::vector<std::string>{"a", "r1-3"}));
    EXPECT_EQ(info.startedAtUnixMs, 1788269136761);
}

// Guards against tasks being placed by a heartbeat that is incomplete or invalid.
TEST(PlatformWorkers, AnUnreadableHeartbeatNamesNoWorker)
{
    for (
        const char *body :
        {"", "[]", R"({"service":"s"})",
         R"({"service":"s","address":"nowhere","zone":"z","state":"ready","seq_num":4,"capacity":{"cpu":1}})",
         R"({"service":"s","address":"1.1.1.1:1","zone":"z","state":"odd","seq_num":4,"capacity":{"cpu":1}})",
         R"({"service":"s","address":"1.1.1.1:1","zone":"z","state":"ready","seq_num":"4","capacity":{"cpu":1}})"})
        EXPECT_FALSE(isOk(parseWorkerReport(heartbeat(body)))) << body;
}

// Guards against a task that is taken for running although it has ended, or for done although it
// was lost.
TEST(PlatformWorkers, ListsOfRunsAreDecoded)
{
    const PollReply pollReply = parsePollReply(reply(
        200, R"({"clock_ms":482113,"born":5,"active":[["5c0e.0.0.17",2,"",41,3]],)"
             R"("finished":[[58,"5c0e.0.0.9",1,"done",""],[59,"5c0e.0.0.8",3,"lapsed",""]]})"));
    ASSERT_EQ(pollReply.answer, CallAnswer::Ok);
    EXPECT_EQ(pollReply.clock.value, 482113);
    ASSERT_EQ(pollReply.active.size(), 1u);
    EXPECT_EQ(pollReply.active[0].task, (TaskId{"5c0e", 17}));
    EXPECT_EQ(pollReply.active[0].percentDone, 41);
    ASSERT_EQ(pollReply.ended.size(), 2u);
    EXPECT_EQ(pollReply.ended[0].end, TaskEnd::Done);
    EXPECT_EQ(pollReply.ended[1].end, TaskEnd::Lost);
}

// Guards against an invalid list of running tasks being taken for an empty one, which means that
// nothing runs.
TEST(PlatformWorkers, AnUnreadableListIsNoAnswer)
{
    for (const char *body : {"", "{}", R"({"clock_ms":1,"active":{},"finished":[]})",
                             R"({"clock_ms":1,"active":[[1]],"finished":[]})"})
        EXPECT_EQ(parsePollReply(reply(200, body)).answer, CallAnswer::NoAnswer) << body;
}

// Guards against taking a reply that leaves open whether the task was started for a refusal.
TEST(PlatformWorkers, RefusalsOfAStartAreToldApart)
{
    EXPECT_EQ(parseStartReply(reply(200, R"({"clock_ms":1})")).answer, StartAnswer::Accepted);
    EXPECT_EQ(parseStartReply(reply(409, R"({"reason":"late"})")).answer, StartAnswer::Late);
    EXPECT_EQ(parseStartReply(reply(409, R"({"reason":"room"})")).answer, StartAnswer::NoCapacity);
    EXPECT_EQ(parseStartReply(reply(409, R"({"reason":"old"})")).answer, StartAnswer::OldAttempt);
    EXPECT_EQ(parseStartReply(reply(503, "")).answer, StartAnswer::Unhealthy);
    EXPECT_EQ(parseStartReply(reply(421, "")).answer, StartAnswer::OtherProcess);
    EXPECT_EQ(parseStartReply(reply(500, "")).answer, StartAnswer::NoAnswer);
    EXPECT_EQ(parseStartReply(HttpCallError{HttpFailure::TimedOut, ""}).answer,
              StartAnswer::NoAnswer);
    EXPECT_EQ(parseStartReply(HttpCallError{HttpFailure::NotSent, ""}).answer,
              StartAnswer::NotSent);
    EXPECT_EQ(parseStartReply(HttpCallError{HttpFailure::NotSent, "", false, true}).answer,
              StartAnswer::Refused);
}

// Guards against characters of the payload that break the JSON of the call.
TEST(PlatformWorkers, AStartCarriesThePayloadUnchanged)
{
    StartRun command;
    command.task = {"5c0e", 3};
    command.attempt = 2;
    command.payload = "a\"b\\c\n\x01";
    command.deadline = WorkerClock{70};
    EXPECT_EQ(makeCall(command).body,
              R"({"task":"5c0e.0.0.3","attempt":2,"spec":"a\"b\\c\u000a\u0001",)"
              R"("deadline_ms":70})");
}

// Guards against records that are skipped or that get the wrong offset.
TEST(PlatformStore, RecordsOfALongReadAreDecoded)
{
    const std::string offsets(16, '\0');
    const std::string whole
        = offsets + record("config", "one") + record("k", "") + record("m", "2");
    const auto page = parseRead(reply(200, whole), LogOffset{7});
    ASSERT_TRUE(isOk(page));
    ASSERT_EQ(valueOf(page).records.size(), 3u);
    EXPECT_EQ(valueOf(page).records[0].key, "config");
    EXPECT_EQ(valueOf(page).records[0].value, "one");
    EXPECT_EQ(valueOf(page).records[2].offset, LogOffset{9});
    EXPECT_EQ(valueOf(page).next, LogOffset{10});

    // A record that is cut off at the longest answer is read again.
    const auto cut = parseRead(reply(200, whole.substr(0, whole.size() - 1)), LogOffset{7});
    ASSERT_TRUE(isOk(cut));
    EXPECT_EQ(valueOf(cut).next, LogOffset{9});
}

// Guards against retrying at an offset whose records are gone.
TEST(PlatformStore, FailuresAreToldApart)
{
    EXPECT_EQ(errorOf(parseRead(reply(410, ""), {})).kind, StoreFailure::Trimmed);
    EXPECT_EQ(errorOf(parseRead(reply(429, ""), {})).kind, StoreFailure::Refused);
    EXPECT_EQ(errorOf(parseRead(reply(200, "short"), {})).kind, StoreFailure::Malformed);
    EXPECT_EQ(errorOf(parseNewest(reply(200, "[]"))).kind, StoreFailure::Malformed);
    EXPECT_EQ(errorOf(parseNewest(HttpCallError{})).kind, StoreFailure::Unreachable);
    EXPECT_EQ(parseAppend(reply(412, ""))->kind, StoreFailure::Conflict);
}

// Guards against an append that goes to another partition, or that replaces a record which was
// written since the partition was read.
TEST(PlatformStore, AnAppendNamesItsPartitionAndTheEndThatItExpects)
{
    EXPECT_EQ(makeAppendCall("1.1.1.1:1", "t", "k", "v", 1s, 2, LogOffset{5}).url,
              "http://1.1.1.1:1/-/log-append?topic=t&part=2&at=5");
    EXPECT_EQ(makeAppendCall("1.1.1.1:1", "t", "k", "v", 1s).url,
              "http://1.1.1.1:1/-/log-append?topic=t&part=0");
    EXPECT_EQ(makeNewestCall("1.1.1.1:1", "t", "", 1s, 2).url,
              "http://1.1.1.1:1/-/log-newest?topic=t&part=2");
}

// Guards against an invalid record that makes the other ones of its page unreadable.
TEST(PlatformStore, NewestRecordsAreDecoded)
{
    const auto page
        = parseNewest(reply(200, R"({"items":[{"key":"config","value":")" + toBase64("{\"a\":1}")
                                     + R"(","offset":4},{"key":"odd","value":"!","offset":5}],)"
                                       R"("has_more":true,"end_offset":6})"));
    ASSERT_TRUE(isOk(page));
    ASSERT_EQ(valueOf(page).records.size(), 1u);
    EXPECT_EQ(valueOf(page).records[0].value, "{\"a\":1}");
    EXPECT_EQ(valueOf(page).continueAfterKey, "config");
}

// Guards against a key whose record cannot be decoded and then counts as deleted, and against a
// page of such records that ends the read.
TEST(PlatformStore, KeysOfInvalidRecordsAreListed)
{
    const auto page = parseNewest(
        reply(200, R"({"items":[{"key":"evacuate/n","value":"!","offset":5}],"has_more":true,)"
                   R"("end_offset":6})"));
    ASSERT_TRUE(isOk(page));
    EXPECT_EQ(valueOf(page).unreadableKeys, std::vector<std::string>{"evacuate/n"});
    EXPECT_EQ(valueOf(page).continueAfterKey, "evacuate/n");
}

// Guards against an evacuation of the wrong data centre, and against a record that cannot be read
// but counts as a request or a withdrawal.
TEST(PlatformStore, EvacuationsAreDecoded)
{
    const auto request = parseEvacuation({"evacuate/mba-port", "{}", LogOffset{3}});
    ASSERT_TRUE(isOk(request));
    EXPECT_EQ(valueOf(request), (EvacuationRecord{"mba-port", true, LogOffset{3}}));
    const auto withdrawal = parseEvacuation({"evacuate/mba-port", "", LogOffset{4}});
    ASSERT_TRUE(isOk(withdrawal));
    EXPECT_FALSE(valueOf(withdrawal).isEvacuated);
    for (const char *key : {"evacuate/", "evacuate/a b", "evacuate/a/b", "evacuate/\n"})
        EXPECT_FALSE(isOk(parseEvacuation({key, "{}", {}}))) << key;
    for (const char *value : {"{", "null", "[]", "1"})
        EXPECT_FALSE(isOk(parseEvacuation({"evacuate/a", value, {}}))) << value;
    EXPECT_FALSE(isEvacuationKey("config"));
}

// Guards against a heartbeat that is refused because of an invalid field that it can do without.
TEST(PlatformWorkers, ColdTimeIsOptional)
{
    const auto coldLeft = [](const std::string &field) {
        const auto report = parseWorkerReport(
            heartbeat(R"({"service":"s","address":"127.0.0.1:80","zone":"z","state":"ready",)"
                      R"("capacity":{"cpu":1000},"seq_num":1)"
                      + field + "}"));
        return isOk(report) ? std::optional(valueOf(report).coldLeft) : std::nullopt;
    };
    EXPECT_EQ(coldLeft(R"(,"cold_left_ms":900)"), Duration(900ms));
    EXPECT_EQ(coldLeft(""), Duration{});
    EXPECT_EQ(coldLeft(R"(,"cold_left_ms":-5)"), Duration{});
    EXPECT_EQ(coldLeft(R"(,"cold_left_ms":"soon")"), Duration{});
}

// Guards against a limit that is read from the wrong field and against an incomplete configuration
// that is accepted.
TEST(PlatformConfig, QueuesAreDecoded)
{
    const auto config = parseConfig(
        R"({"version":7,"routes":[{"name":"r","host":"h.example","path_prefix":"/a/","service":"s",)"
        R"("timeout_ms":1500,"target_latency_ms":60,"priority":2,"attempts":4,"slack_factor":1.6}]})");
    ASSERT_TRUE(isOk(config)) << errorOf(config).reason;
    const QueueSettings &queue = valueOf(config).queues.at(0);
    EXPECT_EQ(queue.priority, 2);
    EXPECT_EQ(queue.targetLatency, 60ms);
    EXPECT_DOUBLE_EQ(queue.slackFactor, 1.6);
    EXPECT_FALSE(isOk(parseConfig(R"({"routes":[]})")));
    EXPECT_FALSE(isOk(parseConfig(R"({"version":7,"routes":[{"name":"r"}]})")));
}

// Guards against a request that goes to the queue of another host or of a shorter prefix.
TEST(QueueMatch, TheLongestPrefixOfTheHostWins)
{
    DispatchConfig config;
    config.queues.resize(3);
    config.queues[0].host = config.queues[1].host = "a.example";
    config.queues[0].pathPrefix = "/x/";
    config.queues[1].pathPrefix = "/x/y/";
    config.queues[2].host = "b.example";
    config.queues[2].pathPrefix = "/";
    EXPECT_EQ(matchQueue(config, "A.example:80", "/x/y/1").queue, &config.queues[1]);
    EXPECT_EQ(matchQueue(config, "a.example", "/x/z").pathSuffix, "z");
    EXPECT_EQ(matchQueue(config, "a.example", "/z").queue, nullptr);
    EXPECT_EQ(matchQueue(config, "c.example", "/x/").queue, nullptr);
}

} // namespace cactuscove::platform
