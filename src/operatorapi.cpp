// Request handlers of the operators' HTTP API.

#include "operatorapi.h"

#include "fleetconfig.h"
#include "jsonfields.h"
#include "recordcodec.h"

#include <json/value.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <optional>

namespace cactuscove {

using jsonfields::uint;

namespace {

constexpr char ConfigPath[] = "/v1/config";
constexpr char HistoryPath[] = "/v1/config/history";
constexpr char PlanPath[] = "/v1/config/plan";
constexpr char StatusPath[] = "/v1/status";

constexpr std::size_t MaxVisibleNameBytes = 64;

HttpResponse jsonResponse(int status, const Json::Value &json)
{
    return {status, writeJson(json) + "\n"};
}

HttpResponse errorResponse(int status, const std::string &error, const std::string &reason)
{
    Json::Value json;
    json["error"] = error;
    json["reason"] = reason;
    return jsonResponse(status, json);
}

HttpResponse badRequestResponse(const std::string &field, const std::string &reason)
{
    Json::Value json;
    json["error"] = "bad_request";
    json["field"] = field;
    json["reason"] = reason;
    return jsonResponse(400, json);
}

HttpResponse invalidFileResponse(const ConfigErrors &errors)
{
    Json::Value json;
    json["error"] = "invalid_config";
    for (const ConfigError &it : errors) {
        Json::Value &entry = json["errors"].append(Json::Value(Json::objectValue));
        entry["line"] = it.line;
        entry["field"] = it.field;
        entry["value"] = it.value;
        entry["reason"] = it.reason;
    }
    return jsonResponse(422, json);
}

// A query parameter; empty if it is missing.
std::string queryParameter(const HttpRequest &request, const std::string &name)
{
    const auto it = request.query.find(name);
    return it == request.query.end() ? "" : it->second;
}

std::optional<Revision> parseRevision(const std::string &text)
{
    Revision revision;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), revision.value);
    if (text.empty() || ec != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return revision;
}

// Whether the name of an office or author has 1 to 64 visible ASCII characters.
bool isVisibleName(const std::string &text)
{
    return !text.empty() && text.size() <= MaxVisibleNameBytes
           && std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
}

Json::Value toJson(const AcceptedConfig &config)
{
    Json::Value json;
    json["revision"] = uint(config.revision.value);
    json["office"] = config.office;
    json["author"] = config.author;
    return json;
}

Json::Value changesBetween(const FleetConfig &before, const FleetConfig &after)
{
    Json::Value json(Json::arrayValue);
    for (const std::string &line : diffFleetConfig(before, after))
        json.append(line);
    return json;
}

// In the same notation as in log lines. JSON readers often round a number of this size.
std::string hexText(Incarnation incarnation)
{
    char buf[17];
    std::snprintf(buf, sizeof(buf), "%016llx", static_cast<unsigned long long>(incarnation.value));
    return buf;
}

const char *stateName(const MemberState &state)
{
    if (state.hasLeft)
        return "left";
    return state.isDown ? "down" : "up";
}

Json::Value toJson(const LoadReport &load)
{
    Json::Value json;
    json["upstream"] = load.upstream;
    json["slots"] = load.slots;
    json["free_slots"] = load.freeSlots;
    json["queued"] = load.queued;
    json["draining"] = load.draining;
    return json;
}

} // namespace

OperatorApi::OperatorApi(EventLoop &loop, Incarnation self, const Ledger &ledger,
                         OperatorApiHooks hooks)
    : m_self(self)
    , m_loop(loop)
    , m_ledger(ledger)
    , m_hooks(std::move(hooks))
    , m_timer(loop, [this] { onTimer(); })
{}

bool OperatorApi::handle(RequestId id, const HttpRequest &request)
{
    if (request.path != ConfigPath && request.path != HistoryPath && request.path != PlanPath
        && request.path != StatusPath)
        return false;
    if (request.path != StatusPath && !m_hooks.isReady())
        m_hooks.respond(id, errorResponse(503, "not_ready", "the log has not been read yet"));
    else if (request.path == ConfigPath && request.method == "PUT")
        apply(id, request);
    else
        m_hooks.respond(id, readOnlyResponse(request));
    return true;
}

