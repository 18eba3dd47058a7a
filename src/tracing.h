// Distributed tracing: reads and writes the W3C trace context that messages and HTTP requests
// carry, and writes finished spans to a file as OTLP/JSON lines.

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

// Parses the value of a `traceparent` header. Returns std::nullopt if it is malformed or one of its
// ids is all zeros.
std::optional<TraceContext> parseTraceparent(std::string_view header);
// Formats the value of a `traceparent` header, version 00 with the flag `sampled` set.
std::string formatTraceparent(const TraceContext &context);

// Generates the ids of spans and writes finished spans. Each process has one tracer.
class Tracer
{
public:
    // `service` and `instance` name the process in each span. Spans are appended to the file
    // `path`; they are discarded if it is empty or cannot be opened.
    Tracer(std::string service, std::string instance, const std::string &path);

    // Returns the ids of a new child span of `parent`, or of the root span of a new trace if
    // `parent` is null. Writes nothing.
    TraceContext startSpan(const TraceContext *parent);
    // Writes a finished span as one line.
    void finishSpan(const EmitSpan &span);

private:
    std::string randomHex(std::size_t digits);

    std::string m_service;
    std::string m_instance;
    std::ofstream m_file;
    Random m_random; // the ids must be unique, but not unpredictable
};

} // namespace cactuscove
