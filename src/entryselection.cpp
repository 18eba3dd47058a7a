// One walk over the entries in the order of their rank decides which to dial and which to release.

#include "entryselection.h"

#include <xxhash.h>

#include <algorithm>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

constexpr Duration ShortestRedial = 50ms;
constexpr Duration LongestRedial = 1s;
// A dialled connection that is not open by then does not count; the next entry is dialled as well.
constexpr Duration DialPatience = 300ms;
// Hysteresis: an entry that comes and goes must not move connections each time.
constexpr Duration ReleaseDelay = 2s;

} // namespace

EntrySelection::EntrySelection(std::string self, std::size_t links)
    : m_self(std::move(self))
    , m_links(links)
{}

EntrySelection::Rank EntrySelection::rankOf(std::string_view address) const
{
    const std::string pair = m_self + '\n' + std::string(address);
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

void EntrySelection::dialled(std::string_view address, TimePoint now)
{
    if (Entry *it = find(address)) {
        it->state = State::Dialling;
        it->dialledAt = now;
    }
}

void EntrySelection::opened(std::string_view address)
{
    if (Entry *it = find(address)) {
        it->state = State::Open;
        it->pause = Duration{};
    }
}

// An entry that was there is dialled at once: it may have lost only this connection.
void EntrySelection::closed(std::string_view address, TimePoint now)
{
    Entry *it = find(address);
    if (!it)
        return;
    const bool wasOpen = it->state == State::Open;
    it->state = State::Idle;
    it->surplusSince = NeverTime;
    it->dialAt = now + (wasOpen ? Duration{} : std::max(it->pause, ShortestRedial));
    it->pause = wasOpen ? ShortestRedial
                        : std::clamp<Duration>(it->pause * 2, ShortestRedial, LongestRedial);
}

void EntrySelection::reportedAlive(std::string_view address, TimePoint now)
{
    Entry *it = find(address);
    if (it && it->state == State::Idle)
        it->dialAt = std::min(it->dialAt, now);
}

EntrySelection::Plan EntrySelection::plan(TimePoint now)
{
    Plan plan;
    std::size_t open = 0;
    std::size_t hoped = 0; // open, or may be so in a moment
    for (auto &[rank, it] : m_entries) {
        const bool isSurplus = it.state == State::Open && open >= m_links;
        if (!isSurplus)
            it.surplusSince = NeverTime;
        else if (it.surplusSince == NeverTime)
            it.surplusSince = now;
        else if (now - it.surplusSince >= ReleaseDelay)
            plan.release.push_back(rank.second);
        if (it.state == State::Open)
            ++open;
        if (hoped >= m_links)
            continue;
        const bool isDue = it.state == State::Idle && now >= it.dialAt;
        if (isDue)
            plan.dial.push_back(rank.second);
        const bool isAwaited = it.state == State::Dialling && now - it.dialledAt <= DialPatience;
        hoped += it.state == State::Open || isDue || isAwaited;
    }
    return plan;
}

} // namespace cactuscove
