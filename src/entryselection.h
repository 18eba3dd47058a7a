// Chooses the entries that a process keeps connections to: a fixed number, whatever the size of
// the fleet. Each process ranks all entries that it knows by a hash of its own name and the entry's
// address, so that a restart finds the same ones and the choices of all processes spread evenly
// over entries, data centres and racks. It keeps the first ones in rank that are up; the next in
// rank take the place of those that are not, for as long as they are not.
//
// No socket and no clock: inputs carry the time.

#pragma once

#include "types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cactuscove {

class EntrySelection
{
public:
    // `self` is the same across restarts. `links` is the number of connections to keep.
    EntrySelection(std::string self, std::size_t links);

    // Commands
    void setConnectionCount(std::size_t links) { m_links = links; }
    bool add(std::string_view address); // false if it is known already
    void dialled(std::string_view address, TimePoint now);
    void opened(std::string_view address);
    // The connection has ended, or did not open.
    void closed(std::string_view address, TimePoint now);
    // Others hear the entry: it is due to be dialled at once if it is wanted.
    void reportedAlive(std::string_view address, TimePoint now);

    struct Plan
    {
        std::vector<std::string> dial;
        std::vector<std::string> release; // open and not needed for some time
    };
    Plan plan(TimePoint now);

    // Queries
    std::vector<std::string> addresses() const; // all that are known

private:
    enum class State { Idle, Dialling, Open };

    struct Entry
    {
        State state = State::Idle;
        TimePoint dialledAt{};
        TimePoint dialAt{}; // Idle: not before
        Duration pause{};   // after the next failure
        TimePoint surplusSince = NeverTime;
    };

    using Rank = std::pair<std::uint64_t, std::string>; // hash, address

    Rank rankOf(std::string_view address) const;
    Entry *find(std::string_view address);

    std::string m_self;
    std::size_t m_links;
    std::map<Rank, Entry> m_entries; // the first in rank first
};

} // namespace cactuscove
