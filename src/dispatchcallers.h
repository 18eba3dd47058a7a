// The HTTP server of dispatch-entry for callers: decodes submissions of jobs, answers requests that
// are no jobs, and returns the answers of the jobs.

#pragma once

#include "eventloop.h"
#include "httpserver.h"
#include "jobdispatcher.h"
#include "metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cactuscove {

class DispatchCallers
{
public:
    // Called from the event loop; all must be set.
    struct Handlers
    {
        // A valid job of a known queue; `timeout` is how long the caller waits. answer() follows,
        // unless the caller leaves before.
        std::function<void(CallerId caller, BestEffortJob job, Duration timeout)> onJob;
        // The caller of a job that is not answered has closed its connection.
        std::function<void(CallerId caller)> onCallerLeft;
        std::function<void(const LogEvent &event)> log;
    };

    // `dispatcher` is asked for the configuration and the state of queues. All references must
    // outlive this object.
    DispatchCallers(EventLoop &loop, Metrics &metrics, const JobDispatcher &dispatcher,
                    Handlers handlers);

    // Begins to accept requests on `address`, which is "ip:port". Returns the error if it cannot
    // listen there.
    std::optional<HttpServerError> listen(std::string_view address);
    // Answers a caller; does nothing if it has left.
    void answer(CallerId caller, const DispatchAnswer &answer);
    // Closes each connection with its next response. The caller opens a new one, which the load
    // balancer sends to another entry.
    void closeConnections() { m_isClosingConnections = true; }
    void refuseJobs() { m_isRefusingJobs = true; } // from now on

    // Requests whose response is not completely sent.
    std::size_t openRequests() const { return m_server->openRequests(); }

private:
    void respond(RequestId id, HttpResponse response);
    void onRequest(RequestId id, const HttpRequest &request);
    void onClosed(RequestId id);

    EventLoop &m_loop;
    Metrics &m_metrics;
    const JobDispatcher &m_dispatcher;
    Handlers m_handlers;
    std::unique_ptr<HttpServer> m_server;          // none before listen()
    std::map<RequestId, TimePoint> m_arrivalTimes; // of jobs that are not answered
    bool m_isClosingConnections = false;
    bool m_isRefusingJobs = false;
};

} // namespace cactuscove
