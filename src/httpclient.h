// HTTP/1.1 client on the event loop, based on libcurl's multi interface. Keeps connections open for
// later calls. Uses no TLS, proxy or redirect.

#pragma once

#include "eventloop.h"
#include "result.h"
#include "types.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cactuscove {

// A request and the limits of its call.
struct HttpCall
{
    std::string method = "GET";
    std::string url; // "http://ip:port/path?query"
    std::map<std::string, std::string> headers;
    std::string body;                                  // sent with Content-Type application/json
    Duration timeout = std::chrono::seconds(2);        // of the whole call
    Duration connectTimeout = std::chrono::seconds(1); // of its first part, the connect
    // Ends the call as TimedOut if nothing of the reply arrives for this long, which is noticed
    // after at most twice the time; 0: only `timeout` counts. Suits large replies over slow
    // links, which take long but arrive without pauses.
    Duration stallTimeout{};
    // Uses a new connection and closes it afterwards. libcurl may send a request a second time if a
    // reused connection closes before the first byte of the reply; on a new one it never does.
    bool freshConnection = false;
    // After a call to the host has ended as TimedOut, the connections that were opened before are
    // not used again: they may have gone silent together, and each would cost another timeout. For
    // calls whose answer is awaited by many; a lost answer costs some new connections.
    bool distrustsSilentHost = false;
    std::size_t maxReplyBytes = 64 << 20; // a reply with a larger body ends the call as Broken
};

// A complete reply, of any status.
struct HttpReply
{
    int status = 0;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
};

// Why there is no reply.
enum class HttpFailure {
    NotSent,  // no byte of the request left this process, so it was provably not delivered
    TimedOut, // after at least one byte was sent
    Broken,   // the connection closed, or the reply was invalid, after at least one byte was sent
};

struct HttpCallError
{
    HttpFailure kind = HttpFailure::Broken;
    std::string detail;              // for logs
    bool isReusedConnection = false; // an earlier call had opened the connection
    bool isRefused = false;          // NotSent: the host said that nothing listens at the address
};

using HttpCallId = StrongId<struct HttpCallIdTag>;

class HttpClient
{
public:
    using Callback = std::function<void(Result<HttpReply, HttpCallError> result)>;

    explicit HttpClient(EventLoop &loop);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    // Sends a request. `callback` runs once, from the event loop and never from inside start(),
    // with the reply or the error. It does not run if this object is destroyed first.
    HttpCallId start(HttpCall call, Callback callback);
    // Ends the call and closes its connection. The callback does not run. Does nothing if the call
    // has ended.
    void cancel(HttpCallId id);

    std::size_t openCalls() const; // calls whose callback has not run

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace cactuscove
