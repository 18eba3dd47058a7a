// JSON encoding of log records and fleet members, and strict JSON parsing. All processes must skip
// the same malformed records to reach the same ledger state, so only this decoder decides whether a
// text is a record.

#pragma once

#include "records.h"
#include "result.h"

#include <json/value.h>

#include <string>
#include <string_view>

namespace cactuscove {

// Why a text or JSON value cannot be decoded.
struct CodecError
{
    std::string reason;
};

// Encodes a record as the text that is appended to the log.
std::string encodeRecord(const Record &record);
// Returns an error for text that is not valid JSON, lacks a field, has an unknown `type`, or has an
// append id that is empty or longer than 128 bytes.
Result<Record, CodecError> decodeRecord(std::string_view text);

// The same encoding as a JSON value, for records that are embedded in messages.
Json::Value recordToJson(const Record &record);
Result<Record, CodecError> recordFromJson(const Json::Value &json);

// Returns compact JSON text.
std::string writeJson(const Json::Value &json);
// Parses JSON text. Comments, duplicate keys and nesting deeper than 32 levels are errors.
Result<Json::Value, CodecError> readJson(std::string_view text);

// Encoding of one member, as in the `register` record and in ledger snapshots.
Json::Value memberToJson(const Member &member);
Result<Member, CodecError> memberFromJson(const Json::Value &json);

} // namespace cactuscove
