// The upstream instance beside an agent, as it last announced itself.

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
    std::string upstream;          // name in the configuration file
    std::string incarnation;       // of the process of the upstream, chosen by the upstream
    std::string address;           // "ip:port"
    std::uint32_t slots = 0;       // tasks that it runs at the same time
    std::uint32_t connections = 0; // connections that it accepts at the same time
    TaskResources capacity;        // what a single task may need
    Duration lease{}; // the announcement expires unless it is repeated within this time
};

// Holds at most one upstream. The agent node calls it for every announcement and leave that the
// agent process receives, and passes each change on to the task executor.
class UpstreamRegistry
{
public:
    enum class Change {
        None,        // the same upstream as before; its slots may have changed
        Appeared,    // there was none before
        Replaced,    // another incarnation, address or name; running tasks are lost
        Left,        // the upstream takes no new tasks but finishes the running ones
        LeaseExpired // no announcement came within the lease; running tasks are lost
    };

    // Commands
    // Ignored if the incarnation has left or was replaced before.
    Change announce(const UpstreamAnnouncement &announcement, TimePoint now);
    // An empty `incarnation` means the current one; any other incarnation is ignored.
    Change leave(std::string_view incarnation = {});
    // Removes the upstream if its lease has expired. To be called at nextTimer().
    Change onTimer(TimePoint now);

    // Queries
    const std::optional<UpstreamAnnouncement> &current() const { return m_current; }
    TimePoint nextTimer() const; // the end of the lease; NeverTime without an upstream

private:
    bool isPastIncarnation(std::string_view incarnation) const;
    void addPastIncarnation(const std::string &incarnation);

    std::optional<UpstreamAnnouncement> m_current;
    TimePoint m_leaseEnd = NeverTime;
    // Incarnations that left or were replaced. A late repeat of their announcement is ignored.
    std::deque<std::string> m_pastIncarnations;
};

} // namespace cactuscove
