// A topic that is followed over a link so slow that a large record takes longer than the pauses
// and patience of the reader.

#include "slowstore.h"
#include "storefollower.h"

#include <gtest/gtest.h>

#include <string>

namespace cactuscove {
namespace {

using namespace std::chrono_literals;

constexpr double SlowLink = 2e6;                  // bits a second
constexpr std::size_t LargestRecord = 256 * 1024; // of the store
// Configurations are in force by then after they were acknowledged, as the users ask.
constexpr Duration ApplyTime = 4s;

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
            StoreFollower::Handlers{
                [this](const platform::StoreRecord &it) { onRecord(it); },
                [this](bool isReachable, const std::string &) { losses += !isReachable; }});
    }

    void onRecord(const platform::StoreRecord &it)
    {
        newest = it.value;
        ++records;
        if (newest == awaited)
            loop.stop();
    }

    // Returns how long it took; NeverTime's distance if it took longer than `patience`.
    Duration await(const std::string &value, Duration patience)
    {
        awaited = value;
        const TimePoint since = loop.now();
        Timer giveUp(loop, [this] { loop.stop(); });
        giveUp.startIn(patience);
        if (newest != awaited)
            loop.run();
        return newest == awaited ? loop.now() - since : Duration::max();
    }

    static std::string config(char mark, std::size_t size) { return std::string(size, mark); }

    EventLoop loop;
    HttpClient http{loop};
    SlowStore store{loop, SlowLink};
    std::unique_ptr<StoreFollower> follower;
    std::string newest;
    std::string awaited;
    int records = 0;
    int losses = 0;
};

} // namespace

// Guards against a time limit on the whole answer: it cut each read off and began anew for ever.
TEST_F(StoreFollowerTest, TheLargestRecordArrivesOverASlowLink)
{
    store.append("config", config('a', LargestRecord - 64));
    follow();
    EXPECT_LT(await(config('a', LargestRecord - 64), 10s), ApplyTime);
    EXPECT_EQ(losses, 0);
    EXPECT_LT(store.sentBytes(), 2 * LargestRecord) << "the record was sent more than once";
}

TEST_F(StoreFollowerTest, AConfigurationThatGrowsIsInForceInTime)
{
    store.append("config", config('a', 2000));
    follow();
    ASSERT_LT(await(config('a', 2000), 10s), ApplyTime);
    store.append("config", config('b', LargestRecord - 64));
    EXPECT_LT(await(config('b', LargestRecord - 64), 10s), ApplyTime);
    EXPECT_EQ(losses, 0);
}

// Guards against reading every older version of a record before the newest one.
TEST_F(StoreFollowerTest, TheNewestOfManyLargeChangesIsInForceInTime)
{
    store.append("config", config('a', 2000));
    follow();
    ASSERT_LT(await(config('a', 2000), 10s), ApplyTime);
    for (const char mark : {'b', 'c', 'd', 'e', 'f', 'g', 'h', 'i'})
        store.append("config", config(mark, 200'000));
    EXPECT_LT(await(config('i', 200'000), 20s), ApplyTime);
    EXPECT_LE(records, 4);
}

TEST_F(StoreFollowerTest, AHistoryThatIsDroppedIsReadAnewFromTheNewestRecords)
{
    store.append("config", config('a', 2000));
    follow();
    ASSERT_LT(await(config('a', 2000), 10s), ApplyTime);
    for (const char mark : {'b', 'c', 'd'})
        store.append("config", config(mark, 100'000));
    store.dropHistory();
    EXPECT_LT(await(config('d', 100'000), 20s), ApplyTime);
    EXPECT_EQ(losses, 0);
}

// Guards against waiting for ever on a connection that has gone silent in the middle of an answer.
TEST_F(StoreFollowerTest, AnAnswerThatStopsHalfWayIsAskedForAgain)
{
    store.append("config", config('a', 50'000));
    store.stallNextAnswerAfter(10'000);
    follow();
    EXPECT_LT(await(config('a', 50'000), 10s), ApplyTime);
    EXPECT_EQ(losses, 1);
}

} // namespace cactuscove
