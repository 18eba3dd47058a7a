// libmicrohttpd without threads of its own: the event loop watches its epoll descriptor and runs
// it.

#include "httpserver.h"

#include "address.h"

#include <microhttpd.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <charconv>
#include <optional>
#include <unordered_map>

namespace cactuscove {

namespace {

// Most clients read the response only after they have sent the whole body. So a body over the limit
// is read and discarded before the response 413. A body that is announced to be longer than this
// many times the limit is not read.
constexpr std::size_t MaxDiscardFactor = 8;

} // namespace

class HttpServer::Impl
{
public:
    Impl(EventLoop &loop, HttpServerLimits limits, Handler handler, ClosedHandler onClosed)
        : m_loop(loop)
        , m_limits(limits)
        , m_handler(std::move(handler))
        , m_onClosed(std::move(onClosed))
        , m_timer(loop, [this] { runDaemon(); })
    {}

    ~Impl()
    {
        m_isStopping = true;
        // libmicrohttpd must not be stopped while connections are suspended.
        for (auto &[id, exchange] : m_exchanges)
            if (exchange->isSuspended)
                MHD_resume_connection(exchange->connection);
        m_watcher.reset();
        if (m_daemon)
            MHD_stop_daemon(m_daemon);
    }

    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    std::optional<HttpServerError> start(std::string_view address);
    void respond(RequestId id, HttpResponse response);
    void closeWithoutResponse(RequestId id);
    void stopAccepting();

    std::string ip;
    std::uint16_t port = 0; // in use
    std::size_t openRequests() const { return m_exchanges.size(); }

private:
    // One request, from its headers to the last byte of its response.
    struct Exchange
    {
        RequestId id;
        MHD_Connection *connection = nullptr;
        HttpRequest request;
        std::optional<HttpResponse> response;
        bool isDispatched = false;            // passed to the handler
        bool isSuspended = false;             // its connection waits for an answer
        bool isBodyTooLarge = false;          // the body is over the limit: answered with 413
        bool isBodyUnread = false;            // the body is not read before the 413
        bool isClosedWithoutResponse = false; // to be closed without a response
        // Notices that the client closes the connection. Exists while the request is suspended, if
        // the limits ask for it.
        std::unique_ptr<IoWatcher> closeWatcher;
    };

    static MHD_Result onAccess(void *self, MHD_Connection *connection, const char *url,
                               const char *method, const char *version, const char *data,
                               std::size_t *dataSize, void **state);
    static void onCompleted(void *self, MHD_Connection *connection, void **state,
                            MHD_RequestTerminationCode code);
    static void onConnection(void *self, MHD_Connection *connection, void **requests,
                             MHD_ConnectionNotificationCode code);

    Exchange *beginExchange(MHD_Connection *connection, const char *url, const char *method);
    MHD_Result onBody(Exchange &exchange, const char *data, std::size_t *dataSize);
    MHD_Result handleCompleteRequest(Exchange &exchange);
    void runDaemon();
    void scheduleRun();
    void resume(Exchange &exchange);
    void watchForClose(Exchange &exchange);

