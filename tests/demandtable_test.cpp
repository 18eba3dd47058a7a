// The three decisions about demand without a fleet: what is measured and summed up, which reports
// count, and which part of the work is accepted.

#include "admissionquota.h"
#include "demandmeter.h"
#include "demandtable.h"
#include "jobdispatcher.h"

#include <gtest/gtest.h>

#include <limits>
#include <memory>
#include <set>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

constexpr TimePoint Now{std::chrono::hours(1)};
constexpr Incarnation A{1};
constexpr Incarnation B{2};
const DemandTable::Upstreams Known{"u"};

PeerHeartbeat heartbeat(double utilisation, TimePoint sentAt = Now, const char *upstream = "u")
{
    return {sentAt, 0, {{upstream, 1, utilisation}}};
}

double sumOf(const DemandTable &table, TimePoint now)
{
    const auto reports = table.sum(now);
    return reports.empty() ? -1 : reports.front().utilisation;
}

} // namespace

// Guards against a first second in which the demand looks smaller than it is, and against demand
// that does not end.
TEST(DemandMeter, MeasuresASteadyDemandSoonAfterTheStart)
{
    DemandMeter meter(Now);
    for (int i = 1; i <= 300; ++i)
        meter.record("u", 0, 500, Now + i * 1ms);
    EXPECT_NEAR(meter.cores("u", 0, Now + 300ms), 500, 10);
    EXPECT_EQ(meter.cores("u", 1, Now + 300ms), 0);
    EXPECT_EQ(meter.cores("v", Now + 300ms), 0);
    EXPECT_LT(meter.cores("u", Now + 5s), 1);
}

TEST(DemandTable, CountsAnEntryWithoutAReportAsTheMeanOfTheOthers)
{
    DemandTable table;
    table.connected(A);
    table.connected(B);
    EXPECT_TRUE(table.sum(Now).empty());
    table.update(A, heartbeat(0.4), Known, Now);
    EXPECT_DOUBLE_EQ(sumOf(table, Now), 0.8);
    table.update(B, heartbeat(0.2), Known, Now + 2s);
    EXPECT_DOUBLE_EQ(sumOf(table, Now + 2s), 0.6);
    EXPECT_DOUBLE_EQ(sumOf(table, Now + 4s), 0.4) << "the report of A is old";
    table.disconnected(A);
    EXPECT_DOUBLE_EQ(sumOf(table, Now + 4s), 0.2);
    EXPECT_TRUE(table.sum(Now + 1h).empty());
}

// Guards against a faulty peer that changes what the whole fleet accepts, and floods the log.
TEST(DemandTable, IgnoresBadReportsAndLogsTheFirst)
{
    const double infinity = std::numeric_limits<double>::infinity();
    const std::vector<PeerHeartbeat> bad
        = {heartbeat(-0.1), heartbeat(infinity), heartbeat(1e300),
           heartbeat(std::numeric_limits<double>::quiet_NaN()), heartbeat(0.9, Now + 1h)};
    for (const PeerHeartbeat &it : bad) {
        DemandTable table;
        table.connected(A);
        EXPECT_FALSE(table.update(A, heartbeat(0.4), Known, Now));
        EXPECT_TRUE(table.update(A, it, Known, Now + 100ms));
        EXPECT_FALSE(table.update(A, it, Known, Now + 200ms)) << "logged once";
        EXPECT_DOUBLE_EQ(sumOf(table, Now + 200ms), 0.4);
    }
    DemandTable table;
    table.connected(A);
    EXPECT_TRUE(table.update(A, heartbeat(0.4, Now, "other"), Known, Now));
    EXPECT_TRUE(table.sum(Now).empty());
    table.update(B, heartbeat(0.4), Known, Now);
    EXPECT_TRUE(table.sum(Now).empty()) << "B is not connected";
}

TEST(DemandTable, WeightsAgentsByCoresAndNeedsHalfOfThem)
{
    DemandTable table;
    table.connected(A);
    table.connected(B);
    table.update(A, heartbeat(1), Known, Now);
    EXPECT_FALSE(table.mean("u", {{A, 30}, {B, 90}}, Now));
    table.update(B, heartbeat(2), Known, Now);
    const auto mean = table.mean("u", {{A, 30}, {B, 90}}, Now + 100ms);
    ASSERT_TRUE(mean);
    EXPECT_DOUBLE_EQ(mean->total(), 1.75);
    EXPECT_EQ(mean->age, 100ms);
    EXPECT_FALSE(table.mean("u", {{A, 30}, {B, 90}}, Now + 1h));
}

TEST(DemandReports, AreSentEarlyIfTheDemandHasChanged)
{
    const std::vector<DemandReport> sent{{"u", 0, 0.5}, {"u", 1, 0.5}};
    EXPECT_FALSE(differsNoticeably(sent, std::vector<DemandReport>{{"u", 0, 0.55}, {"u", 1, 0.5}}));
    EXPECT_TRUE(differsNoticeably(sent, std::vector<DemandReport>{{"u", 0, 0.6}, {"u", 1, 0.4}}));
    EXPECT_TRUE(differsNoticeably({}, sent));
}

