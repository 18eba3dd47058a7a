// Sends requests to the upstream and converts its answers to task results.

#include "upstreamclient.h"

#include <json/value.h>
#include <json/writer.h>

#include <utility>

namespace cactuscove {

namespace {

// Added to the lease of a task for the timeout of its request. The upstream stops the task when the
// lease ends, and its answer needs some time to arrive.
constexpr Duration AnswerTimeMargin = std::chrono::seconds(2);
// Limit for a result body; a task with a larger one counts as failed. A result is sent in one
// message, is kept for id_memory, and the links between processes accept messages of up to 4 MB.
constexpr std::size_t MaxResultBytes = 256 << 10;
constexpr char IncarnationHeader[] = "X-Upstream-Incarnation";

std::string write(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

std::string urlOf(const std::string &address, const char *path)
{
    return "http://" + address + path;
}

// The upstream states that it has not started the task.
bool provesNoStart(const HttpReply &reply)
{
    // Status 409 alone may also be the result of a task that ran, so the header is required too.
    if (reply.status != 503 && reply.status != 409)
        return false;
    const auto header = reply.headers.find("x-task-started");
    return header != reply.headers.end() && header->second == "false";
}

} // namespace

TaskResult taskResultOf(const Result<HttpReply, HttpCallError> &answer, Duration runTime)
{
    TaskResult result;
    result.runTime = runTime;
    if (!isOk(answer)) {
        switch (errorOf(answer).kind) {
        case HttpFailure::NotSent:
            result.status = TaskStatus::NotStarted;
            break;
        case HttpFailure::Broken:
            result.status = TaskStatus::Failed;
            break;
        case HttpFailure::TimedOut:
            result.status = TaskStatus::Unknown;
            break;
        }
        return result;
    }
    const HttpReply &reply = valueOf(answer);
    result.httpStatus = reply.status;
    result.body = reply.body;
    const bool isResult = (reply.status >= 200 && reply.status < 300)
                          || (reply.status >= 400 && reply.status < 500);
    if (provesNoStart(reply))
        result.status = TaskStatus::NotStarted;
    else
        result.status = isResult ? TaskStatus::Completed : TaskStatus::Failed;
    return result;
}

UpstreamClient::UpstreamClient(EventLoop &loop, HttpClient &http, ResultHandler onResult)
    : m_loop(loop)
    , m_http(http)
    , m_onResult(std::move(onResult))
{}

void UpstreamClient::start(const StartOnUpstream &effect)
{
    const StartKey key{effect.ref, effect.attempt};
    m_starts[key]
        = {effect.taskId, effect.upstreamAddress, effect.upstreamIncarnation, m_loop.now()};

    Json::Value body(Json::objectValue);
    body["job"] = effect.ref.key.value;
    body["task"] = effect.taskId;
    body["payload"] = effect.payload;
    body["lease_ms"]
        = Json::Int64(std::chrono::duration_cast<std::chrono::milliseconds>(effect.lease).count());

    HttpCall call;
    call.method = "POST";
    call.url = urlOf(effect.upstreamAddress, "/run");
    call.headers[IncarnationHeader] = effect.upstreamIncarnation;
    if (!effect.trace.traceId.empty())
        call.headers["traceparent"]
            = "00-" + effect.trace.traceId + '-' + effect.trace.spanId + "-01";
    call.body = write(body);
    call.timeout = effect.lease + AnswerTimeMargin;
    call.maxReplyBytes = MaxResultBytes;
    call.freshConnection = true; // rule R10: libcurl must not send a start twice
    m_http.start(std::move(call), [this, key](const Result<HttpReply, HttpCallError> &answer) {
        onAnswer(key, answer);
    });
}

void UpstreamClient::stop(const StopOnUpstream &effect)
{
    for (auto it = m_starts.lower_bound({effect.ref, 0});
         it != m_starts.end() && it->first.first == effect.ref; ++it) {
        Json::Value body(Json::objectValue);
        body["job"] = effect.ref.key.value;
        body["task"] = it->second.taskId;
        HttpCall call;
        call.method = "POST";
        call.url = urlOf(it->second.upstreamAddress, "/stop");
        call.headers[IncarnationHeader] = it->second.upstreamIncarnation;
        call.body = write(body);
        // The answer is ignored. If the request is lost, the next CancelTask of the home repeats
        // it.
        m_http.start(std::move(call), [](const Result<HttpReply, HttpCallError> &) {});
    }
}

void UpstreamClient::onAnswer(const StartKey &key, const Result<HttpReply, HttpCallError> &answer)
{
    const auto start = m_starts.extract(key);
    if (start.empty())
        return;
    const Duration runTime = m_loop.now() - start.mapped().startedAt;
    m_onResult(key.first, key.second, taskResultOf(answer, runTime));
}

} // namespace cactuscove
