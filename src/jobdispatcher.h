// Coordinates best-effort jobs at the entry that took them: accepts or refuses, places tasks,
// repeats failed ones, answers. Nothing else knows the job.
//
// A task is placed again only after a proof that its last attempt does not run and never will: an
// end or a refusal by its agent, the inventory of the agent after a new connection, the hello of
// the agent's next process, or the time after which every bound in taskrunner.h has expired. A
// caller is told that a job was not run only if no attempt of any task was started.
//
// No socket and no clock: inputs carry the time, which must count suspension of the machine. Inputs
// only change the state; processPending() acts on it.

#pragma once

#include "dispatchmessages.h"
#include "loadcontrol.h"
#include "outbox.h"
#include "runtimemodel.h"
#include "workerdirectory.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cactuscove {

// How a best-effort job ended for its caller.
enum class JobOutcome {
    Completed, // every task ended done
    Failed,    // a task failed as often as its queue allows
    Refused,   // nothing of it was started, and nothing will be
    Unknown,   // given up; parts may have run
};

std::string_view nameOf(JobOutcome outcome); // as in logs and metrics

struct DispatchAnswer
{
    JobOutcome outcome = JobOutcome::Unknown;
    std::string reason;    // empty for Completed
    Duration retryAfter{}; // for Refused: when there will be room
};

struct AnswerJob
{
    CallerId caller;
    DispatchAnswer answer;
};

struct SendToAgent
{
    Incarnation agent;
    PeerMessage message;
};

using DispatcherEffect = std::variant<AnswerJob, SendToAgent, LogEvent>;
using DispatcherOutbox = std::vector<DispatcherEffect>;

struct DispatcherSettings
{
    std::uint64_t seed = 0;
    // A run that an agent was told to start has ended this long after the agent was last heard.
    Duration lostAgentTimeout = std::chrono::milliseconds(1800);
};

class JobDispatcher
{
public:
    JobDispatcher(DispatcherSettings settings, TimePoint startedAt);

    // Commands
    void configure(DispatchConfig config, DispatcherOutbox &out);
    // `patience` is how long the caller waits from now.
    void submit(CallerId caller, BestEffortJob job, Duration patience, TimePoint now,
                DispatcherOutbox &out);
    void callerDisconnected(CallerId caller, TimePoint now, DispatcherOutbox &out);
    void onAgentConnected(const PeerHello &agent, TimePoint now, DispatcherOutbox &out);
    void onAgentDisconnected(Incarnation agent, TimePoint now, DispatcherOutbox &out);
    void onMessage(Incarnation agent, const PeerMessage &message, TimePoint now,
                   DispatcherOutbox &out);
    // Gives up what has expired and places what waits. To be called after inputs, once for several,
    // and at nextTimer().
    void processPending(TimePoint now, DispatcherOutbox &out);
    void beginShutdown(); // no new jobs from now on

    // Queries
    const DispatchConfig &config() const { return m_config; }
    const QueueSettings *findQueue(std::string_view name) const;
    std::size_t openJobs() const { return m_jobs.size(); }
    std::size_t waitingJobs(std::string_view queue) const; // nothing of which has started
    const WorkerDirectory &workers() const { return m_directory; }
    TimePoint nextTimer() const { return m_nextExpiry; }

private:
    enum class State {
        Waiting,
        Assigned, // sent to an agent, not known to have started
        Running,
        Withdrawn, // asked to be stopped; the agent's proof is awaited
        Unproven,  // its agent is not connected; may run
        Done,
    };

    struct Task
    {
        State state = State::Waiting;
        std::uint32_t attempt = 0; // newest
        int failures = 0;
        int moves = 0; // away from workers where it was late
        WorkerKey worker;
        std::string agentName;
        TimePoint unprovenAt{};
        TimePoint provenAt = NeverTime; // Unproven: has ended by then
        std::vector<WorkerKey> avoid;   // where it failed, was refused or was too slow
    };

    using JobNumber = std::uint64_t;

    struct Job
    {
        std::vector<CallerId> callers; // of this id; empty once all have left
        BestEffortJob spec;
        int priority = 0;
        int maxAttempts = 1;
        std::string upstream;
        TimePoint arrivedAt{};
        TimePoint objectiveAt{}; // an answer by then meets the queue's objective
        TimePoint deadline{};    // the caller waits no longer
        Duration expectedRun{};
        TimePoint latestStart{};     // to meet the objective
        bool mayHaveStarted = false; // some task; else the job may be refused
        std::optional<DispatchAnswer>
            closing;         // its tasks are being withdrawn; then this is the answer
        TimePoint closeBy{}; // without the proofs by then the outcome is Unknown
        std::vector<Task> tasks;
        std::size_t waiting = 0;
        std::size_t done = 0;
        TimePoint firstStartAt{};
    };

