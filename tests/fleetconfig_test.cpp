// Validation of configuration files: which files are refused, and with which errors.

#include "fleetconfig.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <fstream>
#include <sstream>

namespace cactuscove {
namespace {

using testing::ElementsAre;
using testing::HasSubstr;

std::string exampleFile()
{
    std::ifstream file(CACTUSCOVE_SOURCE_DIR "/examples/fleet.yaml");
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

// "LINE FIELD VALUE" of each error; empty for a valid file.
std::vector<std::string> errorsOf(const std::string &text)
{
    std::vector<std::string> result;
    const auto parsed = parseFleetConfig(text);
    if (isOk(parsed))
        return result;
    for (const ConfigError &it : errorOf(parsed)) {
        EXPECT_FALSE(it.reason.empty());
        result.push_back(std::to_string(it.line) + " " + it.field + " " + it.value);
    }
    return result;
}

// Guards against an example file that no longer matches the validation rules.
TEST(FleetConfig, ExampleIsValid)
{
    const auto parsed = parseFleetConfig(exampleFile());
    ASSERT_TRUE(isOk(parsed)) << errorOf(parsed).front().field << errorOf(parsed).front().reason;
    const FleetConfig &config = valueOf(parsed);
    EXPECT_EQ(config.teams.at("bookings").office, "hollisdale");
    EXPECT_EQ(config.teams.at("balance-checks").maxStartsPerSecond, 400);
    EXPECT_EQ(config.upstreams.at("tarakimu").slotsPerWorker, 8U);
    EXPECT_EQ(config.classes.at("urgent").queueTarget, std::chrono::seconds(2));
    EXPECT_EQ(config.idMemory, std::chrono::minutes(10));
}

TEST(FleetConfig, MinimalFileHasTheDefaultClassesAndNoTeams)
{
    const auto parsed = parseFleetConfig("version: 1");
    ASSERT_TRUE(isOk(parsed));
    EXPECT_EQ(valueOf(parsed).classes.size(), 3U);
    EXPECT_TRUE(valueOf(parsed).teams.empty());
    EXPECT_EQ(valueOf(parsed).idMemory, std::chrono::seconds(600));
}

// If only the first error were reported, an operator would need as many attempts as there are
// errors.
TEST(FleetConfig, ReportsEveryErrorWithLineFieldAndValue)
{
    EXPECT_THAT(errorsOf("version: 2\n"
                         "id_memory: 10\n"
                         "colour: red\n"
                         "classes:\n"
                         "  urgent: {share: -1, queue_target: 2 s}\n"
                         "teams:\n"
                         "  bookings:\n"
                         "    weight: heavy\n"
                         "    upstreams: [walk-desk, nowhere, walk-desk]\n"
                         "  Invoices: {}\n"
                         "  credit: [1]\n"
                         "upstreams:\n"
                         "  walk-desk:\n"
                         "    slots_per_worker: 8.5\n"
                         "    slots_per_worker: 8\n"
                         "    retry_budget: \"0.1\"\n"
                         "    hedge_limit: 0.03\n"
                         "    ejection: {threshold: .nan, limit: 1}\n"),
                ElementsAre("1 version 2", "2 id_memory 10", "3 colour red",
                            "5 classes.urgent.share -1", "5 classes.urgent.queue_target 2 s",
                            "8 teams.bookings.weight heavy", "8 teams.bookings.office (missing)",
                            "9 teams.bookings.upstreams[2] walk-desk",
                            "9 teams.bookings.upstreams[1] nowhere", "10 teams.Invoices Invoices",
                            "11 teams.credit (list)", "14 upstreams.walk-desk.slots_per_worker 8.5",
                            "15 upstreams.walk-desk.slots_per_worker slots_per_worker",
                            "16 upstreams.walk-desk.retry_budget 0.1",
                            "17 upstreams.walk-desk.hedge_limit 0.03",
                            "18 upstreams.walk-desk.ejection.threshold .nan",
                            "18 upstreams.walk-desk.ejection.limit 1"));
}

// A file that is not a single YAML map must be refused with a line number and must not end the
// process.
TEST(FleetConfig, RefusesWhatIsNoSingleDocument)
{
    EXPECT_THAT(errorsOf(""), ElementsAre("1  0 documents"));
    EXPECT_THAT(errorsOf("version: 1\n---\nversion: 1\n"), ElementsAre("1  2 documents"));
    EXPECT_THAT(errorsOf("- version"), ElementsAre("1  (list)"));
    EXPECT_THAT(errorsOf("version: 1\nteams: {a: [\n"), ElementsAre(HasSubstr("3")));
    EXPECT_THAT(errorsOf("version: 1\nteams:\n"), ElementsAre("2 teams (empty)"));
    EXPECT_THAT(errorsOf("version: 1\nteams:\n  a:\n"), ElementsAre("3 teams.a (empty)"));
    EXPECT_THAT(errorsOf(std::string(20'000, '[')), testing::SizeIs(1));
    EXPECT_THAT(errorsOf("#" + std::string(70'000, ' ')), ElementsAre("1  70001 bytes"));
    EXPECT_THAT(errorsOf("version: 1\nid_memory: 9223372036854775807h\n"),
                ElementsAre("2 id_memory 9223372036854775807h"));
}

// Every process parses every accepted file, so a file that crashes the parser would crash the whole
// fleet.
RC_GTEST_PROP(FleetConfigProperty, AnyDamageToAFileIsAcceptedOrRefused,
              (const std::vector<std::pair<unsigned, char>> &edits))
{
    static const std::string original = exampleFile();
    std::string text = original;
    for (const auto &[position, c] : edits)
        text[position % text.size()] = c;
    const auto parsed = parseFleetConfig(text);
    if (!isOk(parsed))
        RC_ASSERT(!errorOf(parsed).empty());
}

TEST(FleetConfig, DiffNamesChangedAddedAndRemovedFields)
{
    const auto before = parseFleetConfig("version: 1\n"
                                         "teams: {a: {office: x, weight: 1, upstreams: [u]}}\n"
                                         "upstreams: {u: {}, v: {}}\n");
    const auto after = parseFleetConfig("version: 1\n"
                                        "id_memory: 90s\n"
                                        "teams: {a: {office: x, weight: 3, upstreams: [v, u]}}\n"
                                        "upstreams: {u: {}, v: {retry_budget: 0.25}}\n"
                                        "classes: {urgent: {share: 6, queue_target: 2000ms},\n"
                                        "          normal: {share: 3, queue_target: 5s}}\n");
    ASSERT_TRUE(isOk(before) && isOk(after));
    EXPECT_THAT(diffFleetConfig(valueOf(before), valueOf(after)),
                ElementsAre("classes.bulk.queue_target: 30s -> (none)",
                            "classes.bulk.share: 1 -> (none)", "id_memory: 10m -> 90s",
                            "teams.a.upstreams: [u] -> [v, u]", "teams.a.weight: 1 -> 3",
                            "upstreams.v.retry_budget: 0.1 -> 0.25"));
    EXPECT_TRUE(diffFleetConfig(valueOf(after), valueOf(after)).empty());
}

} // namespace
// Guards against a file that ends the process by its depth.
TEST(FleetConfig, ADeeplyNestedFileIsAnError)
{
    EXPECT_FALSE(isOk(parseFleetConfig("version: " + std::string(30'000, '['))));
    EXPECT_FALSE(isOk(parseFleetConfig(std::string(5'000, '[') + std::string(5'000, ']'))));
    std::string mappings;
    for (int i = 0; i < 300; ++i)
        mappings += std::string(static_cast<std::size_t>(i), ' ') + "a:\n";
    EXPECT_FALSE(isOk(parseFleetConfig(mappings)));
}

} // namespace cactuscove
