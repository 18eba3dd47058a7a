// Jobs at their home: acceptance, deduplication, answers and their timers.

#include "jobhome.h"

#include <algorithm>
#include <cstdio>

namespace cactuscove {

using namespace std::chrono_literals;

namespace {

// A home that has just started may not have heard of every agent yet. So a running job is given up
// for the lack of a live agent of its upstream only when this time has passed since the job was
// accepted.
constexpr Duration UpstreamGrace = 2s;

// Attempt numbers of one epoch lie above those of the epoch before, because an executor looks
// attempts up by number. A task gets far fewer attempts than this from one home.
constexpr std::uint32_t AttemptsPerEpoch = 4096;

constexpr Duration StalledJobCheckInterval = 1s;

// The housekeeping timer fires at this interval, so that a longer time without an event than
// LongestQuietTime means that the process was paused.
constexpr Duration HousekeepingInterval = 1s;
constexpr Duration LongestQuietTime = 1500ms;

bool contains(const std::vector<Incarnation> &list, Incarnation incarnation)
{
    return std::ranges::find(list, incarnation) != list.end();
}

} // namespace

JobHome::JobHome(Incarnation self, JobHomeDependencies parts, std::uint64_t seed)
    : m_self(self)
    , m_deps(parts)
    , m_spanIds(seed)
{}

JobHome::~JobHome() = default;

void JobHome::onMessage(Incarnation from, const Message &message, TimePoint now, Outbox &out)
{
    detectPause(now);
    if (const auto *submit = std::get_if<SubmitJob>(&message)) {
        onSubmit(from, *submit, now, out);
    } else if (const auto *cancel = std::get_if<CancelJob>(&message)) {
        onCancel(from, *cancel, now, out);
    } else if (const auto *query = std::get_if<QueryJob>(&message)) {
        onQuery(from, *query, now, out);
    } else if (const auto *start = std::get_if<StartEpoch>(&message)) {
        for (const ShardClaim &claim : start->claims) {
            Epoch &fence = m_fenceEpochs[claim.shard.value];
            fence = std::max(fence, claim.epoch);
        }
    } else {
        onTaskMessage(from, message, now, out);
    }
}

void JobHome::onLedgerChange(const LedgerChanges &changes, TimePoint now, Outbox &out)
{
    dropJobsOfOldEpochs(changes.shards, now);
    m_homeShare = static_cast<double>(m_deps.ledger.shardsOf(m_self).size()) / ShardCount;
    m_deps.admission.setHomeShare(m_homeShare);
    if (changes.config)
        configure();
    if (changes.members)
        syncAgents(now, out);
}

void JobHome::decideWaitingJobs(TimePoint now, Outbox &out)
{
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        Job *job = (it++)->second; // decide() may remove it from the map
        decide(*job, now, out);
    }
}

void JobHome::onTimer(TimePoint now, Outbox &out)
{
    detectPause(now);
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        Job *job = m_jobsBySerial.at(m_timers.begin()->second);
        m_timers.erase(m_timers.begin());
        job->timerAt = NeverTime;
        onJobTimer(*job, now, out);
    }
    if (m_nextHousekeeping <= now) {
        m_nextHousekeeping = now + HousekeepingInterval;
        for (const auto &[agent, load] : m_admissionLoads)
            updateWeight(agent, now);
        const Duration memory = m_deps.ledger.fleetConfig().idMemory;
        std::erase_if(m_formerJobs, [&](const FormerJob &it) { return it.since + memory <= now; });
    }
    placeQueuedTasks(now, out);
}

TimePoint JobHome::nextTimer() const
{
    const TimePoint job = m_timers.empty() ? NeverTime : m_timers.begin()->first;
    return std::min({job, m_nextHousekeeping, m_nextPlacement});
}

bool JobHome::hasJobsInProgress(ShardId shard) const
{
    return m_inProgressOfShard[shard.value] > 0;
}

void JobHome::detectPause(TimePoint now)
{
    if (m_lastSeen != TimePoint{} && now - m_lastSeen > LongestQuietTime) {
        m_lastPause = now - m_lastSeen;
        m_pauseEffectEnd = now + MinRetryAfter;
    }
    m_lastSeen = std::max(m_lastSeen, now);
}

// Returns an upper bound of the time since the caller submitted the job of this message.
Duration JobHome::maxAgeOf(const SubmitJob &message, TimePoint now) const
{
    const Duration atEntry = std::max(message.spec.deadline - message.remaining, Duration::zero());
    return now < m_pauseEffectEnd ? atEntry + m_lastPause : atEntry;
}

