// Strict parser of caller requests. Unknown or malformed fields are refused, because ignoring one
// could run another job than the caller asked for.

#include "callerapi.h"

#include "recordcodec.h"
#include "textencoding.h"
#include "tracing.h"

#include <json/json.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <initializer_list>
#include <set>

namespace cactuscove {

using namespace std::chrono_literals;

namespace {

constexpr std::string_view JobsPath = "/v1/jobs";

constexpr std::size_t MaxIdBytes = 128;
constexpr std::int64_t DefaultDeadlineMs = 30'000;
constexpr std::int64_t MaxDeadlineMs = 600'000;
// A declared run time is only a hint; the limit keeps sums of it small.
constexpr std::int64_t MaxDeclaredMs = 3'600'000;
constexpr std::int64_t MaxAccelerators = 1024;
constexpr std::int64_t MaxMemoryMb = 16'777'216;
constexpr std::int64_t MaxWaitMs = 600'000;

// A home may answer a job as late as its deadline. The caller waits this much longer, so that the
// answer can still arrive.
constexpr Duration AnswerGrace = 1s;
constexpr Duration DefaultCancelWait = 5s;

CallerError badRequest(std::string field, std::string reason)
{
    return {400, "bad_request", std::move(field), std::move(reason)};
}

// Thrown at the first error in a request; caught in parseCallerRequest().
struct RequestException
{
    CallerError error;
};

[[noreturn]] void refuse(std::string field, std::string reason)
{
    throw RequestException{badRequest(std::move(field), std::move(reason))};
}

std::string joinPath(const std::string &path, std::string_view name)
{
    return path.empty() ? std::string(name) : path + '.' + std::string(name);
}

// Typed access to the fields of one JSON object. Each accessor throws RequestException with the
// path of the field in the body if the field is invalid.
class ObjectReader
{
public:
    // Refuses a value that is not an object, and fields that are not in `known`.
    ObjectReader(const Json::Value &json, std::string path,
                 std::initializer_list<std::string_view> known)
        : m_json(json)
        , m_path(std::move(path))
    {
        if (!json.isObject())
            refuse(m_path.empty() ? "body" : m_path, "must be an object");
        for (const std::string &name : json.getMemberNames())
            if (std::find(known.begin(), known.end(), name) == known.end())
                refuse(joinPath(m_path, name.substr(0, MaxIdBytes)), "unknown field");
    }

    // Refuses a missing field.
    const Json::Value &required(const char *name) const
    {
        if (!m_json.isMember(name))
            refuse(pathOf(name), "is required");
        return m_json[name];
    }

    std::string text(const char *name) const
    {
        const Json::Value &value = required(name);
        if (!value.isString())
            refuse(pathOf(name), "must be a string");
        return value.asString();
    }

    // A required identifier of 1 to 128 visible ASCII characters.
    std::string id(const char *name) const
    {
        std::string value = text(name);
        if (value.empty() || value.size() > MaxIdBytes)
            refuse(pathOf(name), "must have 1 to 128 characters");
        if (!std::all_of(value.begin(), value.end(), [](char c) { return c > ' ' && c < 0x7f; }))
            refuse(pathOf(name), "must have visible ASCII characters only");
        return value;
    }

    // Returns `fallback` if the field is missing.
    std::int64_t number(const char *name, std::int64_t min, std::int64_t max,
                        std::int64_t fallback) const
    {
        if (!m_json.isMember(name))
            return fallback;
        const Json::Value &value = m_json[name];
        if (!value.isInt64() || value.asInt64() < min || value.asInt64() > max)
            refuse(pathOf(name),
                   "must be an integer from " + std::to_string(min) + " to " + std::to_string(max));
        return value.asInt64();
    }

    // Returns `fallback` if the field is missing.
    bool flag(const char *name, bool fallback) const
    {
        if (!m_json.isMember(name))
            return fallback;
        if (!m_json[name].isBool())
            refuse(pathOf(name), "must be true or false");
        return m_json[name].asBool();
    }