HttpResponse OperatorApi::readOnlyResponse(const HttpRequest &request) const
{
    if (request.method != (request.path == PlanPath ? "POST" : "GET"))
        return errorResponse(405, "bad_request", "no such method for this path");
    if (request.path == ConfigPath)
        return configResponse();
    if (request.path == HistoryPath)
        return historyResponse(request);
    return request.path == PlanPath ? planResponse(request.body) : statusResponse();
}

HttpResponse OperatorApi::configResponse() const
{
    const AcceptedConfig *current = m_ledger.config();
    Json::Value json = toJson(current ? *current : AcceptedConfig{});
    json["text"] = current ? current->text : "";
    return jsonResponse(200, json);
}

// The accepted revisions, newest first. The text of a file is included only if the query asks for
// one revision, because the texts of all 20 that are kept would be large.
HttpResponse OperatorApi::historyResponse(const HttpRequest &request) const
{
    const std::string revisionText = queryParameter(request, "revision");
    const std::optional<Revision> revision = parseRevision(revisionText);
    if (!revisionText.empty() && !revision)
        return badRequestResponse("revision", "must be a whole number");
    Json::Value json;
    Json::Value &revisions = json["revisions"] = Json::Value(Json::arrayValue);
    const auto &history = m_ledger.configHistory();
    for (std::size_t i = history.size(); i-- > 0;) {
        if (revision && history[i].revision != *revision)
            continue;
        Json::Value entry = toJson(history[i]);
        if (i > 0)
            entry["changes"] = changesBetween(*history[i - 1].parsed, *history[i].parsed);
        else if (history[i].revision == Revision{1})
            entry["changes"] = changesBetween(FleetConfig(), *history[i].parsed);
        if (revision)
            entry["text"] = history[i].text;
        revisions.append(entry);
    }
    if (revision && revisions.empty())
        return errorResponse(404, "not_found", "revision " + revisionText + " is not kept");
    return jsonResponse(200, json);
}

HttpResponse OperatorApi::planResponse(const std::string &text) const
{
    const auto parsed = parseFleetConfig(text);
    if (!isOk(parsed))
        return invalidFileResponse(errorOf(parsed));
    const AcceptedConfig *current = m_ledger.config();
    Json::Value json = toJson(current ? *current : AcceptedConfig{});
    json["changes"] = changesBetween(m_ledger.fleetConfig(), valueOf(parsed));
    return jsonResponse(200, json);
}

HttpResponse OperatorApi::statusResponse() const
{
    Json::Value json;
    const AcceptedConfig *current = m_ledger.config();
    json["config"] = toJson(current ? *current : AcceptedConfig{});
    json["ready"] = m_hooks.isReady();
    json["log_reachable"] = m_hooks.isLogReachable();
    json["ledger_next"] = uint(m_ledger.next().value);
    std::map<Incarnation, Json::Value> loads;
    for (const LoadReport &load : m_hooks.loads())
        loads[load.agent] = toJson(load);
    std::map<Incarnation, unsigned> shards;
    for (std::uint16_t i = 0; i < ShardCount; ++i)
        ++shards[m_ledger.shard(ShardId{i}).home];
    json["unowned_shards"] = shards[Incarnation{}];
    Json::Value &members = json["members"] = Json::Value(Json::arrayValue);
    for (const auto &[incarnation, state] : m_ledger.members()) {
        Json::Value member = memberToJson(state.member);
        member["incarnation"] = hexText(incarnation);
        member["state"] = stateName(state);
        member["suspected_by"] = uint(state.suspectedBy.size());
        if (state.member.role == Role::Agent)
            member["shards"] = shards[incarnation];
        if (const auto it = loads.find(incarnation); it != loads.end())
            member["load"] = it->second;
        members.append(member);
    }
    return jsonResponse(200, json);
}

