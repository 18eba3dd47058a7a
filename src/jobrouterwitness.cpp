// What the entry knows as a witness: the memory of forwarded keys (rule R3), its fence (rule R2),
// and the memory of processes that it is the heir of.

#include "jobrouter.h"

#include <algorithm>
#include <utility>

namespace cactuscove {

namespace {

// Covers the run time of tasks that started just before their deadline, and delayed messages.
constexpr Duration MemoryMargin = std::chrono::seconds(60);

// One message stays in the order of 100 KB. A single shard is never split, because a home counts a
// shard as answered by the first message that names it.
constexpr std::size_t WitnessBatch = 2000;

} // namespace

Duration JobRouter::lifetime() const
{
    return m_ledger.fleetConfig().idMemory + MemoryMargin;
}

Epoch JobRouter::fence(ShardId shard) const
{
    return std::max(m_ledger.shard(shard).epoch, m_raised[shard.value].epoch);
}

// Rule R3: to be called before the forward at job.epoch is sent. The job may run until its
// deadline, and its id is remembered for a lifetime after that.
void JobRouter::remember(Pending &job, TimePoint now)
{
    if (m_memory.remember(job.hash, job.epoch, job.deadline + lifetime(), now)) {
        job.ownsMemory = true;
        job.forwards.clear();
    }
    if (job.forwards.empty() || job.forwards.back().epoch != job.epoch)
        job.forwards.push_back({job.epoch, 0});
    ++job.forwards.back().unsettled;
}

// A key that was stored for these very forwards is as unknown as before once all of them are known
// to be undelivered. If only those of the lower epochs are, the lowest epoch rises.
void JobRouter::onUndelivered(Incarnation, const Message &message, TimePoint, Outbox &)
{
    const auto *submit = std::get_if<SubmitJob>(&message);
    const auto it = submit ? m_jobs.find(submit->spec.key) : m_jobs.end();
    if (it == m_jobs.end() || !it->second.ownsMemory)
        return;
    Pending &job = it->second;
    for (Forwards &sent : job.forwards)
        if (sent.epoch == submit->epoch && sent.unsettled > 0)
            --sent.unsettled;
    std::erase_if(job.forwards, [](const Forwards &sent) { return sent.unsettled == 0; });
    if (job.forwards.empty()) {
        m_memory.forget(job.hash);
        job.ownsMemory = false;
        return;
    }
    m_memory.setLowestEpoch(job.hash, job.forwards.front().epoch);
}

void JobRouter::onRaise(Incarnation from, const Raise &message, TimePoint now, Outbox &out)
{
    std::vector<ShardId> shards;
    for (const ShardClaim &claim : message.claims) {
        shards.push_back(claim.shard);
        RaisedFence &raised = m_raised[claim.shard.value];
        if (claim.epoch > raised.epoch)
            raised = {claim.epoch, from};
    }
    answerSubject(from, m_self, message, now, out);
    for (const auto &[incarnation, state] : m_ledger.members())
        if (state.hasLeft && state.member.role == Role::Entry && isHeirOf(incarnation))
            answerSubject(from, incarnation, message, now, out);
    redirect(shards, false, now, out);
}

bool JobRouter::isHeirOf(Incarnation subject) const
{
    // Each step moves to another member, so more steps than members mean a cycle of heirs.
    for (std::size_t steps = 0; steps <= m_ledger.members().size(); ++steps) {
        if (subject == m_self)
            return true;
        const MemberState *state = m_ledger.member(subject);
        if (!state || !state->hasLeft)
            return false;
        subject = state->heir;
    }
    return false;
}

// Adopted keys are stored among the own ones, so the reply for each subject lists all of them.
// Sending them for one subject only would lose them if that message is lost and the others are not.
void JobRouter::answerSubject(Incarnation to, Incarnation subject, const Raise &message,
                              TimePoint now, Outbox &out) const
{
    Witness witness{subject, {}, {}};
    for (const ShardClaim &claim : message.claims) {
        witness.claims.push_back(claim);
        m_memory.visit(claim.shard, now, [&](const KeyHash &key, Epoch epoch, TimePoint) {
            if (epoch < claim.epoch)
                witness.jobs.push_back({key, 0, 0, {}});
        });
        if (witness.jobs.size() >= WitnessBatch)
            out.send(to, std::exchange(witness, Witness{subject, {}, {}}));
    }
    if (!witness.claims.empty())
        out.send(to, std::move(witness));
}

void JobRouter::onAdopt(Incarnation from, const AdoptWitness &message, TimePoint now, Outbox &out)
{
    // An adopted key may be one that a pending job has just stored, and must not be removed with
    // it.
    for (auto &[key, job] : m_jobs)
        job.ownsMemory = false;
    for (const AdoptedJob &it : message.jobs)
        m_memory.remember(it.job.key, it.epoch, now - it.age + lifetime(), now);
    out.send(from, AdoptAck{message.subject, message.part});
}

std::vector<AdoptedJob> JobRouter::memory(ShardId shard, TimePoint now) const
{
    std::vector<AdoptedJob> result;
    m_memory.visit(shard, now, [&](const KeyHash &key, Epoch epoch, TimePoint expiresAt) {
        // Negative for a key whose job may still run.
        result.push_back({{key, 0, 0, {}}, epoch, lifetime() - (expiresAt - now)});
    });
    return result;
}

} // namespace cactuscove
