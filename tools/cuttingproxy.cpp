// A TCP proxy for system tests. It passes each connection on to one target, and breaks connections
// on request through its HTTP control interface:
//
//   POST /silence   open connections stay open but pass nothing any more; also on SIGUSR1
//   POST /cut       open connections are reset; also on SIGUSR2
//   POST /deafen    open connections pass nothing from the target to the client any more
//   PUT /delay      {ms}: data that arrives from now on is passed on that much later
//   PUT /refuse     {on}: new connections are refused while `on` is true
//   GET /connections  changes nothing
//
// The first three affect only the connections that are open at the time of the request. Each answer
// is {open, silent, accepted}: the numbers of open connections that pass data, of silent ones, and
// of all connections accepted so far.

#include "address.h"
#include "eventloop.h"
#include "httpserver.h"

#include <json/reader.h>
#include <json/value.h>
#include <json/writer.h>

#include <boost/program_options.hpp>

#include <arpa/inet.h>
#include <csignal>
#include <cstdint>
#include <deque>
#include <iostream>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cactuscove {
namespace {

constexpr std::size_t ChunkBytes = 64 << 10;      // read at once
constexpr std::size_t MaxBufferedBytes = 1 << 20; // per direction; reading stops beyond it

// Passes data between the connection of one client and its connection to the target.
class Relay
{
public:
    // Takes over both sockets. `onEnd` is called once, when both directions are shut down or a
    // socket has failed; the relay must not be destroyed inside this call.
    Relay(EventLoop &loop, int client, int target, std::function<void()> onEnd)
        : m_loop(loop)
        , m_onEnd(std::move(onEnd))
        , m_timer(loop, [this] { update(); })
    {
        m_sides[0].fd = client;
        m_sides[1].fd = target;
        for (int n = 0; n < 2; ++n) {
            m_sides[n].watcher = std::make_unique<IoWatcher>(
                loop, m_sides[n].fd, [this, n](int events) { onEvents(n, events); });
        }
        update();
    }

    ~Relay()
    {
        for (Side &it : m_sides) {
            it.watcher.reset();
            close(it.fd);
        }
    }

    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    void setDelay(Duration delay) { m_delay = delay; }
    bool isSilent() const { return m_isSilent; }

    // Passes nothing any more; the sockets stay open.
    void silence()
    {
        m_isSilent = true;
        m_timer.stop();
        for (Side &it : m_sides)
            it.watcher->watch(IoWatcher::None);
    }

    // Reads nothing from the target any more.
    void deafen()
    {
        m_isDeaf = true;
        update();
    }

