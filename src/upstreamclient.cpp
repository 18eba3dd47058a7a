// Requests to the upstream and the meaning of its answers.

#include "upstreamclient.h"

#include <json/value.h>
#include <json/writer.h>

#include <utility>

namespace cactuscove {

namespace {

// The upstream stops a task when its lease lapses; its answer to that needs some time to arrive.
constexpr Duration AnswerMargin = std::chrono::seconds(2);
// A result travels in one message and is kept for id_memory; a larger one counts as failed. The
// process links take messages of up to 4 MB.
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

bool provesNoStart(const HttpReply &reply)
{
    // 409 alone is also a usual answer of a task that ran, so both refusals need the header.
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
    call.timeout = effect.lease + AnswerMargin;
    call.maxReplyBytes = MaxResultBytes;
    call.freshConnection = true; // rule R10: libcurl must not resend a start
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
        // A lost stop is asked for again by the home's next CancelTask.
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
