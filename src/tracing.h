// Spans: W3C trace context on every hop, finished spans as OTLP/JSON lines.

#pragma once

#include "outbox.h"
#include "random.h"
#include "types.h"

#include <cstdint>
#include <fstream>
#include <optional>
#include <string>
#include <string_view>

namespace cactuscove {

// The value of a `traceparent` header; nothing if it is malformed.
std::optional<TraceContext> parseTraceparent(std::string_view header);
std::string formatTraceparent(const TraceContext &context);

class Tracer
{
public:
    // `path` is empty if spans are not written.
    Tracer(std::string service, std::string instance, const std::string &path);

    // A new span below `parent`; without one, the first span of a new trace.
    TraceContext child(const TraceContext *parent);
    void finish(const EmitSpan &span);

private:
    std::string randomHex(std::size_t digits);

    std::string m_service;
    std::string m_instance;
    std::ofstream m_file;
    Random m_random; // ids must be unique and need not be unpredictable
};

} // namespace cactuscove
