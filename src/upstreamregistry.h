// The upstream instance on which an agent runs tasks, as it last announced itself.

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
    std::string incarnation;       // one run of the instance, named by itself; not an Incarnation
    std::string address;           // "ip:port"
    std::uint32_t slots = 0;       // tasks that it runs at the same time
    std::uint32_t connections = 0; // connections that it accepts at the same time
    TaskResources capacity;        // what a single task may need
    Duration lease{}; // the announcement expires unless it is repeated within this time
};

// Holds at most one upstream instance. The agent node calls it whenever the instance announces
// itself or says that it leaves, and passes each change on to the task executor. A running task
// that is lost ends as TaskStatus::Unknown.
class UpstreamRegistry
{
public:
    enum class Change {
        None,     // ignored, or the lease was renewed; the slots may have changed
        Appeared, // there was none before
        // Another incarnation, address or name. Running tasks are lost only with their incarnation.
        Replaced,
        Left,        // the upstream takes no new tasks but finishes the running ones
        LeaseExpired // no announcement came within the lease; running tasks are lost
    };

    // Commands
    // Takes over the announcement, unless its incarnation has left or was replaced before. An
    // incarnation whose lease expired may return.
    Change announce(const UpstreamAnnouncement &announcement, TimePoint now);
    // The upstream leaves: current() is empty from now on. An empty `incarnation` means the current
    // one; a call for any other incarnation is ignored.
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
    // The newest 16 (MaxPastIncarnations in upstreamregistry.cpp) incarnations that left or were
    // replaced. A late repeat of their announcement is ignored.
    std::deque<std::string> m_pastIncarnations;
};

} // namespace cactuscove
