// Messages between the processes of best-effort dispatch. An agent connects to some of the entries
// (entryselection.h), and entries connect to each other. A message belongs to the connection that
// it came on. Messages on one connection arrive in order.

#pragma once

#include "dispatchtypes.h"
#include "operatorrecords.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cactuscove {

// The first message in each direction on a new connection.
struct PeerHello
{
    std::string name;     // name of the instance, the same across restarts
    Incarnation instance; // this process of the instance
    Role role = Role::Agent;
    std::string dataCentre;
    std::string address; // where an entry accepts connections, "ip:port"; empty for an agent
    // Newest protocol that the sender understands. A sender without this field has protocol 1.
    std::uint32_t protocol = 1;
};

// Sent by this version. Peers of protocol 1 close the connection on the message types after
// EntriesStarted, so these are sent only to peers of protocol 2 or later, CrashReport to those of
// protocol 3 or later and OpenStartReport to those of protocol 4 or later.
inline constexpr std::uint32_t ProtocolVersion = 4;
// First protocol with the message types after EntriesStarted.
inline constexpr std::uint32_t OperatorMessagesProtocol = 2;
// First protocol with CrashReport.
inline constexpr std::uint32_t CrashReportsProtocol = 3;
// First protocol with OpenStartReport.
inline constexpr std::uint32_t OpenStartsProtocol = 4;

// Load that callers ask for, relative to the capacity that can carry it.
struct DemandReport
{
    std::string upstream;
    int priority = 0; // of the queues; 0 is the most urgent
    // Cores that new jobs ask for, refused ones included, and that accepted jobs wait for / cores
    // of the usable workers that the entry is connected to.
    // From an agent: the sum over the entries that are connected to it, which is the utilisation
    // to expect of its workers if no job is refused.
    double utilisation = 0;
};

// Keeps a connection alive on which nothing else is sent, and relates the clocks of both sides. A
// clock in these messages is the time since the boot of the sender's machine, counting suspension.
struct PeerHeartbeat
{
    TimePoint sentAt; // sender's clock
    // Number of entries that an agent has a connection to; 0 from an entry.
    std::uint32_t connectedEntries = 0;
    // Empty if the sender does not report demand, or knows of none.
    std::vector<DemandReport> demand;
};

// Addresses at which entries accept connections, so that a process that knows one entry finds the
// others. An entry sends all addresses that it knows right after its hello, and later each new one.
struct KnownEntries
{
    std::vector<std::string> addresses;
};

// The start of an entry's process.
struct EntryStart
{
    std::string address;
    Incarnation instance;
};

// Entry to all processes that are connected to it; an entry passes on what is new to it. Processes
// that wait before they dial a lost entry again then dial it at once.
struct EntriesStarted
{
    std::vector<EntryStart> starts;
};

// Entry to agent: run this task as soon as its worker has free capacity.
struct AssignTask
{
    TaskId task;
    std::uint32_t attempt = 0;
    std::string workerId;
    std::string queue;
    std::string payload;
    Resources needs;
    int priority = 0;        // of the queue; 0 is the most urgent
    Duration expectedRun{};  // expected run time
    TimePoint startDeadline; // agent's clock; a task that has not started by then is refused
    TimePoint endDeadline;   // agent's clock; a task that still runs then is stopped
    TimePoint objectiveTime; // agent's clock; a later end misses the objective
    // Agent's clock; when capacity is short, the task with the earliest key starts first.
    TimePoint schedulingKey;
    std::uint64_t assignmentNumber = 0; // number of this assignment on this connection, from 1
    // The worker runs no other job meanwhile: the task may crash it.
    bool runsAlone = false;
    bool isDistrusted = false; // its queue's tasks crash workers
};

// Entry to agent: do not start this attempt, or stop it. The agent confirms with StartRefused or
// TaskEnded.
struct WithdrawTask
{
    TaskId task;
    std::uint32_t attempt = 0;
};

// Agent to entry: a worker of the agent's machine; sent on each change.
struct WorkerUpdate
{
    WorkerInfo worker;
    bool isGone = false; // the worker has left, or takes no more tasks of this entry
};

// Resources needed by the tasks of one priority that wait at a worker.
struct QueuedDemand
{
    int priority = 0;
    Resources needs; // sum over these tasks
};

// Resources that running tasks are expected to release.
struct ExpectedRelease
{
    Duration after{}; // from the time of the report
    Resources resources;
};

// Agent to entry: the load of a worker, sent after changes.
struct WorkerLoad
{
    std::string workerId;
    Resources free;                   // capacity less the needs of all started tasks
    std::vector<QueuedDemand> queued; // waiting tasks, the most urgent priority first
    double coreReleaseRate = 0;       // cores per ms that running tasks are expected to release
    bool isUsable = false;            // the worker takes tasks
    double slowness = 1;              // run times here as a multiple of the expected ones
    double failureRate = 0;           // share of failed tasks among the newest ends, 0 to 1
    // Newest AssignTask::assignmentNumber of the entry that this load takes into account.
    std::uint64_t lastAssignmentNumber = 0;
    // Expected ends of running tasks, the earliest first; empty if the agent does not report them.
    std::vector<ExpectedRelease> releases;
    bool isReserved = false; // a task that runs alone waits or runs there
    // A task of a queue that is not distrusted waits or runs there.
    bool hasTrustedTasks = false;
};

