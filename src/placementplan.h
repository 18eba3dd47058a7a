// Plans which waiting jobs of one upstream start now, and on which workers. Jobs are placed one by
// one in their order. The first job that cannot start gets a reservation at the earliest workers
// and times that it can have. A job behind it starts only if it ends by then, or uses capacity that
// the reservation leaves.
//
// A job of several tasks starts as a whole: only when every task can start at a time at which it
// still ends within the objective. Otherwise it waits, so that it can still be refused. For loads
// near the capacity of the fleet, at which small jobs leave gaps that large ones cannot use.
//
// Reads no clock: inputs carry the time.

#pragma once

#include "workerdirectory.h"

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string_view>
#include <vector>

namespace cactuscove {

// A job that waits, with its tasks that are not placed yet. All of them have the same needs.
struct PlanJob
{
    Resources needs; // of each task
    std::size_t taskCount = 0;
    Duration expectedRun{};  // of one task on a worker of slowness 1
    TimePoint objectiveAt{}; // the last task should end by then
    // Some task was placed before. Such a job is finished: it need not be placed as a whole.
    bool hasStarted = false;
    std::string_view requiredLabel;  // empty: any worker
    std::string_view preferredLabel; // empty: no worker is nearer than others
    // Used only if no other worker is suitable.
    std::span<const WorkerKey> avoidedWorkers;
    Duration maxWaitAtAgent = std::chrono::milliseconds(150); // a task that waits longer is refused
    double maxSlowness = 0; // slower workers are left out, unless half of the workers are slower
};

// What is held for the first job that cannot start.
struct PlanReservation
{
    WorkerKey lastWorker; // of the task that starts last
    TimePoint startAt{};  // when the last task is expected to start
    std::size_t taskCount = 0;
    Duration loadAge{}; // of the oldest load that it is computed from
};

// What becomes of one job in this plan.
struct PlanDecision
{
    std::vector<WorkerKey> starts; // one worker for each task to send now
    bool isBackfill = false;       // it goes before a job with a reservation
    std::optional<PlanReservation> reservation;
};

// The plan of one upstream at one moment. Valid for one pass over the waiting jobs.
class PlacementPlan
{
public:
    // `remoteSlowness`: run times on a worker without the preferred label, as a multiple of those
    // on a worker with it. `random` must outlive the plan.
    PlacementPlan(std::vector<PlanWorker> workers, double remoteSlowness, TimePoint now,
                  std::mt19937_64 &random);

    // To be called for the waiting jobs in their order.
    PlanDecision place(const PlanJob &job);

private:
    // Capacity for one task.
    struct Slot
    {
        std::size_t worker = 0; // in m_workers
        TimePoint startAt{};
        TimePoint endAt{};
        double order = 0; // the smallest is taken first
    };

    // Capacity that is held on one worker.
    struct Hold
    {
        TimePoint from = NeverTime;
        Resources resources;
    };

    // Run time of a task of the job on this worker.
    Duration runTimeOn(const PlanWorker &worker, const PlanJob &job) const;
    bool isSuitable(const PlanWorker &worker, const PlanJob &job) const;
    // The best slots for the tasks of the job, at most one for each. With `onlyNow`, slots that
    // start later are left out.
    std::vector<Slot> findSlots(const PlanJob &job, bool onlyNow);
    void addSlots(std::size_t index, const PlanJob &job, bool onlyNow, std::vector<Slot> &slots);
    // The task does not delay the job with the reservation.
    bool leavesReservation(std::size_t index, const PlanJob &job, std::size_t earlierTasks) const;
    void take(const Slot &slot, const Resources &needs);
    PlanReservation reserve(std::span<const Slot> slots, const PlanJob &job);

    std::vector<PlanWorker> m_workers;
    std::vector<Hold> m_holds; // by the index in m_workers
    double m_remoteSlowness;
    TimePoint m_now;
    std::mt19937_64 &m_random;
    double m_medianSlowness = 1;
    // No worker has more free cores than this, as of the newest pass over the workers. A task that
    // needs more costs no pass.
    std::int64_t m_maxFreeMillis = 0;
    int m_backfillTrials = 0; // passes over the workers for jobs behind the reservation
    bool m_hasReservation = false;
    // The releases that are known do not suffice for the job with the reservation. No job goes
    // before it, as it might then wait for ever.
    bool m_isStrict = false;
};

} // namespace cactuscove
