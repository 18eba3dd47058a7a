// The choice of entries: the same after a restart, even, repaired, and moved by few.

#include "entryselection.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace cactuscove {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{1h};
constexpr std::size_t Links = 8;

std::string addressOf(int entry)
{
    return "10.0." + std::to_string(entry % 5) + '.' + std::to_string(entry) + ":7720";
}

EntrySelection knowing(const std::string &self, int entries)
{
    EntrySelection selection(self, Links);
    for (int i = 0; i < entries; ++i)
        selection.add(addressOf(i));
    return selection;
}

// Dials what the selection asks for; all but `down` open at once. Returns what was dialled.
std::vector<std::string> connectAll(EntrySelection &selection, TimePoint now,
                                    const std::set<std::string> &down = {})
{
    std::vector<std::string> dialled = selection.plan(now).dial;
    for (const std::string &it : dialled) {
        selection.dialled(it, now);
        if (down.count(it))
            selection.closed(it, now);
        else
            selection.opened(it);
    }
    return dialled;
}

std::set<std::string> setOf(const std::vector<std::string> &list)
{
    return {list.begin(), list.end()};
}

} // namespace

TEST(EntrySelection, ASmallFleetIsLinkedAsAWhole)
{
    EntrySelection selection = knowing("agent", 5);
    EXPECT_EQ(connectAll(selection, Start).size(), 5U);
    EXPECT_TRUE(selection.plan(Start + 10s).release.empty());
}

TEST(EntrySelection, ARestartFindsTheSameEntriesInWhateverOrderItLearnsOfThem)
{
    EntrySelection first = knowing("agent", 55);
    EntrySelection second("agent", Links);
    for (int i = 54; i >= 0; --i)
        second.add(addressOf(i));
    const std::set<std::string> chosen = setOf(connectAll(first, Start));
    EXPECT_EQ(chosen.size(), Links);
    EXPECT_EQ(chosen, setOf(connectAll(second, Start)));
}

// Guards against entries that few agents choose, and agents that all choose the same.
TEST(EntrySelection, AgentsSpreadEvenlyOverEntries)
{
    std::map<std::string, int> agentsOf;
    for (int i = 0; i < 240; ++i) {
        EntrySelection selection = knowing("side-" + std::to_string(i), 55);
        for (const std::string &it : connectAll(selection, Start))
            ++agentsOf[it];
    }
    ASSERT_EQ(agentsOf.size(), 55U);
    const double mean = 240.0 * Links / 55;
    for (const auto &[address, n] : agentsOf) {
        EXPECT_GT(n, mean / 2) << address;
        EXPECT_LT(n, mean * 2) << address;
    }
}

TEST(EntrySelection, ALostEntryIsReplacedByOneAndItsReturnMovesOneLink)
{
    EntrySelection selection = knowing("agent", 55);
    const std::set<std::string> before = setOf(connectAll(selection, Start));
    const std::string lost = *before.begin();
    selection.closed(lost, Start + 1s);
    // It is dialled at once, and does not answer; the next in rank takes its place.
    EXPECT_EQ(connectAll(selection, Start + 1s, {lost}), std::vector{lost});
    const std::vector<std::string> next = connectAll(selection, Start + 1s, {lost});
    ASSERT_EQ(next.size(), 1U);
    EXPECT_FALSE(before.count(next.front()));
    // It is back.
    EXPECT_EQ(connectAll(selection, Start + 3s), std::vector{lost});
    EXPECT_TRUE(selection.plan(Start + 3s).release.empty());
    EXPECT_TRUE(selection.plan(Start + 4s).release.empty());
    EXPECT_EQ(selection.plan(Start + 6s).release, next);
}

// Guards against a storm of dials when all connections of an instance are lost at once.
TEST(EntrySelection, AnInstanceThatIsCutOffDialsNoMoreEntriesAtOnceThanItNeeds)
{
    EntrySelection selection = knowing("agent", 55);
    for (const std::string &it : connectAll(selection, Start))
        selection.closed(it, Start + 1s);
    std::size_t waiting = 0;
    for (Duration at = 1s; at < 3s; at += 100ms) {
        const std::vector<std::string> dialled = selection.plan(Start + at).dial;
        EXPECT_LE(dialled.size(), Links);
        for (const std::string &it : dialled)
            selection.dialled(it, Start + at);
        waiting += dialled.size();
    }
    EXPECT_LE(waiting, 55U);
}

TEST(EntrySelection, ALostEntryIsDialledAgainAtGrowingPauses)
{
    EntrySelection selection = knowing("agent", 1);
    const std::string only = addressOf(0);
    int dials = 0;
    for (Duration at = 0s; at < 10s; at += 10ms)
        dials += static_cast<int>(connectAll(selection, Start + at, {only}).size());
    EXPECT_GE(dials, 10);
    EXPECT_LE(dials, 20);
}

TEST(EntrySelection, AnEntryThatOthersHearIsDialledAtOnce)
{
    EntrySelection selection = knowing("agent", 1);
    const std::string only = addressOf(0);
    for (Duration at = 0s; at < 5s; at += 10ms)
        connectAll(selection, Start + at, {only});
    const TimePoint now = Start + 5s;
    if (selection.plan(now).dial.empty())
        selection.reportedAlive(only, now);
    EXPECT_EQ(selection.plan(now).dial, std::vector{only});
}

// A fleet that starts as a whole knows the same few entries; each process begins with one of them.
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
