// HTTP client and server on one event loop, over the loopback address.

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

// Guards against a response that is never sent: its connection is suspended, and epoll reports no
// event for it when it is resumed.
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

// Guards against a long body that fills the server's memory.
TEST_F(Http, RefusesABodyOverTheLimitWithoutCallingTheHandler)
{
    bool called = false;
    serve([&](RequestId, HttpRequest) { called = true; }, {.maxBodyBytes = 10});
    const Reply reply = call({"POST", url("/"), {}, std::string(100000, 'x')});
    ASSERT_TRUE(isOk(reply));
    EXPECT_EQ(valueOf(reply).status, 413);
    EXPECT_FALSE(called);
}

// Guards against two processes that listen on one address, each of which would get a part of the
// requests.
TEST_F(Http, RefusesAnAddressThatIsInUse)
{
    serve([](RequestId, HttpRequest) {});
    EXPECT_FALSE(
        isOk(HttpServer::listen(loop, server->address(), {}, [](RequestId, HttpRequest) {})));
}

// Guards against taking a timeout as proof that nothing was delivered.
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
    EXPECT_TRUE(errorOf(refused).isRefused);
    EXPECT_FALSE(errorOf(timedOut).isRefused);
}

// Server that answers the first request on a connection, reads the second one and then closes the
// connection and the listening socket. libcurl then sends the second request again to a port that
// refuses it. With `hasSuccessor` another server at the same port answers it with 410.
class ClosingServer
{
public:
    explicit ClosingServer(bool hasSuccessor = false)
        : m_hasSuccessor(hasSuccessor)
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

    ~ClosingServer() { m_thread.join(); }
    ClosingServer(const ClosingServer &) = delete;
    ClosingServer &operator=(const ClosingServer &) = delete;

    std::uint16_t port = 0;

private:
    // Reads until the body is complete: headers and body arrive separately, and only a complete
    // request can have been handled.
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

    // Answers one request with 410, or none if none arrives within 500 ms.
    void answerGone() const
    {
        pollfd waiting{m_listener, POLLIN, 0};
        if (poll(&waiting, 1, 500) != 1)
            return;
        const int fd = accept(m_listener, nullptr, nullptr);
        char buf[4096];
        // libcurl may connect before it notices that it cannot send the body again.
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

// Guards against taking "could not connect" on the second attempt as proof that nothing was
// delivered: the server has read the request on the first one.
TEST_F(Http, AResendThatIsRefusedIsNotProofOfNonDelivery)
{
    ClosingServer closing;
    const std::string target = "http://127.0.0.1:" + std::to_string(closing.port) + "/";
    ASSERT_TRUE(isOk(call({"POST", target, {}, "one"})));
    const Reply second = call({"POST", target, {}, "two"});
    ASSERT_FALSE(isOk(second));
    EXPECT_NE(errorOf(second).kind, HttpFailure::NotSent) << errorOf(second).detail;
}

// Guards against returning a 410 to the second copy of a request as its answer: the server that
// closed may have handled the first copy, so it is not proven that nothing was delivered.
TEST_F(Http, AResendIsNotAnsweredByTheSuccessor)
{
    ClosingServer closing(true);
    const std::string target = "http://127.0.0.1:" + std::to_string(closing.port) + "/";
    ASSERT_TRUE(isOk(call({"POST", target, {}, "one"})));
    const Reply second = call({"POST", target, {}, "two"});
    ASSERT_FALSE(isOk(second)) << "status " << valueOf(second).status;
    EXPECT_EQ(errorOf(second).kind, HttpFailure::Broken);
}

} // namespace
} // namespace cactuscove
