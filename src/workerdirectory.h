// An entry's view of the agents and their workers: which agents are connected, what capacity they
// reported last for their workers, and what was assigned to the workers since. Chooses the worker
// for a task.
//
// Reads no clock: inputs carry the time.

#pragma once

#include "dispatchmessages.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactuscove {

// A worker, as seen through one process of its agent.
struct WorkerKey
{
    Incarnation agent;
    std::string workerId;
    auto operator<=>(const WorkerKey &) const = default; // NOLINT(modernize-use-nullptr)
};

// The workers that a task may run on while a queue is distrusted (crashhistory.h).
enum class WorkerPool {
    All,
    Quarantine, // few workers, for the tasks of distrusted queues
    General,    // the others
};

// A usable worker, as PlacementPlan sees it.
struct PlanWorker
{
    // Resources that are expected to become free.
    struct Release
    {
        TimePoint at{};
        Resources resources;
    };

    WorkerKey key;
    Resources free; // less the needs of all waiting and unreported tasks; may be negative
    std::vector<Release> releases; // the earliest first; empty if the agent reports none
    double coreReleaseRate = 0;    // as in WorkerLoad
    double slowness = 1;           // as in WorkerLoad
    std::span<const std::string> labels;
    std::size_t maxTasks = 0; // that it may be sent now
    TimePoint loadAt{};       // when its load was received
};

// Used by JobDispatcher, one object per entry process.
class WorkerDirectory
{
public:
    // `seed` is for the random choice among workers.
    explicit WorkerDirectory(std::uint64_t seed);

    // Commands

    // A new connection: what was known of the agent and its workers is dropped, and the agent
    // reports it again.
    void agentConnected(Incarnation agent, std::string_view name, std::string_view dataCentre,
                        TimePoint now);
    // Drops the agent and its workers.
    void agentDisconnected(Incarnation agent);
    // A message of the agent has come, whatever its type.
    void agentHeard(Incarnation agent, TimePoint now);
    // A heartbeat: the agent's clock showed `sentAt` at some time before `now`. No tasks are sent
    // to an agent before its first heartbeat.
    void updateAgentClock(Incarnation agent, TimePoint sentAt, TimePoint now);
    // A worker of the agent's machine is new, has changed or is gone.
    void updateWorker(Incarnation agent, const WorkerUpdate &update);
    // The newest load of a worker. Ignored for an unknown worker.
    void updateLoad(Incarnation agent, const WorkerLoad &load);
    // Counts `needs` as used at the worker until a load report includes them. Returns the number of
    // the assignment on this connection, from 1.
    std::uint64_t reserve(const WorkerKey &key, int priority, const Resources &needs);
    // The same for a task that runs alone, which takes the whole worker.
    std::uint64_t reserveWhole(const WorkerKey &key, int priority);
    // Sends the worker no task before `until`; to be called when it has refused one.
    void pauseWorker(const WorkerKey &key, TimePoint until);
    // The workers of these data centres get no tasks and do not count as usable capacity. Replaces
    // the earlier set.
    void setEvacuated(std::set<std::string> dataCentres);
    // An attempt at the worker did not end as done, or was refused because the worker is gone or
    // refuses all starts. `isCertain`: the worker is at fault, rather than the task. The worker is
    // then limited: planWorkers() offers it for one task at a time until a task has ended as done
    // there, for at most 2 s.
    void recordFault(const WorkerKey &key, bool isCertain, TimePoint now);
    // A task has ended as done at the worker.
    void recordSuccess(const WorkerKey &key);
    // A task was refused for another reason.
    void recordRefusal(const WorkerKey &key);

    // Queries

