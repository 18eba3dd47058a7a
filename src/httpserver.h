// HTTP/1.1 server on the event loop (libmicrohttpd). Requests may be answered later.

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

using RequestId = StrongId<struct RequestIdTag>;

struct HttpRequest
{
    std::string method;
    std::string path; // without the query
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
    bool isFirstOnConnection = true; // stand-ins close reused connections in tests
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
    std::size_t maxBodyBytes = 4 << 20;   // a larger body gets 413
    std::chrono::seconds idleTimeout{15}; // closes slow and half-open connections
    unsigned maxConnections = 4096;
    // Ends a request as soon as its caller closes the connection. Otherwise that shows only when
    // the response is written.
    bool watchCallers = false;
};

struct HttpServerError
{
    std::string reason;
};

class HttpServer
{
public:
    using Handler = std::function<void(RequestId id, HttpRequest request)>;
    using ClosedHandler = std::function<void(RequestId id)>;

    // `address` is "ip:port"; port 0 picks a free one. The handler may call respond() at once or
    // later. `onClosed` is told when a request ends, answered or not; it may be empty.
    static Result<std::unique_ptr<HttpServer>, HttpServerError>
    listen(EventLoop &loop, std::string_view address, HttpServerLimits limits, Handler handler,
           ClosedHandler onClosed = {});
    ~HttpServer();

    // Does nothing if the request has ended.
    void respond(RequestId id, HttpResponse response);
    // Closes the connection without a response. Stand-ins use it to lose replies.
    void closeWithoutResponse(RequestId id);
    // Stops accepting connections; open ones are served on.
    void stopAccepting();

    std::string address() const;      // with the port in use
    std::size_t openRequests() const; // received and not fully answered

private:
    class Impl;
    explicit HttpServer(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace cactuscove
