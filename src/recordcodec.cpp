// Encodes and decodes log records with jsoncpp.

#include "recordcodec.h"

#include "jsonfields.h"

#include <json/reader.h>
#include <json/value.h>
#include <json/writer.h>

#include <memory>

namespace cactuscove {

using namespace jsonfields;

namespace {

// Records need three levels. jsoncpp throws an exception if a text is nested deeper than the limit.
constexpr int MaxJsonDepth = 32;

// Ledgers remember append ids, so their size must be bounded.
constexpr std::size_t MaxAppendIdBytes = 128;

// An incarnation that must name a process; 0 does not name one.
Incarnation nonzeroIncarnation(const Json::Value &json, const char *name)
{
    const Incarnation incarnation{number(json, name)};
    if (incarnation.value == 0)
        throw FieldError{std::string("field names no process: ") + name};
    return incarnation;
}

Member readMember(const Json::Value &json)
{
    Member member;
    member.incarnation = nonzeroIncarnation(json, "incarnation");
    const std::string role = text(json, "role");
    if (role != "entry" && role != "agent")
        throw FieldError{"unknown role"};
    member.role = role == "entry" ? Role::Entry : Role::Agent;
    member.address = text(json, "address");
    member.dataCentre = text(json, "data_centre");
    member.rack = text(json, "rack");
    member.office = text(json, "office");
    return member;
}

ClaimRecord readClaim(const Json::Value &json)
{
    ClaimRecord record;
    record.home = nonzeroIncarnation(json, "home");
    record.transferred = boolean(json, "transferred");
    for (const Json::Value &it : array(json, "claims")) {
        const auto shard = static_cast<std::uint16_t>(number(it, "shard", ShardCount - 1));
        record.claims.push_back({ShardId{shard}, Epoch{number(it, "epoch")}});
    }
    return record;
}

RecordBody readBody(const Json::Value &json)
{
    const std::string type = text(json, "type");
    if (type == "register")
        return RegisterRecord{readMember(field(json, "member"))};
    if (type == "suspect")
        return SuspectRecord{nonzeroIncarnation(json, "by"),
                             nonzeroIncarnation(json, "incarnation")};
    if (type == "clear")
        return ClearRecord{nonzeroIncarnation(json, "by"), nonzeroIncarnation(json, "incarnation")};
    if (type == "leave")
        return LeaveRecord{nonzeroIncarnation(json, "incarnation"),
                           Incarnation{number(json, "heir")}};
    if (type == "retire")
        return RetireRecord{nonzeroIncarnation(json, "incarnation")};
    if (type == "claim")
        return readClaim(json);
    if (type == "config")
        return ConfigRecord{Revision{number(json, "base")}, text(json, "text"),
                            text(json, "office"), text(json, "author")};
    if (type == "snapshot")
        return SnapshotRecord{LogOffset{number(json, "as_of")}, text(json, "state")};
    if (type == "malformed")
        return MalformedRecord{};
    throw FieldError{"unknown type"};
}

// Writes the fields of each type of record body into `json`.
struct BodyWriter
{
    Json::Value &json;

    void operator()(const RegisterRecord &it) const
    {
        json["type"] = "register";
        json["member"] = memberToJson(it.member);
    }

    void operator()(const SuspectRecord &it) const
    {
        json["type"] = "suspect";
        json["by"] = uint(it.by.value);
        json["incarnation"] = uint(it.incarnation.value);
    }

    void operator()(const ClearRecord &it) const
    {
        json["type"] = "clear";
        json["by"] = uint(it.by.value);
        json["incarnation"] = uint(it.incarnation.value);
    }

    void operator()(const LeaveRecord &it) const
    {
        json["type"] = "leave";
        json["incarnation"] = uint(it.incarnation.value);
        // Keeps the name that processes of earlier versions know.
        json["heir"] = uint(it.successor.value);
    }

    void operator()(const RetireRecord &it) const
    {
        json["type"] = "retire";
        json["incarnation"] = uint(it.incarnation.value);
    }

    void operator()(const ClaimRecord &it) const
    {
        json["type"] = "claim";
        json["home"] = uint(it.home.value);
        json["transferred"] = it.transferred;
        Json::Value &claims = json["claims"] = Json::Value(Json::arrayValue);
        for (const ShardClaim &claim : it.claims) {
            Json::Value &entry = claims.append(Json::Value(Json::objectValue));
            entry["shard"] = claim.shard.value;
            entry["epoch"] = uint(claim.epoch.value);
        }
    }

    void operator()(const ConfigRecord &it) const
    {
        json["type"] = "config";
        json["base"] = uint(it.base.value);
        json["text"] = it.text;
        json["office"] = it.office;
        json["author"] = it.author;
    }

    void operator()(const MalformedRecord &) const { json["type"] = "malformed"; }

    void operator()(const SnapshotRecord &it) const
    {
        json["type"] = "snapshot";
        json["as_of"] = uint(it.asOf.value);
        json["state"] = it.state;
    }
};

} // namespace

std::string writeJson(const Json::Value &json)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, json);
}

Result<Json::Value, CodecError> readJson(std::string_view text)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["stackLimit"] = MaxJsonDepth;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value json;
    std::string errors;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &json, &errors))
            return json;
    } catch (const Json::Exception &ex) {
        errors = ex.what();
    }
    return CodecError{"no JSON: " + errors};
}

Json::Value memberToJson(const Member &member)
{
    Json::Value json;
    json["incarnation"] = uint(member.incarnation.value);
    json["role"] = member.role == Role::Entry ? "entry" : "agent";
    json["address"] = member.address;
    json["data_centre"] = member.dataCentre;
    json["rack"] = member.rack;
    json["office"] = member.office;
    return json;
}

Result<Member, CodecError> memberFromJson(const Json::Value &json)
{
    try {
        return readMember(json);
    } catch (const FieldError &ex) {
        return CodecError{ex.reason};
    }
}

Json::Value recordToJson(const Record &record)
{
    Json::Value json;
    json["id"] = record.appendId;
    std::visit(BodyWriter{json}, record.body);
    return json;
}

Result<Record, CodecError> recordFromJson(const Json::Value &json)
{
    try {
        Record record{text(json, "id"), readBody(json)};
        const bool needsId = !std::holds_alternative<MalformedRecord>(record.body);
        if ((needsId && record.appendId.empty()) || record.appendId.size() > MaxAppendIdBytes)
            return CodecError{"append id is empty or too long"};
        return record;
    } catch (const FieldError &ex) {
        return CodecError{ex.reason};
    }
}

std::string encodeRecord(const Record &record)
{
    return writeJson(recordToJson(record));
}

Result<Record, CodecError> decodeRecord(std::string_view text)
{
    const auto json = readJson(text);
    if (!isOk(json))
        return errorOf(json);
    return recordFromJson(valueOf(json));
}

} // namespace cactuscove
