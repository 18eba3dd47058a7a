// HTTP client and server on one event loop, over loopback.

#include "eventloop.h"
#include "httpclient.h"
#include "httpserver.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>
#include <thread>

namespace cactuscove {
namespace {

using Reply = Result<HttpReply, HttpCallError>;

class Http : public testing::Test
{
protected:
    void serve(HttpServer::Handler handler, HttpServerLimits limits = {})
    {
        auto listened = HttpServer::listen(loop, "127.0.0.1:0", limits, std::move(handler));
        ASSERT_TRUE(isOk(listened)) << errorOf(listened).reason;
        server = std::move(valueOf(listened));
    }

    Reply call(HttpCall it)
    {
        std::optional<Reply> out;
        client.start(std::move(it), [&](Reply reply) {
            out = std::move(reply);
            loop.stop();
        });
        loop.run();
        return *out;
    }

    std::string url(const std::string &path) { return "http://" + server->address() + path; }

    EventLoop loop;
    HttpClient client{loop};
    std::unique_ptr<HttpServer> server;
};

TEST_F(Http, CarriesMethodPathQueryHeadersAndBody)
{
    HttpRequest seen;
    serve([&](RequestId id, HttpRequest request) {
        seen = std::move(request);
        server->respond(id, {201, "made", "text/plain", {{"X-Kind", "test"}}});
    });
    const Reply reply = call({"PUT", url("/a/b?x=1"), {{"X-In", "yes"}}, "payload"});
    ASSERT_TRUE(isOk(reply));
    EXPECT_EQ(valueOf(reply).status, 201);
    EXPECT_EQ(valueOf(reply).body, "made");
    EXPECT_EQ(valueOf(reply).headers.at("x-kind"), "test");
    EXPECT_EQ(seen.method, "PUT");
    EXPECT_EQ(seen.path, "/a/b");
    EXPECT_EQ(seen.query.at("x"), "1");
    EXPECT_EQ(seen.headers.at("x-in"), "yes");
    EXPECT_EQ(seen.body, "payload");
}

// A suspended request must be answered when the answer comes, on a connection that epoll reports
// nothing for.
TEST_F(Http, AnswersLater)
{
    std::optional<RequestId> waiting;
    std::unique_ptr<Timer> later;
    serve([&](RequestId id, HttpRequest) {
        waiting = id;
        later = std::make_unique<Timer>(loop, [&] { server->respond(*waiting, {200, "late"}); });
        later->startIn(std::chrono::milliseconds(20));
    });
    const Reply reply = call({"POST", url("/"), {}, "x"});
    ASSERT_TRUE(isOk(reply));
    EXPECT_EQ(valueOf(reply).body, "late");
    EXPECT_EQ(server->openRequests(), 0u);
}

TEST_F(Http, RefusesABodyOverTheLimitWithoutCallingTheHandler)
{
    bool called = false;
    serve([&](RequestId, HttpRequest) { called = true; }, {.maxBodyBytes = 10});
    const Reply reply = call({"POST", url("/"), {}, std::string(100000, 'x')});
    ASSERT_TRUE(isOk(reply));
    EXPECT_EQ(valueOf(reply).status, 413);
    EXPECT_FALSE(called);
}

// Two processes on one address would each get a part of the requests.
TEST_F(Http, RefusesAnAddressThatIsInUse)
{
    serve([](RequestId, HttpRequest) {});
    EXPECT_FALSE(
        isOk(HttpServer::listen(loop, server->address(), {}, [](RequestId, HttpRequest) {})));
}

TEST_F(Http, TellsARefusedConnectionFromATimeout)
{
    serve([](RequestId, HttpRequest) {});
    const Reply timedOut = call(
        {"GET", url("/"), {}, "", std::chrono::milliseconds(100), std::chrono::milliseconds(50)});
    ASSERT_FALSE(isOk(timedOut));
    EXPECT_EQ(errorOf(timedOut).kind, HttpFailure::TimedOut);
    const Reply refused = call({"GET", "http://127.0.0.1:1/"});
    ASSERT_FALSE(isOk(refused));
    EXPECT_EQ(errorOf(refused).kind, HttpFailure::NotSent);
}

// A raw server that answers the first request on a connection, reads the second one, then closes
// the connection and its listener. libcurl then resends to a refused port.
// With `successor` another server answers 410 at the same port.
class DyingServer
{
public:
    explicit DyingServer(bool successor = false)
        : m_hasSuccessor(successor)
    {
        m_listener = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        EXPECT_EQ(bind(m_listener, reinterpret_cast<sockaddr *>(&address), size), 0);
        EXPECT_EQ(listen(m_listener, 1), 0);
        getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
        port = ntohs(address.sin_port);
        m_thread = std::thread([this] { run(); });
    }

    ~DyingServer() { m_thread.join(); }
    DyingServer(const DyingServer &) = delete;
    DyingServer &operator=(const DyingServer &) = delete;

    std::uint16_t port = 0;

private:
    // Headers and body of a request arrive separately, and only a whole one can have been handled.
    static void readRequest(int fd, std::string_view body)
    {
        std::string text;
        char buf[4096];
        while (!text.ends_with("\r\n\r\n" + std::string(body))) {
            const ssize_t n = recv(fd, buf, sizeof(buf), 0);
            ASSERT_GT(n, 0);
            text.append(buf, static_cast<std::size_t>(n));
        }
    }

    void run() const
    {
        const int fd = accept(m_listener, nullptr, nullptr);
        readRequest(fd, "one");
        const std::string_view reply = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        EXPECT_GT(send(fd, reply.data(), reply.size(), 0), 0);
        readRequest(fd, "two");
        close(fd);
        if (m_hasSuccessor)
            answerGone();
        close(m_listener);
    }

    // Ends without a request after a while.
    void answerGone() const
    {
        pollfd waiting{m_listener, POLLIN, 0};
        if (poll(&waiting, 1, 500) != 1)
            return;
        const int fd = accept(m_listener, nullptr, nullptr);
        char buf[4096];
        // libcurl connects before it finds that it cannot send the body again.
        if (recv(fd, buf, sizeof(buf), 0) <= 0) {
            close(fd);
            return;
        }
        const std::string_view reply = "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n";
        EXPECT_GT(send(fd, reply.data(), reply.size(), 0), 0);
        close(fd);
    }

    bool m_hasSuccessor;
    int m_listener = -1;
    std::thread m_thread;
};

// The request was read by the server, so "could not connect" on the resend proves nothing.
TEST_F(Http, AResendThatIsRefusedIsNotProofOfNonDelivery)
{
    DyingServer dying;
    const std::string target = "http://127.0.0.1:" + std::to_string(dying.port) + "/";
    ASSERT_TRUE(isOk(call({"POST", target, {}, "one"})));
    const Reply second = call({"POST", target, {}, "two"});
    ASSERT_FALSE(isOk(second));
    EXPECT_NE(errorOf(second).kind, HttpFailure::NotSent) << errorOf(second).detail;
}

// A 410 to a resend must not pass as the answer to the request: the server that died may have
// handled the first copy, so the message is not provably undelivered.
TEST_F(Http, AResendIsNotAnsweredByTheSuccessor)
{
    DyingServer dying(true);
    const std::string target = "http://127.0.0.1:" + std::to_string(dying.port) + "/";
    ASSERT_TRUE(isOk(call({"POST", target, {}, "one"})));
    const Reply second = call({"POST", target, {}, "two"});
    ASSERT_FALSE(isOk(second)) << "status " << valueOf(second).status;
    EXPECT_EQ(errorOf(second).kind, HttpFailure::Broken);
}

} // namespace
} // namespace cactuscove
