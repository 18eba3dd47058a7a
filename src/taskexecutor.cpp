// Handles starts, cancellations and results of one executor.

#include "taskexecutor.h"

#include <algorithm>
#include <cstdio>

namespace cactuscove {

namespace {

constexpr Duration FirstResultResendInterval = std::chrono::milliseconds(500);
constexpr Duration MaxResultResendInterval = std::chrono::seconds(8);
// Limit for the stored result bodies: a quarter of the memory limit of 256 MB per process.
constexpr std::size_t MaxResultBytes = 64U << 20U;
// Weight of the newest result in the failure rate. As in WorkerHealth, four failures in a row
// exceed the default ejection threshold of 0.5.
constexpr double NewestResultWeight = 0.2;

// The span id is a hash of the attempt and the executor, because the executor has no random
// generator.
std::string spanIdOf(const TaskRef &ref, std::uint32_t attempt, Incarnation self)
{
    const KeyHash hash
        = hashOf(JobKey{ref.key.value + '/' + std::to_string(ref.index) + '/'
                        + std::to_string(attempt) + '/' + std::to_string(self.value)});
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(hash.high));
    return text;
}

} // namespace

TaskExecutor::TaskExecutor(Incarnation self, const Ledger &ledger, UpstreamRegistry &upstreams)
    : m_self(self)
    , m_ledger(ledger)
    , m_upstreams(upstreams)
    , m_memory(MaxResultBytes)
{}

void TaskExecutor::onMessage(Incarnation from, const Message &message, TimePoint now, Outbox &out)
{
    const bool wasUnresponsive = m_unresponsiveHomes.erase(from) > 0;
    if (const auto *start = std::get_if<StartTask>(&message))
        onStartTask(from, *start, now, out);
    else if (const auto *cancel = std::get_if<CancelTask>(&message))
        onCancelTask(from, *cancel, now, out);
    else if (const auto *ack = std::get_if<TaskDoneAck>(&message))
        onTaskDoneAck(*ack);
    else if (const auto *declined = std::get_if<OfferDeclined>(&message))
        onOfferDeclined(*declined, now, out);
    else if (const auto *start = std::get_if<StartEpoch>(&message))
        onStartEpoch(*start, now, out);
    if (wasUnresponsive)
        offerSlots(now, out);
}

void TaskExecutor::onUpstreamResult(const TaskRef &ref, std::uint32_t attempt, TaskResult result,
                                    TimePoint now, Outbox &out)
{
    // An attempt that is not running has a result already: from the upstream, or Unknown because
    // its upstream was replaced or its lease expired.
    const RunKey key{ref, attempt};
    if (!m_running.contains(key))
        return;
    finish(key, std::move(result), now, out);
    offerSlots(now, out);
}

void TaskExecutor::onUpstreamChange(UpstreamRegistry::Change change, TimePoint now, Outbox &out)
{
    using Change = UpstreamRegistry::Change;
    if (change == Change::Replaced || change == Change::LeaseExpired)
        endLostRuns(now, out);
    if (change != Change::None)
        m_failureRate = 0;
    if (!m_upstreams.current())
        refuseReservations(TaskRefusal::NoUpstream, now, out);
    offerSlots(now, out);
}

void TaskExecutor::onLedgerChange(const LedgerChanges &changes, TimePoint now, Outbox &out)
{
    if (!changes.shards.empty())
        removeStaleReservations(now);
    offerSlots(now, out); // the configured slot limits may have changed
}

void TaskExecutor::onTimer(TimePoint now, Outbox &out)
{
    std::erase_if(m_unresponsiveHomes, [&](const auto &it) { return it.second <= now; });
    for (const Reservation &it : m_queue.takeExpired(now))
        m_memory.addTombstone(it.ref, it.id, now);
    resendDueResults(now, out);
    m_memory.expire(now, m_ledger.fleetConfig().idMemory);
    handleOverdueOffers(now, out);
    offerSlots(now, out);
}

void TaskExecutor::beginDraining(TimePoint now, Outbox &out)
{
    m_isDraining = true;
    refuseReservations(TaskRefusal::Draining, now, out);
}

