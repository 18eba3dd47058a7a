// Simulates a fleet in virtual time: real entry and agent nodes on a simulated network, with a
// simulated log, upstreams and callers. A run is determined by its steps and its seed.

#pragma once

#include "agentnode.h"
#include "entrynode.h"
#include "fleethistory.h"
#include "random.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cactuscove {

// A request or a fault. Unless noted otherwise, `target` picks the process or job, and a fault ends
// after `length`.
enum class StepKind {
    Submit,       // of job number `target`, at the entry that `length` in us picks
    Copy,         // the same for a job that was submitted before
    Cancel,       // of job number `target`
    KillAgent,    // connections to it are refused; replaced after `length`
    KillEntry,    // likewise
    LoseHost,     // an agent is gone and connections to it time out; replaced after `length`
    PauseAgent,   // handles nothing until the end of the pause
    PauseEntry,   // likewise
    SilenceLink,  // no message passes between an agent and another process
    DisturbNet,   // messages are lost, duplicated and delayed
    LogOutage,    // no process can read the log or append to it
    LoseReplies,  // appends take effect, but half of their replies are lost
    KillUpstream, // its running tasks are lost; replaced after `length`
    LeaveAgent,   // graceful shutdown; replaced once it is complete
    LeaveEntry,   // likewise
    Configure,    // two offices apply a file with the same base
    SilenceLog,   // one entry cannot read the log
    StaleClaim,   // an agent appends claims of the current epoch of every shard
};

struct Step
{
    StepKind kind = StepKind::Submit;
    Duration at{}; // from the start of the run
    std::uint32_t target = 0;
    Duration length{};
};

struct FleetOptions
{
    std::uint64_t seed = 1;
    std::size_t entries = 2;
    std::size_t agents = 3;
    std::uint32_t slots = 2;     // of each upstream
    double upstreamFailures = 0; // fraction of started tasks that fail
    double upstreamRefusals = 0; // fraction of starts that are refused with proof of no start
    Duration maxRunTime = std::chrono::milliseconds(300);
};

class VirtualFleet
{
public:
    explicit VirtualFleet(FleetOptions options);
    ~VirtualFleet();

    // Commands
    // Runs for `length` of virtual time, with the steps at their times.
    void run(const std::vector<Step> &steps, Duration length);
    void runUntil(TimePoint end);
    // Submits job number `job` at the entry of this index among those alive. Returns the caller, 0
    // if no entry is alive. The caller submits again as an answer asks for, a few times.
    std::uint64_t submit(std::uint32_t job, std::size_t entry);

    // Queries
    TimePoint now() const { return m_now; }
    const FleetHistory &history() const { return m_history; }
    std::vector<Answer> answersOf(std::uint32_t job) const;
    std::uint64_t messagesSent() const { return m_messages; }

private:
    struct Upstream
    {
        std::string incarnation;
        bool isUp = true;
        std::set<std::pair<TaskRef, std::uint32_t>> running;
    };

    struct Process
    {
        Member member;
        std::size_t position = 0; // among its role; an agent uses the upstream of this index
        std::unique_ptr<AgentNode> agent; // either this or `entry` is set
        std::unique_ptr<EntryNode> entry;
        bool isAlive = true;
        bool refusesConnections = true; // once it is dead; else messages to it are lost
        TimePoint pausedUntil{};
        TimePoint logSilentUntil{};
        TimePoint timer = NeverTime; // when its next timer event is due
        Revision revision;           // newest one recorded in the history
        bool hasPoll = false;        // its next poll of the log is scheduled
    };

    // One request of a caller.
    struct Caller
    {
        std::uint32_t job = 0;
        Incarnation entry;
        bool isAnswered = false; // or its connection has broken
    };

    using Action = std::function<void()>;
    using Handler = std::function<void(Process &, Outbox &)>;

    void at(TimePoint time, Action action);
    void after(Duration delay, Action action) { at(m_now + delay, std::move(action)); }
    Process &spawn(Role role, std::size_t position);
    void kill(Process &process, bool refusesConnections, Duration replacedAfter);
    void handle(Incarnation to, const Handler &handler); // after the pause if it is paused
    void perform(Process &process, Outbox &out);
    void armTimer(Process &process);
    void transmit(Incarnation from, Incarnation to, const Envelope &envelope);
    void deliver(Incarnation from, Incarnation to, const Envelope &envelope, bool isRefusalProof);
    void append(Incarnation by, const Record &record);
    void readLog(Incarnation reader);
    void startTask(std::size_t position, Incarnation agent, const StartOnUpstream &start);
    void finishTask(Incarnation agent, const TaskRef &ref, std::uint32_t attempt,
                    const TaskResult &result);
    void announce(std::size_t position);
    void sendRequest(std::uint64_t caller, std::uint32_t job, Incarnation entry);
    void onAnswer(const AnswerCaller &answer);
    void resubmit(std::uint32_t job, Duration delay);
    void perform(const Step &step);
    void configure(std::uint32_t target);
    void appendStaleClaim(Incarnation agent);
    std::vector<Incarnation> alive(Role role) const;
    Incarnation pick(Role role, std::uint32_t target) const;
    std::uint64_t random(std::uint64_t below);
    bool chance(double probability);
    Duration delay(int fromMicros, int toMicros);

    FleetOptions m_options;
    Random m_random;
    TimePoint m_now{};
    std::uint64_t m_lastEvent = 0;                                  // number of the newest event
    std::map<std::pair<TimePoint, std::uint64_t>, Action> m_events; // by time and number
    std::map<Incarnation, Process> m_processes;
    std::uint64_t m_lastIncarnation = 0;
    std::vector<Upstream> m_upstreams;
    std::uint64_t m_lastUpstream = 0;
    std::deque<LogRecord> m_log;
    std::set<std::string> m_appendIds; // of the records in m_log
    TimePoint m_logDownUntil{};
    TimePoint m_repliesLostUntil{};
    TimePoint m_disturbedUntil{};
    // Links that pass no message, by the lower and the higher incarnation.
    std::map<std::pair<Incarnation, Incarnation>, TimePoint> m_silentUntil;
    std::map<std::uint64_t, Caller> m_callers;
    std::map<std::uint32_t, int> m_resubmissions; // by job
    std::uint64_t m_messages = 0;
    FleetHistory m_history;
};

} // namespace cactuscove
