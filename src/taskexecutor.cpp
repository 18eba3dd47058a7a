// Starts, refusals, results and reservations of one executor.

#include "taskexecutor.h"

#include <algorithm>
#include <cstdio>

namespace cactuscove {

namespace {

// The home usually answers within 1 ms. A slot stays empty for at most two of these waits when it
// does not, which is in the order of one short task.
constexpr Duration OfferWait = std::chrono::milliseconds(50);
// A home that left an offer and its repeat unanswered gets the next one after this time; a silent
// connection is replaced after 2 s.
constexpr Duration SilentHomePause = std::chrono::seconds(1);
constexpr Duration FirstDoneRepeat = std::chrono::milliseconds(500);
constexpr Duration LongestDoneRepeat = std::chrono::seconds(8);
// A quarter of the memory limit of 256 MB per process.
constexpr std::size_t MaxResultBytes = 64U << 20U;
// Charged when a slot is given away, so that slots that free together go to different classes and
// teams. It is the lower end of the usual run times (50 ms to 1 s).
constexpr Duration StartCharge = std::chrono::milliseconds(50);
// Weight of the newest result in the failure rate: as in WorkerHealth, four failures in a row pass
// the default ejection threshold of 0.5.
constexpr double NewestShare = 0.2;

// Decisions have no random generator, so the id of a span is a hash of what it covers.
std::string spanIdOf(const TaskRef &ref, std::uint32_t attempt, Incarnation self)
{
    const KeyHash hash
        = hashOf(JobKey{ref.key.value + '/' + std::to_string(ref.index) + '/'
                        + std::to_string(attempt) + '/' + std::to_string(self.value)});
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(hash.high));
    return text;
}

// 0 is no limit.
std::uint32_t limitedBy(std::uint32_t value, std::uint32_t limit)
{
    return limit == 0 ? value : std::min(value, limit);
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
    const bool wasSilent = m_silentHomes.erase(from) > 0;
    if (const auto *start = std::get_if<StartTask>(&message))
        onStartTask(from, *start, now, out);
    else if (const auto *cancel = std::get_if<CancelTask>(&message))
        onCancelTask(from, *cancel, now, out);
    else if (const auto *ack = std::get_if<TaskDoneAck>(&message))
        onTaskDoneAck(*ack);
    else if (const auto *declined = std::get_if<OfferDeclined>(&message))
        onOfferDeclined(*declined, now, out);
    else if (const auto *raise = std::get_if<Raise>(&message))
        onRaise(*raise, now, out);
    if (wasSilent)
        offerSlots(now, out);
}

void TaskExecutor::onUpstreamResult(const TaskRef &ref, std::uint32_t attempt, TaskResult result,
                                    TimePoint now, Outbox &out)
{
    // Not among the running ones: a second result, or one of an upstream that was given up.
    const RunKey key{ref, attempt};
    if (!m_running.contains(key))
        return;
    finish(key, std::move(result), now, out);
    offerSlots(now, out);
}

void TaskExecutor::onUpstreamChange(UpstreamRegistry::Change change, TimePoint now, Outbox &out)
{
    using Change = UpstreamRegistry::Change;
    if (change == Change::Replaced || change == Change::Lapsed)
        loseRunning(now, out);
    if (change != Change::None)
        m_failureRate = 0;
    if (!m_upstreams.current())
        refuseReservations(TaskRefusal::NoUpstream, now, out);
    offerSlots(now, out);
}

void TaskExecutor::onLedgerChange(const LedgerChanges &changes, TimePoint now, Outbox &out)
{
    if (!changes.shards.empty())
        removeBelowFence(now);
    offerSlots(now, out); // the limits may have changed
}

void TaskExecutor::onTimer(TimePoint now, Outbox &out)
{
    std::erase_if(m_silentHomes, [&](const auto &it) { return it.second <= now; });
    for (const Reservation &it : m_queue.takeExpired(now))
        m_memory.bury(it.ref, it.id, now);
    repeatDone(now, out);
    m_memory.expire(now, m_ledger.fleetConfig().idMemory);
    handleDueOffers(now, out);
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
    if (!m_repeats.empty())
        next = std::min(next, m_repeats.begin()->first);
    for (const auto &[ref, offer] : m_offers)
        next = std::min(next, offer.due);
    for (const auto &[home, until] : m_silentHomes)
        next = std::min(next, until);
    return next;
}

bool TaskExecutor::isIdle() const
{
    return m_running.empty()
           && std::none_of(m_repeats.begin(), m_repeats.end(), [&](const auto &it) {
                  const TaskRecord *record = m_memory.find(it.second.ref);
                  const TaskRun *run = record ? record->run(it.second.attempt) : nullptr;
                  return run && isReachable(run->home);
              });
}

LoadReport TaskExecutor::load() const
{
    LoadReport digest;
    digest.agent = m_self;
    digest.draining = m_isDraining;
    digest.queued = static_cast<std::uint32_t>(m_queue.size() + m_offers.size());
    if (const auto &upstream = m_upstreams.current()) {
        digest.upstream = upstream->upstream;
        digest.slots = slotLimit();
        digest.freeSlots = freeSlots();
        digest.capacity = upstream->capacity;
        digest.failurePercent = static_cast<std::uint32_t>(100 * m_failureRate);
    }
    return digest;
}

std::vector<WitnessedJob> TaskExecutor::witnessed(ShardId shard, Epoch below) const
{
    return m_memory.witnessed(shard, below);
}

std::vector<AdoptedJob> TaskExecutor::memory(TimePoint now) const
{
    return m_memory.adopted(now);
}

Epoch TaskExecutor::fence(ShardId shard) const
{
    return std::max(m_ledger.shard(shard).epoch, m_raised[shard.value]);
}

void TaskExecutor::onStartTask(Incarnation from, const StartTask &msg, TimePoint now, Outbox &out)
{
    if (!m_ledger.member(m_self)) // rule R5: not active yet, the home repeats
        return;
    if (answerStarted(from, msg, out))
        return;
    if (msg.epoch < fence(shardOf(msg.ref.key)))
        return refuse(from, msg.ref, msg.attempt, TaskRefusal::StaleEpoch, out);

    // Each attempt is decided once, when its first copy arrives. After TaskBusy only the answer to
    // an offer starts it: a late copy of the first request must not, because the home may have
    // bound the task to another reservation meanwhile.
    const AttemptId id{msg.epoch, msg.attempt};
    const Reservation *held = findReservation(msg.ref);
    if (held && held->id == id && !msg.isOfferReply) {
        out.send(from, TaskBusy{msg.ref, msg.attempt});
        return;
    }
    const bool isBinding = held && msg.isOfferReply && id >= held->id;
    const TaskRecord *record = m_memory.find(msg.ref);
    if (!isBinding && record && id <= record->highest)
        return refuse(from, msg.ref, msg.attempt, TaskRefusal::Tombstone, out);

    removeReservation(msg.ref, now); // bound now, or replaced by a newer attempt
    m_memory.bury(msg.ref, id, now);
    if (const auto reason = refusalOf(msg)) {
        refuse(from, msg.ref, msg.attempt, *reason, out);
    } else if (freeSlots() > 0) {
        start(from, msg, now, out);
    } else if (msg.isOfferReply) {
        // A second reservation under this attempt could be started by a late copy of the answer.
        refuse(from, msg.ref, msg.attempt, TaskRefusal::Tombstone, out);
    } else {
        m_queue.add({msg.ref, id, from, msg.team, msg.jobClass, now + msg.remaining});
        out.send(from, TaskBusy{msg.ref, msg.attempt});
    }
    offerSlots(now, out);
}

// Answers for a task that has started already (rule R4). A non-idempotent task never gets another
// attempt, except after the upstream's proof that it did not start.
bool TaskExecutor::answerStarted(Incarnation from, const StartTask &msg, Outbox &out)
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

std::optional<TaskRefusal> TaskExecutor::refusalOf(const StartTask &msg) const
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
    // The upstream may stop the task at its deadline, because nobody waits for the result then.
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
        m_failureRate += NewestShare * (sample - m_failureRate);
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
    run->repeatAfter = FirstDoneRepeat;
    sendDone(key, *run, now, out);
}

