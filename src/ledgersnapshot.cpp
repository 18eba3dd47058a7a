// Writes the whole ledger state as JSON text and restores it. Two ledgers at the same offset write
// the same bytes.

#include "jsonfields.h"
#include "ledger.h"
#include "recordcodec.h"

#include <json/value.h>

namespace cactuscove {

using namespace jsonfields;

namespace {

Json::Value memberStateToJson(const MemberState &state)
{
    Json::Value json;
    json["member"] = memberToJson(state.member);
    json["registered_at"] = uint(state.registeredAt.value);
    json["down"] = state.isDown;
    json["left"] = state.hasLeft;
    json["heir"] = uint(state.successor.value);
    Json::Value &votes = json["suspected_by"] = Json::Value(Json::arrayValue);
    for (const Incarnation voter : state.suspectedBy)
        votes.append(uint(voter.value));
    return json;
}

MemberState memberStateFromJson(const Json::Value &json)
{
    auto member = memberFromJson(field(json, "member"));
    if (!isOk(member))
        throw FieldError{errorOf(member).reason};
    MemberState state;
    state.member = std::move(valueOf(member));
    state.registeredAt = LogOffset{number(json, "registered_at")};
    state.isDown = boolean(json, "down");
    state.hasLeft = boolean(json, "left");
    state.successor = Incarnation{number(json, "heir")};
    for (const Json::Value &voter : array(json, "suspected_by"))
        state.suspectedBy.insert(Incarnation{voter.asUInt64()});
    return state;
}

// An array [shard, epoch, home, claimed at, transferred] instead of an object keeps snapshots
// small.
Json::Value shardToJson(std::uint16_t index, const ShardState &state)
{
    Json::Value json(Json::arrayValue);
    json.append(index);
    json.append(uint(state.epoch.value));
    json.append(uint(state.home.value));
    json.append(uint(state.claimedAt.value));
    json.append(state.transferred);
    return json;
}

Json::Value configToJson(const AcceptedConfig &config)
{
    Json::Value json;
    json["revision"] = uint(config.revision.value);
    json["text"] = config.text;
    json["office"] = config.office;
    json["author"] = config.author;
    json["offset"] = uint(config.offset.value);
    return json;
}

AcceptedConfig configFromJson(const Json::Value &json)
{
    AcceptedConfig config{Revision{number(json, "revision")},
                          text(json, "text"),
                          text(json, "office"),
                          text(json, "author"),
                          LogOffset{number(json, "offset")},
                          nullptr};
    auto parsed = parseFleetConfig(config.text);
    if (!isOk(parsed))
        throw FieldError{"accepted configuration in the snapshot is not valid for this version"};
    config.parsed = std::make_shared<const FleetConfig>(std::move(valueOf(parsed)));
    return config;
}

} // namespace

SnapshotRecord Ledger::snapshot() const
{
    Json::Value json(Json::objectValue);
    Json::Value &members = json["members"] = Json::Value(Json::arrayValue);
    for (const auto &[incarnation, state] : m_members)
        members.append(memberStateToJson(state));
    Json::Value &shards = json["shards"] = Json::Value(Json::arrayValue);
    for (std::uint16_t i = 0; i < ShardCount; ++i) {
        if (m_shards[i].epoch.value > 0)
            shards.append(shardToJson(i, m_shards[i]));
    }
    Json::Value &configs = json["configs"] = Json::Value(Json::arrayValue);
    for (const AcceptedConfig &config : m_history)
        configs.append(configToJson(config));
    Json::Value &appends = json["appends"] = Json::Value(Json::arrayValue);
    for (const std::string &appendId : m_appendOrder)
        appends.append(appendId);
    // For an empty ledger this is the offset before 0, which wraps around to the highest number;
    // fromSnapshot() wraps it back to 0.
    return {LogOffset{m_next.value - 1}, writeJson(json)};
}

Result<Ledger, LedgerError> Ledger::fromSnapshot(const SnapshotRecord &snapshot)
{
    const auto json = readJson(snapshot.state);
    if (!isOk(json))
        return LedgerError{errorOf(json).reason};
    Ledger ledger;
    ledger.m_next = LogOffset{snapshot.asOf.value + 1};
    try {
        ledger.restore(valueOf(json));
    } catch (const FieldError &ec) {
        return LedgerError{ec.reason};
    } catch (const Json::Exception &ec) {
        return LedgerError{ec.what()}; // an element of an array has another JSON type
    }
    return ledger;
}

void Ledger::restore(const Json::Value &json)
{
    for (const Json::Value &it : array(json, "members")) {
        MemberState state = memberStateFromJson(it);
        const Incarnation incarnation = state.member.incarnation;
        m_members.emplace(incarnation, std::move(state));
    }
    for (const Json::Value &it : array(json, "shards")) {
        if (!it.isArray() || it.size() != 5 || it[0].asUInt() >= ShardCount)
            throw FieldError{"shard in the snapshot is malformed"};
        m_shards[it[0].asUInt()] = {Epoch{it[1].asUInt64()}, Incarnation{it[2].asUInt64()},
                                    LogOffset{it[3].asUInt64()}, it[4].asBool()};
    }
    for (const Json::Value &it : array(json, "configs"))
        m_history.push_back(configFromJson(it));
    for (const Json::Value &it : array(json, "appends"))
        rememberAppend(it.asString());
}

} // namespace cactuscove
