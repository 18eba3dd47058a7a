// libcurl asks for sockets to be watched and for one timer; the event loop reports back to it.

#include "httpclient.h"

#include <curl/curl.h>

#include <algorithm>
#include <cctype>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace cactuscove {

namespace {

constexpr long MaxCachedConnections = 512; // kept open for later calls

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
    return {kind, curl_easy_strerror(code), sent > 0 && opened == 0};
}

} // namespace

class HttpClient::Impl
{
public:
    explicit Impl(EventLoop &loop)
        : m_loop(loop)
        , m_timer(loop, [this] { performSocketAction(CURL_SOCKET_TIMEOUT, 0); })
        , m_multi(curl_multi_init())
    {
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &Impl::onSocket);
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &Impl::onTimer);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, MaxCachedConnections);
    }

    ~Impl()
    {
        for (auto &[id, transfer] : m_transfers)
            curl_multi_remove_handle(m_multi, transfer->easy);
        m_transfers.clear();
        curl_multi_cleanup(m_multi);
    }

    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    HttpCallId start(HttpCall call, Callback callback);
    void cancel(HttpCallId id);
    std::size_t openCalls() const { return m_transfers.size(); }

private:
    static int onSocket(CURL *easy, curl_socket_t fd, int what, void *self, void *watcher);
    static int onTimer(CURLM *multi, long timeoutMs, void *self);

    void watchSocket(curl_socket_t fd, int what);
    void performSocketAction(curl_socket_t fd, int flags);
    void finishTransfers();
    void checkStall(HttpCallId id);

    EventLoop &m_loop;
    Timer m_timer;
    CURLM *m_multi;
    std::unordered_map<curl_socket_t, std::unique_ptr<IoWatcher>> m_watchers;
    std::unordered_map<HttpCallId, std::unique_ptr<Transfer>> m_transfers;
    std::uint64_t m_lastId = 0;
};

int HttpClient::Impl::onSocket(CURL *, curl_socket_t fd, int what, void *self, void *)
{
    static_cast<Impl *>(self)->watchSocket(fd, what);
    return 0;
}

int HttpClient::Impl::onTimer(CURLM *, long timeoutMs, void *self)
{
    auto &impl = *static_cast<Impl *>(self);
    if (timeoutMs < 0)
        impl.m_timer.stop();
    else
        impl.m_timer.startIn(std::chrono::milliseconds(timeoutMs));
    return 0;
}

void HttpClient::Impl::watchSocket(curl_socket_t fd, int what)
{
    if (what == CURL_POLL_REMOVE) {
        m_watchers.erase(fd);
        return;
    }
    auto &watcher = m_watchers[fd];
    if (!watcher)
        watcher = std::make_unique<IoWatcher>(m_loop, fd, [this, fd](int events) {
            performSocketAction(fd, (events & IoWatcher::Readable ? CURL_CSELECT_IN : 0)
                                        | (events & IoWatcher::Writable ? CURL_CSELECT_OUT : 0));
        });
    watcher->watch((what & CURL_POLL_IN ? IoWatcher::Readable : IoWatcher::None)
                   | (what & CURL_POLL_OUT ? IoWatcher::Writable : IoWatcher::None));
}

void HttpClient::Impl::performSocketAction(curl_socket_t fd, int flags)
{
    int running = 0;
    curl_multi_socket_action(m_multi, fd, flags, &running);
    finishTransfers();
}

void HttpClient::Impl::finishTransfers()
{
    int left = 0;
    while (CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        CURL *easy = message->easy_handle;
        const CURLcode code = message->data.result;
        Transfer *raw = nullptr;
        curl_easy_getinfo(easy, CURLINFO_PRIVATE, &raw);
        auto node = m_transfers.extract(raw->id);
        const std::unique_ptr<Transfer> transfer = std::move(node.mapped());
        curl_multi_remove_handle(m_multi, easy);
        if (code == CURLE_OK) {
            long status = 0;
            curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
            transfer->reply.status = static_cast<int>(status);
            transfer->callback(std::move(transfer->reply));
        } else {
            transfer->callback(toCallError(easy, code));
        }
    }
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
    curl_multi_remove_handle(m_multi, node.mapped()->easy);
    node.mapped()->callback(std::move(error));
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
    curl_multi_add_handle(m_multi, easy);
    m_transfers.emplace(id, std::move(transfer));
    return id;
}

void HttpClient::Impl::cancel(HttpCallId id)
{
    const auto it = m_transfers.find(id);
    if (it == m_transfers.end())
        return;
    curl_multi_remove_handle(m_multi, it->second->easy);
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
