// Shutdown of an agent: hands its records of started tasks and jobs to another agent, its
// successor. Also keeps the records of the processes whose successor this agent is, and answers the
// StartEpoch messages of new homes from its own records and from these.

#include "agentnodeimpl.h"

#include <algorithm>
#include <iterator>

namespace cactuscove {

using namespace std::chrono_literals;

namespace {

// A successor that acknowledges no part for this time is replaced by another one.
constexpr Duration AdoptAckTimeout = 2s;
constexpr Duration PartResendInterval = 500ms;
// Limits for one part, so that a large envelope does not delay the following ones for long.
constexpr std::size_t MaxPartJobs = 500;
constexpr std::size_t MaxPartBytes = 256U << 10U; // of result bodies
constexpr std::size_t MaxPartsInFlight = 8;
// Time for handing over shards and records after the last task and job have ended. When the whole
// fleet shuts down at once, no process takes them, and this one leaves without a successor.
constexpr Duration HandoverTimeout = 10s;

} // namespace

// Answers for itself and for every process whose successor it is, because a new home must learn of
// every started task (rule R4).
void AgentNode::Impl::answerStartEpoch(Incarnation from, const StartEpoch &message, TimePoint now,
                                       Outbox &out) const
{
    Witness own{m_self, message.claims, {}};
    for (const ShardClaim &claim : message.claims) {
        for (auto &&jobs : {m_executor.witnessed(claim.shard, claim.epoch),
                            m_jobs.witnessedJobs(claim.shard, claim.epoch, now)})
            own.jobs.insert(own.jobs.end(), jobs.begin(), jobs.end());
    }
    out.send(from, std::move(own));
    for (const auto &[subject, adopted] : m_adopted) {
        if (!answersFor(subject))
            continue;
        Witness witness{subject, message.claims, {}};
        for (const auto &[part, jobs] : adopted.parts) {
            for (const AdoptedJob &it : jobs) {
                const ShardId shard = shardOf(it.job.key);
                const auto isAsked = [&](const ShardClaim &claim) {
                    return claim.shard == shard && it.epoch < claim.epoch;
                };
                if (std::ranges::any_of(message.claims, isAsked))
                    witness.jobs.push_back(it.job);
            }
        }
        out.send(from, std::move(witness));
    }
}

// True if the chain of successors in the ledger leads from `subject` to this process. The records
// here are complete only then, because a process leaves after its successor has acknowledged every
// part.
bool AgentNode::Impl::answersFor(Incarnation subject) const
{
    for (std::size_t steps = 0; steps <= m_ledger.members().size(); ++steps) {
        const MemberState *state = m_ledger.member(subject);
        if (state == nullptr || !state->hasLeft)
            return subject == m_self;
        subject = state->successor;
    }
    return false;
}

void AgentNode::Impl::onAdoptWitness(Incarnation from, const AdoptWitness &message, TimePoint now,
                                     Outbox &out)
{
    if (m_stage != Stage::Serving || !isActive())
        return; // the sender chooses another successor
    AdoptedRecords &adopted = m_adopted[message.subject];
    adopted.parts[message.part] = message.jobs;
    adopted.receivedAt = now;
    out.send(from, AdoptAck{message.subject, message.part});
}

void AgentNode::Impl::onAdoptAck(Incarnation from, const AdoptAck &ack, TimePoint now, Outbox &out)
{
    const auto isSame
        = [&](const AdoptWitness &it) { return it.subject == ack.subject && it.part == ack.part; };
    if (from != m_successor || std::erase_if(m_unacknowledgedParts, isSame) == 0)
        return;
    m_successorDeadline = now + AdoptAckTimeout;
    if (m_unacknowledgedParts.size() % MaxPartsInFlight == 0)
        sendParts(now, out);
}

// Proceeds in this order: running tasks and jobs end, the shards are transferred, the records are
// handed over. So the records no longer change when they are handed over.
void AgentNode::Impl::advanceShutdown(TimePoint now, Outbox &out)
{
    const bool isIdle = m_executor.isIdle() && m_jobs.isIdle();
    if (m_stage == Stage::Draining && isIdle && m_handoverDeadline == NeverTime)
        m_handoverDeadline = now + HandoverTimeout;
    const bool isTimedOut = m_handoverDeadline <= now;
    if (m_stage == Stage::Draining && isIdle && (m_shards.hasNothingToTransfer() || isTimedOut)) {
        m_stage = Stage::HandingOver;
        startHandover(now, out);
    } else if (m_stage == Stage::HandingOver && (m_unacknowledgedParts.empty() || isTimedOut)) {
        if (!m_unacknowledgedParts.empty())
            m_successor = {};
        m_stage = Stage::Leaving;
        m_successorDeadline = NeverTime;
        m_nextPartsSend = NeverTime;
        out.add(Append{
            Record{"leave-" + std::to_string(m_self.value), LeaveRecord{m_self, m_successor}}});
    } else if (m_stage == Stage::HandingOver && m_successorDeadline <= now) {
        m_unresponsiveSuccessors.insert(m_successor);
        startHandover(now, out);
    } else if (m_stage == Stage::HandingOver && m_nextPartsSend <= now) {
        sendParts(now, out);
    }
}

// Chooses a successor and starts to send it all records; without another agent there is no
// successor.
void AgentNode::Impl::startHandover(TimePoint now, Outbox &out)
{
    m_successor = {};
    m_unacknowledgedParts.clear();
    m_successorDeadline = now + AdoptAckTimeout;
    std::vector<Incarnation> candidates = m_ledger.upMembers(Role::Agent);
    std::erase(candidates, m_self);
    if (candidates.empty())
        return; // the last agent of the fleet: no new home is left that could ask for its records
    const auto isUnresponsive
        = [&](Incarnation it) { return m_unresponsiveSuccessors.contains(it); };
    if (std::ranges::all_of(candidates, isUnresponsive))
        m_unresponsiveSuccessors.clear();
    std::erase_if(candidates, isUnresponsive);
    m_successor = candidates[(m_settings.seed + m_self.value) % candidates.size()];
    std::vector<AdoptedJob> own = m_executor.rememberedStarts(now);
    std::ranges::move(m_jobs.rememberedJobs(now), std::back_inserter(own));
    addParts(m_self, std::move(own));
    for (const auto &[subject, adopted] : m_adopted) {
        std::vector<AdoptedJob> jobs;
        for (const auto &[part, list] : adopted.parts)
            jobs.insert(jobs.end(), list.begin(), list.end());
        for (AdoptedJob &it : jobs)
            it.age += now - adopted.receivedAt;
        addParts(subject, std::move(jobs));
    }
    sendParts(now, out);
}

// Divides the records of `subject` into parts and adds them to the parts to send. Without records
// there is one empty part.
void AgentNode::Impl::addParts(Incarnation subject, std::vector<AdoptedJob> jobs)
{
    m_unacknowledgedParts.push_back({subject, {}, ++m_lastPart});
    std::size_t bytes = 0;
    for (AdoptedJob &job : jobs) {
        std::size_t size = 0;
        for (const WitnessedTask &task : job.job.tasks)
            size += task.result.body.size();
        if (m_unacknowledgedParts.back().jobs.size() >= MaxPartJobs
            || (bytes > 0 && bytes + size > MaxPartBytes)) {
            m_unacknowledgedParts.push_back({subject, {}, ++m_lastPart});
            bytes = 0;
        }
        bytes += size;
        m_unacknowledgedParts.back().jobs.push_back(std::move(job));
    }
}

void AgentNode::Impl::sendParts(TimePoint now, Outbox &out)
{
    const std::size_t n = std::min(MaxPartsInFlight, m_unacknowledgedParts.size());
    for (std::size_t i = 0; i < n; ++i)
        out.send(m_successor, m_unacknowledgedParts[i]);
    m_nextPartsSend = now + PartResendInterval;
}

// Removes records that are older than id_memory.
void AgentNode::Impl::expireAdopted(TimePoint now)
{
    const Duration memory = m_ledger.fleetConfig().idMemory;
    for (auto &[subject, adopted] : m_adopted) {
        const TimePoint receivedAt = adopted.receivedAt;
        const auto isOld
            = [&](const AdoptedJob &it) { return receivedAt - it.age + memory <= now; };
        for (auto &[part, jobs] : adopted.parts)
            std::erase_if(jobs, isOld);
    }
    // Also removes the parts of a process that chose another successor afterwards.
    std::erase_if(m_adopted, [&](const auto &it) {
        return it.second.receivedAt + memory <= now && !answersFor(it.first);
    });
}

} // namespace cactuscove