    // Makes the destructor reset both connections: with this option, close() sends RST, not FIN.
    void resetOnClose()
    {
        const linger option{1, 0};
        for (const Side &it : m_sides)
            setsockopt(it.fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    }

private:
    // Data to write at `due`.
    struct Chunk
    {
        TimePoint due;
        std::string data; // empty: the other socket was shut down, and this one is to be
    };
    // One of the two sockets.
    struct Side
    {
        int fd = -1;
        std::unique_ptr<IoWatcher> watcher;
        std::deque<Chunk> outgoing; // read from the other socket and not yet written to this one
        std::size_t outgoingBytes = 0;
        bool hasReadEof = false;    // the peer has shut down its direction
        bool hasWrittenEof = false; // this direction is shut down
    };

    void onEvents(int n, int events)
    {
        if (m_hasEnded)
            return;
        if ((events & IoWatcher::Readable) && !readFrom(m_sides[n], m_sides[1 - n]))
            return finish();
        if ((events & IoWatcher::Writable) && !writeTo(m_sides[n]))
            return finish();
        if (m_sides[0].hasWrittenEof && m_sides[1].hasWrittenEof)
            return finish();
        update();
    }

    // Reads what has arrived and queues it at the other socket; false if the connection failed.
    bool readFrom(Side &from, Side &to) const
    {
        std::string data(ChunkBytes, '\0');
        const ssize_t n = recv(from.fd, data.data(), data.size(), 0);
        if (n < 0)
            return errno == EAGAIN || errno == EINTR;
        data.resize(static_cast<std::size_t>(n));
        from.hasReadEof = n == 0;
        to.outgoingBytes += data.size();
        to.outgoing.push_back({m_loop.now() + m_delay, std::move(data)});
        return true;
    }

    // Writes the data that is due; false if the connection failed.
    bool writeTo(Side &to) const
    {
        while (!to.outgoing.empty() && to.outgoing.front().due <= m_loop.now()) {
            std::string &data = to.outgoing.front().data;
            if (data.empty()) {
                shutdown(to.fd, SHUT_WR);
                to.hasWrittenEof = true;
            } else {
                const ssize_t n = ::send(to.fd, data.data(), data.size(), MSG_NOSIGNAL);
                if (n < 0)
                    return errno == EAGAIN || errno == EINTR;
                to.outgoingBytes -= static_cast<std::size_t>(n);
                data.erase(0, static_cast<std::size_t>(n));
                if (!data.empty())
                    return true;
            }
            to.outgoing.pop_front();
        }
        return true;
    }

    // Sets which events of the sockets are watched, and the timer to the next delayed data.
    void update()
    {
        if (m_isSilent || m_hasEnded)
            return;
        TimePoint next = NeverTime;
        for (int n = 0; n < 2; ++n) {
            Side &it = m_sides[n];
            const bool mayRead = !it.hasReadEof && !(m_isDeaf && n == TargetSide)
                                 && m_sides[1 - n].outgoingBytes < MaxBufferedBytes;
            const bool mayWrite = !it.outgoing.empty() && it.outgoing.front().due <= m_loop.now();
            if (!it.outgoing.empty() && !mayWrite)
                next = std::min(next, it.outgoing.front().due);
            it.watcher->watch((mayRead ? IoWatcher::Readable : IoWatcher::None)
                              | (mayWrite ? IoWatcher::Writable : IoWatcher::None));
        }
        m_timer.startAt(next);
    }

    // Stops everything and calls `onEnd`.
    void finish()
    {
        m_hasEnded = true;
        m_timer.stop();
        for (Side &it : m_sides)
            it.watcher->watch(IoWatcher::None);
        m_onEnd();
    }

    static constexpr int TargetSide = 1; // of m_sides; the other is the client's

    EventLoop &m_loop;
    std::function<void()> m_onEnd;
    Timer m_timer;   // fires when delayed data is due
    Side m_sides[2]; // the client's and the target's
    Duration m_delay{};
    bool m_isSilent = false;
    bool m_isDeaf = false; // nothing is read from the target
    bool m_hasEnded = false;
};

// The proxy: a listening socket, the relays of the accepted connections, and the control interface.
class CuttingProxy
{
public:
    CuttingProxy(EventLoop &loop, const sockaddr_in &target)
        : m_loop(loop)
        , m_target(target)
    {}

    ~CuttingProxy() { stopListening(); }

    CuttingProxy(const CuttingProxy &) = delete;
    CuttingProxy &operator=(const CuttingProxy &) = delete;

    // Accepts connections at the address; port 0 chooses a free one. False if it cannot be used.
    bool listen(const sockaddr_in &address)
    {
        m_address = address;
        m_listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        socklen_t size = sizeof m_address;
        if (bind(m_listener, reinterpret_cast<const sockaddr *>(&m_address), size) != 0
            || ::listen(m_listener, SOMAXCONN) != 0
            || getsockname(m_listener, reinterpret_cast<sockaddr *>(&m_address), &size) != 0) {
            stopListening();
            return false;
        }
        m_watcher = std::make_unique<IoWatcher>(m_loop, m_listener, [this](int) { accept(); });
        m_watcher->watch(IoWatcher::Readable);
        return true;
    }

    // Opens the control interface at "ip:port"; prints the error and returns false if it cannot.
    bool listenForControl(const std::string &address)
    {
        auto listened = HttpServer::listen(m_loop, address, {},
                                           [this](RequestId id, const HttpRequest &request) {
                                               m_control->respond(id, handle(request));
                                           });
        if (!isOk(listened)) {
            std::cerr << errorOf(listened).reason << '\n';
            return false;
        }
        m_control = std::move(valueOf(listened));
        return true;
    }

    std::string controlAddress() const { return m_control->address(); }
    std::uint16_t port() const { return ntohs(m_address.sin_port); }

    // The requests /silence, /deafen and /cut, for all open connections.
    void silence()
    {
        for (auto &[id, relay] : m_relays)
            relay->silence();
    }

    void deafen()
    {
        for (auto &[id, relay] : m_relays)
            relay->deafen();
    }

