// Parsing of the W3C trace context and output of spans.

#include "tracing.h"

#include <gtest/gtest.h>
#include <json/json.h>

#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace cactuscove {
namespace {

const std::string Valid = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

TEST(Tracing, ReadsAndWritesTraceparent)
{
    const auto context = parseTraceparent(Valid);
    ASSERT_TRUE(context);
    EXPECT_EQ(formatTraceparent(*context), Valid);
}

// A malformed header of a caller must be ignored, so that a new trace starts, and must not be
// passed on to other processes.
TEST(Tracing, RefusesMalformedTraceparent)
{
    for (const char *header :
         {"", "00", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-extra",
          "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
          "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
          "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
          "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01"})
        EXPECT_FALSE(parseTraceparent(header)) << header;
}

TEST(Tracing, ChildKeepsTheTraceAndWritesOneLinePerSpan)
{
    const auto path
        = std::filesystem::temp_directory_path() / ("cactuscove-spans-" + std::to_string(getpid()));
    {
        Tracer tracer("agent", "1", path.string());
        const TraceContext root = tracer.startSpan(nullptr);
        const TraceContext child = tracer.startSpan(&root);
        EXPECT_EQ(root.traceId, child.traceId);
        EXPECT_NE(root.spanId, child.spanId);
        tracer.finishSpan(
            {"upstream.run", child, root.spanId, TimePoint{}, TimePoint{}, {{"a", "b"}}});
    }
    std::ifstream file(path);
    Json::Value line;
    file >> line;
    std::filesystem::remove(path);
    const Json::Value &span = line["resourceSpans"][0]["scopeSpans"][0]["spans"][0];
    EXPECT_EQ(span["name"].asString(), "upstream.run");
    EXPECT_EQ(span["attributes"][0]["value"]["stringValue"].asString(), "b");
}

} // namespace
} // namespace cactuscove