// Agent to entry: the attempt runs.
struct TaskStarted
{
    TaskId task;
    std::uint32_t attempt = 0;
    bool hasOpenStart = false; // another start of the attempt has no answer yet
};

// Agent to entry, at most once for each attempt: the worker is slow, and by its progress the task
// will miss its objective.
struct TaskLate
{
    TaskId task;
    std::uint32_t attempt = 0;
    Duration remaining{}; // remaining run time by its progress so far
};

// Agent to entry: the run has ended, or the attempt may have been started and will not run any
// more.
struct TaskEnded
{
    TaskId task;
    std::uint32_t attempt = 0;
    TaskEnd end = TaskEnd::Lost;
    Duration runTime{}; // since the first start was sent to the worker
};

// Agent to entry: the attempt was not started and never will be.
struct StartRefused
{
    TaskId task;
    std::uint32_t attempt = 0;
    StartRefusal reason = StartRefusal::Expired;
};

// Attempt number in TaskInventory::ended of a run that an earlier process of the agent started. Its
// true number is not sent: it could be taken for that of a newer attempt. Attempts count from 1.
inline constexpr std::uint32_t EarlierProcess = 0;

// Agent to entry, once both have sent their hello and whenever the list of orphan-free workers has
// changed: every task of this entry that the agent knows. An assignment on an older connection that
// is missing here was not received and never will be.
struct TaskInventory
{
    std::vector<TaskStarted> started; // started and not ended
    std::vector<TaskStarted> waiting; // accepted, and not known to have started
    // Ended in the last seconds; for EarlierProcess, one task of each job.
    std::vector<TaskEnded> ended;
    // Ids of the workers at which nothing runs that an earlier process of the agent started.
    std::vector<std::string> orphanFreeWorkers;
};

// Between entries, after the hello and when the sender's state has changed: the version of the
// operators' records that the sender follows. The receiver may ask for them.
struct OperatorOffer
{
    std::uint64_t configVersion = 0;
    // All evacuations before this offset are known; at least OperatorSnapshot::readUpTo.
    LogOffset readUpTo;
    // Hash (operatorcopy.h) of the state that the sender knows to be in the copies in the store; 0
    // if it knows of none. Other entries then need not write it.
    std::uint64_t copiedHash = 0;
};

// Between entries: send OperatorState.
struct OperatorRequest
{
    std::uint64_t configVersion = 0; // that the sender has in force; 0: none
};

// Between entries: the answer to OperatorRequest. Without the configuration (version 0) if the
// request names the version that the sender has.
struct OperatorState
{
    OperatorSnapshot snapshot;
};

// Between entries and agents in both directions, after the hello and on changes: the evacuated data
// centres, as in OperatorSnapshot.
struct EvacuationUpdate
{
    std::vector<EvacuationRecord> evacuations;
    LogOffset readUpTo;
};

// What is known of a worker that went away while tasks ran on it. A later state replaces an earlier
// one.
enum class CrashState {
    Suspected, // it does not answer any more, and may have left as planned
    Confirmed, // another process, or nothing, answers at its address, and it has not left as
               // planned
    Withdrawn, // the same process has answered again, or it left as planned
};

// A task that ran on the worker.
struct InterruptedRun
{
    TaskId task;
    std::string queue;
    bool isRecent = false; // it had just started, so it is more likely to be the cause
};

// Agent to entry, and between entries: a worker went away without notice. Sent again when the state
// changes and on new connections.
struct CrashReport
{
    Incarnation agent;        // process that saw it
    std::uint64_t number = 0; // among the reports of that process
    CrashState state = CrashState::Suspected;
    Duration age{}; // since the worker went away
    std::vector<InterruptedRun> runs;
};

// What is known of the starts of one attempt at an agent. A later state replaces an earlier one.
enum class OpenStartState {
    Suspected, // an entry has lost the agent before it knew of an answer, or of no start
    Open,      // the agent has sent a start that has had no answer
    Answered,  // all have been answered after all
};

// A start of a task that has had no answer and may still be carried out (openstarts.h).
struct OpenStart
{
    TaskId task;
    std::uint32_t attempt = 0;
    std::string workerId; // that the start names
    Incarnation agent;    // process that has sent it
    OpenStartState state = OpenStartState::Open;
    Duration remaining{}; // it may be carried out for this long
};

// Agent to entry, between entries, and entry to the next process of an agent. Sent when a start
// has been open for some time or its task may start again, when it is answered after all, and on
// new connections; an entry passes on what is new to it.
struct OpenStartReport
{
    std::vector<OpenStart> starts;
};

// New types must be added at the end: the position is the type's number in encoded messages.
using PeerMessage
    = std::variant<PeerHello, PeerHeartbeat, KnownEntries, AssignTask, WithdrawTask, WorkerUpdate,
                   WorkerLoad, TaskStarted, TaskLate, TaskEnded, StartRefused, TaskInventory,
                   EntriesStarted, OperatorOffer, OperatorRequest, OperatorState, EvacuationUpdate,
                   CrashReport, OpenStartReport>;

// First protocol whose peers understand the message, for the reports that entries and agents
// spread.
inline std::uint32_t firstProtocolOf(const PeerMessage &message)
{
    if (std::holds_alternative<OpenStartReport>(message))
        return OpenStartsProtocol;
    if (std::holds_alternative<CrashReport>(message))
        return CrashReportsProtocol;
    return std::holds_alternative<EvacuationUpdate>(message) ? OperatorMessagesProtocol : 1;
}

} // namespace cactuscove
