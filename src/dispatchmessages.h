// Messages between entries and agents for best-effort jobs. An agent connects to some of the
// entries (entryselection.h); a message belongs to the connection that it came on.

#pragma once

#include "dispatchtypes.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cactuscove {

// First message in each direction on a new connection.
struct PeerHello
{
    std::string name;     // of the instance, the same across restarts
    Incarnation instance; // of this run of the process
    Role role = Role::Agent;
    std::string dataCentre;
    std::string address; // where entries accept connections; empty for an agent
};

// Keeps a connection alive on which nothing else is sent, and relates the two clocks. A clock here
// is the time since the boot of the sender's machine and counts suspension.
struct PeerHeartbeat
{
    TimePoint sentAt;          // sender's clock
    std::uint32_t entries = 0; // entries that the sender hears, itself included
};

// Addresses at which entries accept connections, so that a process that knows one finds the others:
// all of them after the hello, then those that are new.
struct KnownEntries
{
    std::vector<std::string> addresses;
};

// One run of an entry's process.
struct EntryStart
{
    std::string address;
    Incarnation instance;
};

// Entry to all that are connected to it, which pass on what is new to them: processes that wait
// before they dial a lost entry again need not wait any longer.
struct EntriesStarted
{
    std::vector<EntryStart> starts;
};

// Entry to agent: run this task once there is room.
struct AssignTask
{
    TaskId task;
    std::uint32_t attempt = 0;
    std::string workerId;
    std::string queue;
    std::string payload;
    Resources needs;
    int priority = 0;
    Duration expectedRun{};
    TimePoint startDeadline;  // agent's clock; a task that has not started by then is refused
    TimePoint endDeadline;    // agent's clock; a task that still runs then is stopped
    TimePoint objectiveTime;  // agent's clock; a later end misses the objective
    TimePoint schedulingKey;  // the earliest comes first when room is scarce
    std::uint64_t number = 0; // of this assignment on this connection, from 1
};

// Entry to agent: do not start the task, or stop it.
struct WithdrawTask
{
    TaskId task;
    std::uint32_t attempt = 0;
};

// Agent to entry: a worker beside the agent, on each change.
struct WorkerUpdate
{
    WorkerInfo worker;
    bool isGone = false;
};

// Tasks of one priority that wait at a worker.
struct QueuedDemand
{
    int priority = 0;
    Resources needs; // sum
};

// Agent to entry: what is left of a worker's room, on each change.
struct WorkerLoad
{
    std::string workerId;
    Resources free;                   // less what runs; none if the worker takes no tasks
    std::vector<QueuedDemand> queued; // the most urgent first
    double coreReleaseRate = 0;       // cores that running tasks are expected to give back in a ms
    bool isUsable = false;            // takes tasks
    double slowness = 1;              // run times here against the entries' expectation
    double failureRate = 0;           // of the newest ends
    std::uint64_t assignments = 0;    // newest AssignTask::number that `free` takes into account
};

struct TaskStarted
{
    TaskId task;
    std::uint32_t attempt = 0;
};

// Agent to entry, at most once for each attempt: its worker is slow, and by its progress the task
// will miss its objective.
struct TaskLate
{
    TaskId task;
    std::uint32_t attempt = 0;
    Duration remaining{}; // by its progress so far
};

struct TaskEnded
{
    TaskId task;
    std::uint32_t attempt = 0;
    TaskEnd end = TaskEnd::Lost;
    Duration runTime{};
};

struct StartRefused
{
    TaskId task;
    std::uint32_t attempt = 0;
    StartRefusal reason = StartRefusal::Expired;
};

// Agent to entry, after its hello and when more workers are clear: every task of this entry that
// the agent knows. An assignment of an older connection that is missing here was not received and
// never will be.
struct TaskInventory
{
    std::vector<TaskStarted> started; // and not ended
    std::vector<TaskStarted> waiting; // accepted and not started
    std::vector<TaskEnded> ended;     // lately
    // Workers at which nothing runs that an earlier process of the agent started.
    std::vector<std::string> orphanFreeWorkers;
};

// New types come last: the position is the type's number on the wire.
using PeerMessage = std::variant<PeerHello, PeerHeartbeat, KnownEntries, AssignTask, WithdrawTask,
                                 WorkerUpdate, WorkerLoad, TaskStarted, TaskLate, TaskEnded,
                                 StartRefused, TaskInventory, EntriesStarted>;

} // namespace cactuscove
