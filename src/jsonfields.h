// Strict access to the fields of a JSON object, for decoders. Each accessor throws FieldError if
// the field is missing or has another type; decoders catch it and return an error of their own. The
// accessors of jsoncpp are not strict: they read a missing field as 0 or empty.

#pragma once

#include <json/value.h>

#include <cstdint>
#include <limits>
#include <string>

namespace cactuscove::jsonfields {

struct FieldError
{
    std::string reason; // contains the name of the field
};

// A field of any type. Throws FieldError as well if `json` is not an object.
const Json::Value &field(const Json::Value &json, const char *name);
// An integer from 0 to `max`.
std::uint64_t number(const Json::Value &json, const char *name,
                     std::uint64_t max = std::numeric_limits<std::uint64_t>::max());
std::string text(const Json::Value &json, const char *name);
// A boolean.
bool boolean(const Json::Value &json, const char *name);
const Json::Value &array(const Json::Value &json, const char *name);

// Converts to a JSON number. The constructors of Json::Value are ambiguous for std::uint64_t on
// some platforms.
Json::Value uint(std::uint64_t value);

} // namespace cactuscove::jsonfields
