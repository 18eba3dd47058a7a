// Admission and order of tasks at one home: class and team shares, quotas, queueing delay.

#pragma once

#include "fleetconfig.h"
#include "types.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

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
    Duration expectedRunTime{};
    TimePoint deadline;
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
    // The next task to place for this upstream by class share, then team weight, then age.
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

private:
    std::uint64_t m_random;
    FleetConfig m_config;
    double m_homeShare = 1;
};

} // namespace cactuscove
