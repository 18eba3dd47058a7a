// The open starts that a process knows of, and the permit that depends on them.

#include "openstarts.h"

#include <algorithm>

namespace cactuscove {

namespace {

bool isSame(const OpenStart &a, const OpenStart &b)
{
    return a.attempt == b.attempt && a.workerId == b.workerId && a.agent == b.agent;
}

bool isOpen(const OpenStart &start)
{
    return start.state != OpenStartState::Answered;
}

} // namespace

std::uint32_t StartPermit::attemptAfter(std::uint32_t attempt) const
{
    return std::max(attempt, m_lastAttempt.value_or(0)) + 1;
}

bool OpenStarts::merge(const OpenStart &report, TimePoint now)
{
    if (report.remaining <= Duration{})
        return false;
    const TimePoint until = now + std::min(report.remaining, OpenStartTime);
    m_nextExpiry = std::min(m_nextExpiry, until);
    std::vector<Record> &records = m_starts[report.task];
    const auto known = std::find_if(records.begin(), records.end(),
                                    [&](const Record &it) { return isSame(it.start, report); });
    if (known == records.end()) {
        records.push_back({report, until});
        return true;
    }
    known->until = std::max(known->until, until);
    if (report.state <= known->start.state)
        return false;
    known->start.state = report.state;
    return true;
}

void OpenStarts::forgetSuspicion(const OpenStart &suspicion)
{
    const auto found = m_starts.find(suspicion.task);
    if (found == m_starts.end())
        return;
    std::erase_if(found->second, [&](const Record &it) {
        return isSame(it.start, suspicion) && it.start.state == OpenStartState::Suspected;
    });
    if (found->second.empty())
        m_starts.erase(found);
}

void OpenStarts::removeExpired(TimePoint now)
{
    if (now <= m_nextExpiry)
        return;
    m_nextExpiry = NeverTime;
    for (auto &[task, records] : m_starts) {
        std::erase_if(records, [&](const Record &it) { return now > it.until; });
        for (const Record &it : records)
            m_nextExpiry = std::min(m_nextExpiry, it.until);
    }
    std::erase_if(m_starts, [](const auto &it) { return it.second.empty(); });
}

template <typename Visit>
void OpenStarts::forEach(const TaskId &task, TimePoint now, Visit visit) const
{
    const auto found = m_starts.find(task);
    if (found == m_starts.end())
        return;
    for (const Record &it : found->second)
        if (now <= it.until)
            visit(it.start);
}

std::optional<StartPermit> OpenStarts::permitStart(const TaskId &task, std::string_view workerId,
                                                   TimePoint now) const
{
    bool isElsewhere = false;
    StartPermit permit;
    forEach(task, now, [&](const OpenStart &it) {
        isElsewhere |= isOpen(it) && it.workerId != workerId;
        permit.m_lastAttempt = std::max(permit.m_lastAttempt.value_or(0), it.attempt);
    });
    if (isElsewhere)
        return std::nullopt;
    return permit;
}

std::optional<std::string_view> OpenStarts::onlyWorkerOf(const TaskId &task, TimePoint now) const
{
    std::optional<std::string_view> worker;
    forEach(task, now, [&](const OpenStart &it) {
        if (isOpen(it))
            worker = it.workerId;
    });
    return worker;
}

bool OpenStarts::hasJob(std::string_view jobId, TimePoint now) const
{
    for (auto it = m_starts.lower_bound({std::string(jobId), 0});
         it != m_starts.end() && it->first.jobId == jobId; ++it)
        if (onlyWorkerOf(it->first, now))
            return true;
    return false;
}

template <typename Matches>
std::vector<OpenStart> OpenStarts::select(TimePoint now, Matches matches) const
{
    std::vector<OpenStart> found;
    for (const auto &[task, records] : m_starts)
        for (const Record &it : records) {
            if (now >= it.until || !matches(it.start))
                continue;
            found.push_back(it.start);
            found.back().remaining = it.until - now;
        }
    return found;
}

std::vector<OpenStart> OpenStarts::all(TimePoint now) const
{
    return select(now, [](const OpenStart &) { return true; });
}

std::vector<OpenStart> OpenStarts::atWorker(std::string_view workerId, TimePoint now) const
{
    return select(now, [&](const OpenStart &it) { return isOpen(it) && it.workerId == workerId; });
}

} // namespace cactuscove