    EventLoop &m_loop;
    HttpServerLimits m_limits;
    Handler m_handler;
    ClosedHandler m_onClosed;
    MHD_Daemon *m_daemon = nullptr;
    std::unique_ptr<IoWatcher> m_watcher;
    Timer m_timer;
    std::unordered_map<RequestId, std::unique_ptr<Exchange>> m_exchanges;
    std::uint64_t m_lastId = 0;
    bool m_isInMhdRun = false;  // inside MHD_run()
    bool m_isRunPosted = false; // runDaemon() is posted
    bool m_isStopping = false;  // inside the destructor
};

namespace {

std::string lowerCase(std::string_view text)
{
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

int descriptorOf(MHD_Connection *connection)
{
    return MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
}

bool hasClientClosed(MHD_Connection *connection)
{
    char byte = 0;
    const ssize_t n = recv(descriptorOf(connection), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

MHD_Result collectHeader(void *map, MHD_ValueKind, const char *key, const char *value)
{
    auto &headers = *static_cast<std::map<std::string, std::string> *>(map);
    headers[lowerCase(key)] = value ? value : "";
    return MHD_YES;
}

MHD_Result collectQuery(void *map, MHD_ValueKind, const char *key, const char *value)
{
    auto &query = *static_cast<std::map<std::string, std::string> *>(map);
    query[key] = value ? value : "";
    return MHD_YES;
}

} // namespace

std::optional<HttpServerError> HttpServer::Impl::start(std::string_view address)
{
    sockaddr_in bindAddress{};
    bindAddress.sin_family = AF_INET;
    if (!splitAddress(address, ip, port)
        || inet_pton(AF_INET, ip.c_str(), &bindAddress.sin_addr) != 1)
        return HttpServerError{"not an IPv4 address with a port: " + std::string(address)};
    bindAddress.sin_port = htons(port);

    m_daemon = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, port, nullptr, nullptr, &Impl::onAccess, this,
        MHD_OPTION_SOCK_ADDR, reinterpret_cast<sockaddr *>(&bindAddress),
        MHD_OPTION_CONNECTION_LIMIT, m_limits.maxConnections, MHD_OPTION_CONNECTION_TIMEOUT,
        static_cast<unsigned>(m_limits.idleTimeout.count()), MHD_OPTION_NOTIFY_COMPLETED,
        &Impl::onCompleted, this, MHD_OPTION_NOTIFY_CONNECTION, &Impl::onConnection, this,
        MHD_OPTION_END);
    if (!m_daemon)
        return HttpServerError{"cannot listen on " + std::string(address)};

    port = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    const int fd = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    m_watcher = std::make_unique<IoWatcher>(m_loop, fd, [this](int) { runDaemon(); });
    m_watcher->watch(IoWatcher::Readable);
    return std::nullopt;
}

void HttpServer::Impl::runDaemon()
{
    if (m_isInMhdRun)
        return;
    m_isInMhdRun = true;
    MHD_run(m_daemon);
    m_isInMhdRun = false;

    MHD_UNSIGNED_LONG_LONG milliseconds = 0;
    if (MHD_get_timeout(m_daemon, &milliseconds) == MHD_YES)
        m_timer.startIn(std::chrono::milliseconds(milliseconds));
    else
        m_timer.stop();
}

// epoll does not report resumed connections, so libmicrohttpd is run in the next iteration.
void HttpServer::Impl::scheduleRun()
{
    if (m_isRunPosted)
        return;
    m_isRunPosted = true;
    m_loop.post([this] {
        m_isRunPosted = false;
        runDaemon();
    });
}

HttpServer::Impl::Exchange *HttpServer::Impl::beginExchange(MHD_Connection *connection,
                                                            const char *url, const char *method)
{
    auto exchange = std::make_unique<Exchange>();
    exchange->id = RequestId{++m_lastId};
    exchange->connection = connection;
    exchange->request.method = method;
    exchange->request.path = url;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &collectHeader,
                              &exchange->request.headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &collectQuery,
                              &exchange->request.query);
    auto *requests = static_cast<std::size_t *>(
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)->socket_context);
    exchange->request.isFirstOnConnection = (*requests)++ == 0;
    const auto length = exchange->request.headers.find("content-length");
    if (length != exchange->request.headers.end()) {
        std::size_t bytes = 0;
        const std::string &text = length->second;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), bytes);
        exchange->isBodyTooLarge = ec != std::errc() || bytes > m_limits.maxBodyBytes;
        exchange->isBodyUnread
            = ec != std::errc() || bytes / MaxDiscardFactor > m_limits.maxBodyBytes;
    }
    return m_exchanges.emplace(exchange->id, std::move(exchange)).first->second.get();
}

MHD_Result HttpServer::Impl::onAccess(void *self, MHD_Connection *connection, const char *url,
                                      const char *method, const char *, const char *data,
                                      std::size_t *dataSize, void **state)
{
    auto &impl = *static_cast<Impl *>(self);
    if (!*state) {
        Exchange *begun = impl.beginExchange(connection, url, method);
        *state = begun;
        return begun->isBodyUnread ? impl.handleCompleteRequest(*begun) : MHD_YES;
    }
    auto &exchange = *static_cast<Exchange *>(*state);
    if (*dataSize > 0)
        return impl.onBody(exchange, data, dataSize);
    return impl.handleCompleteRequest(exchange);
}

MHD_Result HttpServer::Impl::onBody(Exchange &exchange, const char *data, std::size_t *dataSize)
{
    if (exchange.request.body.size() + *dataSize > m_limits.maxBodyBytes) {
        exchange.isBodyTooLarge = true;
        exchange.request.body.clear();
    }
    if (!exchange.isBodyTooLarge)
        exchange.request.body.append(data, *dataSize);
    *dataSize = 0;
    return MHD_YES;
}