TimePoint TaskExecutor::nextTimer() const
{
    TimePoint next = std::min(m_memory.nextExpiry(), m_queue.nextDeadline());
    if (!m_resends.empty())
        next = std::min(next, m_resends.begin()->first);
    for (const auto &[ref, offer] : m_offers)
        next = std::min(next, offer.due);
    for (const auto &[home, until] : m_unresponsiveHomes)
        next = std::min(next, until);
    return next;
}

bool TaskExecutor::isIdle() const
{
    return m_running.empty()
           && std::none_of(m_resends.begin(), m_resends.end(), [&](const auto &it) {
                  const TaskRecord *record = m_memory.find(it.second.ref);
                  const TaskRun *run = record ? record->run(it.second.attempt) : nullptr;
                  return run && isReachable(run->home);
              });
}

LoadReport TaskExecutor::load() const
{
    LoadReport report;
    report.agent = m_self;
    report.draining = m_isDraining;
    report.queued = static_cast<std::uint32_t>(m_queue.size() + m_offers.size());
    if (const auto &upstream = m_upstreams.current()) {
        report.upstream = upstream->upstream;
        report.slots = slotLimit();
        report.freeSlots = freeSlots();
        report.capacity = upstream->capacity;
        report.failurePercent = static_cast<std::uint32_t>(100 * m_failureRate);
    }
    return report;
}

std::vector<WitnessedJob> TaskExecutor::witnessed(ShardId shard, Epoch below) const
{
    return m_memory.witnessed(shard, below);
}

std::vector<AdoptedJob> TaskExecutor::rememberedStarts(TimePoint now) const
{
    return m_memory.adoptableJobs(now);
}

Epoch TaskExecutor::fence(ShardId shard) const
{
    return std::max(m_ledger.shard(shard).epoch, m_fenceEpochs[shard.value]);
}

void TaskExecutor::onStartTask(Incarnation from, const StartTask &msg, TimePoint now, Outbox &out)
{
    // Rule R5: a new home asks only registered processes which tasks have started. So nothing
    // starts here before the ledger shows the registration; the home repeats its request.
    if (!m_ledger.member(m_self))
        return;
    if (replyIfStarted(from, msg, out))
        return;
    if (msg.epoch < fence(shardOf(msg.ref.key)))
        return refuse(from, msg.ref, msg.attempt, TaskRefusal::StaleEpoch, out);

    // Each attempt is decided once, when the first copy of its StartTask arrives. After TaskBusy
    // only the answer to an offer starts the task. A late copy of the first request must not start
    // it, because the home may have placed the task on another agent in the meantime.
    const AttemptId id{msg.epoch, msg.attempt};
    const Reservation *held = findReservation(msg.ref);
    if (held && held->id == id && !msg.isOfferReply) {
        out.send(from, TaskBusy{msg.ref, msg.attempt});
        return;
    }
    const bool isBinding = held && msg.isOfferReply && id >= held->id;
    const TaskRecord *record = m_memory.find(msg.ref);
    if (!isBinding && record && id <= record->highestDecided)
        return refuse(from, msg.ref, msg.attempt, TaskRefusal::Tombstone, out);

    // The reservation is used now, or replaced by a newer attempt.
    removeReservation(msg.ref, now);
    m_memory.addTombstone(msg.ref, id, now);
    if (const auto reason = startRefusal(msg)) {
        refuse(from, msg.ref, msg.attempt, *reason, out);
    } else if (freeSlots() > 0) {
        start(from, msg, now, out);
    } else if (msg.isOfferReply) {
        // No new reservation: it would have the same attempt number, so a late copy of this message
        // could start it.
        refuse(from, msg.ref, msg.attempt, TaskRefusal::Tombstone, out);
    } else {
        m_queue.add({msg.ref, id, from, msg.team, msg.jobClass, now + msg.remaining});
        out.send(from, TaskBusy{msg.ref, msg.attempt});
    }
    offerSlots(now, out);
}

