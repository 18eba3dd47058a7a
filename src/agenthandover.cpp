// Shutdown of an agent and memories: hands its own to an heir, keeps those of others, and answers
// the questions of new homes from both.

#include "agentnodeimpl.h"

#include <algorithm>
#include <iterator>

namespace cactuscove {

using namespace std::chrono_literals;

namespace {

// An heir that acknowledges nothing for this long is replaced by another one.
constexpr Duration AdoptPatience = 2s;
constexpr Duration AdoptRepeat = 500ms;
// Limits of one part of the memory, so that no envelope holds up the others for long.
constexpr std::size_t MaxPartJobs = 500;
constexpr std::size_t MaxPartBytes = 256U << 10U; // of result bodies
constexpr std::size_t PartsInFlight = 8;
// Time to hand shards and memory over once nothing runs here any more. When the whole fleet leaves
// at once, nobody takes them; the process then leaves without an heir.
constexpr Duration HandOverLimit = 10s;

} // namespace

// For itself and for every process that it is the heir of (rule R4).
void AgentNode::Impl::answerRaise(Incarnation from, const Raise &raise, TimePoint now,
                                  Outbox &out) const
{
    Witness own{m_self, raise.claims, {}};
    for (const ShardClaim &claim : raise.claims) {
        for (auto &&jobs : {m_executor.witnessed(claim.shard, claim.epoch),
                            m_jobs.witnessed(claim.shard, claim.epoch, now)})
            own.jobs.insert(own.jobs.end(), jobs.begin(), jobs.end());
    }
    out.send(from, std::move(own));
    for (const auto &[subject, adopted] : m_adopted) {
        if (!isAnswererFor(subject))
            continue;
        Witness witness{subject, raise.claims, {}};
        for (const auto &[part, jobs] : adopted.parts) {
            for (const AdoptedJob &it : jobs) {
                const ShardId shard = shardOf(it.job.key);
                const auto isAsked = [&](const ShardClaim &claim) {
                    return claim.shard == shard && it.epoch < claim.epoch;
                };
                if (std::ranges::any_of(raise.claims, isAsked))
                    witness.jobs.push_back(it.job);
            }
        }
        out.send(from, std::move(witness));
    }
}

// Only once the log says so is the memory here whole: a process leaves after its heir has
// acknowledged every part.
bool AgentNode::Impl::isAnswererFor(Incarnation subject) const
{
    for (std::size_t steps = 0; steps <= m_ledger.members().size(); ++steps) {
        const MemberState *state = m_ledger.member(subject);
        if (state == nullptr || !state->hasLeft)
            return subject == m_self;
        subject = state->heir;
    }
    return false;
}

void AgentNode::Impl::onAdoptWitness(Incarnation from, const AdoptWitness &message, TimePoint now,
                                     Outbox &out)
{
    if (m_stage != Stage::Serving || !isActive())
        return; // the sender chooses another heir
    Adopted &adopted = m_adopted[message.subject];
    adopted.parts[message.part] = message.jobs;
    adopted.receivedAt = now;
    out.send(from, AdoptAck{message.subject, message.part});
}

void AgentNode::Impl::onAdoptAck(Incarnation from, const AdoptAck &ack, TimePoint now, Outbox &out)
{
    const auto isSame
        = [&](const AdoptWitness &it) { return it.subject == ack.subject && it.part == ack.part; };
    if (from != m_heir || std::erase_if(m_unadopted, isSame) == 0)
        return;
    m_heirDue = now + AdoptPatience;
    if (m_unadopted.size() % PartsInFlight == 0)
        sendParts(now, out);
}

// Running tasks end first, then the shards move, then the memory: what is handed over is final.
void AgentNode::Impl::stepShutdown(TimePoint now, Outbox &out)
{
    const bool isQuiet = m_executor.isIdle() && m_jobs.isIdle();
    if (m_stage == Stage::Draining && isQuiet && m_handOverEnd == NeverTime)
        m_handOverEnd = now + HandOverLimit;
    const bool isTooLate = m_handOverEnd <= now;
    if (m_stage == Stage::Draining && isQuiet && (m_shards.hasNothingToTransfer() || isTooLate)) {
        m_stage = Stage::HandingOver;
        handOver(now, out);
    } else if (m_stage == Stage::HandingOver && (m_unadopted.empty() || isTooLate)) {
        if (!m_unadopted.empty())
            m_heir = {};
        m_stage = Stage::Leaving;
        m_heirDue = NeverTime;
        m_nextParts = NeverTime;
        out.add(
            Append{Record{"leave-" + std::to_string(m_self.value), LeaveRecord{m_self, m_heir}}});
    } else if (m_stage == Stage::HandingOver && m_heirDue <= now) {
        m_refusedHeirs.insert(m_heir);
        handOver(now, out);
    } else if (m_stage == Stage::HandingOver && m_nextParts <= now) {
        sendParts(now, out);
    }
}

void AgentNode::Impl::handOver(TimePoint now, Outbox &out)
{
    m_heir = {};
    m_unadopted.clear();
    m_heirDue = now + AdoptPatience;
    std::vector<Incarnation> candidates = m_ledger.upMembers(Role::Agent);
    std::erase(candidates, m_self);
    if (candidates.empty())
        return; // the last one: nobody is left to ask it
    const auto isRefused = [&](Incarnation it) { return m_refusedHeirs.contains(it); };
    if (std::ranges::all_of(candidates, isRefused))
        m_refusedHeirs.clear();
    std::erase_if(candidates, isRefused);
    m_heir = candidates[(m_settings.seed + m_self.value) % candidates.size()];
    std::vector<AdoptedJob> own = m_executor.memory(now);
    std::ranges::move(m_jobs.memory(now), std::back_inserter(own));
    packMemory(m_self, std::move(own));
    for (const auto &[subject, adopted] : m_adopted) {
        std::vector<AdoptedJob> jobs;
        for (const auto &[part, list] : adopted.parts)
            jobs.insert(jobs.end(), list.begin(), list.end());
        for (AdoptedJob &it : jobs)
            it.age += now - adopted.receivedAt;
        packMemory(subject, std::move(jobs));
    }
    sendParts(now, out);
}

// Divides the memory into parts; an empty memory is one empty part.
void AgentNode::Impl::packMemory(Incarnation subject, std::vector<AdoptedJob> jobs)
{
    m_unadopted.push_back({subject, {}, ++m_lastPart});
    std::size_t bytes = 0;
    for (AdoptedJob &job : jobs) {
        std::size_t size = 0;
        for (const WitnessedTask &task : job.job.tasks)
            size += task.result.body.size();
        if (m_unadopted.back().jobs.size() >= MaxPartJobs
            || (bytes > 0 && bytes + size > MaxPartBytes)) {
            m_unadopted.push_back({subject, {}, ++m_lastPart});
            bytes = 0;
        }
        bytes += size;
        m_unadopted.back().jobs.push_back(std::move(job));
    }
}

void AgentNode::Impl::sendParts(TimePoint now, Outbox &out)
{
    const std::size_t n = std::min(PartsInFlight, m_unadopted.size());
    for (std::size_t i = 0; i < n; ++i)
        out.send(m_heir, m_unadopted[i]);
    m_nextParts = now + AdoptRepeat;
}

void AgentNode::Impl::forgetAdopted(TimePoint now)
{
    const Duration memory = m_ledger.fleetConfig().idMemory;
    for (auto &[subject, adopted] : m_adopted) {
        const TimePoint receivedAt = adopted.receivedAt;
        const auto isOld
            = [&](const AdoptedJob &it) { return receivedAt - it.age + memory <= now; };
        for (auto &[part, jobs] : adopted.parts)
            std::erase_if(jobs, isOld);
    }
    // Also the parts of a process that chose another heir in the end.
    std::erase_if(m_adopted, [&](const auto &it) {
        return it.second.receivedAt + memory <= now && !isAnswererFor(it.first);
    });
}

} // namespace cactuscove