void JobHome::onSubmit(Incarnation from, const SubmitJob &message, TimePoint now, Outbox &out)
{
    const JobSpec &spec = message.spec;
    const ShardId shard = shardOf(spec.key);
    if (!isHome(shard, message.epoch))
        return refuse(from, spec.key, SubmitRefusal::NotHome, out);
    Job *known = find(spec.key);
    if (known != nullptr && !isNotRunExpired(*known, now - maxAgeOf(message, now))) {
        if (known->spec.contentHash != spec.contentHash)
            return refuse(from, spec.key, SubmitRefusal::ContentMismatch, out);
        return reply(from, *known, message.sentAt, now, out);
    }
    const ShardKnowledge knowledge = m_deps.shards.knowledge(shard);
    if (knowledge == ShardKnowledge::Transferring)
        return refuse(from, spec.key, SubmitRefusal::Transferring, out);
    const WitnessedJob *seen = m_deps.shards.reportedJob(hashOf(spec.key));
    if (seen != nullptr && seen->contentHash != 0 && seen->contentHash != spec.contentHash)
        return refuse(from, spec.key, SubmitRefusal::ContentMismatch, out);
    Job &job = create(message, now);
    addEntry(job, from);
    decide(job, now, out);
    // A job that decide() has answered needs no reply here, and it may already be forgotten.
    if (Job *kept = find(spec.key); kept != nullptr && kept->state != JobState::Answered)
        reply(from, *kept, message.sentAt, now, out);
}

void JobHome::onCancel(Incarnation from, const CancelJob &message, TimePoint now, Outbox &out)
{
    if (!isHome(shardOf(message.key), message.epoch))
        return refuse(from, message.key, SubmitRefusal::NotHome, out);
    Job *job = find(message.key);
    if (job == nullptr)
        return answerUnknownKey(from, message.key, message.sentAt, out);
    if (job->state != JobState::Running) // the witnesses may know the result of a waiting job
        return reply(from, *job, message.sentAt, now, out);
    addEntry(*job, from);
    giveUp(*job, "cancelled", std::nullopt, now, out);
}

void JobHome::onQuery(Incarnation from, const QueryJob &message, TimePoint now, Outbox &out)
{
    if (!isHome(shardOf(message.key), message.epoch))
        return refuse(from, message.key, SubmitRefusal::NotHome, out);
    Job *job = find(message.key);
    if (job == nullptr)
        return answerUnknownKey(from, message.key, message.sentAt, out);
    addEntry(*job, from);
    reply(from, *job, message.sentAt, now, out);
}

bool JobHome::isHome(ShardId shard, Epoch epoch) const
{
    const Epoch own = m_deps.shards.epoch(shard);
    return own.value != 0 && own == epoch && m_fenceEpochs[shard.value] <= own;
}

JobHome::Job *JobHome::find(const JobKey &key)
{
    const auto it = m_jobs.find(key);
    return it == m_jobs.end() ? nullptr : it->second.get();
}

void JobHome::refuse(Incarnation to, const JobKey &key, SubmitRefusal reason, Outbox &out) const
{
    const ShardId shard = shardOf(key);
    const Epoch epoch = std::max(m_deps.ledger.shard(shard).epoch, m_fenceEpochs[shard.value]);
    out.send(to, SubmitRefused{key, reason, epoch});
}

JobHome::Job &JobHome::create(const SubmitJob &message, TimePoint now)
{
    const JobKey &key = message.spec.key;
    const Epoch epoch = m_deps.shards.epoch(shardOf(key));
    auto &place = m_jobs[key];
    std::uint32_t highestAttempt = static_cast<std::uint32_t>(epoch.value) * AttemptsPerEpoch;
    if (place) { // an earlier submission under this key was answered not_run
        highestAttempt = std::max(highestAttempt, place->highestAttempt);
        forget(*place);
    }
    auto &slot = m_jobs[key];
    slot = std::make_unique<Job>();
    Job &job = *slot;
    job.serial = ++m_lastSerial;
    m_jobsBySerial[job.serial] = &job;
    job.spec = message.spec;
    job.epoch = epoch;
    job.highestAttempt = highestAttempt;
    job.acceptedAt = now;
    job.deadline = now + message.remaining;
    job.callerSpanId = message.trace.spanId;
    job.trace = {message.trace.traceId, nextSpanId()};
    job.taskCount = static_cast<std::uint16_t>(message.spec.tasks.size());
    job.tasks.resize(message.spec.tasks.size());
    for (Task &task : job.tasks)
        task.lastAttempt = highestAttempt;
    m_waiting[job.serial] = &job;
    ++m_inProgressOfShard[shardOf(key).value];
    ++m_inProgress;
    armTimer(job, job.deadline);
    return job;
}

