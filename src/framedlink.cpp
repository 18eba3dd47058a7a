// Non-blocking sockets on the event loop.

#include "framedlink.h"

#include "address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

namespace cactuscove {

namespace {

// The kernel closes a connection whose peer does not acknowledge sent bytes for this long. Much
// longer than the interval of heartbeats, so that only a broken connection is closed.
constexpr unsigned UserTimeoutMs = 1500;
// A connection with more unsent bytes than this is closed. Otherwise a peer that does not read
// would make this process run out of memory.
constexpr std::size_t MaxUnsentBytes = 4 << 20;
constexpr std::size_t ReadBufferBytes = 64 << 10;
constexpr int ListenBacklog = 256; // connections that the kernel keeps until they are accepted

void setSocketOptions(int fd)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &UserTimeoutMs, sizeof UserTimeoutMs);
}

} // namespace

class FramedLink::Impl
{
public:
    Impl(EventLoop &loop, int fd, bool isOpen, Handlers handlers)
        : m_loop(loop)
        , m_fd(fd)
        , m_isOpen(isOpen)
        , m_handlers(std::move(handlers))
        , m_watcher(loop, fd, [this](int events) { onEvents(events); })
    {
        setSocketOptions(fd);
        updateWatch();
    }

    ~Impl()
    {
        *m_alive = false;
        m_watcher.watch(IoWatcher::None);
        close(m_fd);
    }

    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    void send(PeerMessage message)
    {
        if (m_queuedMessages.empty())
            m_loop.post([this, alive = m_alive] {
                if (*alive)
                    flush();
            });
        m_queuedMessages.push_back(std::move(message));
    }

    void flush()
    {
        if (!m_queuedMessages.empty()) {
            m_unsent += encodeFrame(m_queuedMessages);
            m_queuedMessages.clear();
            m_sentAt = m_loop.now();
        }
        write();
    }

    bool isOpen() const { return m_isOpen && !m_hasFailed; }
    TimePoint sentAt() const { return m_sentAt; }

private:
    void updateWatch()
    {
        const bool wantsWrite = !m_isOpen || !m_unsent.empty();
        const int events = IoWatcher::Readable | (wantsWrite ? IoWatcher::Writable : 0);
        if (std::exchange(m_watchedEvents, events) != events)
            m_watcher.watch(events);
    }

    void onEvents(int events)
    {
        if (!m_isOpen && !finishConnect())
            return;
        if (events & IoWatcher::Writable)
            write();
        if ((events & IoWatcher::Readable) && !m_hasFailed)
            read();
    }

    // Returns false if the connection could not be established or onOpen destroyed the link.
    bool finishConnect()
    {
        int error = 0;
        socklen_t size = sizeof error;
        getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) {
            fail(std::strerror(error));
            return false;
        }
        m_isOpen = true;
        const auto alive = m_alive;
        if (m_handlers.onOpen)
            m_handlers.onOpen();
        if (!*alive)
            return false;
        updateWatch();
        return true;
    }

    void write()
    {
        if (!m_isOpen || m_hasFailed)
            return;
        while (!m_unsent.empty()) {
            const ssize_t n = ::send(m_fd, m_unsent.data(), m_unsent.size(), MSG_NOSIGNAL);
            if (n < 0 && errno == EINTR)
                continue;
            if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
                break;
            if (n < 0)
                return fail(std::strerror(errno));
            m_unsent.erase(0, static_cast<std::size_t>(n));
        }
        if (m_unsent.size() > MaxUnsentBytes)
            return fail("peer does not read");
        updateWatch();
    }

    void read()
    {
        std::array<char, ReadBufferBytes> buf;
        const auto alive = m_alive;
        while (true) {
            const ssize_t n = recv(m_fd, buf.data(), buf.size(), 0);
            if (n < 0 && errno == EINTR)
                continue;
            if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
                return;
            if (n <= 0)
                return fail(n == 0 ? "closed by peer" : std::strerror(errno));
            m_received.append(buf.data(), static_cast<std::size_t>(n));
            if (!handleFrames() || !*alive)
                return;
            if (static_cast<std::size_t>(n) < buf.size())
                return;
        }
    }

    // Passes all complete frames in m_received to the handler. Returns false if the link has failed
    // or was destroyed by the handler.
    bool handleFrames()
    {
        const auto alive = m_alive;
        std::size_t at = 0;
        while (true) {
            const std::string_view rest = std::string_view(m_received).substr(at);
            const auto size = frameSize(rest);
            if (!isOk(size)) {
                fail(errorOf(size).reason);
                return false;
            }
            if (valueOf(size) == 0 || rest.size() < valueOf(size))
                break;
            auto messages = decodeFrame(rest.substr(0, valueOf(size)));
            at += valueOf(size);
            if (!isOk(messages)) {
                fail(errorOf(messages).reason);
                return false;
            }
            m_handlers.onMessages(std::move(valueOf(messages)));
            if (!*alive)
                return false;
        }
        m_received.erase(0, at);
        return true;
    }

    void fail(std::string_view reason)
    {
        if (std::exchange(m_hasFailed, true))
            return;
        m_watcher.watch(IoWatcher::None);
        // Posted, because the owner may be calling send() or flush().
        m_loop.post([this, alive = m_alive, text = std::string(reason)] {
            if (!*alive)
                return;
            const auto onClosed = m_handlers.onClosed; // a copy, as it may destroy the link
            onClosed(text);
        });
    }

    EventLoop &m_loop;
    int m_fd;
    bool m_isOpen;
    bool m_hasFailed = false;
    Handlers m_handlers;
    IoWatcher m_watcher;
    int m_watchedEvents = IoWatcher::None;     // events that m_watcher watches
    std::vector<PeerMessage> m_queuedMessages; // not yet encoded
    std::string m_unsent;                      // encoded frames that the socket has not taken
    std::string m_received;                    // begins with a frame that is not complete
    TimePoint m_sentAt{};
    // Shared with posted tasks and running handlers; false once this object is destroyed.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

