// plan() walks over the entries once, in the order of rank, and decides which to dial and which to
// release.

#include "entryselection.h"

#include <xxhash.h>

#include <algorithm>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

// The delay between dials of an entry doubles with each failure, from MinRedialDelay to
// MaxRedialDelay.
constexpr Duration MinRedialDelay = 50ms;
constexpr Duration MaxRedialDelay = 1s;
// A dialled connection that is not open after this time does not count, and the next entry is
// dialled as well.
constexpr Duration DialTimeout = 300ms;
// Hysteresis: an entry that comes and goes must not move connections each time.
constexpr Duration ReleaseDelay = 2s;

} // namespace

EntrySelection::EntrySelection(std::string selfName, std::size_t connectionCount)
    : m_selfName(std::move(selfName))
    , m_connectionCount(connectionCount)
{}

EntrySelection::Rank EntrySelection::rankOf(std::string_view address) const
{
    const std::string pair = m_selfName + '\n' + std::string(address);
    return {XXH3_64bits(pair.data(), pair.size()), std::string(address)};
}

EntrySelection::Entry *EntrySelection::find(std::string_view address)
{
    const auto it = m_entries.find(rankOf(address));
    return it == m_entries.end() ? nullptr : &it->second;
}

std::vector<std::string> EntrySelection::addresses() const
{
    std::vector<std::string> all;
    all.reserve(m_entries.size());
    for (const auto &[rank, it] : m_entries)
        all.push_back(rank.second);
    return all;
}

bool EntrySelection::add(std::string_view address)
{
    return m_entries.try_emplace(rankOf(address)).second;
}

void EntrySelection::onDialled(std::string_view address, TimePoint now)
{
    if (Entry *it = find(address)) {
        it->state = State::Dialling;
        it->dialledAt = now;
    }
}

void EntrySelection::onOpened(std::string_view address)
{
    if (Entry *it = find(address)) {
        it->state = State::Open;
        it->redialDelay = Duration{};
    }
}

// After an open connection the entry is dialled at once: only this connection may have been lost.
void EntrySelection::onClosed(std::string_view address, TimePoint now)
{
    Entry *it = find(address);
    if (!it)
        return;
    const bool wasOpen = it->state == State::Open;
    it->state = State::Idle;
    it->surplusSince = NeverTime;
    it->nextDialAt = now + (wasOpen ? Duration{} : std::max(it->redialDelay, MinRedialDelay));
    it->redialDelay
        = wasOpen ? MinRedialDelay
                  : std::clamp<Duration>(it->redialDelay * 2, MinRedialDelay, MaxRedialDelay);
}

void EntrySelection::reportedAlive(std::string_view address, TimePoint now)
{
    Entry *it = find(address);
    if (it && it->state == State::Idle)
        it->nextDialAt = std::min(it->nextDialAt, now);
}

EntrySelection::Plan EntrySelection::plan(TimePoint now)
{
    Plan plan;
    std::size_t open = 0;
    std::size_t expected = 0; // open, or expected to be open soon
    for (auto &[rank, it] : m_entries) {
        const bool isSurplus = it.state == State::Open && open >= m_connectionCount;
        if (!isSurplus)
            it.surplusSince = NeverTime;
        else if (it.surplusSince == NeverTime)
            it.surplusSince = now;
        else if (now - it.surplusSince >= ReleaseDelay)
            plan.release.push_back(rank.second);
        if (it.state == State::Open)
            ++open;
        if (expected >= m_connectionCount)
            continue;
        const bool isDue = it.state == State::Idle && now >= it.nextDialAt;
        if (isDue)
            plan.dial.push_back(rank.second);
        const bool isAwaited = it.state == State::Dialling && now - it.dialledAt <= DialTimeout;
        expected += it.state == State::Open || isDue || isAwaited;
    }
    return plan;
}

} // namespace cactuscove
