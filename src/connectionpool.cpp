// libcurl asks for sockets to be watched and for one timer; the event loop reports back to it.

#include "connectionpool.h"

#include <utility>

namespace cactuscove {

namespace {

constexpr long MaxCachedConnections = 512; // kept open for later calls

} // namespace

ConnectionPool::ConnectionPool(EventLoop &loop, EndHandler onEnd)
    : m_loop(loop)
    , m_onEnd(std::move(onEnd))
    , m_timer(loop, [this] { performSocketAction(CURL_SOCKET_TIMEOUT, 0); })
    , m_multi(curl_multi_init())
{
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &ConnectionPool::onSocket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &ConnectionPool::onTimer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, MaxCachedConnections);
}

ConnectionPool::~ConnectionPool()
{
    curl_multi_cleanup(m_multi);
}

void ConnectionPool::add(CURL *easy)
{
    curl_multi_add_handle(m_multi, easy);
}

void ConnectionPool::remove(CURL *easy)
{
    curl_multi_remove_handle(m_multi, easy);
}

int ConnectionPool::onSocket(CURL *, curl_socket_t fd, int what, void *self, void *)
{
    static_cast<ConnectionPool *>(self)->watchSocket(fd, what);
    return 0;
}

int ConnectionPool::onTimer(CURLM *, long timeoutMs, void *self)
{
    auto &pool = *static_cast<ConnectionPool *>(self);
    if (timeoutMs < 0)
        pool.m_timer.stop();
    else
        pool.m_timer.startIn(std::chrono::milliseconds(timeoutMs));
    return 0;
}

void ConnectionPool::watchSocket(curl_socket_t fd, int what)
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

void ConnectionPool::performSocketAction(curl_socket_t fd, int flags)
{
    int running = 0;
    curl_multi_socket_action(m_multi, fd, flags, &running);
    reportEndedCalls();
}

void ConnectionPool::reportEndedCalls()
{
    int left = 0;
    while (CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        CURL *easy = message->easy_handle;
        const CURLcode code = message->data.result;
        remove(easy);
        m_onEnd(easy, code);
    }
}

} // namespace cactuscove
