// Handles announcement, lease and leave of the upstream.

#include "upstreamregistry.h"

#include <algorithm>

namespace cactuscove {

namespace {

// Limit for the remembered incarnations. Late announcements come only from the newest of them.
constexpr std::size_t MaxPastIncarnations = 16;

} // namespace

UpstreamRegistry::Change UpstreamRegistry::announce(const UpstreamAnnouncement &announcement,
                                                    TimePoint now)
{
    if (isPastIncarnation(announcement.incarnation))
        return Change::None;
    Change change = Change::None;
    if (!m_current) {
        change = Change::Appeared;
    } else if (m_current->incarnation != announcement.incarnation
               || m_current->address != announcement.address
               || m_current->upstream != announcement.upstream) {
        change = Change::Replaced;
        if (m_current->incarnation != announcement.incarnation)
            addPastIncarnation(m_current->incarnation);
    }
    m_current = announcement;
    m_leaseEnd = now + announcement.lease;
    return change;
}

UpstreamRegistry::Change UpstreamRegistry::leave(std::string_view incarnation)
{
    if (!m_current || (!incarnation.empty() && incarnation != m_current->incarnation))
        return Change::None;
    addPastIncarnation(m_current->incarnation);
    m_current.reset();
    m_leaseEnd = NeverTime;
    return Change::Left;
}

UpstreamRegistry::Change UpstreamRegistry::onTimer(TimePoint now)
{
    if (!m_current || now < m_leaseEnd)
        return Change::None;
    // The incarnation may return: an upstream that was paused announces itself again.
    m_current.reset();
    m_leaseEnd = NeverTime;
    return Change::LeaseExpired;
}

TimePoint UpstreamRegistry::nextTimer() const
{
    return m_leaseEnd;
}

bool UpstreamRegistry::isPastIncarnation(std::string_view incarnation) const
{
    return std::find(m_pastIncarnations.begin(), m_pastIncarnations.end(), incarnation)
           != m_pastIncarnations.end();
}

void UpstreamRegistry::addPastIncarnation(const std::string &incarnation)
{
    m_pastIncarnations.push_back(incarnation);
    if (m_pastIncarnations.size() > MaxPastIncarnations)
        m_pastIncarnations.pop_front();
}

} // namespace cactuscove
