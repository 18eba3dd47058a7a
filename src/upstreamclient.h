// Carries out StartOnUpstream and StopOnUpstream over HTTP: POST /run and POST /stop on the
// upstream. Each start uses a connection of its own (rule R10).

#pragma once

#include "eventloop.h"
#include "httpclient.h"
#include "outbox.h"
#include "types.h"

#include <functional>
#include <map>
#include <string>

namespace cactuscove {

// What the answer to POST /run, or its absence, means for the task.
TaskResult taskResultOf(const Result<HttpReply, HttpCallError> &answer, Duration runTime);

class UpstreamClient
{
public:
    using ResultHandler
        = std::function<void(const TaskRef &ref, std::uint32_t attempt, TaskResult result)>;

    // `onResult` runs from the loop, exactly once for each start.
    UpstreamClient(EventLoop &loop, HttpClient &http, ResultHandler onResult);

    void start(const StartOnUpstream &effect);
    // Asks the upstream to stop the task. Its start ends with the upstream's answer as usual.
    void stop(const StopOnUpstream &effect);

    std::size_t openStarts() const { return m_starts.size(); }

private:
    struct Start
    {
        std::string taskId;
        std::string upstreamAddress;
        std::string upstreamIncarnation;
        TimePoint startedAt;
    };
    using StartKey = std::pair<TaskRef, std::uint32_t>; // with the attempt

    void onAnswer(const StartKey &key, const Result<HttpReply, HttpCallError> &answer);

    EventLoop &m_loop;
    HttpClient &m_http;
    ResultHandler m_onResult;
    std::map<StartKey, Start> m_starts;
};

} // namespace cactuscove