MHD_Result HttpServer::Impl::handleCompleteRequest(Exchange &exchange)
{
    if (m_isStopping)
        return MHD_NO;
    if (exchange.isBodyTooLarge && !exchange.response) {
        exchange.response = HttpResponse{413, R"({"error":"body_too_large","limit":)"
                                                  + std::to_string(m_limits.maxBodyBytes) + "}\n"};
        exchange.response->headers["Connection"] = "close";
    } else if (!exchange.isDispatched) {
        // If the process was suspended, it may now read a request whose client has long closed the
        // connection and sent the request to another server.
        if (m_limits.detectClientClose && hasClientClosed(exchange.connection))
            return MHD_NO;
        exchange.isDispatched = true;
        m_handler(exchange.id, std::move(exchange.request));
    }
    if (exchange.isClosedWithoutResponse)
        return MHD_NO;
    if (!exchange.response) {
        exchange.isSuspended = true;
        MHD_suspend_connection(exchange.connection);
        if (m_limits.detectClientClose)
            watchForClose(exchange);
        return MHD_YES;
    }

    const HttpResponse &response = *exchange.response;
    MHD_Response *raw = MHD_create_response_from_buffer(
        response.body.size(), const_cast<char *>(response.body.data()), MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(raw, MHD_HTTP_HEADER_CONTENT_TYPE, response.contentType.c_str());
    for (const auto &[name, value] : response.headers)
        MHD_add_response_header(raw, name.c_str(), value.c_str());
    const MHD_Result result
        = MHD_queue_response(exchange.connection, static_cast<unsigned>(response.status), raw);
    MHD_destroy_response(raw);
    return result;
}

void HttpServer::Impl::onCompleted(void *self, MHD_Connection *, void **state,
                                   MHD_RequestTerminationCode)
{
    if (!*state)
        return;
    auto &impl = *static_cast<Impl *>(self);
    const RequestId id = static_cast<Exchange *>(*state)->id;
    const bool isDispatched = static_cast<Exchange *>(*state)->isDispatched;
    *state = nullptr;
    impl.m_exchanges.erase(id);
    if (isDispatched && impl.m_onClosed && !impl.m_isStopping)
        impl.m_onClosed(id);
}

// Counts the requests of each connection in its socket context.
void HttpServer::Impl::onConnection(void *, MHD_Connection *, void **requests,
                                    MHD_ConnectionNotificationCode code)
{
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        *requests = new std::size_t(0);
    } else {
        delete static_cast<std::size_t *>(*requests);
        *requests = nullptr;
    }
}

void HttpServer::Impl::respond(RequestId id, HttpResponse response)
{
    const auto it = m_exchanges.find(id);
    if (it == m_exchanges.end() || it->second->response)
        return;
    Exchange &exchange = *it->second;
    exchange.response = std::move(response);
    resume(exchange);
}

void HttpServer::Impl::closeWithoutResponse(RequestId id)
{
    const auto it = m_exchanges.find(id);
    if (it == m_exchanges.end() || it->second->response)
        return;
    it->second->isClosedWithoutResponse = true;
    resume(*it->second);
}

void HttpServer::Impl::resume(Exchange &exchange)
{
    if (!exchange.isSuspended)
        return; // called by the handler: handleCompleteRequest() sends the response
    exchange.isSuspended = false;
    exchange.closeWatcher.reset();
    MHD_resume_connection(exchange.connection);
    scheduleRun();
}

// libmicrohttpd does not watch a suspended connection, so it is watched here. Data that arrives,
// such as a pipelined request, ends that: the socket stays readable, and a later close cannot be
// told from the data.
void HttpServer::Impl::watchForClose(Exchange &exchange)
{
    exchange.closeWatcher = std::make_unique<IoWatcher>(
        m_loop, descriptorOf(exchange.connection), [this, &exchange](int) {
            if (hasClientClosed(exchange.connection))
                closeWithoutResponse(exchange.id);
            else
                exchange.closeWatcher->watch(IoWatcher::None);
        });
    exchange.closeWatcher->watch(IoWatcher::Readable);
}

void HttpServer::Impl::stopAccepting()
{
    const MHD_socket fd = MHD_quiesce_daemon(m_daemon);
    if (fd != MHD_INVALID_SOCKET)
        close(fd);
}

HttpServer::HttpServer(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{}

HttpServer::~HttpServer() = default;

Result<std::unique_ptr<HttpServer>, HttpServerError>
HttpServer::listen(EventLoop &loop, std::string_view address, HttpServerLimits limits,
                   Handler handler, ClosedHandler onClosed)
{
    auto impl = std::make_unique<Impl>(loop, limits, std::move(handler), std::move(onClosed));
    if (auto error = impl->start(address))
        return *std::move(error);
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

void HttpServer::respond(RequestId id, HttpResponse response)
{
    m_impl->respond(id, std::move(response));
}

void HttpServer::closeWithoutResponse(RequestId id)
{
    m_impl->closeWithoutResponse(id);
}

void HttpServer::stopAccepting()
{
    m_impl->stopAccepting();
}

std::string HttpServer::address() const
{
    return m_impl->ip + ':' + std::to_string(m_impl->port);
}

std::size_t HttpServer::openRequests() const
{
    return m_impl->openRequests();
}

} // namespace cactuscove
