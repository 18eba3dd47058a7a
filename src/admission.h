// Admission control and the task queue of one home agent: decides whether a job is accepted, and
// in which order the queued tasks of accepted jobs start.

#pragma once

#include "fleetconfig.h"
#include "types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>

namespace cactuscove {

// Why a job is refused; both fields go into the answer to the caller.
struct AdmissionRefusal
{
    // "queue_full": the estimated wait exceeds the queue target of the class.
    // "quota": likewise, but only because of the running-task quota of the team.
    // "deadline": the job cannot finish before its deadline.
    std::string reason;
    Duration retryAfter{}; // when the caller should try again; at most 120 s
};

// The properties of a task that determine its place in the queue.
struct QueuedTask
{
    std::uint64_t token = 0; // chosen by the caller of push(), unique among the queued tasks
    std::string team;
    std::string jobClass;
    std::string upstream;
    Duration expectedRunTime{}; // as declared by the caller; not read by Admission
    TimePoint deadline;         // likewise not read by Admission
    // Sequence number set by push(). It determines the age of the task, so a task that is passed to
    // pushFront() must still have it.
    std::int64_t queueSequence = 0;
};

// Keeps one queue for each upstream, class and team. The classes share the slots of an upstream in
// proportion to their configured shares, the teams of a class in proportion to their weights, both
// measured in slot time. JobHome calls it from the event loop of the agent: admit() for each new
// job, pop() whenever an agent may have a free slot, taskStarted() and taskEnded() for each task.
class Admission
{
public:
    // `seed` determines how the retry times of refused jobs are spread.
    explicit Admission(std::uint64_t seed);

    // Commands
    void configure(const FleetConfig &config);
    // The share of the fleet-wide quotas and slots that this home may use, in [0, 1]: its number
    // of shards divided by the number of all shards.
    void setHomeShare(double share);
    // `slots`: total of all agents of the fleet that serve this upstream.
    void setUpstreamSlots(std::string_view upstream, std::uint32_t slots);
    // Accepts (no value) or refuses a whole job of `taskCount` tasks. `deadline` is the time left
    // from `now`; `key` is the hash of the job key and selects the retry time within its spread.
    // The caller must push() the tasks of an accepted job.
    std::optional<AdmissionRefusal> admit(std::string_view team, std::string_view jobClass,
                                          std::string_view upstream, std::size_t taskCount,
                                          Duration deadline, const KeyHash &key, TimePoint now);
    // Adds a task behind all other tasks of its team and class.
    void push(QueuedTask task, TimePoint now);
    // Removes and returns the next task to place on this upstream: the class, then the team, that
    // has used the least of its share, then the oldest task. Skips teams that are at their quota.
    // No value if no task may start now.
    std::optional<QueuedTask> pop(std::string_view upstream, TimePoint now);
    // Returns a task that was popped but could not be placed, or whose attempts have all ended
    // without a result. It keeps its place in the queue, and its class and team get back what pop()
    // charged.
    void pushFront(QueuedTask task);
    // Removes a queued task. An unknown token is ignored.
    void remove(std::uint64_t token);
    // A task counts against the quota of its team from taskStarted() to taskEnded().
    void taskStarted(std::string_view team, std::string_view jobClass, std::string_view upstream);
    // `runTime`: no value if the task did not run.
    void taskEnded(std::string_view team, std::string_view jobClass, std::string_view upstream,
                   std::optional<Duration> runTime);

    // Queries
    std::size_t queuedTasks() const;
    std::size_t queuedTasks(std::string_view upstream) const;
    // Mean of the measured run times; 0.5 s before the first one. Declared times are not used.
    Duration expectedRunTime(std::string_view upstream) const;
    // The earliest time at which the quota of a team with queued tasks may allow another start.
    // NeverTime if no task waits for time to pass.
    TimePoint nextTimer() const;

private:
    // Mean run time in seconds: the plain mean of the first 50 samples, exponentially weighted
    // after that.
    struct RunTimeMean
    {
        double mean = 0;
        double samples = 0; // number of run times seen
        void addSample(double seconds);
    };

