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

TimePoint leaseEndOf(const RunStarts &run, TimePoint knownProcessLeaseEnd, Duration longestRun)
{
    if (run.isInKnownProcess)
        return knownProcessLeaseEnd;
    return std::max(knownProcessLeaseEnd, run.lastSentAt + longestRun);
}

bool provesEnd(EndProof proof, const RunStarts &run, TimePoint leaseEnd, TimePoint now)
{
    switch (proof) {
    case EndProof::NextProcess:
        return run.isInKnownProcess && run.unanswered == 0;
    case EndProof::Refusal: // the next process may carry out a late start
        return run.unanswered == 0;
    case EndProof::OtherWorker: // it refuses late starts, as they name another worker
        return true;
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
