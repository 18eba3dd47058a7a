// Trace context parsing and span output.

#include "tracing.h"

#include <json/json.h>

#include <algorithm>
#include <chrono>
#include <random>

namespace cactuscove {

namespace {

constexpr std::size_t TraceIdDigits = 32;
constexpr std::size_t SpanIdDigits = 16;
constexpr int InternalSpan = 1; // SPAN_KIND_INTERNAL of OTLP

bool isLowerHex(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

bool isZero(std::string_view text)
{
    return text.find_first_not_of('0') == std::string_view::npos;
}

// Spans need wall-clock times, but all times in the process are of the steady clock.
std::string unixNanoseconds(TimePoint at)
{
    using namespace std::chrono;
    const auto age = steady_clock::now() - at;
    const auto sinceEpoch = system_clock::now().time_since_epoch() - age;
    return std::to_string(duration_cast<nanoseconds>(sinceEpoch).count());
}

Json::Value attribute(const std::string &key, const std::string &value)
{
    Json::Value out;
    out["key"] = key;
    out["value"]["stringValue"] = value;
    return out;
}

} // namespace

std::optional<TraceContext> parseTraceparent(std::string_view header)
{
    // The format is version-traceId-spanId-flags with 2, 32, 16 and 2 hex digits, 55 characters in
    // total. Versions after 00 may append more fields.
    if (header.size() < 55 || header[2] != '-' || header[35] != '-' || header[52] != '-')
        return std::nullopt;
    const std::string_view version = header.substr(0, 2);
    const std::string_view traceId = header.substr(3, TraceIdDigits);
    const std::string_view spanId = header.substr(36, SpanIdDigits);
    if (!isLowerHex(version) || version == "ff" || !isLowerHex(traceId) || !isLowerHex(spanId)
        || isZero(traceId) || isZero(spanId) || (version == "00" && header.size() != 55))
        return std::nullopt;
    return TraceContext{std::string(traceId), std::string(spanId)};
}

std::string formatTraceparent(const TraceContext &context)
{
    return "00-" + context.traceId + '-' + context.spanId + "-01";
}

Tracer::Tracer(std::string service, std::string instance, const std::string &path)
    : m_service(std::move(service))
    , m_instance(std::move(instance))
    , m_random((std::uint64_t{std::random_device{}()} << 32) | std::random_device{}())
{
    if (!path.empty())
        m_file.open(path, std::ios::app);
}

std::string Tracer::randomHex(std::size_t digits)
{
    static constexpr char digitChars[] = "0123456789abcdef";
    std::string out;
    for (std::size_t n = 0; n < digits; ++n)
        out += digitChars[m_random.next() >> 60];
    return out;
}

TraceContext Tracer::startSpan(const TraceContext *parent)
{
    return {parent ? parent->traceId : randomHex(TraceIdDigits), randomHex(SpanIdDigits)};
}

void Tracer::finishSpan(const EmitSpan &span)
{
    if (!m_file.is_open())
        return;
    Json::Value out;
    out["traceId"] = span.context.traceId;
    out["spanId"] = span.context.spanId;
    if (!span.parentSpanId.empty())
        out["parentSpanId"] = span.parentSpanId;
    out["name"] = span.name;
    out["kind"] = InternalSpan;
    out["startTimeUnixNano"] = unixNanoseconds(span.start);
    out["endTimeUnixNano"] = unixNanoseconds(span.end);
    for (const auto &[key, value] : span.attributes)
        out["attributes"].append(attribute(key, value));
    Json::Value line;
    Json::Value &resource = line["resourceSpans"][0];
    resource["resource"]["attributes"].append(attribute("service.name", m_service));
    resource["resource"]["attributes"].append(attribute("service.instance.id", m_instance));
    resource["scopeSpans"][0]["spans"].append(out);
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    m_file << Json::writeString(builder, line) << std::endl;
}

} // namespace cactuscove
