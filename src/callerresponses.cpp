// Answers and errors of the caller API as HTTP responses.

#include "callerapi.h"

#include "recordcodec.h"
#include "textencoding.h"

#include <json/json.h>

#include <algorithm>

namespace cactuscove {

namespace {

// not_run without a retry time cannot be helped by coming back.
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

Json::Value identityOf(const JobKey &key, const std::string &traceId)
{
    Json::Value json(Json::objectValue);
    const std::size_t slash = key.value.find('/');
    json["team"] = key.value.substr(0, slash);
    json["id"] = slash == std::string::npos ? std::string() : key.value.substr(slash + 1);
    if (!traceId.empty())
        json["trace_id"] = traceId;
    return json;
}

HttpResponse responseWith(int status, const Json::Value &json)
{
    HttpResponse response;
    response.status = status;
    response.body = writeJson(json) + '\n';
    return response;
}

// Whole seconds as the header demands; `retry_after_ms` keeps the spread.
void addRetryAfter(HttpResponse &response, Duration retryAfter)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter).count();
    response.headers["Retry-After"] = std::to_string(std::max<std::int64_t>(1, seconds));
}

HttpResponse answerResponse(const JobKey &key, const Answer &answer, const std::string &traceId)
{
    Json::Value json = identityOf(key, traceId);
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
            // JSON text cannot hold other bytes.
            if (isUtf8(it.body))
                task["body"] = it.body;
            else
                task["body_base64"] = toBase64(it.body);
            tasks.append(std::move(task));
        }
    }
    HttpResponse response = responseWith(statusOf(answer), json);
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
        Json::Value json = identityOf(answer.key, traceId);
        json["state"] = "accepted";
        return responseWith(202, json);
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
    return responseWith(error.status, json);
}

HttpResponse notReadyResponse()
{
    HttpResponse response = toResponse(
        CallerError{503, "not_ready", "", "this entry takes no requests now; use another one"});
    addRetryAfter(response, std::chrono::seconds(1));
    return response;
}

} // namespace cactuscove