    // Attempts of a job that comes again must be higher than those that may still run.
    struct PastJob
    {
        std::uint32_t attempt = 0;
        TimePoint endedAt{};
    };

    // Order in which jobs get room: by the latest start that meets their objective, a little
    // later for less urgent queues. A strict order by priority would leave begun jobs of less
    // urgent queues behind, and their finished tasks would be lost.
    struct Rank
    {
        TimePoint latestStart;
        JobNumber number = 0;
        auto operator<=>(const Rank &) const = default; // NOLINT(modernize-use-nullptr)
    };

    Rank rankOf(JobNumber number, const Job &job) const;
    Work workOf(const Job &job, std::size_t tasks) const; // of that many of its tasks
    void setState(JobNumber number, Job &job, Task &task, State state);
    void place(TimePoint now, DispatcherOutbox &out);
    bool placeTask(JobNumber number, Job &job, std::uint32_t index, TimePoint now,
                   DispatcherOutbox &out);
    WorkerDirectory::Request requestOf(const Job &job, const Task &task, TimePoint now) const;
    void enter(TimePoint now, DispatcherOutbox &out);
    TimePoint earliestExpiry() const;
    void expire(TimePoint now, DispatcherOutbox &out);
    void beginClosing(JobNumber number, Job &job, DispatchAnswer answer, TimePoint now,
                      DispatcherOutbox &out);
    void finish(JobNumber number, DispatchAnswer answer, TimePoint now, DispatcherOutbox &out);
    void withdraw(const Job &job, std::uint32_t index, DispatcherOutbox &out) const;
    // Cores of the fleet that this entry may count on, beside the others.
    double shareOf(const Resources &capacity) const;
    bool refuseIfOverloaded(CallerId caller, const Job &job, const FleetRoom &room, TimePoint now,
                            DispatcherOutbox &out) const;
    void accept(CallerId caller, Job job);
    void refuse(CallerId caller, const BestEffortJob &job, std::string reason, Duration retryAfter,
                DispatcherOutbox &out);
    void onStarted(Incarnation agent, const TaskStarted &message, TimePoint now,
                   DispatcherOutbox &out);
    void onLate(Incarnation agent, const TaskLate &message, TimePoint now, DispatcherOutbox &out);
    void onEnded(Incarnation agent, const TaskEnded &message, TimePoint now, DispatcherOutbox &out);
    void onStartRefused(Incarnation agent, const StartRefused &message, TimePoint now,
                        DispatcherOutbox &out);
    void onInventory(Incarnation agent, const TaskInventory &inventory, TimePoint now,
                     DispatcherOutbox &out);
    // The attempt does not run and never will: the task waits again or the job ends.
    void onProof(JobNumber number, Job &job, std::uint32_t index, TimePoint now,
                 DispatcherOutbox &out);
    void checkClosed(JobNumber number, TimePoint now, DispatcherOutbox &out);
    // The open job whose task has this attempt at this agent; none for messages that came too late.
    std::pair<JobNumber, Job *> findJob(const TaskId &task, Incarnation agent,
                                        std::uint32_t attempt);
    static void avoid(Task &task);
    void onUnknownTask(Incarnation agent, const TaskStarted &task, DispatcherOutbox &out) const;
    Duration expectedSpan(const Job &job) const;

    DispatcherSettings m_settings;
    TimePoint m_startedAt;
    DispatchConfig m_config;
    WorkerDirectory m_directory;
    LoadControl m_load;
    RunTimeModel m_runTimes;
    std::map<JobNumber, Job> m_jobs;
    std::map<std::string, JobNumber, std::less<>> m_jobsById;
    std::map<std::string, PastJob, std::less<>> m_pastJobs; // lately; agents may still tell of them
    std::map<CallerId, JobNumber> m_jobsByCaller;
    std::set<Rank> m_ready;                    // jobs with waiting tasks that are not being closed
    std::map<Incarnation, PeerHello> m_agents; // connected
    JobNumber m_lastJob = 0;
    std::int64_t m_unproven = 0;        // tasks in that state
    TimePoint m_nextExpiry = NeverTime; // as of the newest processPending()
    TimePoint m_enteredAt{};
    std::map<Incarnation, std::uint32_t> m_entriesHeard; // as the agents report
    bool m_shuttingDown = false;
};

} // namespace cactuscove
