// Admission and order of tasks at one home: class and team shares, quotas, queueing delay.

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

// Why a job is not taken, as told to the caller.
struct AdmissionRefusal
{
    std::string reason; // "queue_full", "quota", "deadline"
    Duration retryAfter{};
};

// The part of a task that decides its order. `token` is the owner's own name for the task.
struct QueuedTask
{
    std::uint64_t token = 0;
    std::string team;
    std::string jobClass;
    std::string upstream;
    Duration expectedRunTime{}; // the declared one; used only until one has been learned
    TimePoint deadline;
    std::int64_t order = 0; // set by push(); a task that comes back keeps its place by age
};

class Admission
{
public:
    explicit Admission(std::uint64_t seed);

    // Commands
    void configure(const FleetConfig &config);
    // Share of fleet-wide quotas and slots that this home may count on: its shards / all shards.
    void setHomeShare(double share);
    void setUpstreamSlots(std::string_view upstream, std::uint32_t slots);
    // Decides on a whole job of `taskCount` tasks. An accepted job's tasks must then be pushed.
    std::optional<AdmissionRefusal> admit(std::string_view team, std::string_view jobClass,
                                          std::string_view upstream, std::size_t taskCount,
                                          Duration deadline, const KeyHash &key, TimePoint now);
    void push(QueuedTask task, TimePoint now);
    // The next task to place for this upstream by class share, then team weight, then age. Tasks of
    // teams at their quota are passed over.
    std::optional<QueuedTask> pop(std::string_view upstream, TimePoint now);
    void pushFront(QueuedTask task); // could not be placed after all
    void remove(std::uint64_t token);
    void taskStarted(std::string_view team, std::string_view jobClass, std::string_view upstream);
    void taskEnded(std::string_view team, std::string_view jobClass, std::string_view upstream,
                   std::optional<Duration> runTime); // none if it did not run

    // Queries
    std::size_t queuedTasks() const;
    std::size_t queuedTasks(std::string_view upstream) const;
    Duration expectedRunTime(std::string_view upstream) const; // learned, not declared
    // When a team that is at its quota with tasks queued may start the next one; NeverTime if time
    // alone changes nothing.
    TimePoint nextTimer() const;

private:
    // Exponentially weighted mean run time in seconds.
    struct RunTime
    {
        double mean = 0;
        double samples = 0;
        void add(double seconds);
    };

    // The tasks of one team in one class for one upstream, oldest first.
    struct TeamQueue
    {
        std::map<std::int64_t, QueuedTask> tasks; // by order number
        double tag = 0;                           // virtual start time, in slot-seconds / weight
        double backlog = 0;                       // expected slot-seconds queued
        double running = 0;                       // tasks started and not ended
        double charged = 0;                       // slot-seconds charged for them in advance
        RunTime runTime;
        double rate = 0; // slot-seconds per second that it gets, see measuredRate()
        TimePoint ratedAt{};
        TimePoint emptiedAt{}; // when a task last left the queue
        double refused = 0;    // slot-seconds refused lately, see decayRefused()
        TimePoint refusedAt{};
    };

    struct ClassQueue
    {
        std::map<std::string, TeamQueue, std::less<>> teams;
        double tag = 0;
        double virtualTime = 0; // of its teams
        std::size_t queued = 0;
    };

    struct UpstreamQueue
    {
        std::map<std::string, ClassQueue, std::less<>> classes;
        double virtualTime = 0; // of its classes
        std::size_t queued = 0;
        std::uint32_t slots = 0;
        RunTime runTime;
    };

    // A team's quota at this home.
    struct Quota
    {
        double running = 0;
        std::multiset<TimePoint> cooling; // ended tasks whose place is not free yet
        double startTokens = 0;
        TimePoint refilledAt{};
        bool metered = false; // refilledAt is set
    };

    struct Location
    {
        std::string upstream;
        std::string jobClass;
        std::string team;
        std::int64_t order = 0;
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
    void refill(Quota &quota, double startsPerSecond, TimePoint now) const;
    std::map<std::string, TeamQueue, std::less<>>::iterator
    nextTeam(ClassQueue &queue, std::set<std::string, std::less<>> &blocked, TimePoint now);
    void insert(QueuedTask task);
    void take(const Location &location);
    Duration retryAfter(TeamQueue &queue, double wait, double work, double slots,
                        const KeyHash &key, TimePoint now) const;

    std::uint64_t m_seed; // of the hash that spreads retry times
    FleetConfig m_config;
    double m_homeShare = 1;
    TimePoint m_now{}; // latest time seen; times the commands that carry none
    std::int64_t m_nextOrder = 0;
    std::map<std::string, UpstreamQueue, std::less<>> m_upstreams;
    std::map<std::string, Quota, std::less<>> m_quotas;
    std::unordered_map<std::uint64_t, Location> m_locations; // every queued task by token
};

} // namespace cactuscove
