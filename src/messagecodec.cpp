// Encoder and decoder for envelopes, generated from the field lists of messagefields.h.

#include "messagecodec.h"

#include "messagefields.h"
#include "recordcodec.h"
#include "textencoding.h"

#include <json/json.h>

#include <charconv>
#include <concepts>
#include <limits>

namespace cactuscove {

namespace {

template <typename T>
concept HasFieldList = requires
{
    fieldsOf(Tag<T>{});
};

template <typename T>
concept Enumeration = std::is_enum_v<T>;

template <typename T>
concept Integer = std::integral<T> && !std::same_as<T, bool>;

// Limit for a received duration. The sum of such a duration and any clock value does not overflow
// 64 bits.
constexpr std::int64_t MaxDurationUs = std::int64_t{1} << 53;

// A string that is not valid UTF-8 is sent as {"hex": "..."}, because jsoncpp replaces invalid
// bytes when it writes.
constexpr char HexKey[] = "hex";
constexpr char TypeKey[] = "type";
constexpr char HexDigits[] = "0123456789abcdef";

std::string toHex64(std::uint64_t value)
{
    std::string hex(16, '0');
    for (std::size_t i = 16; i-- > 0; value >>= 4)
        hex[i] = HexDigits[value & 15];
    return hex;
}

bool parseHex64(std::string_view hex, std::uint64_t &value)
{
    const auto [end, ec] = std::from_chars(hex.data(), hex.data() + hex.size(), value, 16);
    return hex.size() == 16 && ec == std::errc() && end == hex.data() + hex.size();
}

// Converts each type to JSON by an overload of encode().
class Encoder
{
public:
    static Json::Value encode(bool value) { return value; }
    static Json::Value encode(const std::string &value)
    {
        if (isUtf8(value))
            return value;
        Json::Value json;
        json[HexKey] = toHex(value);
        return json;
    }
    static Json::Value encode(Duration value) { return Json::Int64{value.count()}; }
    static Json::Value encode(const JobKey &value) { return encode(value.value); }
    static Json::Value encode(const KeyHash &value)
    {
        return toHex64(value.high) + toHex64(value.low);
    }

    template <Integer T>
    static Json::Value encode(T value)
    {
        if constexpr (std::is_signed_v<T>)
            return Json::Int64{value};
        else
            return Json::UInt64{value};
    }

    template <Enumeration T>
    static Json::Value encode(T value)
    {
        return static_cast<int>(value);
    }

    template <typename Tag, typename Rep>
    static Json::Value encode(const StrongId<Tag, Rep> &value)
    {
        return encode(value.value);
    }

    template <typename T>
    static Json::Value encode(const std::optional<T> &value)
    {
        return value ? encode(*value) : Json::Value();
    }

    template <typename T>
    static Json::Value encode(const std::vector<T> &values)
    {
        Json::Value json(Json::arrayValue);
        for (const T &it : values)
            json.append(encode(it));
        return json;
    }

    template <HasFieldList T>
    static Json::Value encode(const T &value)
    {
        Json::Value json(Json::objectValue);
        std::apply([&](const auto &...field) { (writeField(json, value, field), ...); },
                   fieldsOf(Tag<T>{}));
        return json;
    }

    static Json::Value encode(const Message &message)
    {
        return encodeVariant(message, MessageNames);
    }

    static Json::Value encode(const LogRecord &record)
    {
        Json::Value json;
        json["offset"] = encode(record.offset);
        json["record"] = recordToJson(record.record);
        return json;
    }

private:
    template <typename Owner, typename Value>
    static void writeField(Json::Value &json, const Owner &owner, const Field<Owner, Value> &field)
    {
        const Value &value = owner.*field.member;
        if (field.presence == Presence::Optional && isDefault(value))
            return;
        json[field.name] = encode(value);
    }

    template <typename T>
    static bool isDefault(const T &value)
    {
        if constexpr (requires { value.empty(); })
            return value.empty();
        else if constexpr (requires { value.has_value(); })
            return !value.has_value();
        else if constexpr (std::equality_comparable<T>)
            return value == T{};
        else
            return false;
    }

    template <typename Variant, typename Names>
    static Json::Value encodeVariant(const Variant &value, const Names &names)
    {
        Json::Value json = std::visit([](const auto &it) { return encode(it); }, value);
        json[TypeKey] = names[value.index()];
        return json;
    }
};

// Reads each type from JSON by an overload of read(), which returns false on an error.
class Decoder
{
public:
    // Path of the wrong field and reason, after a read() that failed.
    const std::string &error() const { return m_error; }

    bool read(const Json::Value &json, bool &value)
    {
        if (!json.isBool())
            return fail("expected a boolean");
        value = json.asBool();
        return true;
    }

    bool read(const Json::Value &json, std::string &value)
    {
        if (json.isString()) {
            value = json.asString();
            return true;
        }
        if (!json.isObject() || !json[HexKey].isString())
            return fail("expected a string");
        return fromHex(json[HexKey].asString(), value) || fail("expected hex digits");
    }

    bool read(const Json::Value &json, Duration &value)
    {
        std::int64_t n = 0;
        if (!read(json, n))
            return false;
        if (n < -MaxDurationUs || n > MaxDurationUs)
            return fail("duration out of range");
        value = Duration(n);
        return true;
    }

    bool read(const Json::Value &json, JobKey &value) { return read(json, value.value); }

