// The entry as a witness: the keys that it has forwarded, the highest epoch of each shard, below
// which it forwards nothing (rule R2), and the keys of entries that it is the successor of.

#include "jobrouter.h"

#include <algorithm>
#include <utility>

namespace cactuscove {

namespace {

// Covers the run time of tasks that started just before their deadline, and delayed messages.
constexpr Duration MemoryMargin = std::chrono::seconds(60);

// A Witness message ends after the shard with which it reaches this many keys, which keeps it at
// about 100 KB. The keys of one shard are never split, because a home counts a shard as answered by
// the first message that names it.
constexpr std::size_t WitnessBatch = 2000;

} // namespace

// From the deadline of a job to the expiry of its key.
Duration JobRouter::keyRetention() const
{
    return m_ledger.fleetConfig().idMemory + MemoryMargin;
}

Epoch JobRouter::fence(ShardId shard) const
{
    return std::max(m_ledger.shard(shard).epoch, m_fences[shard.value].epoch);
}

// An entry remembers the key of a job before it forwards the job (rule R3), so this is called
// before each forward at job.epoch. The job may run until its deadline, and its key is remembered
// for keyRetention() after that.
void JobRouter::remember(PendingJob &job, TimePoint now)
{
    if (m_memory.remember(job.hash, job.epoch, job.deadline + keyRetention(), now)) {
        job.ownsRememberedKey = true;
        job.forwards.clear();
    }
    if (job.forwards.empty() || job.forwards.back().epoch != job.epoch)
        job.forwards.push_back({job.epoch, 0});
    ++job.forwards.back().maybeDelivered;
}

// If the key was remembered only for the forwards of this pending job, it is forgotten once all of
// them are proved to be undelivered: no home has seen it. If only those of the lowest epochs are,
// the lowest epoch of the key rises.
void JobRouter::onUndelivered(Incarnation, const Message &message, TimePoint, Outbox &)
{
    const auto *submit = std::get_if<SubmitJob>(&message);
    const auto it = submit ? m_jobs.find(submit->spec.key) : m_jobs.end();
    if (it == m_jobs.end() || !it->second.ownsRememberedKey)
        return;
    PendingJob &job = it->second;
    for (Forwards &sent : job.forwards)
        if (sent.epoch == submit->epoch && sent.maybeDelivered > 0)
            --sent.maybeDelivered;
    std::erase_if(job.forwards, [](const Forwards &sent) { return sent.maybeDelivered == 0; });
    if (job.forwards.empty()) {
        m_memory.forget(job.hash);
        job.ownsRememberedKey = false;
        return;
    }
    m_memory.setLowestEpoch(job.hash, job.forwards.front().epoch);
}

void JobRouter::onStartEpoch(Incarnation from, const StartEpoch &message, TimePoint now,
                             Outbox &out)
{
    std::vector<ShardId> shards;
    for (const ShardClaim &claim : message.claims) {
        shards.push_back(claim.shard);
        EpochFence &fence = m_fences[claim.shard.value];
        if (claim.epoch > fence.epoch)
            fence = {claim.epoch, from};
    }
    sendWitness(from, m_self, message, now, out);
    for (const auto &[incarnation, state] : m_ledger.members())
        if (state.hasLeft && state.member.role == Role::Entry && isSuccessorOf(incarnation))
            sendWitness(from, incarnation, message, now, out);
    forwardToNewHomes(shards, false, now, out);
}

// Whether this entry is `subject` or its successor, directly or through a chain of successors that
// have left themselves.
bool JobRouter::isSuccessorOf(Incarnation subject) const
{
    // Each step moves to another member, so more steps than members mean a cycle of successors.
    for (std::size_t steps = 0; steps <= m_ledger.members().size(); ++steps) {
        if (subject == m_self)
            return true;
        const MemberState *state = m_ledger.member(subject);
        if (!state || !state->hasLeft)
            return false;
        subject = state->successor;
    }
    return false;
}

// Sends the keys remembered at lower epochs in the name of one subject, this entry or one that it
// is the successor of. Adopted keys are stored together with the entry's own, so the reply for each
// subject lists all of them. If only one reply listed them and that one were lost, the home would
// take the others for complete.
void JobRouter::sendWitness(Incarnation to, Incarnation subject, const StartEpoch &message,
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
    // An adopted key may be one that a pending job has stored. It must then stay even if the
    // forwards of that job prove to be undelivered.
    for (auto &[key, job] : m_jobs)
        job.ownsRememberedKey = false;
    for (const AdoptedJob &it : message.jobs)
        m_memory.remember(it.job.key, it.epoch, now - it.age + keyRetention(), now);
    out.send(from, AdoptAck{message.subject, message.part});
}

std::vector<AdoptedJob> JobRouter::rememberedJobs(ShardId shard, TimePoint now) const
{
    std::vector<AdoptedJob> result;
    m_memory.visit(shard, now, [&](const KeyHash &key, Epoch epoch, TimePoint expiresAt) {
        // The age is negative for a key whose job may still run.
        result.push_back({{key, 0, 0, {}}, epoch, keyRetention() - (expiresAt - now)});
    });
    return result;
}

} // namespace cactuscove
