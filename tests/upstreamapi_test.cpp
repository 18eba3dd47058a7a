// Tests of the parsing of announcements and leaves of an upstream.

#include "upstreamapi.h"

#include <gtest/gtest.h>
#include <json/reader.h>
#include <json/value.h>
#include <json/writer.h>

namespace cactuscove {
namespace {

const char Valid[] = R"({"upstream": "walk-desk", "incarnation": "u1", "address": "127.0.0.1:9000",
    "slots": 8, "connections": 64, "memory_mb": 1024, "lease_ms": 3000})";

// Guards against a field of an announcement that is read wrongly or not at all.
TEST(UpstreamApi, ReadsAnAnnouncement)
{
    const auto parsed = parseAnnouncement(Valid);
    ASSERT_TRUE(isOk(parsed));
    const UpstreamAnnouncement &it = valueOf(parsed);
    EXPECT_EQ(it.upstream, "walk-desk");
    EXPECT_EQ(it.incarnation, "u1");
    EXPECT_EQ(it.address, "127.0.0.1:9000");
    EXPECT_EQ(it.slots, 8U);
    EXPECT_EQ(it.connections, 64U);
    EXPECT_EQ(it.capacity, (TaskResources{0, 1024}));
    EXPECT_EQ(it.lease, std::chrono::seconds(3));
}

// Guards against accepting a wrong value, and against an error that names another field.
TEST(UpstreamApi, NamesTheWrongField)
{
    const auto fieldOf = [](const char *name, const Json::Value &value) {
        Json::Value body;
        Json::Reader().parse(Valid, body);
        body[name] = value;
        const auto parsed = parseAnnouncement(Json::FastWriter().write(body));
        return isOk(parsed) ? "accepted" : errorOf(parsed).field;
    };
    EXPECT_EQ(fieldOf("upstream", ""), "upstream");
    EXPECT_EQ(fieldOf("upstream", 3), "upstream");
    EXPECT_EQ(fieldOf("incarnation", "a b"), "incarnation");
    EXPECT_EQ(fieldOf("address", "localhost:1"), "address");
    EXPECT_EQ(fieldOf("address", "127.0.0.1:0"), "address");
    EXPECT_EQ(fieldOf("slots", 0), "slots");
    EXPECT_EQ(fieldOf("slots", -1), "slots");
    EXPECT_EQ(fieldOf("connections", "64"), "connections");
    EXPECT_EQ(fieldOf("accelerators", 1.5), "accelerators");
    EXPECT_EQ(fieldOf("lease_ms", 1), "lease_ms");
    EXPECT_EQ(fieldOf("unknown", 1), "accepted"); // a newer upstream may send more fields
}

// Guards against accepting a body that is not a JSON object, and against a crash on deep nesting.
TEST(UpstreamApi, RefusesWhatIsNoObject)
{
    for (const char *body : {"", "[]", "{", "nul", "{} x"})
        EXPECT_FALSE(isOk(parseAnnouncement(body))) << body;
    EXPECT_FALSE(isOk(parseAnnouncement(std::string(100'000, '['))));
    EXPECT_FALSE(isOk(parseLeave("[]")));
}

// Guards against an empty body of DELETE being refused: the incarnation is optional.
TEST(UpstreamApi, LeaveNamesAnIncarnationOrNone)
{
    EXPECT_EQ(valueOf(parseLeave("")).incarnation, "");
    EXPECT_EQ(valueOf(parseLeave(R"({"incarnation": "u1"})")).incarnation, "u1");
    EXPECT_EQ(errorOf(parseLeave(R"({"incarnation": 1})")).field, "incarnation");
}

} // namespace
} // namespace cactuscove
