// What a returning job may use, and when its caller should come back.

#include "returningjobs.h"

#include "durations.h"

#include <algorithm>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

// From the start of the process. Covers the callers' resubmit delay after the loss of their entry,
// which is before its restart.
constexpr Duration ReturnPeriod = 1500ms;
// Bounds the memory; jobs beyond it count as new.
constexpr std::size_t MaxJobs = 10'000;
// Part of the entry's share of the free cores that returning jobs may use. All entries see nearly
// the same free cores, and new jobs need the rest while these jobs run.
constexpr double SpareShare = 0.1;

} // namespace

ReturningJobs::ReturningJobs(TimePoint startedAt)
    : m_startedAt(startedAt)
{}

void ReturningJobs::noteEarlierRun(std::string_view jobId, TimePoint now)
{
    if (now - m_startedAt > ReturnPeriod)
        m_jobIds.clear();
    else if (m_jobIds.size() < MaxJobs)
        m_jobIds.emplace(jobId);
}

bool ReturningJobs::isReturning(std::string_view jobId, TimePoint now) const
{
    return now - m_startedAt <= ReturnPeriod && m_jobIds.find(jobId) != m_jobIds.end();
}

std::optional<Duration> ReturningJobs::retryTime(const Work &job, const Work &waiting,
                                                 const AvailableCores &available)
{
    const double freeShare = std::max(0.0, available.freeCores) * available.entryShare;
    if (waiting.cores + job.cores <= freeShare * SpareShare)
        return std::nullopt;
    m_refusedWork += job.coreMs;
    return fromMs(m_refusedWork / std::max(available.shareCores, 1.0));
}

} // namespace cactuscove