// If the task has started already, replies with its state and returns true (rule R4). A task of a
// job that is not idempotent gets another attempt only if the upstream has proved that the earlier
// one did not start.
bool TaskExecutor::replyIfStarted(Incarnation from, const StartTask &msg, Outbox &out)
{
    TaskRecord *record = m_memory.find(msg.ref);
    if (!record)
        return false;
    TaskRun *run = record->run(msg.attempt);
    if (!run && !msg.idempotent)
        run = record->lastStarted();
    if (!run)
        return false;
    if (msg.epoch >= fence(shardOf(msg.ref.key)))
        run->home = from;
    reportState(from, msg.ref, *run, out);
    return true;
}

// Returns why the task cannot start here; no value if it can, or if it can wait for a slot.
std::optional<TaskRefusal> TaskExecutor::startRefusal(const StartTask &msg) const
{
    const auto &upstream = m_upstreams.current();
    if (m_isDraining)
        return TaskRefusal::Draining;
    if (!upstream || upstream->upstream != msg.upstream)
        return TaskRefusal::NoUpstream;
    if (msg.task.needs.accelerators > upstream->capacity.accelerators
        || msg.task.needs.memoryMb > upstream->capacity.memoryMb)
        return TaskRefusal::CannotRun;
    if (msg.remaining <= Duration::zero())
        return TaskRefusal::DeadlinePassed;
    return {};
}

void TaskExecutor::refuse(Incarnation to, const TaskRef &ref, std::uint32_t attempt,
                          TaskRefusal reason, Outbox &out) const
{
    out.send(to, TaskRefused{ref, attempt, reason, fence(shardOf(ref.key))});
}

void TaskExecutor::start(Incarnation from, const StartTask &msg, TimePoint now, Outbox &out)
{
    const UpstreamAnnouncement &upstream = *m_upstreams.current();
    TaskRun run;
    run.id = {msg.epoch, msg.attempt};
    run.home = from;
    run.team = msg.team;
    run.jobClass = msg.jobClass;
    run.upstreamAddress = upstream.address;
    run.upstreamIncarnation = upstream.incarnation;
    run.span = {msg.trace.traceId, spanIdOf(msg.ref, msg.attempt, m_self)};
    run.parentSpanId = msg.trace.spanId;
    run.startedAt = now;
    run.chargedUntil = now + StartCharge;
    m_queue.charge(run.jobClass, run.team, StartCharge, m_ledger.fleetConfig());
    m_running.emplace(RunKey{msg.ref, msg.attempt}, upstream.incarnation);
    // The lease ends at the deadline: the upstream may stop the task then, because nobody waits for
    // its result any longer.
    out.add(StartOnUpstream{msg.ref, msg.attempt, msg.task.payload, msg.task.id, upstream.address,
                            upstream.incarnation, msg.remaining, run.span});
    m_memory.addRun(msg, std::move(run), now);
    out.send(from, TaskAccepted{msg.ref, msg.attempt});
}

void TaskExecutor::finish(const RunKey &key, TaskResult result, TimePoint now, Outbox &out)
{
    chargeRunning(now);
    m_running.erase(key);
    TaskRun *run = findRun(key);
    if (result.status == TaskStatus::Completed || result.status == TaskStatus::Failed) {
        const double sample = result.status == TaskStatus::Failed ? 1 : 0;
        m_failureRate += NewestResultWeight * (sample - m_failureRate);
    }
    out.add(EmitSpan{"task.run",
                     run->span,
                     run->parentSpanId,
                     run->startedAt,
                     now,
                     {{"job", key.ref.key.value},
                      {"task", std::to_string(key.ref.index)},
                      {"attempt", std::to_string(key.attempt)},
                      {"status", std::string(nameOf(result.status))}}});
    m_memory.storeResult(key.ref, *run, std::move(result), now);
    run->resendInterval = FirstResultResendInterval;
    sendDone(key, *run, now, out);
}

void TaskExecutor::sendDone(const RunKey &key, TaskRun &run, TimePoint now, Outbox &out)
{
    if (isReachable(run.home))
        out.send(run.home, TaskDone{key.ref, key.attempt, run.result});
    run.resendAt = now + run.resendInterval;
    run.resendInterval = std::min(2 * run.resendInterval, MaxResultResendInterval);
    m_resends.emplace(run.resendAt, key);
}

