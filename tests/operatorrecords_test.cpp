// Merging of the operators' records from the store, other processes and copies.

#include "operatorrecords.h"

#include <gtest/gtest.h>

namespace cactuscove {

namespace {

EvacuationRecord record(const char *dataCentre, bool isEvacuated, std::uint64_t offset)
{
    return {dataCentre, isEvacuated, LogOffset{offset}};
}

} // namespace

// Guards against a configuration that goes back to an older version.
TEST(OperatorRecords, ConfigVersionsOnlyRise)
{
    OperatorRecords records;
    EXPECT_TRUE(records.updateConfig(7, "seven"));
    EXPECT_FALSE(records.updateConfig(6, "six"));
    EXPECT_FALSE(records.updateConfig(7, "other"));
    EXPECT_EQ(records.configText(), "seven");
}

// Guards against an evacuation that stays in force although its record was taken back and deleted.
TEST(OperatorRecords, ACompleteReadLiftsWhatItDoesNotContain)
{
    OperatorRecords records;
    EXPECT_TRUE(records.updateEvacuation(record("north", true, 4)));
    EXPECT_TRUE(records.updateEvacuation(record("south", true, 5)));
    EXPECT_TRUE(records.completeRead({"south"}, LogOffset{9}));
    EXPECT_EQ(records.evacuatedDataCentres(), std::set<std::string>{"south"});
    EXPECT_FALSE(records.updateEvacuation(record("north", true, 4))) << "an old record again";
    EXPECT_TRUE(records.updateEvacuation(record("north", true, 9))) << "the next record";
}

// Guards against a late report of another process that imposes what was taken back, or lifts what
// was requested after it.
TEST(OperatorRecords, OldReportsOfOthersChangeNothing)
{
    OperatorRecords records;
    records.updateEvacuation(record("north", true, 4));
    records.updateEvacuation(record("north", false, 8));
    records.updateEvacuation(record("south", true, 9));
    EXPECT_FALSE(records.mergeEvacuations({record("north", true, 4)}, LogOffset{6}));
    EXPECT_EQ(records.evacuatedDataCentres(), std::set<std::string>{"south"});
}

// Guards against two processes that do not agree after they have told each other what they know,
// in either order.
TEST(OperatorRecords, ReportsInAnyOrderLeadToTheSameState)
{
    OperatorRecords first;
    first.updateEvacuation(record("north", true, 4));
    OperatorRecords second;
    second.updateEvacuation(record("south", true, 6));
    second.completeRead({"south"}, LogOffset{8});
    const OperatorSnapshot a = first.snapshot();
    const OperatorSnapshot b = second.snapshot();
    EXPECT_TRUE(first.mergeEvacuations(b.evacuations, b.readUpTo));
    EXPECT_FALSE(second.mergeEvacuations(a.evacuations, a.readUpTo));
    EXPECT_EQ(first.evacuatedDataCentres(), second.evacuatedDataCentres());
    EXPECT_EQ(first.evacuatedDataCentres(), std::set<std::string>{"south"});
}

} // namespace cactuscove
