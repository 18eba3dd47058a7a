// HTTP/1.1 server on the event loop, based on libmicrohttpd. A request may be answered by its
// handler or at any later time.

#pragma once

#include "eventloop.h"
#include "result.h"
#include "types.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace cactuscove {

using RequestId = StrongId<struct RequestIdTag>; // unique within one HttpServer

struct HttpRequest
{
    std::string method;
    std::string path; // percent-decoded, without the query
    // Of repeated names in the query or headers, the last one counts.
    std::map<std::string, std::string> query;   // percent-decoded, "+" as a space
    std::map<std::string, std::string> headers; // names in lower case; values as received
    std::string body;
    // False for a later request on a connection that the client reuses. Only tests use it.
    bool isFirstOnConnection = true;
};

struct HttpResponse
{
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::map<std::string, std::string> headers;
};

struct HttpServerLimits
{
    std::size_t maxBodyBytes = 4 << 20; // a larger body gets 413
    // A connection without traffic for this long is closed, unless its request waits for respond().
    std::chrono::seconds idleTimeout{15};
    unsigned maxConnections = 4096; // further ones wait in the kernel until one is closed
    // A request that waits for respond() ends, and onClosed is called, as soon as its client closes
    // the connection. If this is false, or the client has sent more data such as a pipelined
    // request, the close is noticed only when the response is written.
    bool detectClientClose = false;
};

// Why the server cannot listen.
struct HttpServerError
{
    std::string reason; // with the address
};

// All handlers are called from the event loop.
class HttpServer
{
public:
    using Handler = std::function<void(RequestId id, HttpRequest request)>;
    using ClosedHandler = std::function<void(RequestId id)>;

    // Listens on `address`, which is an IPv4 "ip:port"; port 0 picks a free one. Fails if the
    // address is malformed or cannot be listened on. `handler` is called with each complete request
    // and may call respond() at once or later. `onClosed` is called when such a request has ended,
    // answered or not, but never from inside a function of HttpServer; it may be empty.
    static Result<std::unique_ptr<HttpServer>, HttpServerError>
    listen(EventLoop &loop, std::string_view address, HttpServerLimits limits, Handler handler,
           ClosedHandler onClosed = {});
    ~HttpServer(); // closes all connections without calling onClosed

    // Sends the response of a request. Does nothing if the request has ended or was answered.
    void respond(RequestId id, HttpResponse response);
    // Closes the connection of a request without a response; onClosed follows. Test servers use it
    // to lose replies.
    void closeWithoutResponse(RequestId id);
    // Closes the listening socket. Open connections are still served, also idle ones on which a new
    // request arrives.
    void stopAccepting();

    std::string address() const; // "ip:port" with the port in use
    // Requests whose headers have arrived and whose response is not completely sent.
    std::size_t openRequests() const;

private:
    class Impl;
    explicit HttpServer(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace cactuscove
