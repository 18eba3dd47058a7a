// Conditions of the proofs that runs have ended.

#include "endproof.h"

#include "durations.h"

#include <algorithm>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

// A worker that refuses calls for this long has ended.
constexpr Duration RefusalProofTime = 15ms;
// The clock of a process begins anew, below this value.
constexpr Duration MaxFirstClock = 10s;
// A worker's clock may be slow by this share of the time.
constexpr double MaxClockLag = 0.02;

} // namespace

std::string_view nameOf(EndProof proof)
{
    switch (proof) {
    case EndProof::NextProcess:
        return "worker_restarted";
    case EndProof::OtherWorker:
        return "worker_replaced";
    case EndProof::Refusal:
        return "worker_refusing";
    case EndProof::LeaseExpired:
        return "lease_expired";
    }
    return "?";
}

std::string_view nameOf(EndCause cause)
{
    return cause == EndCause::Crash ? "crash" : "possibly_planned";
}

TimePoint leaseEndOf(const RunStarts &run, TimePoint knownProcessLeaseEnd, Duration longestRun)
{
    if (run.isInKnownProcess)
        return knownProcessLeaseEnd;
    return std::max(knownProcessLeaseEnd, run.leaseFrom + longestRun);
}

void EndNotice::recordDraining()
{
    m_isDraining = true;
    m_ready.reset();
}

void EndNotice::recordReady(std::optional<WorkerClock> clock, TimePoint now)
{
    m_hasLeft = false;
    if (!m_isDraining && clock)
        m_ready = Ready{*clock, now};
}

EndCause EndNotice::causeOfEnd(const ClockReading &newest, Duration minNotice, TimePoint now) const
{
    if (m_hasLeft || !m_ready)
        return EndCause::PossiblyPlanned;
    // On the worker's clock, the time from the heartbeat to the reading; negative if it came later.
    const double sinceReadyMs = static_cast<double>(newest.clock.value - m_ready->sentAt.value);
    const double slowest = sinceReadyMs > 0 ? 1 / (1 - MaxClockLag) : 1;
    const Duration age = now - newest.readAfter + fromMs(sinceReadyMs * slowest);
    return std::max(age, now - m_ready->arrivedAt) < minNotice ? EndCause::Crash
                                                               : EndCause::PossiblyPlanned;
}

bool isOver(EndCause cause, TimePoint leaseEnd, TimePoint now)
{
    return cause == EndCause::Crash || now > leaseEnd;
}

bool provesEnd(EndProof proof, EndCause cause, const RunStarts &run, TimePoint leaseEnd,
               TimePoint now)
{
    switch (proof) {
    case EndProof::NextProcess:
        return isOver(cause, leaseEnd, now) && run.isInKnownProcess;
    case EndProof::OtherWorker:
    case EndProof::Refusal:
        return isOver(cause, leaseEnd, now);
    case EndProof::LeaseExpired:
        return now > leaseEnd;
    }
    return false;
}

bool isRefusalProof(TimePoint refusingSince, TimePoint calledAt)
{
    return calledAt - refusingSince >= RefusalProofTime;
}

// The clock of one process never goes back. That of a process which started after `aliveAt` has
// advanced by less than the time since then.
ReplySource sourceOf(WorkerClock clock, const CallContext &call, std::optional<TimePoint> aliveAt,
                     TimePoint now)
{
    if (clock < call.clock)
        return ReplySource::NextProcess;
    if (aliveAt && clock.value > toWholeMs(now - *aliveAt + MaxFirstClock))
        return ReplySource::KnownProcess;
    return ReplySource::Unclear;
}

} // namespace cactuscove