void TaskExecutor::stop(const TaskRef &ref, const TaskRun &run, Outbox &out) const
{
    out.add(StopOnUpstream{ref, run.upstreamAddress});
}

void TaskExecutor::reportState(Incarnation to, const TaskRef &ref, const TaskRun &run, Outbox &out)
{
    if (run.isRunning)
        out.send(to, TaskAccepted{ref, run.id.attempt});
    else
        out.send(to, TaskDone{ref, run.id.attempt, run.result});
}

// Ends the tasks of an upstream that was replaced or whose lease has expired, with result Unknown.
void TaskExecutor::endLostRuns(TimePoint now, Outbox &out)
{
    std::vector<RunKey> lost;
    for (const auto &[key, incarnation] : m_running) {
        if (!m_upstreams.current() || incarnation != m_upstreams.current()->incarnation)
            lost.push_back(key);
    }
    for (const RunKey &key : lost)
        finish(key, TaskResult{}, now, out);
    out.add(
        LogEvent{Severity::Warning, "upstream_lost", {{"running", std::to_string(lost.size())}}});
}

void TaskExecutor::onCancelTask(Incarnation from, const CancelTask &msg, TimePoint now, Outbox &out)
{
    const bool isStale = msg.epoch < fence(shardOf(msg.ref.key));
    TaskRecord *record = m_memory.find(msg.ref);
    TaskRun *run = record ? record->run(msg.attempt) : nullptr;
    if (!run && record && record->lastStarted() && record->lastStarted()->id.attempt < msg.attempt)
        run = record->lastStarted();
    if (run) {
        if (!isStale) {
            run->home = from;
            if (run->isRunning)
                stop(msg.ref, *run, out);
        }
        reportState(from, msg.ref, *run, out);
        return;
    }
    // The starts of a home with a stale epoch are refused, so the reply holds without a tombstone.
    // Its cancellation must not affect the attempts of the new home.
    if (!isStale) {
        const AttemptId id{msg.epoch, msg.attempt};
        const Reservation *held = findReservation(msg.ref);
        if (held && held->id <= id)
            removeReservation(msg.ref, now);
        m_memory.addTombstone(msg.ref, id, now);
    }
    out.send(from, TaskNotStarted{msg.ref, msg.attempt});
    offerSlots(now, out);
}

void TaskExecutor::onTaskDoneAck(const TaskDoneAck &msg)
{
    const RunKey key{msg.ref, msg.attempt};
    TaskRun *run = findRun(key);
    if (!run || run->isRunning)
        return;
    run->isAcknowledged = true;
    m_resends.erase({run->resendAt, key});
}

void TaskExecutor::onOfferDeclined(const OfferDeclined &msg, TimePoint now, Outbox &out)
{
    const Reservation *held = findReservation(msg.ref);
    if (!held || held->id.attempt != msg.attempt)
        return;
    removeReservation(msg.ref, now);
    offerSlots(now, out);
}

void TaskExecutor::onStartEpoch(const StartEpoch &msg, TimePoint now, Outbox &out)
{
    for (const ShardClaim &it : msg.claims) {
        Epoch &fence = m_fenceEpochs[it.shard.value];
        fence = std::max(fence, it.epoch);
    }
    removeStaleReservations(now);
    offerSlots(now, out);
}

void TaskExecutor::resendDueResults(TimePoint now, Outbox &out)
{
    while (!m_resends.empty() && m_resends.begin()->first <= now) {
        const RunKey key = m_resends.extract(m_resends.begin()).value().second;
        if (TaskRun *run = findRun(key)) // absent if the job has expired from m_memory
            sendDone(key, *run, now, out);
    }
}

TaskRun *TaskExecutor::findRun(const RunKey &key)
{
    TaskRecord *record = m_memory.find(key.ref);
    return record ? record->run(key.attempt) : nullptr;
}

bool TaskExecutor::isReachable(Incarnation home) const
{
    const MemberState *member = m_ledger.member(home);
    // An unknown home has registered, but this copy of the ledger does not show it yet.
    return !member || member->isUp();
}

} // namespace cactuscove
