// HTTP/1.1 client on the event loop (libcurl multi).

#pragma once

#include "eventloop.h"
#include "result.h"
#include "types.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cactuscove {

struct HttpCall
{
    std::string method = "GET";
    std::string url;
    std::map<std::string, std::string> headers;
    std::string body;
    Duration timeout = std::chrono::seconds(2); // for the whole call
    Duration connectTimeout = std::chrono::seconds(1);
    // Longest pause between two pieces of the reply, and before its first one; 0: only `timeout`
    // counts. A large reply on a slow link takes long but never pauses.
    Duration stallTimeout{};
    // Uses a new connection and closes it afterwards. libcurl may resend a request when a reused
    // connection closes before the first response byte; on a new connection it never does.
    bool freshConnection = false;
    std::size_t maxReplyBytes = 64 << 20; // a larger body ends the call as Broken
};

struct HttpReply
{
    int status = 0;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
};

enum class HttpFailure {
    NotSent, // no byte of the request left this process: provably not delivered
    TimedOut,
    Broken, // the connection broke after at least one byte was sent
};

struct HttpCallError
{
    HttpFailure kind = HttpFailure::Broken;
    std::string detail;
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

    // The callback runs from the loop, never from inside this call.
    HttpCallId start(HttpCall call, Callback callback);
    // Closes the call's connection; its callback does not run.
    void cancel(HttpCallId id);

    std::size_t openCalls() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace cactuscove
