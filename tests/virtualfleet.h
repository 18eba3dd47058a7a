// Several entry and agent nodes on a fake network with virtual time, a fake log, fake upstreams and
// fake callers. Every run is a function of its schedule and seed.

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

enum class StepKind {
    Submit,       // target: job number; length picks the entry
    Copy,         // of an earlier job's request, through another entry
    Cancel,       // of an earlier job
    KillAgent,    // connections to it are refused; replaced after `length`
    KillEntry,    // likewise
    LoseHost,     // an agent disappears without refusing connections
    PauseAgent,   // for `length`
    PauseEntry,   // for `length`
    SilenceLink,  // between an agent and another process, both ways, for `length`
    DisturbNet,   // loss, duplication and long delays for `length`
    LogOutage,    // for `length`
    LoseReplies,  // appends take effect and their replies are lost, for `length`
    KillUpstream, // its running tasks are lost; replaced after `length`
    LeaveAgent,   // graceful shutdown, replaced after `length`
    LeaveEntry,   // likewise
    Configure,    // both offices apply a file on the same base
    SilenceLog,   // one entry reads nothing from the log for `length`
    StaleClaim,   // an agent's claims of all shards take effect too late
};

struct Step
{
    StepKind kind = StepKind::Submit;
    Duration at{};
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
    double upstreamRefusals = 0; // fraction refused with the proof that nothing started
    Duration maxRunTime = std::chrono::milliseconds(300);
};

class VirtualFleet
{
public:
    explicit VirtualFleet(FleetOptions options);
    ~VirtualFleet();

    // Commands
    void run(const std::vector<Step> &steps, Duration length);
    void runUntil(TimePoint end);
    std::uint64_t submit(std::uint32_t job, std::size_t entry); // returns the caller

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
        std::size_t place = 0; // upstream of an agent, position of an entry
        std::unique_ptr<AgentNode> agent;
        std::unique_ptr<EntryNode> entry;
        bool isAlive = true;
        bool refusesConnections = true; // once it is dead
        TimePoint pausedUntil{};
        TimePoint logSilentUntil{};
        TimePoint timer = NeverTime;
        Revision revision;
        bool hasPoll = false; // of the log
    };

    struct Caller
    {
        std::uint32_t job = 0;
        Incarnation entry;
        bool isAnswered = false;
    };

    using Action = std::function<void()>;
    using Handler = std::function<void(Process &, Outbox &)>;

    void at(TimePoint time, Action action);
    void after(Duration delay, Action action) { at(m_now + delay, std::move(action)); }
    Process &spawn(Role role, std::size_t place);
    void kill(Process &process, bool refusesConnections, Duration replacedAfter);
    void handle(Incarnation to, const Handler &handler); // later if the process is paused
    void perform(Process &process, Outbox &out);
    void armTimer(Process &process);
    void transmit(Incarnation from, Incarnation to, const Envelope &envelope);
    void deliver(Incarnation from, Incarnation to, const Envelope &envelope, bool isRefusalProof);
    void append(Incarnation by, const Record &record);
    void readLog(Incarnation reader);
    void startTask(std::size_t place, Incarnation agent, const StartOnUpstream &start);
    void finishTask(Incarnation agent, const TaskRef &ref, std::uint32_t attempt,
                    const TaskResult &result);
    void announce(std::size_t place);
    void ask(std::uint64_t caller, std::uint32_t job, Incarnation entry);
    void onAnswer(const AnswerCaller &answer);
    void resubmit(std::uint32_t job, Duration delay);
    void perform(const Step &step);
    void configure(std::uint32_t target);
    void claimTooLate(Incarnation agent);
    std::vector<Incarnation> alive(Role role) const;
    Incarnation pick(Role role, std::uint32_t target) const;
    std::uint64_t random(std::uint64_t below);
    bool chance(double probability);
    Duration delay(int fromMicros, int toMicros);

    FleetOptions m_options;
    Random m_random;
    TimePoint m_now{};
    std::uint64_t m_lastEvent = 0;
    std::map<std::pair<TimePoint, std::uint64_t>, Action> m_events;
    std::map<Incarnation, Process> m_processes;
    std::uint64_t m_lastIncarnation = 0;
    std::vector<Upstream> m_upstreams;
    std::uint64_t m_lastUpstream = 0;
    std::deque<LogRecord> m_log;
    std::set<std::string> m_appendIds;
    TimePoint m_logDownUntil{};
    TimePoint m_repliesLostUntil{};
    TimePoint m_disturbedUntil{};
    std::map<std::pair<Incarnation, Incarnation>, TimePoint> m_silentUntil;
    std::map<std::uint64_t, Caller> m_callers;
    std::map<std::uint32_t, int> m_resubmissions; // by job
    std::uint64_t m_messages = 0;
    FleetHistory m_history;
};

} // namespace cactuscove