    // The tasks of one team in one class for one upstream, oldest first.
    struct TeamQueue
    {
        std::map<std::int64_t, QueuedTask> tasks; // by sequence number
        double startTag = 0; // start tag of the next task, in slot-seconds divided by the weight
        double backlog = 0;  // expected slot-seconds of the queued tasks
        double running = 0;  // number of tasks started and not ended
        // Expected slot-seconds of the running tasks, charged when they were taken from the queue.
        double chargedInAdvance = 0;
        RunTimeMean runTime;
        // Slot-seconds per second that the team receives, as of `serviceRateAt`; see
        // measuredRate().
        double serviceRate = 0;
        TimePoint serviceRateAt{};
        TimePoint lastRemovedAt{}; // when a task was last removed from the queue
        // Slot-seconds of recently refused jobs, as of `refusedWorkAt`; decays exponentially.
        double refusedWork = 0;
        TimePoint refusedWorkAt{};
    };

    struct ClassQueue
    {
        std::map<std::string, TeamQueue, std::less<>> teams;
        double startTag = 0;    // start tag of the class, in slot-seconds divided by its share
        double virtualTime = 0; // start tag of the team served last
        std::size_t queued = 0; // number of tasks in `teams`
    };

    struct UpstreamQueue
    {
        std::map<std::string, ClassQueue, std::less<>> classes;
        double virtualTime = 0;  // start tag of the class served last
        std::size_t queued = 0;  // number of tasks in `classes`
        std::uint32_t slots = 0; // of the whole fleet
        RunTimeMean runTime;
    };

    // What a team uses of its quotas at this home.
    struct Quota
    {
        double running = 0; // number of tasks started and not ended
        // Ended tasks still count as running until these times, see taskEnded().
        std::multiset<TimePoint> heldUntil;
        double startTokens = 0; // token bucket of the start rate; each start takes one token
        TimePoint refilledAt{};
        bool isRefilled = false; // the bucket has been filled once, so `refilledAt` is valid
    };

    // Where a queued task is stored.
    struct Location
    {
        std::string upstream;
        std::string jobClass;
        std::string team;
        std::int64_t queueSequence = 0;
    };

    double classShare(std::string_view jobClass) const;
    double teamWeight(std::string_view team) const;
    double taskCost(const UpstreamQueue &upstream, const TeamQueue &queue) const;
    double fairSlots(const UpstreamQueue &upstream, std::string_view jobClass,
                     std::string_view team) const;
    double serviceSlots(const UpstreamQueue &upstream, std::string_view jobClass,
                        std::string_view team, TimePoint now) const;
    static double measuredRate(const TeamQueue &queue, TimePoint now);
    double quotaSlots(std::string_view team) const;
    bool isWithinQuota(std::string_view team, TimePoint now);
    void refillStartTokens(Quota &quota, double startsPerSecond, TimePoint now) const;
    std::map<std::string, TeamQueue, std::less<>>::iterator
    nextTeam(ClassQueue &queue, std::set<std::string, std::less<>> &blocked, TimePoint now);
    void insert(QueuedTask task);
    void removeAt(const Location &location);
    Duration retryAfter(TeamQueue &queue, double wait, double work, double slots,
                        const KeyHash &key, TimePoint now) const;

    std::uint64_t m_seed;
    FleetConfig m_config;
    double m_homeShare = 1;
    TimePoint m_now{}; // latest time passed in, for the commands without a `now`
    std::int64_t m_nextOrder = 0;
    std::map<std::string, UpstreamQueue, std::less<>> m_upstreams;
    std::map<std::string, Quota, std::less<>> m_quotas;
    std::unordered_map<std::uint64_t, Location> m_locations; // every queued task by token
};

} // namespace cactuscove