// Admits or answers a job that waits for the witnesses. Leaves it waiting while the reports that
// the decision needs may still arrive in the witness round.
void JobHome::decide(Job &job, TimePoint now, Outbox &out)
{
    const ShardId shard = shardOf(job.spec.key);
    const ShardKnowledge knowledge = m_deps.shards.knowledge(shard);
    if (const WitnessedJob *seen = m_deps.shards.reportedJob(hashOf(job.spec.key))) {
        if (auto answer = provenAnswer(*seen, &job.spec))
            finish(job, std::move(*answer), now, out);
        else if (m_deps.shards.isRoundOver(shard))
            finish(job, unknown("home_lost"), now, out);
        return;
    }
    if (knowledge == ShardKnowledge::Complete) {
        admit(job, now, out);
    } else if (knowledge == ShardKnowledge::Incomplete) {
        // The answer is not kept: once the missing witnesses have answered, the key may prove to be
        // new.
        finish(job, unknown("witness_missing", withJitter(job.spec.key, MinRetryAfter)), now, out);
        forget(job);
    }
}

void JobHome::admit(Job &job, TimePoint now, Outbox &out)
{
    m_waiting.erase(job.serial);
    if (auto refusal = refusalOf(job, now))
        return finish(job, std::move(*refusal), now, out);
    job.state = JobState::Running;
    statsOf(job.spec.upstream);
    for (std::uint16_t n = 0; n < job.taskCount; ++n)
        enqueue({&job, n}, now, QueueEnd::Back);
    armTimer(job, now + StalledJobCheckInterval);
    placeQueuedTasks(now, out);
}

std::optional<Answer> JobHome::refusalOf(const Job &job, TimePoint now)
{
    const JobSpec &spec = job.spec;
    const FleetConfig &config = m_deps.ledger.fleetConfig();
    const auto agents = m_deps.ledger.upMembers(Role::Agent);
    const bool knowsAllLoads = std::ranges::all_of(
        agents, [&](Incarnation it) { return m_admissionLoads.contains(it); });
    const bool isDeclared = config.upstreams.empty() || config.upstreams.contains(spec.upstream);
    if (spec.tasks.empty() || spec.tasks.size() > MaxTasksPerJob || !isDeclared)
        return notRun("cannot_run", std::nullopt);
    if (!m_deps.placement.hasUpstream(spec.upstream))
        return notRun("no_upstream", withJitter(spec.key, MinRetryAfter));
    const auto canRun = [&](const TaskSpec &task) {
        return m_deps.placement.hasCapableAgent(spec.upstream, task.needs);
    };
    if (!std::ranges::all_of(spec.tasks, canRun))
        return knowsAllLoads ? notRun("cannot_run", std::nullopt)
                             : notRun("no_upstream", withJitter(spec.key, MinRetryAfter));
    if (job.deadline <= now)
        return notRun("deadline", withJitter(spec.key, MinRetryAfter));
    auto refusal
        = m_deps.admission.admit(spec.team, spec.jobClass, spec.upstream, spec.tasks.size(),
                                 job.deadline - now, hashOf(spec.key), now);
    if (refusal)
        return notRun(refusal->reason, refusal->retryAfter);
    return std::nullopt;
}

// Sends the answer, or JobAccepted while there is none. A retry time counts from the time of the
// answer, so that it ends at the same time for every entry that asks.
void JobHome::reply(Incarnation to, Job &job, Duration askedAt, TimePoint now, Outbox &out)
{
    if (job.state == JobState::Answered) {
        JobAnswer answer{job.spec.key, job.epoch, job.answer, askedAt};
        std::optional<Duration> &retryAfter = answer.answer.retryAfter;
        if (retryAfter)
            retryAfter = std::max(*retryAfter - (now - job.answeredAt), Duration::zero());
        out.send(to, std::move(answer));
        return;
    }
    addEntry(job, to);
    out.send(to, JobAccepted{job.spec.key, job.epoch});
}

void JobHome::addEntry(Job &job, Incarnation entry)
{
    if (job.state != JobState::Answered && !contains(job.entries, entry))
        job.entries.push_back(entry);
}