    void cut()
    {
        for (auto &[id, relay] : m_relays)
            relay->resetOnClose();
        m_relays.clear();
    }

private:
    // Accepts one connection and connects to the target for it.
    void accept()
    {
        const int client = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (client < 0)
            return;
        const int target = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        setsockopt(target, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        // A failure to connect shows as an error of the first read or write.
        if (connect(target, reinterpret_cast<const sockaddr *>(&m_target), sizeof m_target) != 0
            && errno != EINPROGRESS) {
            close(client);
            close(target);
            return;
        }
        const std::uint64_t id = ++m_accepted;
        auto relay = std::make_unique<Relay>(m_loop, client, target, [this, id] {
            m_loop.post([this, id] { m_relays.erase(id); });
        });
        relay->setDelay(m_delay);
        m_relays.emplace(id, std::move(relay));
    }

    // Carries out a request of the control interface.
    HttpResponse handle(const HttpRequest &request)
    {
        Json::Value body;
        const bool isJson = Json::Reader().parse(request.body, body) && body.isObject();
        if (request.method == "POST" && request.path == "/silence") {
            silence();
        } else if (request.method == "POST" && request.path == "/cut") {
            cut();
        } else if (request.method == "POST" && request.path == "/deafen") {
            deafen();
        } else if (request.path == "/delay" && isJson && body["ms"].isUInt()) {
            m_delay = std::chrono::milliseconds(body["ms"].asUInt());
            for (auto &[id, relay] : m_relays)
                relay->setDelay(m_delay);
        } else if (request.path == "/refuse" && isJson && body["on"].isBool()) {
            if (body["on"].asBool())
                stopListening();
            else if (m_listener < 0 && !listen(m_address))
                return {500, "{\"error\":\"cannot listen again\"}\n"};
        } else if (request.path != "/connections") {
            return {400, "{\"error\":\"unknown request or malformed body\"}\n"};
        }
        return {200, status()};
    }

    // The body of every successful answer, as JSON.
    std::string status() const
    {
        Json::Value status;
        const auto silent = std::count_if(m_relays.begin(), m_relays.end(),
                                          [](const auto &it) { return it.second->isSilent(); });
        status["open"] = Json::UInt64(m_relays.size()) - Json::UInt64(silent);
        status["silent"] = Json::UInt64(silent);
        status["accepted"] = Json::UInt64(m_accepted);
        return Json::FastWriter().write(status);
    }

    void stopListening()
    {
        m_watcher.reset();
        if (m_listener >= 0)
            close(m_listener);
        m_listener = -1;
    }

    EventLoop &m_loop;
    sockaddr_in m_target;
    sockaddr_in m_address{}; // that it listens on, with the port in use
    int m_listener = -1;     // socket; -1 while connections are refused
    std::unique_ptr<IoWatcher> m_watcher;
    std::unique_ptr<HttpServer> m_control;
    std::map<std::uint64_t, std::unique_ptr<Relay>> m_relays; // by number of the connection
    std::uint64_t m_accepted = 0;                             // connections so far
    Duration m_delay{}; // of all data, also of new connections
};

} // namespace
} // namespace cactuscove

int main(int argc, char **argv)
{
    using namespace cactuscove;
    namespace po = boost::program_options;
    std::string listen;
    std::string target;
    std::string control;
    po::options_description flags("cuttingproxy");
    flags.add_options()("help", "print this text");
    flags.add_options()("listen", po::value(&listen)->default_value("127.0.0.1:0"),
                        "ip:port to listen on");
    flags.add_options()("target", po::value(&target)->required(), "ip:port to connect to");
    flags.add_options()("control", po::value(&control)->default_value("127.0.0.1:0"),
                        "ip:port of the control interface");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, flags), values);
        if (values.count("help")) {
            std::cout << flags;
            return 0;
        }
        po::notify(values);
    } catch (const po::error &ex) {
        std::cerr << ex.what() << '\n';
        return 2;
    }
    sockaddr_in listenAddress{};
    sockaddr_in targetAddress{};
    if (!toSockaddr(listen, listenAddress) || !toSockaddr(target, targetAddress)) {
        std::cerr << "listen and target must be ip:port with an IPv4 address\n";
        return 2;
    }
    EventLoop loop;
    CuttingProxy proxy(loop, targetAddress);
    if (!proxy.listen(listenAddress) || !proxy.listenForControl(control)) {
        std::cerr << "cannot listen\n";
        return 1;
    }
    std::cout << "listening on port " << proxy.port() << " control " << proxy.controlAddress()
              << std::endl;
    loop.onSignal(SIGUSR1, [&] { proxy.silence(); });
    loop.onSignal(SIGUSR2, [&] { proxy.cut(); });
    for (const int signal : {SIGTERM, SIGINT})
        loop.onSignal(signal, [&] { loop.stop(); });
    loop.run();
    return 0;
}
