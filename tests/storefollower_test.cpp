// Following a topic over a network link on which a large record takes longer than the follower's
// timeouts.

#include "slowstore.h"
#include "storefollower.h"

#include <gtest/gtest.h>

#include <string>

namespace cactuscove {
namespace {

using namespace std::chrono_literals;

constexpr double LinkBitsPerSecond = 2e6;
constexpr std::size_t MaxRecordBytes = 256 * 1024; // the store accepts no larger record
// The users require that a configuration is in force by this time after the store acknowledged it.
constexpr Duration MaxApplyTime = 4s;
// The same on the sites with small configurations and fast links.
constexpr Duration MaxQuickApplyTime = 2s;

class StoreFollowerTest : public testing::Test
{
protected:
    void follow()
    {
        StoreFollowerSettings settings;
        settings.store = store.address();
        settings.topic = platform::operatorTopic();
        follower = std::make_unique<StoreFollower>(
            loop, http, settings,
            StoreFollower::Handlers{[this](const platform::StoreRecord &it) { onRecord(it); },
                                    [this](bool isReachable, const std::string &) {
                                        reachabilityLosses += !isReachable;
                                    },
                                    [this](const std::set<std::string> &keys, LogOffset readUpTo) {
                                        completeKeys = keys;
                                        completeUpTo = readUpTo;
                                    }});
    }

    void onRecord(const platform::StoreRecord &it)
    {
        newestValue = it.value;
        ++recordCount;
        if (newestValue == expectedValue)
            loop.stop();
    }

    // Makes the client keep this many connections to the store open, as parallel calls of a process
    // do.
    void openConnections(int count)
    {
        int openCalls = count;
        for (int i = 0; i < count; ++i)
            http.start(platform::makeNewestCall(store.address(), "other", "", 1s),
                       [&](const platform::CallResult &) {
                           if (--openCalls == 0)
                               loop.stop();
                       });
        loop.run();
    }

    // Runs the loop until the record `value` is read. Returns how long that took, or
    // Duration::max() if it took longer than `timeout`.
    Duration waitFor(const std::string &value, Duration timeout)
    {
        expectedValue = value;
        const TimePoint startedAt = loop.now();
        Timer timeoutTimer(loop, [this] { loop.stop(); });
        timeoutTimer.startIn(timeout);
        if (newestValue != expectedValue)
            loop.run();
        return newestValue == expectedValue ? loop.now() - startedAt : Duration::max();
    }

    static std::string config(char fill, std::size_t size) { return std::string(size, fill); }

    EventLoop loop;
    HttpClient http{loop};
    SlowStore store{loop, LinkBitsPerSecond};
    std::unique_ptr<StoreFollower> follower;
    std::string newestValue;
    std::string expectedValue;
    int recordCount = 0;
    int reachabilityLosses = 0;
    std::set<std::string> completeKeys; // of the last complete read
    LogOffset completeUpTo;             // the same
};

} // namespace

// Guards against a time limit on the whole answer: a record that takes longer would be cut off and
// read again from its start endlessly.
TEST_F(StoreFollowerTest, TheLargestRecordArrivesOverASlowLink)
{
    store.append("config", config('a', MaxRecordBytes - 64));
    follow();
    EXPECT_LT(waitFor(config('a', MaxRecordBytes - 64), 10s), MaxApplyTime);
    EXPECT_EQ(reachabilityLosses, 0);
    EXPECT_LT(store.sentBytes(), 2 * MaxRecordBytes) << "the record was sent more than once";
}

// The same for a record that is received by a long read.
TEST_F(StoreFollowerTest, AConfigurationThatGrowsIsInForceInTime)
{
    store.append("config", config('a', 2000));
    follow();
    ASSERT_LT(waitFor(config('a', 2000), 10s), MaxApplyTime);
    store.append("config", config('b', MaxRecordBytes - 64));
    EXPECT_LT(waitFor(config('b', MaxRecordBytes - 64), 10s), MaxApplyTime);
    EXPECT_EQ(reachabilityLosses, 0);
}

// Guards against reading all older records of a key before the newest one.
TEST_F(StoreFollowerTest, TheNewestOfManyLargeChangesIsInForceInTime)
{
    store.append("config", config('a', 2000));
    follow();
    ASSERT_LT(waitFor(config('a', 2000), 10s), MaxApplyTime);
    for (const char fill : {'b', 'c', 'd', 'e', 'f', 'g', 'h', 'i'})
        store.append("config", config(fill, 200'000));
    EXPECT_LT(waitFor(config('i', 200'000), 20s), MaxApplyTime);
    EXPECT_LE(recordCount, 4);
}

// Guards against reading endlessly at an offset whose records the store has deleted.
TEST_F(StoreFollowerTest, AHistoryThatIsDroppedIsReadAnewFromTheNewestRecords)
{
    store.append("config", config('a', 2000));
    follow();
    ASSERT_LT(waitFor(config('a', 2000), 10s), MaxApplyTime);
    for (const char fill : {'b', 'c', 'd'})
        store.append("config", config(fill, 100'000));
    store.dropHistory();
    EXPECT_LT(waitFor(config('d', 100'000), 20s), MaxApplyTime);
    EXPECT_EQ(reachabilityLosses, 0);
}

// Guards against a request that stays in force because its withdrawal was deleted before it was
// read.
TEST_F(StoreFollowerTest, ACompleteReadReportsWhichKeysAreLeft)
{
    store.append("evacuate/north", "{}");
    store.append("evacuate/south", "{}");
    store.append("evacuate/north", "");
    store.append("last", "1");
    follow();
    ASSERT_LT(waitFor("1", 10s), MaxApplyTime);
    EXPECT_EQ(completeKeys, (std::set<std::string>{"evacuate/south", "last"}));
    EXPECT_EQ(completeUpTo, LogOffset{4});
}

// Guards against waiting endlessly on a connection that breaks without a close in the middle of an
// answer.
TEST_F(StoreFollowerTest, AnAnswerThatStopsHalfWayIsAskedForAgain)
{
    store.append("config", config('a', 50'000));
    store.stallNextAnswerAfter(10'000);
    follow();
    EXPECT_LT(waitFor(config('a', 50'000), 10s), MaxApplyTime);
    EXPECT_EQ(reachabilityLosses, 1);
}

// Guards against a configuration that comes late because each read waits on another connection that
// is just as dead.
TEST_F(StoreFollowerTest, AChangeIsInForceInTimeAfterAllKeptConnectionsWentSilent)
{
    store.append("config", config('a', 2000));
    follow();
    ASSERT_LT(waitFor(config('a', 2000), 10s), MaxQuickApplyTime);
    openConnections(5);
    store.silenceConnections();
    store.append("config", config('b', 2000));
    EXPECT_LT(waitFor(config('b', 2000), 20s), MaxQuickApplyTime);
}

// Guards against a key that counts as deleted because its record cannot be read.
TEST_F(StoreFollowerTest, AReadWithARecordThatNamesNoKeyIsNotComplete)
{
    store.append("evacuate/north", "{}");
    // In the answer, which is JSON, the key of this record is a number.
    store.append(R"(odd","key":7,"x":")", "1");
    store.append("last", "1");
    follow();
    ASSERT_LT(waitFor("1", 10s), MaxQuickApplyTime);
    EXPECT_TRUE(completeKeys.empty());
}

} // namespace cactuscove