    // What a task asks of a worker. Empty labels ask for nothing.
    struct Request
    {
        std::string_view upstream;
        Resources needs;
        int priority = 0; // 0 comes first
        // Chosen only if no other worker is suitable: earlier attempts of the task did not succeed
        // there or were too slow.
        std::span<const WorkerKey> avoidedWorkers;
        std::string_view requiredLabel;
        std::string_view preferredLabel;
        // Slowness as in WorkerLoad. Slower workers are left out, as the task would miss its
        // objective there; 0: any worker is fast enough.
        double maxSlowness = 0;
        WorkerPool pool = WorkerPool::All;
    };
    // The worker with the largest share of free cores, busy or not, for a task that is to run alone
    // there; none if such tasks wait or run on all workers.
    std::optional<WorkerKey> chooseEmptiestWorker(const Request &request, TimePoint now) const;
    // The pool keeps another worker that is up if one of them crashes, or never has more than one.
    bool canSpareWorker(std::string_view upstream, WorkerPool pool, TimePoint now) const;
    // A worker with free capacity for the task, else one that is expected to have it within 8 ms,
    // else none. Among workers with capacity the choice is random, weighted by free capacity and
    // speed.
    std::optional<WorkerKey> chooseWorker(const Request &request, TimePoint now);
    // The worker with this id, if it takes tasks and the task may run there once it has room; for a
    // task that may start at no other worker.
    std::optional<WorkerKey> findOnlyWorker(std::string_view workerId, const Request &request,
                                            TimePoint now) const;
    // Connected agents that have reported a worker with this id.
    std::vector<Incarnation> agentsOfWorker(std::string_view workerId) const;
    // The task fits on some worker of the upstream, busy or not. True while no worker of the
    // upstream is known.
    bool fitsSomeWorker(const Request &request) const;
    // The task fits on known workers of the upstream, but all of these are in evacuated data
    // centres.
    bool fitsOnlyEvacuated(const Request &request) const;
    // Capacity of the usable workers of an upstream that are not slow and do not fail their tasks.
    struct UsableCapacity
    {
        Resources total;
        double freeCores = 0;
        std::map<Incarnation, double> coresByAgent; // sum of these is the cores in `total`
    };
    UsableCapacity usableCapacity(std::string_view upstream, TimePoint now,
                                  WorkerPool pool = WorkerPool::All) const;
    // The workers of the upstream that take tasks and do not fail them.
    std::vector<PlanWorker> planWorkers(std::string_view upstream, TimePoint now,
                                        WorkerPool pool = WorkerPool::All) const;
    // Increases when a worker may have more free capacity than before.
    std::uint64_t capacityVersion() const { return m_capacityVersion; }
    // What the agent's clock shows at time `at`, or a little less; none before the agent's first
    // heartbeat. A little less because the heartbeat was under way for some time.
    std::optional<TimePoint> agentClockAt(Incarnation agent, TimePoint at) const;
    std::size_t connectedAgents() const { return m_agents.size(); }
    // The worker is known and in an evacuated data centre.
    bool isEvacuated(const WorkerKey &key) const;
    bool hasEvacuations() const { return !m_evacuated.empty(); }
    std::size_t workersIn(std::string_view dataCentre) const;
    // Cores of the usable workers of all upstreams, with slow and failing ones.
    double usableCores(TimePoint now) const;

private:
    struct Agent
    {
        std::string name;
        std::string dataCentre;
        TimePoint heardAt{};              // newest message
        TimePoint clock{};                // the agent's clock in its newest heartbeat
        TimePoint clockAt{};              // when that heartbeat was received
        std::uint64_t lastAssignment = 0; // newest number on this connection
        std::set<std::string> upstreams;  // of its workers so far on this connection
    };

    struct Worker
    {
        WorkerInfo info;
        WorkerLoad load;
        bool hasLoad = false;
        // Assignments that `load` does not include yet, by number.
        std::map<std::uint64_t, QueuedDemand> unreported;
        std::uint64_t lastWhole = 0; // newest assignment of a task that runs alone; 0: none
        bool isEvacuated = false;    // its data centre is in m_evacuated
        TimePoint pausedUntil{};     // chosen for no task before this time
        TimePoint loadAt{};          // when `load` was received
    };

    // A worker that failed, hung or went away lately. Kept while the worker is unknown.
    struct FaultRecord
    {
        int faults = 0;           // since the newest success
        TimePoint limitedUntil{}; // gets one task at a time until then
        bool hasTask = false;     // a task was sent, and is not known to have ended
    };

    static bool hasLabel(const WorkerInfo &worker, std::string_view label);
    // The task could run on the worker if nothing else did; for workers of its upstream.
    static bool isFit(const WorkerInfo &worker, const Request &request);
    // The one that the worker names, else that of its agent.
    const std::string &dataCentreOf(const WorkerKey &key, const Worker &worker) const;
    // The worker takes tasks, is not in an evacuated data centre, and its agent is in contact with
    // this entry.
    bool isUsable(const WorkerKey &key, const Worker &worker, TimePoint now) const;
    // Ranks the agents of an upstream by a hash of their names, so that all entries that know the
    // same agents rank them in the same order, also while their workers are away.
    void rankAgents(const std::string &upstream);
    // Agents of the pool: the first in rank, as many as needed for some workers to be up.
    std::set<Incarnation> agentsOf(WorkerPool pool, std::string_view upstream, TimePoint now) const;
    bool hasWorkerUp(Incarnation agent, std::string_view upstream, TimePoint now) const;
    // Its agent hears from it, and neither the worker nor the agent is away or leaving.
    bool isUp(const WorkerKey &key, const Worker &worker, TimePoint now) const;
    // Tasks of other queues still run there, and would be lost with the worker.
    static bool mustEmptyFirst(const Worker &worker, WorkerPool pool);
    // A task that runs alone waits or runs there.
    static bool isReserved(const Worker &worker);
    // Free capacity for a task of this priority, less the needs of waiting and unreported tasks
    // that are at least as urgent; may be negative.
    static Resources freeResources(const Worker &worker, int priority);
    // Time until the task would start there; infinite if it is not known when the
    // missing resources will be released.
    static double expectedWaitMs(const Worker &worker, const Request &request);
    // Workers with a higher failure rate or slowness are left out.
    struct Limits
    {
        double maxFailureRate = 0;
        double maxSlowness = 0;
    };
    // If at least half of the workers are slower than `maxSlowness`, the expected run times are
    // wrong rather than the workers slow; then no worker counts as slow.
    Limits limitsOf(std::string_view upstream, double maxSlowness) const;

    std::mt19937_64 m_random;
    std::map<Incarnation, Agent> m_agents; // connected agents
    std::map<WorkerKey, Worker> m_workers; // workers of connected agents
    std::set<std::string> m_evacuated;     // data centres
    // Agents in the order of rank, by upstream.
    std::map<std::string, std::vector<Incarnation>, std::less<>> m_ranks;
    // By worker id, so that they outlive the agent's process. Of workers with a fault since their
    // newest success.
    std::map<std::string, FaultRecord, std::less<>> m_faults;
    std::uint64_t m_capacityVersion = 0;
};

} // namespace cactuscove
