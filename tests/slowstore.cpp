// Plain sockets on the event loop. Each tick of a timer sends as many bytes as the link carries in
// that time.

#include "slowstore.h"

#include "textencoding.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

constexpr Duration TickInterval = 5ms;
constexpr std::size_t NoLongRead = std::string::npos;

std::string bigEndian(std::uint64_t n, int bytes)
{
    std::string out;
    for (int i = bytes - 1; i >= 0; --i)
        out += static_cast<char>(n >> (8 * i) & 0xff);
    return out;
}

std::size_t parseNumberAfter(std::string_view path, std::string_view name)
{
    const auto at = path.find(name);
    std::size_t n = 0;
    if (at != std::string_view::npos)
        std::from_chars(path.data() + at + name.size(), path.data() + path.size(), n);
    return n;
}

} // namespace

SlowStore::SlowStore(EventLoop &loop, double bitsPerSecond)
    : m_loop(loop)
    , m_bytesPerTick(bitsPerSecond / 8 * std::chrono::duration<double>(TickInterval).count())
    , m_tickTimer(loop, [this] { onTick(); })
{
    m_fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in own{};
    own.sin_family = AF_INET;
    own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof own;
    bind(m_fd, reinterpret_cast<sockaddr *>(&own), size);
    ::listen(m_fd, 16);
    getsockname(m_fd, reinterpret_cast<sockaddr *>(&own), &size);
    m_address = "127.0.0.1:" + std::to_string(ntohs(own.sin_port));
    m_listenWatcher = std::make_unique<IoWatcher>(loop, m_fd, [this](int) { accept(); });
    m_listenWatcher->watch(IoWatcher::Readable);
    m_tickTimer.startIn(TickInterval);
}

SlowStore::~SlowStore()
{
    m_listenWatcher.reset();
    for (auto &[fd, it] : m_connections) {
        it.watcher.reset();
        close(fd);
    }
    close(m_fd);
}

void SlowStore::append(std::string key, std::string value)
{
    m_records.push_back({std::move(key), std::move(value)});
    for (auto &[fd, it] : m_connections)
        if (it.longReadOffset != NoLongRead)
            answerRead(it, it.longReadOffset);
}

void SlowStore::dropHistory()
{
    m_firstOffset = m_records.size();
}

void SlowStore::silenceConnections()
{
    for (auto &[fd, it] : m_connections) {
        it.isSilent = true;
        it.unsent.clear();
        it.longReadOffset = NoLongRead;
    }
}

void SlowStore::accept()
{
    const int fd = accept4(m_fd, nullptr, nullptr, SOCK_NONBLOCK);
    if (fd < 0)
        return;
    Connection &it = m_connections[fd];
    it.watcher = std::make_unique<IoWatcher>(m_loop, fd, [this, fd](int) { onReadable(fd); });
    it.watcher->watch(IoWatcher::Readable);
}

void SlowStore::onReadable(int fd)
{
    Connection &it = m_connections.at(fd);
    std::array<char, 4096> buf;
    const ssize_t n = recv(fd, buf.data(), buf.size(), 0);
    if (n <= 0) {
        it.watcher->watch(IoWatcher::None);
        m_loop.post([this, fd] {
            close(fd);
            m_connections.erase(fd);
        });
        return;
    }
    it.received.append(buf.data(), static_cast<std::size_t>(n));
    const auto end = it.received.find("\r\n\r\n");
    if (end == std::string::npos)
        return;
    const auto path = it.received.find(' ') + 1;
    const std::string target = it.received.substr(path, it.received.find(' ', path) - path);
    it.received.erase(0, end + 4);
    answer(it, target);
}

void SlowStore::answer(Connection &it, std::string_view path)
{
    if (path.starts_with("/-/log-newest"))
        return answerNewest(it);
    const std::size_t from = parseNumberAfter(path, "&from=");
    if (from < m_firstOffset)
        return respond(it, 410, "{}");
    if (from >= m_records.size())
        it.longReadOffset = from;
    else
        answerRead(it, from);
}

void SlowStore::answerRead(Connection &it, std::size_t from)
{
    constexpr std::size_t MaxBytes = 320 << 10; // as in the requests: platform::MaxReadKb
    it.longReadOffset = NoLongRead;
    std::string body = bigEndian(m_records.size(), 8) + bigEndian(m_firstOffset, 8);
    for (std::size_t i = from; i < m_records.size(); ++i) {
        const auto &[key, value] = m_records[i];
        if (i > from && body.size() + value.size() > MaxBytes)
            break;
        body += bigEndian(1 + key.size() + value.size(), 4);
        body += static_cast<char>(key.size());
        body += key + value;
    }
    respond(it, 200, body);
}

void SlowStore::answerNewest(Connection &it)
{
    std::map<std::string, std::size_t> newest;
    for (std::size_t i = 0; i < m_records.size(); ++i)
        if (m_records[i].value.empty()) // the key was deleted
            newest.erase(m_records[i].key);
        else
            newest[m_records[i].key] = i;
    std::string items;
    for (const auto &[key, offset] : newest)
        items += std::string(items.empty() ? "" : ",") + R"({"key":")" + key + R"(","value":")"
                 + toBase64(m_records[offset].value) + R"(","offset":)" + std::to_string(offset)
                 + "}";
    respond(it, 200,
            R"({"items":[)" + items + R"(],"has_more":false,"end_offset":)"
                + std::to_string(m_records.size()) + "}");
}

void SlowStore::respond(Connection &it, int status, std::string_view body)
{
    if (it.isSilent)
        return;
    it.unsent = "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: "
                + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
    it.bytesUntilStall = std::exchange(m_stallAfter, std::string::npos);
}

// All connections share the link. A stalled one uses none of its capacity.
void SlowStore::onTick()
{
    m_tickTimer.startIn(TickInterval);
    auto capacity = static_cast<std::size_t>(m_bytesPerTick);
    for (auto &[fd, it] : m_connections) {
        const std::size_t wanted = std::min({capacity, it.unsent.size(), it.bytesUntilStall});
        const ssize_t n = wanted > 0 ? ::send(fd, it.unsent.data(), wanted, MSG_NOSIGNAL) : 0;
        if (n <= 0)
            continue;
        const auto sent = static_cast<std::size_t>(n);
        it.unsent.erase(0, sent);
        it.bytesUntilStall -= it.bytesUntilStall == std::string::npos ? 0 : sent;
        capacity -= sent;
        m_sentBytes += sent;
    }
}

} // namespace cactuscove
