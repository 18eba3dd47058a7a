// Parses and checks announcements and leaves.

#include "upstreamapi.h"

#include "address.h"

#include <json/reader.h>
#include <json/value.h>
#include <json/writer.h>

#include <algorithm>
#include <memory>
#include <optional>

namespace cactuscove {

namespace {

constexpr std::size_t MaxNameLength = 128;
constexpr std::uint32_t MaxSlots = 10'000;
constexpr std::uint32_t MaxMemoryMb = 64U << 20U; // 64 TiB
constexpr std::uint32_t MaxAccelerators = 1024;
// A shorter lease would expire when a single announcement is late; a longer one would keep a
// crashed upstream registered for too long.
constexpr std::uint32_t MinLeaseMs = 100;
constexpr std::uint32_t MaxLeaseMs = 60'000;

// Reads the fields of an object and keeps the first error.
class FieldReader
{
public:
    explicit FieldReader(const Json::Value &object)
        : m_object(object)
    {}

    std::string text(const char *name)
    {
        const Json::Value &value = m_object[name];
        if (!value.isString())
            return fail(name, "must be a string"), std::string();
        std::string result = value.asString();
        const bool isVisible = std::all_of(result.begin(), result.end(),
                                           [](char c) { return c > ' ' && c < '\x7f'; });
        if (result.empty() || result.size() > MaxNameLength || !isVisible)
            fail(name, "must be 1 to 128 visible ASCII characters");
        return result;
    }

    std::uint32_t number(const char *name, std::uint32_t lowest, std::uint32_t highest)
    {
        const Json::Value &value = m_object[name];
        if (!value.isUInt() || value.asUInt() < lowest || value.asUInt() > highest) {
            fail(name, "must be a whole number from " + std::to_string(lowest) + " to "
                           + std::to_string(highest));
            return 0;
        }
        return value.asUInt();
    }

    std::uint32_t numberOrZero(const char *name, std::uint32_t highest)
    {
        return m_object.isMember(name) ? number(name, 0, highest) : 0;
    }

    void fail(const char *name, std::string reason)
    {
        if (!m_error)
            m_error = UpstreamApiError{400, name, std::move(reason)};
    }

    const std::optional<UpstreamApiError> &error() const { return m_error; }

private:
    const Json::Value &m_object;
    std::optional<UpstreamApiError> m_error;
};

Result<Json::Value, UpstreamApiError> parseObject(std::string_view body)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string error;
    try {
        if (!reader->parse(body.data(), body.data() + body.size(), &value, &error))
            return UpstreamApiError{400, "", "body is not valid JSON"};
    } catch (const Json::Exception &) { // thrown for values nested too deep
        return UpstreamApiError{400, "", "body is not valid JSON"};
    }
    if (!value.isObject())
        return UpstreamApiError{400, "", "body must be a JSON object"};
    return value;
}

} // namespace

Result<UpstreamAnnouncement, UpstreamApiError> parseAnnouncement(std::string_view body)
{
    const auto object = parseObject(body);
    if (!isOk(object))
        return errorOf(object);
    FieldReader fields(valueOf(object));
    UpstreamAnnouncement it;
    it.upstream = fields.text("upstream");
    it.incarnation = fields.text("incarnation");
    it.address = fields.text("address");
    if (!isRemoteAddress(it.address))
        fields.fail("address", "must be an IPv4 address with a port");
    it.slots = fields.number("slots", 1, MaxSlots);
    it.connections = fields.number("connections", 1, MaxSlots);
    it.capacity.memoryMb = fields.numberOrZero("memory_mb", MaxMemoryMb);
    it.capacity.accelerators = fields.numberOrZero("accelerators", MaxAccelerators);
    it.lease = std::chrono::milliseconds(fields.number("lease_ms", MinLeaseMs, MaxLeaseMs));
    if (fields.error())
        return *fields.error();
    return it;
}

Result<UpstreamLeave, UpstreamApiError> parseLeave(std::string_view body)
{
    if (body.empty())
        return UpstreamLeave{};
    const auto object = parseObject(body);
    if (!isOk(object))
        return errorOf(object);
    if (!valueOf(object).isMember("incarnation"))
        return UpstreamLeave{};
    FieldReader fields(valueOf(object));
    UpstreamLeave leave{fields.text("incarnation")};
    if (fields.error())
        return *fields.error();
    return leave;
}

std::string formatError(const UpstreamApiError &error)
{
    Json::Value object(Json::objectValue);
    object["error"] = error.reason;
    if (!error.field.empty())
        object["field"] = error.field;
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, object) + '\n';
}

} // namespace cactuscove
