// Sends a few parts at a time and repeats them until they are acknowledged. Starts again with
// another successor if the present one does not acknowledge in time or goes down.

#include "memoryhandover.h"

#include <algorithm>

namespace cactuscove {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t MaxJobsPerPart = 2000; // about 150 KB as JSON
constexpr std::size_t MaxPartsInFlight = 4;
constexpr Duration RepeatInterval = 1s;
constexpr Duration SuccessorTimeout = 5s;
// When all entries leave at once, no successor takes the keys; they are lost after this time.
constexpr Duration HandOverLimit = 10s;

} // namespace

MemoryHandover::MemoryHandover(Incarnation self, const Ledger &ledger, const JobRouter &router)
    : m_self(self)
    , m_ledger(ledger)
    , m_router(router)
{}

void MemoryHandover::start(TimePoint now, Outbox &out)
{
    m_isStarted = true;
    m_giveUpAt = now + HandOverLimit;
    chooseSuccessor(now, out);
}

void MemoryHandover::chooseSuccessor(TimePoint now, Outbox &out)
{
    m_parts.clear();
    m_nextShard = 0;
    m_lastAck = now;
    std::vector<Incarnation> entries = m_ledger.upMembers(Role::Entry);
    std::erase(entries, m_self);
    const auto isSilent = [&](Incarnation it) { return m_silentSuccessors.contains(it); };
    if (std::ranges::all_of(entries, isSilent))
        m_silentSuccessors.clear();
    std::erase_if(entries, isSilent);
    if (entries.empty())
        return giveUp();
    // The entry that started last is the least likely to be replaced next.
    const auto startedAt = [&](Incarnation it) { return m_ledger.member(it)->registeredAt; };
    m_successor = *std::ranges::max_element(entries, {}, startedAt);
    sendNextParts(now, out);
}

void MemoryHandover::giveUp()
{
    m_successor = {}; // nobody can report the keys of this entry
    m_parts.clear();
    m_nextShard = ShardCount;
    m_nextSend = NeverTime;
}

void MemoryHandover::sendNextParts(TimePoint now, Outbox &out)
{
    while (m_nextShard < ShardCount && m_parts.size() < MaxPartsInFlight) {
        const std::vector<AdoptedJob> jobs = m_router.rememberedJobs(ShardId{m_nextShard++}, now);
        for (std::size_t i = 0; i < jobs.size(); i += MaxJobsPerPart) {
            const auto begin = jobs.begin() + static_cast<std::ptrdiff_t>(i);
            const auto n = std::min(MaxJobsPerPart, jobs.size() - i);
            AdoptWitness message{
                m_self, {begin, begin + static_cast<std::ptrdiff_t>(n)}, m_nextPart++};
            out.send(m_successor, message);
            m_parts.emplace(message.part, std::move(message));
        }
    }
    m_nextSend = m_parts.empty() ? NeverTime : now + RepeatInterval;
}

void MemoryHandover::onAck(Incarnation from, const AdoptAck &ack, TimePoint now, Outbox &out)
{
    if (from != m_successor || ack.subject != m_self || m_parts.erase(ack.part) == 0)
        return;
    m_lastAck = now;
    sendNextParts(now, out);
}

void MemoryHandover::onTimer(TimePoint now, Outbox &out)
{
    if (!m_isStarted || m_successor.value == 0)
        return;
    if (!isComplete() && now >= m_giveUpAt)
        return giveUp();
    const bool isSilent = !m_parts.empty() && now >= m_lastAck + SuccessorTimeout;
    if (isSilent)
        m_silentSuccessors.insert(m_successor);
    if (isSilent || !m_ledger.isUp(m_successor)) {
        chooseSuccessor(now, out);
        return;
    }
    if (now < m_nextSend)
        return;
    for (const auto &[part, message] : m_parts)
        out.send(m_successor, message);
    m_nextSend = m_parts.empty() ? NeverTime : now + RepeatInterval;
}

} // namespace cactuscove
