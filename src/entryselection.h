// Chooses the entries that a process keeps connections to: a fixed number of them, whatever the
// size of the fleet. Each process ranks all entries that it knows by a hash of its own name and the
// entry's address. So a restarted process chooses the same entries, and the choices of all
// processes are spread evenly over entries, data centres and racks. A process keeps connections to
// the first entries in rank that are up. While one of them is down, the next in rank takes its
// place.
//
// Opens no connections itself: the process dials and closes what plan() asks for and reports what
// happened. Reads no clock: inputs carry the time.

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

// The choice of one process. An address is "ip:port". Reports about an unknown address are ignored.
class EntrySelection
{
public:
    // `selfName` is the name of the process, the same across restarts. `connectionCount` is the
    // number of connections to keep.
    EntrySelection(std::string selfName, std::size_t connectionCount);

    // Commands

    // Number of connections to keep from now on.
    void setConnectionCount(std::size_t connectionCount) { m_connectionCount = connectionCount; }
    // Makes an entry known; false if it is known already.
    bool add(std::string_view address);
    // A connection was dialled; onOpened() or onClosed() follows.
    void onDialled(std::string_view address, TimePoint now);
    // The connection is in use: the entry has sent its hello.
    void onOpened(std::string_view address);
    // The connection has ended, or could not be opened.
    void onClosed(std::string_view address, TimePoint now);
    // Another process has reported that the entry's process has started. If a connection to the
    // entry is wanted, the next plan() dials it, whatever its redial delay.
    void reportedAlive(std::string_view address, TimePoint now);

    // What the process should do now, as lists of addresses.
    struct Plan
    {
        std::vector<std::string> dial;
        std::vector<std::string> release; // connections to close: not needed for 2 s
    };
    // To be called after reports and at short intervals, as dials and releases become due with
    // time.
    Plan plan(TimePoint now);

    // Queries

    std::vector<std::string> addresses() const; // all known entries

private:
    // State of the connection to an entry.
    enum class State { Idle, Dialling, Open };

    struct Entry
    {
        State state = State::Idle;
        TimePoint dialledAt{};              // newest dial
        TimePoint nextDialAt{};             // Idle: not dialled before this time
        Duration redialDelay{};             // delay to apply when the next dial fails
        TimePoint surplusSince = NeverTime; // Open: not needed since then; NeverTime: needed
    };

    using Rank = std::pair<std::uint64_t, std::string>; // hash and address

    Rank rankOf(std::string_view address) const;
    Entry *find(std::string_view address);

    std::string m_selfName;
    std::size_t m_connectionCount;
    std::map<Rank, Entry> m_entries; // in the order of rank
};

} // namespace cactuscove
