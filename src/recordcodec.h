// Log records as JSON. Every reader must skip the same records, so the decoder is the only place
// that decides which text is a record.

#pragma once

#include "records.h"
#include "result.h"

#include <json/value.h>

#include <string>
#include <string_view>

namespace cactuscove {

struct CodecError
{
    std::string reason;
};

std::string encodeRecord(const Record &record);
Result<Record, CodecError> decodeRecord(std::string_view text);

// The same encoding as a JSON value, to be embedded in messages.
Json::Value recordToJson(const Record &record);
Result<Record, CodecError> recordFromJson(const Json::Value &json);

// Compact JSON text, and its strict reading: no comments, no duplicate keys, bounded depth.
std::string writeJson(const Json::Value &json);
Result<Json::Value, CodecError> readJson(std::string_view text);

Json::Value memberToJson(const Member &member);
Result<Member, CodecError> memberFromJson(const Json::Value &json);

} // namespace cactuscove
