// The upstream instance beside this agent, as it announced itself.

#pragma once

#include "outbox.h"
#include "types.h"

#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace cactuscove {

struct UpstreamAnnouncement
{
    std::string upstream;    // name in the configuration file
    std::string incarnation; // of the upstream's process
    std::string address;     // "ip:port"
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    TaskResources capacity;
    Duration lease{}; // the announcement lapses unless repeated within this time
};

class UpstreamRegistry
{
public:
    // Left: running tasks are finished by the upstream. Replaced and Lapsed: they are lost.
    enum class Change { None, Appeared, Replaced, Left, Lapsed };

    // Commands
    Change announce(const UpstreamAnnouncement &announcement, TimePoint now);
    // Ignored if `incarnation` is not the current one; empty stands for any.
    Change leave(std::string_view incarnation = {});
    Change onTimer(TimePoint now); // lapses the lease

    // Queries
    const std::optional<UpstreamAnnouncement> &current() const { return m_current; }
    TimePoint nextTimer() const;

private:
    bool isRetired(std::string_view incarnation) const;
    void retire(const std::string &incarnation);

    std::optional<UpstreamAnnouncement> m_current;
    TimePoint m_leaseEnd = NeverTime;
    // Incarnations that left or were replaced: a late repeat of their announcement is not taken.
    std::deque<std::string> m_retired;
};

} // namespace cactuscove
