// An entry's view of the agents and their workers: which are connected, what room they reported
// last and what was sent to them since. Chooses the worker for a task.

#pragma once

#include "dispatchmessages.h"

#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactuscove {

struct WorkerKey
{
    Incarnation agent;
    std::string worker;
    auto operator<=>(const WorkerKey &) const = default; // NOLINT(modernize-use-nullptr)
};

class WorkerDirectory
{
public:
    explicit WorkerDirectory(std::uint64_t seed);

    // Commands
    void agentConnected(Incarnation agent, std::string_view name, std::string_view dataCentre,
                        TimePoint now);
    void agentDisconnected(Incarnation agent);
    void agentHeard(Incarnation agent, TimePoint now);
    // The agent's clock read `sentAt` at some time before `now`.
    void agentClock(Incarnation agent, TimePoint sentAt, TimePoint now);
    void update(Incarnation agent, const WorkerUpdate &update);
    void load(Incarnation agent, const WorkerLoad &load);
    // Books room at a worker until a report contains it; returns the assignment's number.
    std::uint64_t book(const WorkerKey &key, int priority, const Resources &needs);
    // No tasks for this worker before `until`: it refused one.
    void pause(const WorkerKey &key, TimePoint until);

    // Queries
    struct Request
    {
        std::string_view upstream;
        Resources needs;
        int priority = 0;
        std::span<const WorkerKey> avoid; // where the task failed before
        std::string_view requiredLabel;
        std::string_view preferredLabel;
        double maxSlowness = 0; // a slower worker would miss the objective; 0: any
    };
    // A worker with room for the task, else one that is expected to have it within moments, or
    // none.
    std::optional<WorkerKey> choose(const Request &request, TimePoint now);
    // The task fits on some worker, busy or not. True as long as no worker is known.
    bool couldEverFit(const Request &request) const;
    // Of all usable workers that neither fail their tasks nor are slow.
    struct Room
    {
        Resources capacity;
        double freeCores = 0;
    };
    Room roomOf(std::string_view upstream, TimePoint now) const;
    // Reads the agent's clock not later than it shows at `at`; none without contact.
    std::optional<TimePoint> agentTime(Incarnation agent, TimePoint at) const;
    std::size_t connectedAgents() const { return m_agents.size(); }

private:
    struct Agent
    {
        std::string name;
        std::string dataCentre;
        TimePoint heardAt{};
        TimePoint clock{}; // the agent's
        TimePoint clockAt{};
        std::uint64_t assignments = 0; // numbers given on this connection
    };

    struct Worker
    {
        WorkerInfo info;
        WorkerLoad load;
        bool hasLoad = false;
        std::map<std::uint64_t, QueuedDemand> sent; // by number; not yet in `load`
        TimePoint pausedUntil{};
    };

    bool isUsable(const WorkerKey &key, const Worker &worker, TimePoint now) const;
    // What is left for a task of this priority; may be negative.
    static Resources freeOf(const Worker &worker, int priority);
    // Until the task would start.
    static double expectedWaitMs(const Worker &worker, const Request &request);
    // Worse workers are left out.
    struct Limits
    {
        double failureRate = 0;
        double slowness = 0;
    };
    // Where half of the workers are slower than `slowness`, the expected run times are wrong and
    // the workers are not to blame: then no worker counts as slow.
    Limits limitsOf(std::string_view upstream, double slowness) const;

    std::mt19937_64 m_random;
    std::map<Incarnation, Agent> m_agents; // connected
    std::map<WorkerKey, Worker> m_workers; // of connected agents
};

} // namespace cactuscove
