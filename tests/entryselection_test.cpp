// The choice of entries: the same after a restart, evenly spread, repaired after a loss, and
// changed as little as possible.

#include "entryselection.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace cactuscove {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{1h};
constexpr std::size_t ConnectionCount = 8;

std::string addressOf(int entry)
{
    return "10.0." + std::to_string(entry % 5) + '.' + std::to_string(entry) + ":7720";
}

// Returns a selection that knows that many entries.
EntrySelection selectionWith(const std::string &self, int entries)
{
    EntrySelection selection(self, ConnectionCount);
    for (int i = 0; i < entries; ++i)
        selection.add(addressOf(i));
    return selection;
}

// Dials what the selection asks for. All connections open at once except to `down`, which fail.
// Returns the dialled addresses.
std::vector<std::string> connectAll(EntrySelection &selection, TimePoint now,
                                    const std::set<std::string> &down = {})
{
    std::vector<std::string> dialled = selection.plan(now).dial;
    for (const std::string &it : dialled) {
        selection.onDialled(it, now);
        if (down.count(it))
            selection.onClosed(it, now);
        else
            selection.onOpened(it);
    }
    return dialled;
}

std::set<std::string> setOf(const std::vector<std::string> &list)
{
    return {list.begin(), list.end()};
}

} // namespace

// Guards against entries that are not dialled or are released although there are fewer than the
// connections to keep.
TEST(EntrySelection, ASmallFleetIsLinkedAsAWhole)
{
    EntrySelection selection = selectionWith("agent", 5);
    EXPECT_EQ(connectAll(selection, Start).size(), 5U);
    EXPECT_TRUE(selection.plan(Start + 10s).release.empty());
}

// Guards against a choice that depends on the order in which entries become known.
TEST(EntrySelection, ARestartFindsTheSameEntriesInWhateverOrderItLearnsOfThem)
{
    EntrySelection first = selectionWith("agent", 55);
    EntrySelection second("agent", ConnectionCount);
    for (int i = 54; i >= 0; --i)
        second.add(addressOf(i));
    const std::set<std::string> chosen = setOf(connectAll(first, Start));
    EXPECT_EQ(chosen.size(), ConnectionCount);
    EXPECT_EQ(chosen, setOf(connectAll(second, Start)));
}

// Guards against entries that few agents choose, and agents that all choose the same entries.
TEST(EntrySelection, AgentsSpreadEvenlyOverEntries)
{
    std::map<std::string, int> agentsOf;
    for (int i = 0; i < 240; ++i) {
        EntrySelection selection = selectionWith("side-" + std::to_string(i), 55);
        for (const std::string &it : connectAll(selection, Start))
            ++agentsOf[it];
    }
    ASSERT_EQ(agentsOf.size(), 55U);
    const double mean = 240.0 * ConnectionCount / 55;
    for (const auto &[address, n] : agentsOf) {
        EXPECT_GT(n, mean / 2) << address;
        EXPECT_LT(n, mean * 2) << address;
    }
}

// Guards against more than one connection being moved when one entry is lost and comes back.
TEST(EntrySelection, ALostEntryIsReplacedByOneAndItsReturnMovesOneLink)
{
    EntrySelection selection = selectionWith("agent", 55);
    const std::set<std::string> before = setOf(connectAll(selection, Start));
    const std::string lost = *before.begin();
    selection.onClosed(lost, Start + 1s);
    // The lost entry is dialled at once and does not answer; then the next in rank takes its place.
    EXPECT_EQ(connectAll(selection, Start + 1s, {lost}), std::vector{lost});
    const std::vector<std::string> next = connectAll(selection, Start + 1s, {lost});
    ASSERT_EQ(next.size(), 1U);
    EXPECT_FALSE(before.count(next.front()));
    // The lost entry is back. The extra connection is released after 2 s.
    EXPECT_EQ(connectAll(selection, Start + 3s), std::vector{lost});
    EXPECT_TRUE(selection.plan(Start + 3s).release.empty());
    EXPECT_TRUE(selection.plan(Start + 4s).release.empty());
    EXPECT_EQ(selection.plan(Start + 6s).release, next);
}

// Guards against a storm of dials when an instance loses all its connections at once.
TEST(EntrySelection, AnInstanceThatIsCutOffDialsNoMoreEntriesAtOnceThanItNeeds)
{
    EntrySelection selection = selectionWith("agent", 55);
    for (const std::string &it : connectAll(selection, Start))
        selection.onClosed(it, Start + 1s);
    std::size_t waiting = 0;
    for (Duration at = 1s; at < 3s; at += 100ms) {
        const std::vector<std::string> dialled = selection.plan(Start + at).dial;
        EXPECT_LE(dialled.size(), ConnectionCount);
        for (const std::string &it : dialled)
            selection.onDialled(it, Start + at);
        waiting += dialled.size();
    }
    EXPECT_LE(waiting, 55U);
}

// Guards against dialling a lost entry at a constant high rate, or too seldom.
TEST(EntrySelection, ALostEntryIsDialledAgainAtGrowingPauses)
{
    EntrySelection selection = selectionWith("agent", 1);
    const std::string only = addressOf(0);
    int dials = 0;
    for (Duration at = 0s; at < 10s; at += 10ms)
        dials += static_cast<int>(connectAll(selection, Start + at, {only}).size());
    EXPECT_GE(dials, 10);
    EXPECT_LE(dials, 20);
}

// Guards against waiting for a redial delay of up to 1 s when others report that the entry is up.
TEST(EntrySelection, AnEntryThatOthersHearIsDialledAtOnce)
{
    EntrySelection selection = selectionWith("agent", 1);
    const std::string only = addressOf(0);
    for (Duration at = 0s; at < 5s; at += 10ms)
        connectAll(selection, Start + at, {only});
    const TimePoint now = Start + 5s;
    if (selection.plan(now).dial.empty())
        selection.reportedAlive(only, now);
    EXPECT_EQ(selection.plan(now).dial, std::vector{only});
}

// Guards against a fleet whose processes all connect to the same seed entry: a fleet that starts as
// a whole knows the same few entries, and each process begins with one of them.
TEST(EntrySelection, OneSeedIsEnoughToBeginWith)
{
    std::map<std::string, int> agentsOf;
    for (int i = 0; i < 240; ++i) {
        EntrySelection selection("side-" + std::to_string(i), 1);
        for (int seed = 0; seed < 3; ++seed)
            selection.add(addressOf(seed));
        const std::vector<std::string> dialled = connectAll(selection, Start);
        ASSERT_EQ(dialled.size(), 1U);
        ++agentsOf[dialled.front()];
    }
    for (const auto &[address, n] : agentsOf)
        EXPECT_LT(n, 120) << address;
}

} // namespace cactuscove