// Guards against a priority that gets nothing, or keeps what it does not ask for.
TEST(AdmissionQuota, DividesTheCapacityByUrgencyWithAFloor)
{
    for (const auto &[priority, part] : acceptedParts({{0, 0.3}, {1, 0.3}, {2, 0.3}}))
        EXPECT_EQ(part, 1);
    const auto parts = acceptedParts({{0, 0.1}, {1, 1}, {2, 1}});
    EXPECT_EQ(parts.at(0), 1);
    EXPECT_GT(parts.at(1), 2 * parts.at(2));
    EXPECT_NEAR(parts.at(2), 0.8 / 3 * TargetUtilisation, 1e-9);
    EXPECT_NEAR(0.1 + parts.at(1) + parts.at(2), TargetUtilisation, 1e-9);
    EXPECT_TRUE(acceptedParts({}).empty());
}

namespace {

// A dispatcher with one agent, whose worker of 10 cores has `freeCores` of them free. The agent
// reports this utilisation.
std::unique_ptr<JobDispatcher> makeDispatcher(bool hasScarcityControl, double utilisation,
                                              int freeCores, DispatcherOutbox &out)
{
    auto dispatcher = std::make_unique<JobDispatcher>(
        DispatcherSettings{1, 1800ms, hasScarcityControl}, Now - 1h);
    DispatchConfig config;
    config.version = 1;
    config.queues.push_back({"q", "host", "/", "u", 0, 1, 1.6, 60ms, 30s});
    dispatcher->configure(config, out);
    dispatcher->onAgentConnected({"a", A, Role::Agent, "dc", {}, ProtocolVersion}, Now, out);
    dispatcher->onAgentMessage(A, PeerHeartbeat{Now, 1, {{"u", 0, utilisation}}}, Now, out);
    WorkerUpdate worker;
    worker.worker.id = "w";
    worker.worker.upstream = "u";
    worker.worker.capacity = {10000, 1000, 0};
    dispatcher->onAgentMessage(A, worker, Now, out);
    WorkerLoad load;
    load.workerId = "w";
    load.isUsable = true;
    load.free = {1000 * freeCores, 1000, 0};
    dispatcher->onAgentMessage(A, load, Now, out);
    return dispatcher;
}

// Refusal reasons of a job that is expected to meet its deadline and not its objective, where the
// agent reports this utilisation and nothing is free.
std::vector<std::string> refusalsOfLateJob(bool hasScarcityControl, double utilisation)
{
    DispatcherOutbox out;
    const auto dispatcher = makeDispatcher(hasScarcityControl, utilisation, 0, out);
    BestEffortJob job{"j", "q", {}, {1000, 1, 0}, 10, 200ms, {}, {}};
    dispatcher->submit(CallerId{1}, job, 1500ms, Now, out);
    std::vector<std::string> reasons;
    for (const DispatcherEffect &it : out)
        if (const auto *answer = std::get_if<AnswerJob>(&it))
            reasons.push_back(answer->answer.reason);
    return reasons;
}

} // namespace

// Guards against late jobs that take the capacity of others, and against refusing them where there
// is capacity for them later.
TEST(JobDispatcher, AcceptsAJobThatWillBeLateOnlyWithSpareCores)
{
    using Reasons = std::vector<std::string>;
    EXPECT_EQ(refusalsOfLateJob(true, 0.5), Reasons{});
    EXPECT_EQ(refusalsOfLateJob(true, 1.2), Reasons{"overloaded"});
    EXPECT_EQ(refusalsOfLateJob(false, 0.5), Reasons{"overloaded"});
}

// Guards against an answer that is lost because the process is killed before the caller's time is
// up.
TEST(JobDispatcher, AnswersEveryJobBeforeTheProcessMustEnd)
{
    DispatcherOutbox out;
    const auto dispatcher = makeDispatcher(false, 0, 10, out);
    const auto submit = [&](const char *id, std::uint64_t caller, TimePoint at) {
        BestEffortJob job{id, "q", {}, {1000, 1, 0}, 2, 200ms, {}, {}};
        dispatcher->submit(CallerId{caller}, job, 30s, at, out);
        dispatcher->processPending(at, out);
    };
    const TimePoint end = Now + 5s;
    submit("open", 1, Now);
    dispatcher->answerJobsBy(end);
    submit("new", 2, Now + 1s);
    // The agent reports nothing about the tasks.
    for (TimePoint now = Now + 1s; now <= end; now += 10ms)
        dispatcher->processPending(now, out);
    std::set<CallerId> answered;
    for (const DispatcherEffect &it : out)
        if (const auto *answer = std::get_if<AnswerJob>(&it))
            answered.insert(answer->caller);
    EXPECT_EQ(answered, (std::set<CallerId>{CallerId{1}, CallerId{2}}));
    EXPECT_EQ(dispatcher->openJobs(), 0u);
}

// Guards against size classes of which none is ever accepted, and against an accepted part that
// depends on chance.
TEST(AdmissionQuota, AcceptsThePartOfEachSizeClass)
{
    AdmissionQuota quota;
    std::map<double, double> accepted; // work by size of the job
    for (int i = 0; i < 1000; ++i) {
        const double work = i % 10 == 0 ? 1000 : i % 10 < 3 ? 300 : 100;
        if (quota.accept("q", work, 0.3))
            accepted[work] += work;
    }
    EXPECT_NEAR(accepted[1000], 0.3 * 100 * 1000, 3000);
    EXPECT_NEAR(accepted[300], 0.3 * 200 * 300, 3000);
    EXPECT_NEAR(accepted[100], 0.3 * 700 * 100, 3000);
    EXPECT_TRUE(quota.accept("q", 1000, 1));
    EXPECT_EQ(retryAfterOf(0.5), 1s);
    EXPECT_EQ(retryAfterOf(0), 10s);
}

} // namespace cactuscove