// Answers the job: sends `answer` to every entry that asked and keeps it for entries that ask
// later.
void JobHome::finish(Job &job, Answer answer, TimePoint now, Outbox &out)
{
    releaseTasks(job, out);
    m_waiting.erase(job.serial);
    --m_inProgressOfShard[shardOf(job.spec.key).value];
    --m_inProgress;
    job.state = JobState::Answered;
    job.answer = std::move(answer);
    if (job.answer.outcome == Outcome::NotRun && job.answer.retryAfter)
        job.answer.retryAfter = std::max(*job.answer.retryAfter, MinRetryAfter);
    job.answeredAt = now;
    for (const Task &task : job.tasks)
        job.highestAttempt = std::max(job.highestAttempt, task.lastAttempt);
    job.tasks.clear();
    for (const Incarnation entry : job.entries)
        out.send(entry, JobAnswer{job.spec.key, job.epoch, job.answer, {}});
    job.entries.clear();
    job.spec.tasks.clear();
    const std::string outcome(nameOf(job.answer.outcome));
    out.add(EmitSpan{
        "job.home",
        job.trace,
        job.callerSpanId,
        job.acceptedAt,
        now,
        {{"job", job.spec.key.value}, {"outcome", outcome}, {"reason", job.answer.reason}}});
    armTimer(job, forgetAt(job));
}

void JobHome::onJobTimer(Job &job, TimePoint now, Outbox &out)
{
    if (job.state == JobState::Answered) {
        if (forgetAt(job) <= now)
            forget(job);
        else
            armTimer(job, forgetAt(job));
        return;
    }
    if (job.deadline <= now) {
        if (job.state == JobState::Waiting) {
            finish(job, unknown("witness_missing", withJitter(job.spec.key, MinRetryAfter)), now,
                   out);
            return forget(job);
        }
        giveUp(job, "deadline", withJitter(job.spec.key, MinRetryAfter), now, out);
        if (job.state == JobState::Answered)
            return;
    }
    if (job.state == JobState::Running && giveUpIfStalled(job, now, out))
        return;
    if (job.state == JobState::GivingUp && job.giveUpAt <= now)
        return finish(job, unknown(job.giveUpReason), now, out);
    if (job.state == JobState::GivingUp)
        armTimer(job, job.giveUpAt);
    else
        armTimer(job, job.deadline);
    for (std::uint16_t n = 0; n < job.taskCount; ++n) {
        onTaskTimer({&job, n}, now, out);
        if (job.state == JobState::Answered)
            return;
    }
}

// Gives up a job of which no task can have started as soon as it is clear that it will not start in
// time, so that the caller has time left to do something else. Returns true if the job is no longer
// running.
bool JobHome::giveUpIfStalled(Job &job, TimePoint now, Outbox &out)
{
    const auto isWaiting
        = [](Task &task) { return !task.mayHaveStarted && !unreservedAttempt(task); };
    if (!std::ranges::all_of(job.tasks, isWaiting))
        return false;
    const JobSpec &spec = job.spec;
    const auto &classes = m_deps.ledger.fleetConfig().classes;
    const auto jobClass = classes.find(spec.jobClass);
    const Duration target = jobClass == classes.end() ? Duration{} : jobClass->second.queueTarget;
    const Duration retry = withJitter(spec.key, MinRetryAfter);
    if (now >= job.acceptedAt + UpstreamGrace && !m_deps.placement.hasUpstream(spec.upstream))
        giveUp(job, "no_upstream", retry, now, out);
    else if (now + m_deps.admission.expectedRunTime(spec.upstream) > job.deadline)
        giveUp(job, "deadline", retry, now, out);
    else if (target > Duration::zero() && now >= job.acceptedAt + 2 * target)
        giveUp(job, "queue_full", retry, now, out);
    else
        armTimer(job, now + StalledJobCheckInterval);
    return job.state != JobState::Running;
}

// Sets the timer of the job to `at` unless it is due earlier.
void JobHome::armTimer(Job &job, TimePoint at)
{
    if (at >= job.timerAt)
        return;
    if (job.timerAt != NeverTime)
        m_timers.erase({job.timerAt, job.serial});
    job.timerAt = at;
    m_timers.insert({at, job.serial});
}

// Returns a time from `base` to 2 * `base`, chosen by the hash of the key, so that callers that
// were refused together do not return together.
Duration JobHome::withJitter(const JobKey &key, Duration base)
{
    const auto part = static_cast<std::int64_t>(hashOf(key).high % 1000);
    return base + base * part / 1000;
}

Answer JobHome::unknown(std::string reason, std::optional<Duration> retryAfter)
{
    return {Outcome::Unknown, std::move(reason), retryAfter, {}};
}

Answer JobHome::notRun(std::string reason, std::optional<Duration> retryAfter)
{
    return {Outcome::NotRun, std::move(reason), retryAfter, {}};
}

std::string JobHome::nextSpanId()
{
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(m_spanIds.next()));
    return text;
}

} // namespace cactuscove
