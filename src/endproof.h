// What proves that runs at a worker have ended, so that their tasks may start elsewhere. Each
// report of a run as lost rests on one of these proofs; docs/design/run-ends.md describes them.
// Whether a run that has ended so had ever started is another question: startproof.h.
//
// A worker is known by its id. Its process may end, and another one may start under the same id.
// Calls name only the id, so a start that was under way when a process ended may be carried out by
// the next one. The deadline of such a start is a time on the earlier process's clock, and bounds
// nothing at the next one. That a run has ended therefore does not mean that its task may start
// anywhere: openstarts.h.
//
// A process that ends as planned may close its listener and its connections long before its runs
// end with it. That nothing, or something else, answers at its address therefore proves the end
// only of a process that has crashed. A planned end is announced some time before, a crash is not.
//
// Does no I/O and reads no clock.

#pragma once

#include "dispatchtypes.h"
#include "startproof.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace cactuscove {

// Time on the clock of a worker process, in ms since its start.
using WorkerClock = StrongId<struct WorkerClockTag, std::int64_t>;

// Proofs that end several runs of a worker at once. A list of the worker, in which a run has ended
// or no longer occurs, ends single runs.
enum class EndProof {
    NextProcess,  // another process of the worker has answered or has sent a heartbeat
    OtherWorker,  // another worker answers at the address
    Refusal,      // on the agent's machine, nothing listens at the address; see isRefusalProof()
    LeaseExpired, // the worker has not answered for as long as a run keeps its lease
};

// Why a worker's process is gone, as far as its agent can tell.
enum class EndCause {
    Crash,           // it has ended, with all that it ran
    PossiblyPlanned, // it may be shutting down, and its runs go on until it has ended
};

// For logs, for example "crash".
std::string_view nameOf(EndCause cause);

// A worker's clock in one of its replies.
struct ClockReading
{
    WorkerClock clock;
    TimePoint readAfter{}; // when the call was sent; the clock was read then or later
};

// What a worker's process has said of its end.
class EndNotice
{
public:
    void recordDraining();
    // Its DELETE has been received. A later heartbeat as ready takes it back: it was late.
    void recordLeave() { m_hasLeft = true; }
    // A heartbeat that arrived at `now` says that it is ready. `clock` is when the heartbeat was
    // sent; without it the heartbeat shows nothing, as it may have been under way for long.
    void recordReady(std::optional<WorkerClock> clock, TimePoint now);
    // Announcements may have been missed until now.
    void forgetReady() { m_ready.reset(); }

    bool isAnnounced() const { return m_isDraining || m_hasLeft; }
    // Why the process is gone if it seems so at `now`. An announcement comes at least `minNotice`
    // before the end, so a process that was ready more recently has crashed.
    EndCause causeOfEnd(const ClockReading &newest, Duration minNotice, TimePoint now) const;

private:
    struct Ready
    {
        WorkerClock sentAt;
        TimePoint arrivedAt{};
    };

    bool m_isDraining = false; // stays set: a process that drains never becomes ready again
    bool m_hasLeft = false;
    std::optional<Ready> m_ready; // newest heartbeat as ready; none once it drains
};

// For logs, for example "lease_expired".
std::string_view nameOf(EndProof proof);

// When a run has lost its lease, whichever process has it. `knownProcessLeaseEnd` is for a run in
// the known process, `longestRun` the time from a start until any process that it reaches has ended
// the run.
TimePoint leaseEndOf(const RunStarts &run, TimePoint knownProcessLeaseEnd, Duration longestRun);

// Nothing that the process ran under a lease until `leaseEnd` runs any more.
bool isOver(EndCause cause, TimePoint leaseEnd, TimePoint now);

// The run has ended, or was not started and never will be. After `leaseEnd` it has lost its lease.
bool provesEnd(EndProof proof, EndCause cause, const RunStarts &run, TimePoint leaseEnd,
               TimePoint now);

// Calls were refused since `refusingSince`, the newest was sent at `calledAt`. One refused call may
// have been overtaken by a start that the next process accepts.
bool isRefusalProof(TimePoint refusingSince, TimePoint calledAt);

// Which process has sent a reply.
enum class ReplySource { KnownProcess, NextProcess, Unclear };

// What was known of a worker's process when a call was sent.
struct CallContext
{
    TimePoint sentAt{};
    std::uint64_t process = 0; // number of the known process
    WorkerClock clock;         // newest clock in its replies
};

// Tells the processes apart by the clock in a reply, as `call.process` is the known one still.
// `aliveAt` is a time at which that one was up; none: not known.
ReplySource sourceOf(WorkerClock clock, const CallContext &call, std::optional<TimePoint> aliveAt,
                     TimePoint now);

} // namespace cactuscove
