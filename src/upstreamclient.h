// Carries out the effects StartOnUpstream and StopOnUpstream over HTTP: POST /run and POST /stop on
// the upstream. Rule R10: each start uses its own connection, because libcurl may send a request
// again when a reused connection closes, and the task would then start twice.

#pragma once

#include "eventloop.h"
#include "httpclient.h"
#include "outbox.h"
#include "types.h"

#include <functional>
#include <map>
#include <string>

namespace cactuscove {

// The result of a task by the answer to POST /run:
//   Completed   status 2xx or 4xx
//   NotStarted  503 or 409 with the header "X-Task-Started: false", or no byte was sent
//   Failed      every other status, or the connection broke after a byte was sent
//   Unknown     no answer within the timeout
TaskResult taskResultOf(const Result<HttpReply, HttpCallError> &answer, Duration runTime);

// Owned by the agent process, which passes the results to the agent node.
class UpstreamClient
{
public:
    using ResultHandler
        = std::function<void(const TaskRef &ref, std::uint32_t attempt, TaskResult result)>;

    // `loop` and `http` outlive the client. `onResult` is called from the event loop, exactly once
    // for each start.
    UpstreamClient(EventLoop &loop, HttpClient &http, ResultHandler onResult);

    void start(const StartOnUpstream &effect);
    // Asks the upstream to stop every running attempt of the task. Their results still come from
    // the answers to their starts.
    void stop(const StopOnUpstream &effect);

    std::size_t openStarts() const { return m_starts.size(); } // starts without a result

private:
    // A start that has not been answered.
    struct Start
    {
        std::string taskId;
        std::string upstreamAddress;
        std::string upstreamIncarnation;
        TimePoint startedAt;
    };
    using StartKey = std::pair<TaskRef, std::uint32_t>; // task and attempt

    void onAnswer(const StartKey &key, const Result<HttpReply, HttpCallError> &answer);

    EventLoop &m_loop;
    HttpClient &m_http;
    ResultHandler m_onResult;
    std::map<StartKey, Start> m_starts;
};

} // namespace cactuscove