    bool read(const Json::Value &json, KeyHash &value)
    {
        const std::string hex = json.isString() ? json.asString() : std::string();
        const std::string_view digits(hex);
        return (digits.size() == 32 && parseHex64(digits.substr(0, 16), value.high)
                && parseHex64(digits.substr(16), value.low))
               || fail("expected 32 hex digits");
    }

    template <Integer T>
    bool read(const Json::Value &json, T &value)
    {
        // Numbers with a fraction or an exponent are refused: jsoncpp parses them as double, which
        // may lose digits.
        if (json.type() != Json::intValue && json.type() != Json::uintValue)
            return fail("expected an integer");
        using Wide = std::conditional_t<std::is_signed_v<T>, std::int64_t, std::uint64_t>;
        const bool fits = std::is_signed_v<T> ? json.isInt64() : json.isUInt64();
        if (!fits)
            return fail("integer out of range");
        Wide wide{};
        if constexpr (std::is_signed_v<T>)
            wide = json.asInt64();
        else
            wide = json.asUInt64();
        if (wide < Wide{std::numeric_limits<T>::min()}
            || wide > Wide{std::numeric_limits<T>::max()})
            return fail("integer out of range");
        value = static_cast<T>(wide);
        return true;
    }

    template <Enumeration T>
    bool read(const Json::Value &json, T &value)
    {
        int n = 0;
        if (!read(json, n))
            return false;
        if (n < 0 || n > static_cast<int>(lastEnumerator(Tag<T>{})))
            return fail("unknown enumerator");
        value = static_cast<T>(n);
        return true;
    }

    template <typename Tag, typename Rep>
    bool read(const Json::Value &json, StrongId<Tag, Rep> &value)
    {
        if (!read(json, value.value))
            return false;
        // Receivers use shard numbers as array indexes.
        if constexpr (std::same_as<StrongId<Tag, Rep>, ShardId>)
            return value.value < ShardCount || fail("shard out of range");
        return true;
    }

    template <typename T>
    bool read(const Json::Value &json, std::optional<T> &value)
    {
        if (json.isNull()) {
            value.reset();
            return true;
        }
        return read(json, value.emplace());
    }

    template <typename T>
    bool read(const Json::Value &json, std::vector<T> &values)
    {
        if (!json.isArray())
            return fail("expected an array");
        values.clear();
        values.reserve(json.size());
        for (Json::ArrayIndex i = 0; i < json.size(); ++i)
            if (!read(json[i], values.emplace_back()))
                return prependPath('[' + std::to_string(i) + ']');
        return true;
    }

    template <HasFieldList T>
    bool read(const Json::Value &json, T &value)
    {
        if (!json.isObject())
            return fail("expected an object");
        return std::apply(
            [&](const auto &...field) { return (readField(json, value, field) && ...); },
            fieldsOf(Tag<T>{}));
    }

    bool read(const Json::Value &json, Message &message)
    {
        return readVariant(json, message, MessageNames);
    }

    bool read(const Json::Value &json, LogRecord &record)
    {
        if (!json.isObject())
            return fail("expected an object");
        if (!read(json["offset"], record.offset))
            return prependPath("offset");
        auto body = recordFromJson(json["record"]);
        if (!isOk(body))
            return fail(errorOf(body).reason) || prependPath("record");
        record.record = std::move(valueOf(body));
        return true;
    }

private:
    bool fail(std::string_view reason)
    {
        m_error = ": ";
        m_error += reason;
        return false;
    }

    // Adds a field name or an index to the front of the path in the error.
    bool prependPath(std::string_view part)
    {
        const bool needsDot = !m_error.empty() && m_error.front() != ':' && m_error.front() != '[';
        m_error.insert(0, needsDot ? std::string(part) + '.' : std::string(part));
        return false;
    }

    template <typename Owner, typename Value>
    bool readField(const Json::Value &json, Owner &owner, const Field<Owner, Value> &field)
    {
        const Json::Value &value = json[field.name];
        if (value.isNull() && field.presence == Presence::Optional)
            return true;
        return read(value, owner.*field.member) || prependPath(field.name);
    }

    template <typename Variant, typename Names>
    bool readVariant(const Json::Value &json, Variant &value, const Names &names)
    {
        if (!json.isObject() || !json[TypeKey].isString())
            return fail("expected an object with a type");
        const std::string type = json[TypeKey].asString();
        return [&]<std::size_t... I>(std::index_sequence<I...>)
        {
            bool isKnown = false;
            const bool isRead
                = ((type == names[I] ? (isKnown = true, read(json, value.template emplace<I>()))
                                     : false)
                   || ...);
            return isRead || (isKnown ? false : fail("unknown type"));
        }
        (std::make_index_sequence<std::variant_size_v<Variant>>());
    }

    std::string m_error;
};

} // namespace

Json::Value encodeEnvelope(const Envelope &envelope)
{
    return Encoder::encode(envelope);
}

Result<Envelope, MessageError> decodeEnvelope(const Json::Value &json)
{
    Decoder decoder;
    Envelope envelope;
    try {
        if (decoder.read(json, envelope))
            return envelope;
    } catch (const std::exception &ex) { // jsoncpp throws on values that it cannot convert
        return MessageError{ex.what()};
    }
    return MessageError{decoder.error()};
}

} // namespace cactuscove