void TaskExecutor::sendDone(const RunKey &key, TaskRun &run, TimePoint now, Outbox &out)
{
    if (isReachable(run.home))
        out.send(run.home, TaskDone{key.ref, key.attempt, run.result});
    run.repeatAt = now + run.repeatAfter;
    run.repeatAfter = std::min(2 * run.repeatAfter, LongestDoneRepeat);
    m_repeats.emplace(run.repeatAt, key);
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

void TaskExecutor::loseRunning(TimePoint now, Outbox &out)
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
    // The fence refuses a start by a stale home anyway; its cancel must not touch newer attempts.
    if (!isStale) {
        const AttemptId id{msg.epoch, msg.attempt};
        const Reservation *held = findReservation(msg.ref);
        if (held && held->id <= id)
            removeReservation(msg.ref, now);
        m_memory.bury(msg.ref, id, now);
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
    m_repeats.erase({run->repeatAt, key});
}

void TaskExecutor::onOfferDeclined(const OfferDeclined &msg, TimePoint now, Outbox &out)
{
    const Reservation *held = findReservation(msg.ref);
    if (!held || held->id.attempt != msg.attempt)
        return;
    removeReservation(msg.ref, now);
    offerSlots(now, out);
}

void TaskExecutor::onRaise(const Raise &msg, TimePoint now, Outbox &out)
{
    for (const ShardClaim &it : msg.claims) {
        Epoch &raised = m_raised[it.shard.value];
        raised = std::max(raised, it.epoch);
    }
    removeBelowFence(now);
    offerSlots(now, out);
}

const Reservation *TaskExecutor::findReservation(const TaskRef &ref) const
{
    const auto offer = m_offers.find(ref);
    return offer != m_offers.end() ? &offer->second.reservation : m_queue.find(ref);
}

// Leaves a tombstone. An offered slot is free again.
std::optional<Reservation> TaskExecutor::removeReservation(const TaskRef &ref, TimePoint now)
{
    std::optional<Reservation> removed = m_queue.remove(ref);
    if (auto offer = m_offers.extract(ref)) {
        removed = std::move(offer.mapped().reservation);
        m_queue.charge(removed->jobClass, removed->team, -StartCharge, m_ledger.fleetConfig());
    }
    if (removed)
        m_memory.bury(ref, removed->id, now);
    return removed;
}

void TaskExecutor::refuseReservations(TaskRefusal reason, TimePoint now, Outbox &out)
{
    std::vector<Reservation> refused = m_queue.takeAll();
    for (auto &[ref, offer] : m_offers)
        refused.push_back(std::move(offer.reservation));
    m_offers.clear();
    for (const Reservation &it : refused) {
        m_memory.bury(it.ref, it.id, now);
        refuse(it.home, it.ref, it.id.attempt, reason, out);
    }
}

void TaskExecutor::removeBelowFence(TimePoint now)
{
    std::vector<TaskRef> refs = m_queue.refs();
    for (const auto &[ref, offer] : m_offers)
        refs.push_back(ref);
    for (const TaskRef &ref : refs) {
        if (findReservation(ref)->id.epoch < fence(shardOf(ref.key)))
            removeReservation(ref, now);
    }
}

void TaskExecutor::offerSlots(TimePoint now, Outbox &out)
{
    if (m_queue.size() == 0 || freeSlots() == 0)
        return;
    chargeRunning(now);
    const auto mayOffer
        = [&](Incarnation home) { return !m_silentHomes.contains(home) && isReachable(home); };
    while (freeSlots() > 0) {
        std::optional<Reservation> best = m_queue.takeBest(mayOffer);
        if (!best)
            return;
        m_queue.charge(best->jobClass, best->team, StartCharge, m_ledger.fleetConfig());
        out.send(best->home, SlotOffer{best->ref, best->id.attempt});
        const TaskRef ref = best->ref;
        m_offers.emplace(ref, Offer{std::move(*best), now + OfferWait});
    }
}

// An offer without an answer is repeated once. Then the reservation waits again, so that a home
// behind a silent connection keeps its place, and the slot goes to the next home.
void TaskExecutor::handleDueOffers(TimePoint now, Outbox &out)
{
    std::vector<TaskRef> unanswered;
    for (auto &[ref, offer] : m_offers) {
        if (offer.due > now)
            continue;
        if (offer.isRepeated || offer.reservation.deadline <= now) {
            unanswered.push_back(ref);
            continue;
        }
        offer.isRepeated = true;
        offer.due = now + OfferWait;
        out.send(offer.reservation.home, SlotOffer{ref, offer.reservation.id.attempt});
    }
    for (const TaskRef &ref : unanswered) {
        Reservation reservation = *removeReservation(ref, now);
        m_silentHomes[reservation.home] = now + SilentHomePause;
        if (reservation.deadline > now)
            m_queue.add(std::move(reservation));
    }
}

void TaskExecutor::repeatDone(TimePoint now, Outbox &out)
{
    while (!m_repeats.empty() && m_repeats.begin()->first <= now) {
        const RunKey key = m_repeats.extract(m_repeats.begin()).value().second;
        if (TaskRun *run = findRun(key)) // not forgotten meanwhile
            sendDone(key, *run, now, out);
    }
}

void TaskExecutor::chargeRunning(TimePoint now)
{
    for (const auto &[key, incarnation] : m_running) {
        TaskRun *run = findRun(key);
        if (run->chargedUntil >= now)
            continue;
        m_queue.charge(run->jobClass, run->team, now - run->chargedUntil, m_ledger.fleetConfig());
        run->chargedUntil = now;
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
    return !member || member->isUp(); // an unknown one has registered after the ledger copy's end
}

std::uint32_t TaskExecutor::slotLimit() const
{
    const auto &upstream = m_upstreams.current();
    if (!upstream)
        return 0;
    std::uint32_t slots = upstream->slots;
    std::uint32_t connections = upstream->connections;
    const FleetConfig &config = m_ledger.fleetConfig();
    const auto limits = config.upstreams.find(upstream->upstream);
    if (limits != config.upstreams.end()) {
        slots = limitedBy(slots, limits->second.slotsPerWorker);
        connections = limitedBy(connections, limits->second.connectionsPerWorker);
    }
    return std::min(slots, connections); // each run holds a connection of its own
}

std::uint32_t TaskExecutor::freeSlots() const
{
    const auto &upstream = m_upstreams.current();
    if (!upstream || m_isDraining)
        return 0;
    const auto running = std::count_if(m_running.begin(), m_running.end(), [&](const auto &it) {
        return it.second == upstream->incarnation;
    });
    const std::size_t taken = static_cast<std::size_t>(running) + m_offers.size();
    const std::uint32_t limit = slotLimit();
    return taken >= limit ? 0 : limit - static_cast<std::uint32_t>(taken);
}

} // namespace cactuscove
