// Each call is a libcurl easy handle in a pool of connections (connectionpool.h).

#include "httpclient.h"

#include "connectionpool.h"

#include <curl/curl.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cactuscove {

namespace {

// How often connections that are no longer used are looked for while their last calls go on.
constexpr Duration RetiredPoolCheckInterval = std::chrono::seconds(1);

// One call from start() until its callback.
struct Transfer
{
    HttpCallId id;
    HttpCall call;
    HttpClient::Callback callback;
    HttpReply reply;
    std::size_t bodyRead = 0;          // bytes of call.body that libcurl has taken
    bool hasProgressed = false;        // part of the reply arrived since stallTimer was started
    std::unique_ptr<Timer> stallTimer; // none without a stall timeout
    std::shared_ptr<ConnectionPool> pool;
    CURL *easy = nullptr;
    curl_slist *headers = nullptr;

    Transfer() = default;
    Transfer(const Transfer &) = delete;
    Transfer &operator=(const Transfer &) = delete;
    ~Transfer()
    {
        curl_easy_cleanup(easy);
        curl_slist_free_all(headers);
    }
};

// libcurl reads the body through this function and cannot rewind it. So it cannot send the body
// again on another connection if a reused one closes before the first byte of the reply: the call
// ends as Broken.
std::size_t readRequestBody(char *buf, std::size_t size, std::size_t n, void *transfer)
{
    auto &it = *static_cast<Transfer *>(transfer);
    const std::size_t count = std::min(size * n, it.call.body.size() - it.bodyRead);
    std::copy_n(it.call.body.data() + it.bodyRead, count, buf);
    it.bodyRead += count;
    return count;
}

std::size_t appendReplyBody(char *data, std::size_t size, std::size_t n, void *transfer)
{
    auto &it = *static_cast<Transfer *>(transfer);
    if (it.reply.body.size() + size * n > it.call.maxReplyBytes)
        return 0; // too long: libcurl closes the connection and the call ends as Broken
    it.hasProgressed = true;
    it.reply.body.append(data, size * n);
    return size * n;
}

std::size_t addReplyHeader(char *data, std::size_t size, std::size_t n, void *transfer)
{
    const std::string_view line(data, size * n);
    const auto colon = line.find(':');
    if (colon == std::string_view::npos)
        return size * n;
    std::string name(line.substr(0, colon));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    std::string_view value = line.substr(colon + 1);
    while (!value.empty() && std::isspace(static_cast<unsigned char>(value.front())))
        value.remove_prefix(1);
    while (!value.empty() && std::isspace(static_cast<unsigned char>(value.back())))
        value.remove_suffix(1);
    auto &it = *static_cast<Transfer *>(transfer);
    it.hasProgressed = true;
    it.reply.headers[std::move(name)] = value;
    return size * n;
}

long milliseconds(Duration duration)
{
    return std::max<long>(1,
                          std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

HttpCallError toCallError(CURL *easy, CURLcode code)
{
    // libcurl may send a request again on a second connection, which can end with "could not
    // connect" although the first connection delivered the request. So only the number of sent
    // bytes proves that nothing was delivered.
    long sent = 0;
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent);
    HttpFailure kind = HttpFailure::Broken;
    if (sent == 0)
        kind = HttpFailure::NotSent;
    else if (code == CURLE_OPERATION_TIMEDOUT)
        kind = HttpFailure::TimedOut;
    long opened = 0;
    curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &opened);
    long connectError = 0;
    curl_easy_getinfo(easy, CURLINFO_OS_ERRNO, &connectError);
    return {kind, curl_easy_strerror(code), sent > 0 && opened == 0,
            kind == HttpFailure::NotSent && connectError == ECONNREFUSED};
}

// Returns the "ip:port" of a URL "http://ip:port/path".
std::string_view hostOf(std::string_view url)
{
    url.remove_prefix(std::min(url.size(), std::string_view("http://").size()));
    return url.substr(0, url.find('/'));
}

} // namespace

class HttpClient::Impl
{
public:
    explicit Impl(EventLoop &loop)
        : m_loop(loop)
        , m_sharedPool(makePool())
        , m_closeTimer(loop, [this] { closeUnusedPools(); })
    {}

    ~Impl()
    {
        for (auto &[id, transfer] : m_transfers)
            transfer->pool->remove(transfer->easy);
    }

    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    HttpCallId start(HttpCall call, Callback callback);
    void cancel(HttpCallId id);
    std::size_t openCalls() const { return m_transfers.size(); }

private:
    std::shared_ptr<ConnectionPool> makePool();
    std::shared_ptr<ConnectionPool> poolFor(const HttpCall &call);
    void onCallEnded(CURL *easy, CURLcode code);
    void fail(Transfer &transfer, HttpCallError error);
    void retirePool(const Transfer &transfer);
    void closeUnusedPools();
    void checkStall(HttpCallId id);

    EventLoop &m_loop;
    std::shared_ptr<ConnectionPool> m_sharedPool; // of calls without distrustsSilentHost
    // By host, for the calls with distrustsSilentHost. Each pool has the connections that were
    // opened since a call to the host ended without an answer.
    std::unordered_map<std::string, std::shared_ptr<ConnectionPool>> m_hostPools;
    std::vector<std::shared_ptr<ConnectionPool>> m_retiredPools; // until their calls have ended
    Timer m_closeTimer;
    // Declared after the pools: the calls are destroyed first.
    std::unordered_map<HttpCallId, std::unique_ptr<Transfer>> m_transfers;
    std::uint64_t m_lastId = 0;
};