    bool has(const char *name) const { return m_json.isMember(name); }
    std::string pathOf(const char *name) const { return joinPath(m_path, name); }

private:
    const Json::Value &m_json;
    std::string m_path;
};

TaskSpec readTask(const Json::Value &json, const std::string &path)
{
    const ObjectReader reader(json, path, {"id", "payload", "declared_ms", "needs"});
    TaskSpec task;
    task.id = reader.id("id");
    const Json::Value &payload = reader.required("payload");
    task.payload = payload.isString() ? payload.asString() : writeJson(payload);
    task.declaredRunTime
        = std::chrono::milliseconds(reader.number("declared_ms", 0, MaxDeclaredMs, 0));
    if (reader.has("needs")) {
        const ObjectReader needs(reader.required("needs"), reader.pathOf("needs"),
                                 {"accelerator", "memory_mb"});
        task.needs.accelerators
            = static_cast<std::uint32_t>(needs.number("accelerator", 0, MaxAccelerators, 0));
        task.needs.memoryMb
            = static_cast<std::uint32_t>(needs.number("memory_mb", 0, MaxMemoryMb, 0));
    }
    return task;
}

std::vector<TaskSpec> readTasks(const Json::Value &json, std::size_t limit)
{
    if (!json.isArray())
        refuse("tasks", "must be an array");
    if (json.empty() || json.size() > limit)
        refuse("tasks", "must have 1 to " + std::to_string(limit) + " tasks, not "
                            + std::to_string(json.size()));
    std::vector<TaskSpec> tasks;
    std::set<std::string_view> ids;
    tasks.reserve(json.size()); // prevents reallocation, because `ids` refers to the tasks
    for (Json::ArrayIndex i = 0; i < json.size(); ++i) {
        const std::string path = "tasks[" + std::to_string(i) + ']';
        tasks.push_back(readTask(json[i], path));
        if (!ids.insert(tasks.back().id).second)
            refuse(path + ".id", "is used by an earlier task");
    }
    return tasks;
}

// Refuses names that the configuration does not have, and an upstream that the team may not use.
void checkReferences(const FleetConfig &config, const JobSpec &spec)
{
    const auto team = config.teams.find(spec.team);
    if (team == config.teams.end())
        refuse("team", "unknown team");
    if (!config.classes.contains(spec.jobClass))
        refuse("class", "unknown class");
    const std::vector<std::string> &allowed = team->second.upstreams;
    if (std::find(allowed.begin(), allowed.end(), spec.upstream) != allowed.end())
        return;
    refuse("upstream", config.upstreams.contains(spec.upstream)
                           ? "the team may not use this upstream"
                           : "unknown upstream");
}

JobSpec readJob(const Json::Value &json, const FleetConfig &config)
{
    const ObjectReader reader(
        json, "", {"id", "team", "class", "upstream", "deadline_ms", "idempotent", "tasks"});
    JobSpec spec;
    const std::string id = reader.id("id");
    spec.team = reader.id("team");
    spec.key = JobKey{spec.team + '/' + id};
    spec.jobClass = reader.id("class");
    spec.upstream = reader.id("upstream");
    checkReferences(config, spec);
    const std::int64_t maxDeadline = std::min<std::int64_t>(
        MaxDeadlineMs,
        std::chrono::floor<std::chrono::milliseconds>(config.limits.maxDeadline).count());
    spec.deadline = std::chrono::milliseconds(
        reader.number("deadline_ms", 1, maxDeadline, std::min(DefaultDeadlineMs, maxDeadline)));
    spec.idempotent = reader.flag("idempotent", false);
    spec.tasks = readTasks(reader.required("tasks"),
                           std::min<std::size_t>(MaxTasksPerJob, config.limits.maxTasksPerJob));
    spec.contentHash = contentHashOf(spec);
    return spec;
}

// The query parameter `wait_ms`, or `fallback` if it is missing.
Duration readWait(const HttpRequest &request, Duration fallback)
{
    for (const auto &[name, value] : request.query)
        if (name != "wait_ms")
            refuse(name.substr(0, MaxIdBytes), "unknown query parameter");
    const auto it = request.query.find("wait_ms");
    if (it == request.query.end())
        return fallback;
    std::int64_t wait = 0;
    const char *end = it->second.data() + it->second.size();
    const auto [parsed, ec] = std::from_chars(it->second.data(), end, wait);
    if (ec != std::errc() || parsed != end || wait < 0 || wait > MaxWaitMs)
        refuse("wait_ms", "must be an integer from 0 to " + std::to_string(MaxWaitMs));
    return std::chrono::milliseconds(wait);
}

void readSubmission(const HttpRequest &request, const FleetConfig &config, CallerCommand &command)
{
    if (request.body.size() > config.limits.maxBodyBytes)
        throw RequestException{
            {413, "too_large", "body",
             "must have at most " + std::to_string(config.limits.maxBodyBytes) + " bytes"}};
    const auto json = readJson(request.body);
    if (!isOk(json))
        refuse("body", errorOf(json).reason);
    command.action = CallerAction::Submit;
    command.spec = readJob(valueOf(json), config);
    command.key = command.spec.key;
    command.wait = readWait(request, command.spec.deadline + AnswerGrace);
}

// Reads a request for one job. `rest` is the part of the path after "/v1/jobs/": "{team}/{id}". The
// id may contain slashes; the name of a team may not.
void readJobPath(const HttpRequest &request, std::string_view rest, CallerCommand &command)
{
    const std::size_t slash = rest.find('/');
    const bool isKey = slash != std::string_view::npos && slash > 0 && slash + 1 < rest.size()
                       && rest.size() <= 2 * MaxIdBytes + 1;
    if (!isKey)
        throw RequestException{{404, "not_found", "path", "expected /v1/jobs/{team}/{id}"}};
    if (request.method != "GET" && request.method != "DELETE")
        throw RequestException{{405, "method_not_allowed", "", "use GET or DELETE"}};
    const bool isCancel = request.method == "DELETE";
    command.action = isCancel ? CallerAction::Cancel : CallerAction::Query;
    command.key = JobKey{std::string(rest)};
    command.wait = readWait(request, isCancel ? DefaultCancelWait : Duration::zero());
}

} // namespace

Result<CallerCommand, CallerError> parseCallerRequest(const HttpRequest &request,
                                                      const FleetConfig &config)
{
    CallerCommand command;
    const std::string_view path = request.path;
    try {
        if (path == JobsPath) {
            if (request.method != "POST")
                return CallerError{405, "method_not_allowed", "", "use POST"};
            readSubmission(request, config, command);
        } else if (path.starts_with(JobsPath) && path[JobsPath.size()] == '/') {
            readJobPath(request, path.substr(JobsPath.size() + 1), command);
        } else {
            return CallerError{404, "not_found", "path", "unknown path"};
        }
    } catch (const RequestException &ex) {
        return ex.error;
    }
    if (const auto it = request.headers.find("traceparent"); it != request.headers.end())
        command.trace = parseTraceparent(it->second);
    return command;
}

std::uint64_t contentHashOf(const JobSpec &spec)
{
    // Each text is preceded by its length, so that different jobs never yield the same bytes.
    std::string bytes;
    const auto addNumber = [&](std::uint64_t value) {
        bytes.append(reinterpret_cast<const char *>(&value), sizeof(value));
    };
    const auto addText = [&](const std::string &text) {
        addNumber(text.size());
        bytes += text;
    };
    addText(spec.key.value);
    addText(spec.jobClass);
    addText(spec.upstream);
    addNumber(spec.idempotent ? 1 : 0);
    addNumber(spec.tasks.size());
    for (const TaskSpec &task : spec.tasks) {
        addText(task.id);
        addText(task.payload);
        addNumber(static_cast<std::uint64_t>(task.declaredRunTime.count()));
        addNumber(task.needs.accelerators);
        addNumber(task.needs.memoryMb);
    }
    const std::uint64_t hash = XXH3_64bits(bytes.data(), bytes.size());
    return hash == 0 ? 1 : hash; // 0 means "not known" in Witness messages
}

} // namespace cactuscove
