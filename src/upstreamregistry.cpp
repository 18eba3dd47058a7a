// Announcement, lease and leave of the upstream beside the agent.

#include "upstreamregistry.h"

#include <algorithm>

namespace cactuscove {

namespace {

// Late announcements come from the last few predecessors only.
constexpr std::size_t RetiredLimit = 16;

} // namespace

UpstreamRegistry::Change UpstreamRegistry::announce(const UpstreamAnnouncement &announcement,
                                                    TimePoint now)
{
    if (isRetired(announcement.incarnation))
        return Change::None;
    Change change = Change::None;
    if (!m_current) {
        change = Change::Appeared;
    } else if (m_current->incarnation != announcement.incarnation
               || m_current->address != announcement.address
               || m_current->upstream != announcement.upstream) {
        change = Change::Replaced;
        if (m_current->incarnation != announcement.incarnation)
            retire(m_current->incarnation);
    }
    m_current = announcement;
    m_leaseEnd = now + announcement.lease;
    return change;
}

UpstreamRegistry::Change UpstreamRegistry::leave(std::string_view incarnation)
{
    if (!m_current || (!incarnation.empty() && incarnation != m_current->incarnation))
        return Change::None;
    retire(m_current->incarnation);
    m_current.reset();
    m_leaseEnd = NeverTime;
    return Change::Left;
}

UpstreamRegistry::Change UpstreamRegistry::onTimer(TimePoint now)
{
    if (!m_current || now < m_leaseEnd)
        return Change::None;
    // Not retired: a paused upstream may announce itself again under the same incarnation.
    m_current.reset();
    m_leaseEnd = NeverTime;
    return Change::Lapsed;
}

TimePoint UpstreamRegistry::nextTimer() const
{
    return m_leaseEnd;
}

bool UpstreamRegistry::isRetired(std::string_view incarnation) const
{
    return std::find(m_retired.begin(), m_retired.end(), incarnation) != m_retired.end();
}

void UpstreamRegistry::retire(const std::string &incarnation)
{
    m_retired.push_back(incarnation);
    if (m_retired.size() > RetiredLimit)
        m_retired.pop_front();
}

} // namespace cactuscove
