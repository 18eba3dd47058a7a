// Converts answers and errors to HTTP responses of the caller API.

#include "callerapi.h"

#include "recordcodec.h"
#include "textencoding.h"

#include <json/json.h>

#include <algorithm>

namespace cactuscove {

namespace {

// The HTTP status of an answer. 503 invites a retry; a job that was not run and has no retry time
// cannot succeed later, so it gets 422.
int statusOf(const Answer &answer)
{
    switch (answer.outcome) {
    case Outcome::Completed:
        return 200;
    case Outcome::NotRun:
        return answer.retryAfter ? 503 : 422;
    case Outcome::Unknown:
        break;
    }
    return 502;
}

// The fields that identify a job in a response. A JobKey is "team/id".
Json::Value jobFields(const JobKey &key, const std::string &traceId)
{
    Json::Value json(Json::objectValue);
    const std::size_t slash = key.value.find('/');
    json["team"] = key.value.substr(0, slash);
    json["id"] = slash == std::string::npos ? std::string() : key.value.substr(slash + 1);
    if (!traceId.empty())
        json["trace_id"] = traceId;
    return json;
}

HttpResponse jsonResponse(int status, const Json::Value &json)
{
    HttpResponse response;
    response.status = status;
    response.body = writeJson(json) + '\n';
    return response;
}

// Adds the header Retry-After, which can only hold whole seconds. Homes spread the retry times so
// that refused callers do not all return at once; the field `retry_after_ms` in the body is exact.
void addRetryAfter(HttpResponse &response, Duration retryAfter)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter).count();
    response.headers["Retry-After"] = std::to_string(std::max<std::int64_t>(1, seconds));
}

HttpResponse answerResponse(const JobKey &key, const Answer &answer, const std::string &traceId)
{
    Json::Value json = jobFields(key, traceId);
    json["outcome"] = std::string(nameOf(answer.outcome));
    if (!answer.reason.empty())
        json["reason"] = answer.reason;
    if (answer.retryAfter)
        json["retry_after_ms"]
            = Json::Int64{std::chrono::ceil<std::chrono::milliseconds>(*answer.retryAfter).count()};
    if (answer.outcome == Outcome::Completed) {
        Json::Value &tasks = json["tasks"] = Json::Value(Json::arrayValue);
        for (const TaskAnswer &it : answer.tasks) {
            Json::Value task;
            task["id"] = it.id;
            task["status"] = it.httpStatus;
            // A JSON string can only hold valid UTF-8.
            if (isUtf8(it.body))
                task["body"] = it.body;
            else
                task["body_base64"] = toBase64(it.body);
            tasks.append(std::move(task));
        }
    }
    HttpResponse response = jsonResponse(statusOf(answer), json);
    if (answer.retryAfter)
        addRetryAfter(response, *answer.retryAfter);
    return response;
}

} // namespace

HttpResponse toResponse(const AnswerCaller &answer, const std::string &traceId)
{
    if (const auto *final = std::get_if<Answer>(&answer.reply))
        return answerResponse(answer.key, *final, traceId);
    if (std::holds_alternative<JobAccepted>(answer.reply)) {
        Json::Value json = jobFields(answer.key, traceId);
        json["state"] = "accepted";
        return jsonResponse(202, json);
    }
    if (std::holds_alternative<JobNotFound>(answer.reply))
        return toResponse(CallerError{404, "not_found", "id", "no job under this id is known"});
    return toResponse(
        CallerError{409, "content_mismatch", "id", "another job was submitted under this id"});
}

HttpResponse toResponse(const CallerError &error)
{
    Json::Value json;
    json["error"] = error.error;
    if (!error.field.empty())
        json["field"] = error.field;
    json["reason"] = error.reason;
    return jsonResponse(error.status, json);
}

HttpResponse notReadyResponse()
{
    HttpResponse response = toResponse(
        CallerError{503, "not_ready", "", "this entry takes no requests now; use another one"});
    addRetryAfter(response, std::chrono::seconds(1));
    return response;
}

} // namespace cactuscove
