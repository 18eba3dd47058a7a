// The upstream instance beside this agent, as it announced itself.

#pragma once

#include "outbox.h"
#include "types.h"

#include <optional>
#include <string>

namespace cactuscove {

struct UpstreamAnnouncement
{
    std::string upstream;    // name in the configuration file
    std::string incarnation; // of the upstream's process
    std::string address;     // "ip:port"
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    TaskNeeds capacity;
    Duration lease{}; // the announcement lapses unless repeated within this time
};

class UpstreamRegistry
{
public:
    enum class Change { None, Appeared, Replaced, Left };

    // Commands
    Change announce(const UpstreamAnnouncement &announcement, TimePoint now);
    Change leave();
    Change onTimer(TimePoint now); // lapses the lease

    // Queries
    const std::optional<UpstreamAnnouncement> &current() const { return m_current; }
    TimePoint nextTimer() const;

private:
    std::optional<UpstreamAnnouncement> m_current;
    TimePoint m_leaseEnd = NeverTime;
};

} // namespace cactuscove
