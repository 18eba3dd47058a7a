// A TCP proxy for tests that harms the connections through it.
//
//   POST /silence   open connections pass nothing any more and stay open; new ones work (SIGUSR1)
//   POST /cut       open connections are reset (SIGUSR2)
//   POST /deafen    open connections pass nothing from the target to the client any more
//   PUT /delay      {ms}: every byte from now on is passed that much later
//   PUT /refuse     {on}: new connections are refused while on
//   GET /connections  {open, silent, accepted}

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

constexpr std::size_t ChunkBytes = 64 << 10;
constexpr std::size_t MaxBufferedBytes = 1 << 20; // per direction; more is left to TCP

// One accepted connection and the one to the target that belongs to it.
class Relay
{
public:
    // `onEnd` is called once, from inside a callback of the loop.
    Relay(EventLoop &loop, int client, int target, std::function<void()> onEnd)
        : m_loop(loop)
        , m_onEnd(std::move(onEnd))
        , m_timer(loop, [this] { update(); })
    {
        m_ends[0].fd = client;
        m_ends[1].fd = target;
        for (int n = 0; n < 2; ++n) {
            m_ends[n].watcher = std::make_unique<IoWatcher>(
                loop, m_ends[n].fd, [this, n](int events) { onEvents(n, events); });
        }
        update();
    }

    ~Relay()
    {
        for (End &it : m_ends) {
            it.watcher.reset();
            close(it.fd);
        }
    }

    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    void setDelay(Duration delay) { m_delay = delay; }
    bool isSilent() const { return m_isSilent; }

    void silence()
    {
        m_isSilent = true;
        m_timer.stop();
        for (End &it : m_ends)
            it.watcher->watch(IoWatcher::None);
    }

    void deafen()
    {
        m_isDeaf = true;
        update();
    }

    // With this option, close() sends a reset in place of an orderly end.
    void reset()
    {
        const linger option{1, 0};
        for (const End &it : m_ends)
            setsockopt(it.fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    }

private:
    struct Chunk
    {
        TimePoint due;
        std::string data; // empty: the other side has ended its direction
    };
    struct End
    {
        int fd = -1;
        std::unique_ptr<IoWatcher> watcher;
        std::deque<Chunk> outgoing;
        std::size_t outgoingBytes = 0;
        bool hasReadEnd = false;
        bool hasWrittenEnd = false;
    };

    void onEvents(int n, int events)
    {
        if (m_hasEnded)
            return;
        if ((events & IoWatcher::Readable) && !readFrom(m_ends[n], m_ends[1 - n]))
            return end();
        if ((events & IoWatcher::Writable) && !writeTo(m_ends[n]))
            return end();
        if (m_ends[0].hasWrittenEnd && m_ends[1].hasWrittenEnd)
            return end();
        update();
    }

    bool readFrom(End &from, End &to) const
    {
        std::string data(ChunkBytes, '\0');
        const ssize_t n = recv(from.fd, data.data(), data.size(), 0);
        if (n < 0)
            return errno == EAGAIN || errno == EINTR;
        data.resize(static_cast<std::size_t>(n));
        from.hasReadEnd = n == 0;
        to.outgoingBytes += data.size();
        to.outgoing.push_back({m_loop.now() + m_delay, std::move(data)});
        return true;
    }

    bool writeTo(End &to) const
    {
        while (!to.outgoing.empty() && to.outgoing.front().due <= m_loop.now()) {
            std::string &data = to.outgoing.front().data;
            if (data.empty()) {
                shutdown(to.fd, SHUT_WR);
                to.hasWrittenEnd = true;
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

    void update()
    {
        if (m_isSilent || m_hasEnded)
            return;
        TimePoint next = NeverTime;
        for (int n = 0; n < 2; ++n) {
            End &it = m_ends[n];
            const bool mayRead = !it.hasReadEnd && !(m_isDeaf && n == TargetEnd)
                                 && m_ends[1 - n].outgoingBytes < MaxBufferedBytes;
            const bool mayWrite = !it.outgoing.empty() && it.outgoing.front().due <= m_loop.now();
            if (!it.outgoing.empty() && !mayWrite)
                next = std::min(next, it.outgoing.front().due);
            it.watcher->watch((mayRead ? IoWatcher::Readable : IoWatcher::None)
                              | (mayWrite ? IoWatcher::Writable : IoWatcher::None));
        }
        m_timer.startAt(next);
    }

    void end()
    {
        m_hasEnded = true;
        m_timer.stop();
        for (End &it : m_ends)
            it.watcher->watch(IoWatcher::None);
        m_onEnd();
    }

    static constexpr int TargetEnd = 1; // of m_ends; the other is the client's

    EventLoop &m_loop;
    std::function<void()> m_onEnd;
    Timer m_timer; // for delayed data
    End m_ends[2];
    Duration m_delay{};
    bool m_isSilent = false;
    bool m_isDeaf = false; // nothing is read from the target
    bool m_hasEnded = false;
};

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
            relay->reset();
        m_relays.clear();
    }

private:
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
            return {400, "{\"error\":\"unknown command or wrong body\"}\n"};
        }
        return {200, status()};
    }

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
    sockaddr_in m_address{};
    int m_listener = -1;
    std::unique_ptr<IoWatcher> m_watcher;
    std::unique_ptr<HttpServer> m_control;
    std::map<std::uint64_t, std::unique_ptr<Relay>> m_relays;
    std::uint64_t m_accepted = 0;
    Duration m_delay{};
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
    flags.add_options()("help", "show the options");
    flags.add_options()("listen", po::value(&listen)->default_value("127.0.0.1:0"),
                        "ip:port to listen on");
    flags.add_options()("target", po::value(&target)->required(), "ip:port to pass to");
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
        std::cerr << "listen and target must be ip:port\n";
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
