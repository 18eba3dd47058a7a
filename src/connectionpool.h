// Connections of HTTP calls, which libcurl keeps open after a call for later calls to the same
// host. A call uses only connections of its own pool. Runs a libcurl multi handle on the event
// loop.

#pragma once

#include "eventloop.h"

#include <curl/curl.h>

#include <functional>
#include <memory>
#include <unordered_map>

namespace cactuscove {

class ConnectionPool
{
public:
    using EndHandler = std::function<void(CURL *easy, CURLcode code)>;

    // `onEnd` is called once for each call that has ended, from the event loop; it must not destroy
    // the pool.
    ConnectionPool(EventLoop &loop, EndHandler onEnd);
    // Closes all connections. No call may be left.
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool &) = delete;
    ConnectionPool &operator=(const ConnectionPool &) = delete;

    void add(CURL *easy); // begins a call
    // Ends a call without onEnd and closes its connection.
    void remove(CURL *easy);

private:
    static int onSocket(CURL *easy, curl_socket_t fd, int what, void *self, void *watcher);
    static int onTimer(CURLM *multi, long timeoutMs, void *self);

    void watchSocket(curl_socket_t fd, int what);
    void performSocketAction(curl_socket_t fd, int flags);
    void reportEndedCalls();

    EventLoop &m_loop;
    EndHandler m_onEnd;
    Timer m_timer;
    CURLM *m_multi;
    std::unordered_map<curl_socket_t, std::unique_ptr<IoWatcher>> m_watchers;
};

} // namespace cactuscove