std::shared_ptr<ConnectionPool> HttpClient::Impl::makePool()
{
    return std::make_shared<ConnectionPool>(
        m_loop, [this](CURL *easy, CURLcode code) { onCallEnded(easy, code); });
}

std::shared_ptr<ConnectionPool> HttpClient::Impl::poolFor(const HttpCall &call)
{
    if (!call.distrustsSilentHost)
        return m_sharedPool;
    auto &pool = m_hostPools[std::string(hostOf(call.url))];
    if (!pool)
        pool = makePool();
    return pool;
}

void HttpClient::Impl::onCallEnded(CURL *easy, CURLcode code)
{
    Transfer *raw = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &raw);
    const auto node = m_transfers.extract(raw->id);
    Transfer &transfer = *node.mapped();
    if (code != CURLE_OK)
        return fail(transfer, toCallError(easy, code));
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    transfer.reply.status = static_cast<int>(status);
    transfer.callback(std::move(transfer.reply));
}

void HttpClient::Impl::fail(Transfer &transfer, HttpCallError error)
{
    if (error.kind == HttpFailure::TimedOut)
        retirePool(transfer);
    transfer.callback(std::move(error));
}

// The host has not answered, so its other connections may be dead as well, which only a call on
// each of them would tell. A pool that was made since is not affected.
void HttpClient::Impl::retirePool(const Transfer &transfer)
{
    const auto it = m_hostPools.find(std::string(hostOf(transfer.call.url)));
    if (it == m_hostPools.end() || it->second != transfer.pool)
        return;
    m_retiredPools.push_back(std::move(it->second));
    m_hostPools.erase(it);
    m_closeTimer.startIn({});
}

// Called by a timer, because a pool must not be destroyed while it reports the end of a call.
void HttpClient::Impl::closeUnusedPools()
{
    std::erase_if(m_retiredPools, [](const auto &pool) { return pool.use_count() == 1; });
    if (!m_retiredPools.empty())
        m_closeTimer.startIn(RetiredPoolCheckInterval);
}

// Runs once per stall timeout, so a stall is noticed after one to two stall timeouts.
void HttpClient::Impl::checkStall(HttpCallId id)
{
    const auto it = m_transfers.find(id);
    if (it == m_transfers.end())
        return;
    Transfer &transfer = *it->second;
    if (std::exchange(transfer.hasProgressed, false)) {
        transfer.stallTimer->startIn(transfer.call.stallTimeout);
        return;
    }
    HttpCallError error = toCallError(transfer.easy, CURLE_OPERATION_TIMEDOUT);
    error.detail = "reply stalled";
    const auto node = m_transfers.extract(it);
    transfer.pool->remove(transfer.easy);
    fail(transfer, std::move(error));
}

HttpCallId HttpClient::Impl::start(HttpCall call, Callback callback)
{
    auto transfer = std::make_unique<Transfer>();
    transfer->id = HttpCallId{++m_lastId};
    transfer->call = std::move(call);
    transfer->callback = std::move(callback);
    const HttpCall &it = transfer->call;

    CURL *easy = transfer->easy = curl_easy_init();
    curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer.get());
    curl_easy_setopt(easy, CURLOPT_URL, it.url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_PROXY, ""); // never a proxy from the environment
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, it.method.c_str());
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, milliseconds(it.timeout));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, milliseconds(it.connectTimeout));
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &appendReplyBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &addReplyHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer.get());
    if (it.freshConnection) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    if (!it.body.empty() || it.method == "POST" || it.method == "PUT") {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(it.body.size()));
        curl_easy_setopt(easy, CURLOPT_READFUNCTION, &readRequestBody);
        curl_easy_setopt(easy, CURLOPT_READDATA, transfer.get());
        transfer->headers = curl_slist_append(transfer->headers, "Content-Type: application/json");
        // Without this, libcurl waits for "100 Continue" before it sends a larger body.
        transfer->headers = curl_slist_append(transfer->headers, "Expect:");
    }
    for (const auto &[name, value] : it.headers)
        transfer->headers = curl_slist_append(transfer->headers, (name + ": " + value).c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);

    const HttpCallId id = transfer->id;
    if (it.stallTimeout > Duration{}) {
        // Posted, because checkStall() may destroy the timer, whose task must not do that.
        transfer->stallTimer = std::make_unique<Timer>(
            m_loop, [this, id] { m_loop.post([this, id] { checkStall(id); }); });
        transfer->stallTimer->startIn(it.stallTimeout);
    }
    transfer->pool = poolFor(it);
    transfer->pool->add(easy);
    m_transfers.emplace(id, std::move(transfer));
    return id;
}

void HttpClient::Impl::cancel(HttpCallId id)
{
    const auto it = m_transfers.find(id);
    if (it == m_transfers.end())
        return;
    it->second->pool->remove(it->second->easy);
    m_transfers.erase(it);
}

HttpClient::HttpClient(EventLoop &loop)
    : m_impl(std::make_unique<Impl>(loop))
{}

HttpClient::~HttpClient() = default;

HttpCallId HttpClient::start(HttpCall call, Callback callback)
{
    return m_impl->start(std::move(call), std::move(callback));
}

void HttpClient::cancel(HttpCallId id)
{
    m_impl->cancel(id);
}

std::size_t HttpClient::openCalls() const
{
    return m_impl->openCalls();
}

} // namespace cactuscove