FramedLink::FramedLink(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{}

FramedLink::~FramedLink() = default;

Result<std::unique_ptr<FramedLink>, LinkError>
FramedLink::dial(EventLoop &loop, std::string_view address, Handlers handlers)
{
    sockaddr_in target{};
    if (!toSockaddr(address, target))
        return LinkError{"not an IPv4 address with a port: " + std::string(address)};
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return LinkError{std::strerror(errno)};
    if (connect(fd, reinterpret_cast<sockaddr *>(&target), sizeof target) != 0
        && errno != EINPROGRESS) {
        const std::string reason = std::strerror(errno);
        close(fd);
        return LinkError{reason};
    }
    return std::unique_ptr<FramedLink>(
        new FramedLink(std::make_unique<Impl>(loop, fd, false, std::move(handlers))));
}

std::unique_ptr<FramedLink> FramedLink::adopt(EventLoop &loop, int fd, Handlers handlers)
{
    return std::unique_ptr<FramedLink>(
        new FramedLink(std::make_unique<Impl>(loop, fd, true, std::move(handlers))));
}

void FramedLink::send(PeerMessage message)
{
    m_impl->send(std::move(message));
}

void FramedLink::flush()
{
    m_impl->flush();
}

bool FramedLink::isOpen() const
{
    return m_impl->isOpen();
}

TimePoint FramedLink::sentAt() const
{
    return m_impl->sentAt();
}

class FramedListener::Impl
{
public:
    Impl(EventLoop &loop, int fd, std::string address, std::function<void(int)> onAccepted)
        : m_fd(fd)
        , m_address(std::move(address))
        , m_onAccepted(std::move(onAccepted))
        , m_watcher(loop, fd, [this](int) { acceptAll(); })
    {
        m_watcher.watch(IoWatcher::Readable);
    }

    ~Impl()
    {
        m_watcher.watch(IoWatcher::None);
        close(m_fd);
    }

    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    const std::string &address() const { return m_address; }

private:
    void acceptAll()
    {
        while (true) {
            const int fd = accept4(m_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (fd < 0)
                return; // EAGAIN, or a connection that ended before it was accepted
            m_onAccepted(fd);
        }
    }

    int m_fd;
    std::string m_address;
    std::function<void(int)> m_onAccepted;
    IoWatcher m_watcher;
};

FramedListener::FramedListener(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{}

FramedListener::~FramedListener() = default;

Result<std::unique_ptr<FramedListener>, LinkError>
FramedListener::listen(EventLoop &loop, std::string_view address,
                       std::function<void(int fd)> onAccepted)
{
    sockaddr_in own{};
    if (!toSockaddr(address, own))
        return LinkError{"not an IPv4 address with a port: " + std::string(address)};
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return LinkError{std::strerror(errno)};
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    socklen_t size = sizeof own;
    if (bind(fd, reinterpret_cast<sockaddr *>(&own), sizeof own) != 0
        || ::listen(fd, ListenBacklog) != 0
        || getsockname(fd, reinterpret_cast<sockaddr *>(&own), &size) != 0) {
        const std::string reason = std::strerror(errno);
        close(fd);
        return LinkError{"cannot listen on " + std::string(address) + ": " + reason};
    }
    std::array<char, INET_ADDRSTRLEN> ip{};
    inet_ntop(AF_INET, &own.sin_addr, ip.data(), ip.size());
    const std::string bound = std::string(ip.data()) + ':' + std::to_string(ntohs(own.sin_port));
    return std::unique_ptr<FramedListener>(
        new FramedListener(std::make_unique<Impl>(loop, fd, bound, std::move(onAccepted))));
}

std::string FramedListener::address() const
{
    return m_impl->address();
}

} // namespace cactuscove
