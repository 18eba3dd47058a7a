// An entry's view of the workers: their usable capacity, and the choice of a worker.

#include "workerdirectory.h"

#include <gtest/gtest.h>

namespace cactuscove {

namespace {

constexpr TimePoint Now{std::chrono::hours(1)};
constexpr Incarnation Agent{7};

class WorkerDirectoryTest : public testing::Test
{
protected:
    WorkerDirectoryTest()
    {
        m_directory.agentConnected(Agent, "agent", "dc", Now);
        m_directory.updateAgentClock(Agent, Now, Now);
        for (const char *id : {"a", "b", "c"}) {
            WorkerInfo info;
            info.id = id;
            info.upstream = "u";
            info.capacity = {10000, 1000, 0};
            m_directory.updateWorker(Agent, {info, false});
            report(id, 0, 1);
        }
    }

    void report(const char *id, double failureRate, double slowness)
    {
        WorkerLoad load;
        load.workerId = id;
        load.free = {10000, 1000, 0};
        load.isUsable = true;
        load.failureRate = failureRate;
        load.slowness = slowness;
        m_directory.updateLoad(Agent, load);
    }

    WorkerDirectory m_directory{1};
};

} // namespace

// Guards against counting capacity as free that was assigned since the last report.
TEST_F(WorkerDirectoryTest, RoomIsWhatWasReportedLessWhatWasSent)
{
    EXPECT_EQ(m_directory.usableCapacity("u", Now).freeCores, 30);
    m_directory.reserve({Agent, "a"}, 0, {4000, 10, 0});
    EXPECT_EQ(m_directory.usableCapacity("u", Now).freeCores, 26);
}

// Guards against refusing all jobs where the expected run times are wrong: if half of the workers
// look slow, none counts as slow.
TEST_F(WorkerDirectoryTest, NoWorkerIsSlowWhereHalfOfThemAre)
{
    report("a", 0, 9);
    report("b", 0, 5);
    EXPECT_EQ(m_directory.usableCapacity("u", Now).total.cpuMillis, 30000);
    EXPECT_EQ(m_directory.usableCapacity("u", Now).freeCores, 30);
    WorkerDirectory::Request request{"u", {1000, 10, 0}, 0, {}, {}, {}};
    request.maxSlowness = 1.6;
    report("c", 0, 2);
    EXPECT_TRUE(m_directory.chooseWorker(request, Now));
}

// Guards against accepting jobs because of free capacity that no task is sent to: a worker that
// fails what it starts is always idle.
TEST_F(WorkerDirectoryTest, RoomOfFailingAndSlowWorkersIsNotCounted)
{
    report("a", 0.9, 1);
    EXPECT_EQ(m_directory.usableCapacity("u", Now).freeCores, 20);
    EXPECT_EQ(m_directory.usableCapacity("u", Now).total.cpuMillis, 20000);
    report("b", 0, 8);
    EXPECT_EQ(m_directory.usableCapacity("u", Now).freeCores, 10);
    for (int i = 0; i < 20; ++i) {
        WorkerDirectory::Request request;
        request.upstream = "u";
        request.needs = {100, 1, 0};
        request.maxSlowness = 2;
        const auto chosen = m_directory.chooseWorker(request, Now);
        ASSERT_TRUE(chosen);
        EXPECT_EQ(chosen->workerId, "c");
    }
}

// Guards against comparing the remaining workers with the workers of agents that are gone for good.
TEST_F(WorkerDirectoryTest, WorkersOfAGoneAgentDoNotCount)
{
    constexpr Incarnation otherAgent{8};
    m_directory.agentConnected(otherAgent, "other", "dc", Now);
    m_directory.updateAgentClock(otherAgent, Now, Now);
    WorkerInfo info;
    info.id = "d";
    info.upstream = "u";
    info.capacity = {10000, 1000, 0};
    m_directory.updateWorker(otherAgent, {info, false});
    WorkerLoad load;
    load.workerId = "d";
    load.free = {10000, 1000, 0};
    load.isUsable = true;
    load.failureRate = 0.3; // above the limit while the three other workers count
    m_directory.updateLoad(otherAgent, load);
    EXPECT_EQ(m_directory.usableCapacity("u", Now).freeCores, 30);
    m_directory.agentDisconnected(Agent);
    EXPECT_EQ(m_directory.connectedAgents(), 1U);
    EXPECT_EQ(m_directory.usableCapacity("u", Now).freeCores, 10);
    WorkerDirectory::Request request{"u", {11000, 10, 0}, 0, {}, {}, {}};
    EXPECT_FALSE(m_directory.fitsSomeWorker(request));
}

// Guards against sending a task again to a worker on which it failed because the other workers are
// busy now.
TEST_F(WorkerDirectoryTest, AvoidedWorkersAreUsedOnlyWithoutAlternative)
{
    const std::vector<WorkerKey> avoid{{Agent, "a"}, {Agent, "b"}};
    WorkerDirectory::Request request;
    request.upstream = "u";
    request.needs = {8000, 1, 0};
    request.avoidedWorkers = avoid;
    EXPECT_EQ(m_directory.chooseWorker(request, Now)->workerId, "c");
    m_directory.reserve({Agent, "c"}, 0, {8000, 1, 0});
    EXPECT_FALSE(m_directory.chooseWorker(request, Now));
}

} // namespace cactuscove
