// Tests of the invariant check itself. Each Rejects test guards against a check that misses the
// violation in its name, each Accepts test against one that reports a violation where there is
// none.

#include "fleethistory.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cactuscove {
namespace {

using namespace std::chrono_literals;
using testing::ElementsAre;
using testing::HasSubstr;
using testing::IsEmpty;

const JobKey Key{"t/1"};

TimePoint at(int seconds)
{
    return TimePoint{} + std::chrono::seconds(seconds);
}

AnsweredEvent notRunAt(int seconds)
{
    return {at(seconds), 1, Key, {Outcome::NotRun, "queue_full", 2s, {}}};
}

// A job of two tasks that caller 1 submits at 0 s and that completes at 2 s.
FleetHistory completedJob()
{
    FleetHistory history;
    history.submitted = {{at(0), 1, Key, 2, false}};
    history.started = {{at(1), Key, 0}, {at(1), Key, 1}};
    history.answered = {{at(2),
                         1,
                         Key,
                         {Outcome::Completed,
                          "",
                          std::nullopt,
                          {{"a", 200, bodyOf(Key, 0)}, {"b", 200, bodyOf(Key, 1)}}}}};
    return history;
}

TEST(FleetHistory, AcceptsACompletedJob)
{
    EXPECT_THAT(findViolations(completedJob()), IsEmpty());
}

TEST(FleetHistory, RejectsASecondStart)
{
    FleetHistory history = completedJob();
    history.started.push_back({at(3), Key, 1});
    EXPECT_THAT(findViolations(history), ElementsAre(HasSubstr("started 2 times")));
    history.submitted[0].idempotent = true;
    EXPECT_THAT(findViolations(history), IsEmpty());
}

TEST(FleetHistory, RejectsAPartialAnswer)
{
    FleetHistory history = completedJob();
    history.answered[0].answer.tasks.pop_back();
    EXPECT_THAT(findViolations(history), ElementsAre(HasSubstr("completed with 1 results")));
    history.answered[0].answer.outcome = Outcome::Unknown;
    EXPECT_THAT(findViolations(history), ElementsAre(HasSubstr("partial answer")));
}

TEST(FleetHistory, RejectsTheResultOfAnotherTask)
{
    FleetHistory history = completedJob();
    std::swap(history.answered[0].answer.tasks[0].body, history.answered[0].answer.tasks[1].body);
    EXPECT_EQ(findViolations(history).size(), 2U);
}

TEST(FleetHistory, RejectsAnAnswerToAnotherCaller)
{
    FleetHistory history = completedJob();
    history.answered[0].caller = 2;
    EXPECT_THAT(findViolations(history), ElementsAre(HasSubstr("did not ask")));
}

TEST(FleetHistory, RejectsTwoAnswersToOneRequest)
{
    FleetHistory history = completedJob();
    history.answered.push_back(history.answered[0]);
    EXPECT_THAT(findViolations(history), ElementsAre(HasSubstr("two answers")));
}

TEST(FleetHistory, RejectsCompletionWithoutAStart)
{
    FleetHistory history = completedJob();
    history.started.pop_back();
    EXPECT_THAT(findViolations(history), ElementsAre(HasSubstr("without a start")));
}

TEST(FleetHistory, RejectsNotRunAfterAStart)
{
    FleetHistory history = completedJob();
    history.answered[0] = notRunAt(2);
    EXPECT_EQ(findViolations(history).size(), 2U);
}

TEST(FleetHistory, RejectsAStartAfterNotRun)
{
    FleetHistory history = completedJob();
    history.answered.insert(history.answered.begin(), notRunAt(0));
    history.answered[1].caller = 3;
    history.submitted.push_back({at(1), 3, Key, 2, false}); // before the retry time
    EXPECT_EQ(findViolations(history).size(), 2U);
}

TEST(FleetHistory, AcceptsAStartOfAResubmissionAfterTheRetryTime)
{
    FleetHistory history = completedJob();
    history.answered.insert(history.answered.begin(), notRunAt(0));
    history.answered[1].caller = 3;
    history.answered[1].at = at(5);
    history.submitted.push_back({at(2), 3, Key, 2, false});
    history.started = {{at(3), Key, 0}, {at(3), Key, 1}};
    EXPECT_THAT(findViolations(history), IsEmpty());
}

// The second request was submitted after the retry time but was answered not_run as well, so no
// task may have started.
TEST(FleetHistory, RejectsAStartOfAResubmissionThatWasRefused)
{
    FleetHistory history = completedJob();
    history.answered = {notRunAt(0), notRunAt(3)};
    history.answered[1].caller = 3;
    history.submitted.push_back({at(2), 3, Key, 2, false});
    history.started = {{at(4), Key, 0}};
    EXPECT_THAT(findViolations(history), ElementsAre(HasSubstr("not_run")));
}

TEST(FleetHistory, RejectsARevisionThatGoesBack)
{
    FleetHistory history;
    history.revisions
        = {{at(0), Incarnation{1}, Revision{2}}, {at(1), Incarnation{1}, Revision{1}}};
    EXPECT_THAT(findViolations(history), ElementsAre(HasSubstr("went back")));
}

} // namespace
} // namespace cactuscove
