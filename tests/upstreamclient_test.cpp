// Tests of UpstreamClient against an HTTP server on the loopback interface: requests, results, and
// the meaning of the answers.

#include "httpserver.h"
#include "upstreamclient.h"

#include <gtest/gtest.h>
#include <json/reader.h>
#include <json/value.h>

namespace cactuscove {
namespace {

using namespace std::chrono_literals;

// The server plays the upstream: it records every request and replies with `answer`.
class UpstreamClientTest : public testing::Test
{
protected:
    UpstreamClientTest()
    {
        auto listened = HttpServer::listen(loop, "127.0.0.1:0", {},
                                           [this](RequestId id, HttpRequest request) {
                                               arrived[request.path].push_back(request);
                                               answer(id, request);
                                           });
        server = std::move(valueOf(listened));
    }

    // Starts a task and runs the event loop until its result arrives.
    TaskResult run(const std::string &task)
    {
        StartOnUpstream effect;
        effect.ref = {{"bookings/j1"}, nextIndex++};
        effect.taskId = task;
        effect.payload = R"({"seat": 4})";
        effect.upstreamAddress = server->address();
        effect.upstreamIncarnation = "u1";
        effect.lease = lease;
        effect.trace = {std::string(32, 'a'), std::string(16, 'b')};
        client.start(effect);
        loop.run();
        return last;
    }

    EventLoop loop;
    HttpClient http{loop};
    std::unique_ptr<HttpServer> server;
    std::map<std::string, std::vector<HttpRequest>> arrived; // by path
    std::function<void(RequestId, const HttpRequest &)> answer
        = [this](RequestId id, const HttpRequest &) {
              server->respond(id, {200, "booked"});
          };
    TaskResult last;
    std::uint16_t nextIndex = 0;
    Duration lease = 5s;
    UpstreamClient client{loop, http, [this](const TaskRef &, std::uint32_t, TaskResult result) {
                              last = std::move(result);
                              loop.stop();
                          }};
};

// Guards against a start that lacks a field or header, and against a changed result.
TEST_F(UpstreamClientTest, SendsTheTaskAndReturnsItsResult)
{
    const TaskResult result = run("t1");
    EXPECT_EQ(result.status, TaskStatus::Completed);
    EXPECT_EQ(result.body, "booked");
    const HttpRequest &request = arrived["/run"].at(0);
    EXPECT_EQ(request.headers.at("x-upstream-incarnation"), "u1");
    EXPECT_EQ(request.headers.at("traceparent"),
              "00-" + std::string(32, 'a') + "-" + std::string(16, 'b') + "-01");
    Json::Value body;
    ASSERT_TRUE(Json::Reader().parse(request.body, body));
    EXPECT_EQ(body["job"].asString(), "bookings/j1");
    EXPECT_EQ(body["task"].asString(), "t1");
    EXPECT_EQ(body["payload"].asString(), R"({"seat": 4})");
    EXPECT_EQ(body["lease_ms"].asInt(), 5000);
}

// Guards against a second start of a task: libcurl sends a request again when a reused connection
// closes before the first response byte, although the upstream may have started the task. So each
// start must use its own connection (R10).
TEST_F(UpstreamClientTest, ClosedConnectionNeverStartsATaskTwice)
{
    answer = [this](RequestId id, const HttpRequest &request) {
        if (request.isFirstOnConnection)
            server->respond(id, {200, "booked"});
        else
            server->closeWithoutResponse(id);
    };
    for (const char *task : {"t1", "t2", "t3"})
        run(task);
    EXPECT_EQ(arrived["/run"].size(), 3U);

    // Shows that the server does provoke the fault: a client that reuses connections sends a
    // request twice.
    for (int n = 0; n < 2; ++n) {
        HttpCall call{"POST", "http://" + server->address() + "/reused"};
        http.start(call, [this](const auto &) { loop.stop(); });
        loop.run();
    }
    EXPECT_EQ(arrived["/reused"].size(), 3U);
}

// Guards against a task that counts as not started although the upstream has received it.
TEST_F(UpstreamClientTest, ConnectionClosedAfterTheStartIsAFailure)
{
    answer = [this](RequestId id, const HttpRequest &) { server->closeWithoutResponse(id); };
    EXPECT_EQ(run("t1").status, TaskStatus::Failed);
    EXPECT_EQ(arrived["/run"].size(), 1U);
}

// Guards against a result that exceeds the size limit of messages: it would use memory and be
// repeated forever.
TEST_F(UpstreamClientTest, TooLargeResultIsAFailure)
{
    answer = [this](RequestId id, const HttpRequest &) {
        server->respond(id, {200, std::string(300'000, 'x')});
    };
    EXPECT_EQ(run("t1").status, TaskStatus::Failed);
}

// Guards against giving up a task that has certainly not started.
TEST_F(UpstreamClientTest, RefusedConnectionProvesThatNothingStarted)
{
    const std::string address = server->address();
    server.reset();
    StartOnUpstream effect;
    effect.upstreamAddress = address;
    effect.lease = 5s;
    client.start(effect);
    loop.run();
    EXPECT_EQ(last.status, TaskStatus::NotStarted);
}

// Guards against a slot that stays in use forever because the upstream does not answer.
TEST_F(UpstreamClientTest, SilenceBeyondTheLeaseIsUnknown)
{
    lease = 100ms;
    answer = [](RequestId, const HttpRequest &) {};
    EXPECT_EQ(run("t1").status, TaskStatus::Unknown);
}

// Guards against a stop that waits for the answer to the start.
TEST_F(UpstreamClientTest, StopReachesTheUpstreamWhileTheTaskRuns)
{
    RequestId running;
    answer = [&](RequestId id, const HttpRequest &request) {
        if (request.path == "/run") {
            running = id;
            client.stop({TaskRef{{"bookings/j1"}, 0}, server->address()});
            return;
        }
        server->respond(id, {});
        server->respond(running, {500, "stopped"});
    };
    EXPECT_EQ(run("t1").status, TaskStatus::Failed);
    EXPECT_EQ(arrived["/stop"].size(), 1U);
}

// Guards against a wrong task status: a task that ran must not count as not started.
TEST(TaskResultOf, MapsAnswers)
{
    const auto statusOf = [](int status, std::map<std::string, std::string> headers = {}) {
        return taskResultOf(HttpReply{status, std::move(headers), ""}, 1ms).status;
    };
    EXPECT_EQ(statusOf(204), TaskStatus::Completed);
    EXPECT_EQ(statusOf(404), TaskStatus::Completed);
    EXPECT_EQ(statusOf(302), TaskStatus::Failed);
    EXPECT_EQ(statusOf(500), TaskStatus::Failed);
    EXPECT_EQ(statusOf(503), TaskStatus::Failed);
    EXPECT_EQ(statusOf(503, {{"x-task-started", "false"}}), TaskStatus::NotStarted);
    EXPECT_EQ(statusOf(409, {{"x-task-started", "false"}}), TaskStatus::NotStarted);
    // The result of a task may be 409, for example when a seat is taken.
    EXPECT_EQ(statusOf(409), TaskStatus::Completed);
    EXPECT_EQ(statusOf(500, {{"x-task-started", "false"}}), TaskStatus::Failed);
}

} // namespace
} // namespace cactuscove
