// Starts and stops on an upstream over loopback, and what its answers mean.

#include "httpserver.h"
#include "upstreamclient.h"

#include <gtest/gtest.h>
#include <json/reader.h>
#include <json/value.h>

namespace cactuscove {
namespace {

using namespace std::chrono_literals;

// An upstream that records every start.
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

// libcurl resends a request when a reused connection closes before the first response byte,
// although the upstream may have started the task (R10).
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

    // The same server makes a client that reuses connections send twice. Without this the
    // expectation above would show nothing.
    for (int n = 0; n < 2; ++n) {
        HttpCall call{"POST", "http://" + server->address() + "/reused"};
        http.start(call, [this](const auto &) { loop.stop(); });
        loop.run();
    }
    EXPECT_EQ(arrived["/reused"].size(), 3U);
}

TEST_F(UpstreamClientTest, ConnectionClosedAfterTheStartIsAFailure)
{
    answer = [this](RequestId id, const HttpRequest &) { server->closeWithoutResponse(id); };
    EXPECT_EQ(run("t1").status, TaskStatus::Failed);
    EXPECT_EQ(arrived["/run"].size(), 1U);
}

// A result that no message can carry would be repeated for ever, and would take memory before.
TEST_F(UpstreamClientTest, TooLargeResultIsAFailure)
{
    answer = [this](RequestId id, const HttpRequest &) {
        server->respond(id, {200, std::string(300'000, 'x')});
    };
    EXPECT_EQ(run("t1").status, TaskStatus::Failed);
}

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

// An upstream that goes silent must not hold the slot for good.
TEST_F(UpstreamClientTest, SilenceBeyondTheLeaseIsUnknown)
{
    lease = 100ms;
    answer = [](RequestId, const HttpRequest &) {};
    EXPECT_EQ(run("t1").status, TaskStatus::Unknown);
}

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
    // A task that ran may answer 409, for example for a seat that is taken.
    EXPECT_EQ(statusOf(409), TaskStatus::Completed);
    EXPECT_EQ(statusOf(500, {{"x-task-started", "false"}}), TaskStatus::Failed);
}

} // namespace
} // namespace cactuscove