void OperatorApi::apply(RequestId id, const HttpRequest &request)
{
    const std::optional<Revision> base = parseRevision(queryParameter(request, "base"));
    const std::string office = queryParameter(request, "office");
    const std::string author = queryParameter(request, "author");
    if (!base)
        return m_hooks.respond(id, badRequestResponse("base", "must be the revision of the plan"));
    if (!isVisibleName(office))
        return m_hooks.respond(id,
                               badRequestResponse("office", "must be 1 to 64 visible characters"));
    if (!isVisibleName(author))
        return m_hooks.respond(id,
                               badRequestResponse("author", "must be 1 to 64 visible characters"));
    const auto parsed = parseFleetConfig(request.body);
    if (!isOk(parsed))
        return m_hooks.respond(id, invalidFileResponse(errorOf(parsed)));
    // Revisions only rise, so an outdated base is refused without an append. A base that is newer
    // than the ledger of this entry may still be right, because the operator may have made the plan
    // at an entry that has read more of the log. The log then decides.
    const AcceptedConfig *current = m_ledger.config();
    ConfigRecord record{*base, request.body, office, author};
    if (current && *base < current->revision)
        return m_hooks.respond(id, applyResponse(record));
    if (!m_hooks.isLogReachable())
        return m_hooks.respond(
            id, errorResponse(503, "log_unreachable", "nothing has changed; try again later"));
    const std::string appendId
        = "config-" + std::to_string(m_self.value) + "-" + std::to_string(++m_lastAppendNumber);
    m_pendingApplies[appendId] = {id, record, m_loop.now() + m_hooks.applyTimeout};
    onTimer();
    m_hooks.append({appendId, std::move(record)});
}

void OperatorApi::onLedgerChange()
{
    for (auto it = m_pendingApplies.begin(); it != m_pendingApplies.end();) {
        if (!m_ledger.hasAppend(it->first)) {
            ++it;
            continue;
        }
        m_hooks.respond(it->second.request, applyResponse(it->second.record));
        it = m_pendingApplies.erase(it);
    }
}

// The record that was accepted on top of `base` became revision base + 1. The history therefore
// shows whether it was this record, even if the ledger skipped records by loading a snapshot. An
// equal file by the same author on the same base also counts as accepted: its content was put in
// force.
HttpResponse OperatorApi::applyResponse(const ConfigRecord &record) const
{
    for (const AcceptedConfig &it : m_ledger.configHistory()) {
        if (it.revision.value == record.base.value + 1 && it.text == record.text
            && it.office == record.office && it.author == record.author)
            return jsonResponse(200, toJson(it));
    }
    return conflictResponse(record.base);
}

HttpResponse OperatorApi::conflictResponse(Revision base) const
{
    const auto &history = m_ledger.configHistory();
    Json::Value json;
    json["error"] = "conflict";
    json["base"] = uint(base.value);
    json["current"] = toJson(history.empty() ? AcceptedConfig{} : history.back());
    const auto winner = std::find_if(history.begin(), history.end(), [base](const auto &it) {
        return it.revision.value == base.value + 1;
    });
    json["winner"] = winner == history.end() ? json["current"] : toJson(*winner);
    json["reason"] = winner == history.end() && (history.empty() || base > history.back().revision)
                         ? "no such revision"
                         : "another file was accepted first; nothing has changed";
    return jsonResponse(409, json);
}

void OperatorApi::onTimer()
{
    const TimePoint now = m_loop.now();
    TimePoint next = NeverTime;
    for (auto it = m_pendingApplies.begin(); it != m_pendingApplies.end();) {
        if (now < it->second.deadline) {
            next = std::min(next, it->second.deadline);
            ++it;
            continue;
        }
        m_hooks.respond(
            it->second.request,
            m_hooks.withdraw(it->first)
                ? errorResponse(503, "log_unreachable", "nothing has changed; try again later")
                : errorResponse(504, "unclear", "the log has not answered; see the history"));
        it = m_pendingApplies.erase(it);
    }
    m_timer.startAt(next);
}

} // namespace cactuscove
