// Strict reading of JSON fields. The accessors throw FieldError, which the decoders turn into their
// own errors; jsoncpp's own accessors read missing fields as 0 or empty.

#pragma once

#include <json/value.h>

#include <cstdint>
#include <limits>
#include <string>

namespace cactuscove::jsonfields {

struct FieldError
{
    std::string reason;
};

const Json::Value &field(const Json::Value &json, const char *name);
std::uint64_t number(const Json::Value &json, const char *name,
                     std::uint64_t max = std::numeric_limits<std::uint64_t>::max());
std::string text(const Json::Value &json, const char *name);
bool flag(const Json::Value &json, const char *name);
const Json::Value &array(const Json::Value &json, const char *name);

// Json::Value has no constructor from std::uint64_t that is unambiguous on every platform.
Json::Value uint(std::uint64_t value);

} // namespace cactuscove::jsonfields
