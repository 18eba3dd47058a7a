// Strict access to the fields of a JSON object.

#include "jsonfields.h"

namespace cactuscove::jsonfields {

const Json::Value &field(const Json::Value &json, const char *name)
{
    const Json::Value *value
        = json.isObject() ? json.find(name, name + std::char_traits<char>::length(name)) : nullptr;
    if (!value)
        throw FieldError{std::string("field is missing: ") + name};
    return *value;
}

std::uint64_t number(const Json::Value &json, const char *name, std::uint64_t max)
{
    const Json::Value &value = field(json, name);
    if (!value.isUInt64() || value.asUInt64() > max)
        throw FieldError{std::string("field is no number in range: ") + name};
    return value.asUInt64();
}

std::string text(const Json::Value &json, const char *name)
{
    const Json::Value &value = field(json, name);
    if (!value.isString())
        throw FieldError{std::string("field is no string: ") + name};
    return value.asString();
}

bool boolean(const Json::Value &json, const char *name)
{
    const Json::Value &value = field(json, name);
    if (!value.isBool())
        throw FieldError{std::string("field is no boolean: ") + name};
    return value.asBool();
}

const Json::Value &array(const Json::Value &json, const char *name)
{
    const Json::Value &value = field(json, name);
    if (!value.isArray())
        throw FieldError{std::string("field is no array: ") + name};
    return value;
}

Json::Value uint(std::uint64_t value)
{
    return {static_cast<Json::UInt64>(value)};
}

} // namespace cactuscove::jsonfields
