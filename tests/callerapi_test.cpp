// The caller API without a server: malformed requests are refused with the name of the field, and
// each kind of answer becomes the right HTTP response.

#include "callerapi.h"
#include "recordcodec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cactuscove {
namespace {

using namespace std::chrono_literals;

FleetConfig fleet()
{
    FleetConfig config;
    config.limits.maxBodyBytes = 4096;
    config.classes["normal"] = {};
    config.teams["bookings"].upstreams = {"walk-desk"};
    config.upstreams["walk-desk"] = {};
    config.upstreams["tarakimu"] = {};
    return config;
}

Json::Value jobJson()
{
    Json::Value json;
    json["id"] = "j/1";
    json["team"] = "bookings";
    json["class"] = "normal";
    json["upstream"] = "walk-desk";
    json["tasks"][0]["id"] = "t0";
    json["tasks"][0]["payload"] = "seat";
    return json;
}

Result<CallerCommand, CallerError> post(const std::string &body,
                                        const FleetConfig &config = fleet())
{
    return parseCallerRequest({"POST", "/v1/jobs", {}, {}, body}, config);
}

// "STATUS FIELD: REASON" of the refusal, or "accepted".
std::string refusalOf(const Result<CallerCommand, CallerError> &result)
{
    if (isOk(result))
        return "accepted";
    const CallerError &error = errorOf(result);
    return std::to_string(error.status) + ' ' + error.field + ": " + error.reason;
}

// The refusal of a valid submission after `change` has been applied to its JSON.
template <typename Change>
std::string refusalWith(Change change)
{
    Json::Value json = jobJson();
    change(json);
    return refusalOf(post(writeJson(json)));
}

TEST(CallerApi, ReadsASubmissionWithDefaults)
{
    const auto result = post(writeJson(jobJson()));
    ASSERT_EQ(refusalOf(result), "accepted");
    const CallerCommand &command = valueOf(result);
    EXPECT_EQ(command.action, CallerAction::Submit);
    EXPECT_EQ(command.key.value, "bookings/j/1");
    EXPECT_EQ(command.spec.deadline, 30s);
    EXPECT_FALSE(command.spec.idempotent);
    EXPECT_EQ(command.spec.tasks[0].payload, "seat");
    EXPECT_EQ(command.wait, 31s);
}

// An upstream that expects JSON must receive any JSON value as compact JSON text, while a string
// must be passed on unchanged.
TEST(CallerApi, PayloadIsTextOrAnyJsonValue)
{
    const auto payloadOf = [](const std::string &payload) {
        const auto result
            = post(R"({"id":"j","team":"bookings","class":"normal","upstream":"walk-desk","tasks":)"
                   R"([{"id":"t","payload":)"
                   + payload + "}]}");
        return isOk(result) ? valueOf(result).spec.tasks[0].payload : refusalOf(result);
    };
    EXPECT_EQ(payloadOf(R"("{ \"a\": 1 }")"), "{ \"a\": 1 }") << "text stays as it is";
    EXPECT_EQ(payloadOf(R"({ "b": [1, 2], "a": "x" })"), R"({"a":"x","b":[1,2]})");
    EXPECT_EQ(payloadOf("5"), "5");
    EXPECT_EQ(payloadOf("null"), "null");
}

// If a field were misread or ignored, another job than the caller asked for would run.
TEST(CallerApi, RefusesWhatItDoesNotUnderstand)
{
    using Json::Value;
    EXPECT_EQ(refusalWith([](Value &it) { it["team"] = "nobody"; }), "400 team: unknown team");
    EXPECT_EQ(refusalWith([](Value &it) { it["class"] = "vip"; }), "400 class: unknown class");
    EXPECT_EQ(refusalWith([](Value &it) { it["upstream"] = "moon"; }),
              "400 upstream: unknown upstream");
    EXPECT_EQ(refusalWith([](Value &it) { it["upstream"] = "tarakimu"; }),
              "400 upstream: the team may not use this upstream");
    EXPECT_EQ(refusalWith([](Value &it) { it["tasks"] = Value(Json::arrayValue); }),
              "400 tasks: must have 1 to 370 tasks, not 0");
    EXPECT_EQ(refusalWith([](Value &it) { it["tasks"][1] = it["tasks"][0]; }),
              "400 tasks[1].id: is used by an earlier task");
    EXPECT_EQ(refusalWith([](Value &it) { it["tasks"][0]["needs"]["gpu"] = 1; }),
              "400 tasks[0].needs.gpu: unknown field");
    EXPECT_EQ(refusalWith([](Value &it) { it["tasks"][0].removeMember("payload"); }),
              "400 tasks[0].payload: is required");
    EXPECT_EQ(refusalWith([](Value &it) { it["tasks"] = "t"; }), "400 tasks: must be an array");
    EXPECT_EQ(refusalWith([](Value &it) { it["id"] = "a b"; }),
              "400 id: must have visible ASCII characters only");
    EXPECT_EQ(refusalWith([](Value &it) { it["id"] = std::string(129, 'a'); }),
              "400 id: must have 1 to 128 characters");
    EXPECT_EQ(refusalWith([](Value &it) { it["id"] = 7; }), "400 id: must be a string");
    EXPECT_EQ(refusalWith([](Value &it) { it.removeMember("id"); }), "400 id: is required");
    EXPECT_EQ(refusalWith([](Value &it) { it["idempotant"] = true; }),
              "400 idempotant: unknown field");
    EXPECT_EQ(refusalWith([](Value &it) { it["idempotent"] = 1; }),
              "400 idempotent: must be true or false");
    for (const Value &deadline : {Value(0), Value(-5), Value(600'001), Value("5"), Value(1.5)})
        EXPECT_EQ(refusalWith([&](Value &it) { it["deadline_ms"] = deadline; }),
                  "400 deadline_ms: must be an integer from 1 to 600000");
    EXPECT_EQ(refusalOf(post("[]")), "400 body: must be an object");
    EXPECT_EQ(refusalOf(post(std::string(5000, ' '))), "413 body: must have at most 4096 bytes");
    for (const std::string &body : {std::string("{"), std::string(), std::string(4000, '['),
                                    std::string(R"({"id":"a","id":"b"})")})
        EXPECT_TRUE(refusalOf(post(body)).starts_with("400 body: no JSON")) << body.substr(0, 20);
}

TEST(CallerApi, Allows370TasksAndRefuses371)
{
    FleetConfig config = fleet();
    config.limits.maxBodyBytes = 1 << 20;
    Json::Value json = jobJson();
    for (Json::ArrayIndex i = 1; i < 370; ++i) {
        json["tasks"][i] = json["tasks"][0];
        json["tasks"][i]["id"] = "t" + std::to_string(i);
    }
    EXPECT_EQ(refusalOf(post(writeJson(json), config)), "accepted");
    json["tasks"][370] = json["tasks"][0];
    EXPECT_EQ(refusalOf(post(writeJson(json), config)),
              "400 tasks: must have 1 to 370 tasks, not 371");
}

// A damaged body must not end the process.
RC_GTEST_PROP(CallerApi, AnyBodyIsReadOrRefused, ())
{
    std::string body = writeJson(jobJson());
    const auto edits = *rc::gen::inRange(1, 6);
    for (int i = 0; i < edits; ++i)
        body[*rc::gen::inRange<std::size_t>(0, body.size())] = *rc::gen::arbitrary<char>();
    const auto result = post(body);
    // RC_ASSERT evaluates both sides of ||, and errorOf() throws for a valid result.
    const bool isReadOrRefused = isOk(result) || errorOf(result).status == 400;
    RC_ASSERT(isReadOrRefused);
}

TEST(CallerApi, ReadsPathsAndQueries)
{
    const auto call
        = [](const char *method, const char *path, std::map<std::string, std::string> query = {}) {
              return parseCallerRequest({method, path, std::move(query), {}, ""}, fleet());
          };
    const auto query = call("GET", "/v1/jobs/bookings/j/1", {{"wait_ms", "1500"}});
    ASSERT_EQ(refusalOf(query), "accepted");
    EXPECT_EQ(valueOf(query).key.value, "bookings/j/1");
    EXPECT_EQ(valueOf(query).wait, 1500ms);
    EXPECT_EQ(valueOf(call("DELETE", "/v1/jobs/bookings/j")).action, CallerAction::Cancel);
    EXPECT_EQ(refusalOf(call("PUT", "/v1/jobs/bookings/j")), "405 : use GET or DELETE");
    EXPECT_EQ(refusalOf(call("GET", "/v1/jobs")), "405 : use POST");
    for (const char *path : {"/v1/jobs/", "/v1/jobs/bookings", "/v1/jobs/bookings/", "/v1/jobs//j",
                             "/v1/jobsx", "/", ""})
        EXPECT_TRUE(refusalOf(call("GET", path)).starts_with("404 path")) << path;
    for (const char *wait : {"", "-1", "1s", "600001", "99999999999999999999"})
        EXPECT_EQ(refusalOf(call("GET", "/v1/jobs/bookings/j", {{"wait_ms", wait}})),
                  "400 wait_ms: must be an integer from 0 to 600000");
    EXPECT_EQ(refusalOf(call("GET", "/v1/jobs/bookings/j", {{"wait", "1"}})),
              "400 wait: unknown query parameter");
}

// A resubmission with a shorter deadline is the same job and must have the same hash. Any other
// difference must give another hash, because otherwise a caller would get the answer of another
// job.
TEST(CallerApi, ContentHashCoversWhatTheJobDoes)
{
    const JobSpec base = valueOf(post(writeJson(jobJson()))).spec;
    JobSpec later = base;
    later.deadline = 5s;
    EXPECT_EQ(contentHashOf(later), base.contentHash);
    const auto differs = [&](auto change) {
        JobSpec other = base;
        change(other);
        return contentHashOf(other) != base.contentHash;
    };
    EXPECT_TRUE(differs([](JobSpec &it) { it.idempotent = true; }));
    EXPECT_TRUE(differs([](JobSpec &it) { it.jobClass = "bulk"; }));
    EXPECT_TRUE(differs([](JobSpec &it) { it.upstream = "tarakimu"; }));
    EXPECT_TRUE(differs([](JobSpec &it) { it.tasks[0].payload += 'x'; }));
    EXPECT_TRUE(differs([](JobSpec &it) { it.tasks[0].needs.accelerators = 1; }));
    EXPECT_TRUE(differs([](JobSpec &it) { it.tasks.push_back(it.tasks[0]); }));
    EXPECT_TRUE(differs([](JobSpec &it) {
        it.tasks[0].id = "t0s"; // the same bytes in total, split at another place
        it.tasks[0].payload = "eat";
    }));
}

TEST(CallerApi, AnswersKeepTheirMeaning)
{
    const auto respond = [](const decltype(AnswerCaller::reply) &reply) {
        return toResponse(AnswerCaller{{1}, {"bookings/j/1"}, reply}, "ab");
    };
    const HttpResponse done = respond(
        Answer{Outcome::Completed, "", std::nullopt, {{"t0", 200, "ok"}, {"t1", 404, "\xff"}}});
    EXPECT_EQ(done.status, 200);
    EXPECT_EQ(done.body, R"({"id":"j/1","outcome":"completed","tasks":[)"
                         R"({"body":"ok","id":"t0","status":200},)"
                         R"({"body_base64":"/w==","id":"t1","status":404}],)"
                         R"("team":"bookings","trace_id":"ab"})"
                         "\n");
    const HttpResponse later = respond(Answer{Outcome::NotRun, "queue_full", 1200ms, {}});
    EXPECT_EQ(later.status, 503);
    EXPECT_EQ(later.headers.at("Retry-After"), "2");
    EXPECT_EQ(valueOf(readJson(later.body))["retry_after_ms"].asInt(), 1200);
    const HttpResponse never = respond(Answer{Outcome::NotRun, "cannot_run", std::nullopt, {}});
    EXPECT_EQ(never.status, 422);
    EXPECT_FALSE(never.headers.contains("Retry-After"));
    EXPECT_EQ(respond(Answer{Outcome::Unknown, "home_lost", 1s, {}}).status, 502);
    EXPECT_EQ(respond(JobAccepted{}).status, 202);
    EXPECT_EQ(respond(JobNotFound{}).status, 404);
    EXPECT_EQ(respond(SubmitRefusal::ContentMismatch).status, 409);
    EXPECT_EQ(notReadyResponse().status, 503);
}

} // namespace
} // namespace cactuscove
