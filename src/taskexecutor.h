// Executor side of an agent: decides whether a task that a home sends starts on the upstream beside
// this agent. It follows these rules:
// R2   A home whose epoch is lower than the highest epoch known for the shard starts and stops
//      nothing.
// R4   A task that has started is not started again, and a new home that asks is told of every
//      started task. Only the tasks of idempotent jobs may get another attempt.
// R6   "Not started" is said only of an attempt that will not start later either.
// R10  Each start uses a connection of its own, see upstreamclient.h.

#pragma once

#include "ledger.h"
#include "messages.h"
#include "outbox.h"
#include "reservationqueue.h"
#include "startmemory.h"
#include "types.h"
#include "upstreamregistry.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cactuscove {

// Keeps the slots of the upstream filled: a task that finds no free slot leaves a reservation, and
// each slot that becomes free is offered to the home of one reservation, in the order of
// ReservationQueue. Remembers started tasks for id_memory and repeats each result until the home
// acknowledges it. The agent node calls it from the event loop.
class TaskExecutor
{
public:
    // `ledger` and `upstreams` belong to the agent node and outlive the executor.
    TaskExecutor(Incarnation self, const Ledger &ledger, UpstreamRegistry &upstreams);

    // Commands
    // Handles StartTask, CancelTask, TaskDoneAck, OfferDeclined and StartEpoch; ignores other
    // messages. A StartEpoch only raises the fence here; the agent node answers it with
    // witnessed().
    void onMessage(Incarnation from, const Message &message, TimePoint now, Outbox &out);
    // The result of a StartOnUpstream effect. Only the first one of each attempt counts.
    void onUpstreamResult(const TaskRef &ref, std::uint32_t attempt, TaskResult result,
                          TimePoint now, Outbox &out);
    // To be called after every call that changes `upstreams`, also with Change::None, because the
    // number of slots may have changed.
    void onUpstreamChange(UpstreamRegistry::Change change, TimePoint now, Outbox &out);
    // To be called after `ledger` has changed.
    void onLedgerChange(const LedgerChanges &changes, TimePoint now, Outbox &out);
    // To be called at nextTimer().
    void onTimer(TimePoint now, Outbox &out);
    // Refuses new starts and all reservations from now on; running tasks continue.
    void beginDraining(TimePoint now, Outbox &out);

    // Queries
    TimePoint nextTimer() const;
    // No task runs, and every result is acknowledged or its home is no longer up.
    bool isIdle() const;
    LoadReport load() const;
    // The jobs of a shard of which a task has started here at an epoch lower than `below`.
    std::vector<WitnessedJob> witnessed(ShardId shard, Epoch below) const;
    // All jobs of which a task has started here, for the handover at shutdown.
    std::vector<AdoptedJob> rememberedStarts(TimePoint now) const;
    // The highest epoch of the shard known from the ledger or from a StartEpoch. Requests with a
    // lower epoch are refused.
    Epoch fence(ShardId shard) const;

private:
    // Slot time that is charged to the class and team as soon as a slot is offered or taken, so
    // that slots that become free together go to different classes and teams. It is the lower end
    // of the usual run times (50 ms to 1 s).
    static constexpr Duration StartCharge = std::chrono::milliseconds(50);

    struct RunKey
    {
        TaskRef ref;
        std::uint32_t attempt = 0;
        auto operator<=>(const RunKey &) const = default;
    };
    // A reservation that was offered a slot. The slot stays free for it until the home answers or
    // the offer times out.
    struct Offer
    {
        Reservation reservation;
        TimePoint due; // when the offer is repeated, or given up after the repeat
        bool isRepeated = false;
    };

    void onStartTask(Incarnation from, const StartTask &msg, TimePoint now, Outbox &out);
    void onCancelTask(Incarnation from, const CancelTask &msg, TimePoint now, Outbox &out);
    void onTaskDoneAck(const TaskDoneAck &msg);
    void onOfferDeclined(const OfferDeclined &msg, TimePoint now, Outbox &out);
    void onStartEpoch(const StartEpoch &msg, TimePoint now, Outbox &out);

    bool replyIfStarted(Incarnation from, const StartTask &msg, Outbox &out);
    std::optional<TaskRefusal> startRefusal(const StartTask &msg) const;
    void refuse(Incarnation to, const TaskRef &ref, std::uint32_t attempt, TaskRefusal reason,
                Outbox &out) const;
    void start(Incarnation from, const StartTask &msg, TimePoint now, Outbox &out);
    void finish(const RunKey &key, TaskResult result, TimePoint now, Outbox &out);
    void sendDone(const RunKey &key, TaskRun &run, TimePoint now, Outbox &out);
    void stop(const TaskRef &ref, const TaskRun &run, Outbox &out) const;
    static void reportState(Incarnation to, const TaskRef &ref, const TaskRun &run, Outbox &out);
    void endLostRuns(TimePoint now, Outbox &out);

    const Reservation *findReservation(const TaskRef &ref) const;
    std::optional<Reservation> removeReservation(const TaskRef &ref, TimePoint now);
    void refuseReservations(TaskRefusal reason, TimePoint now, Outbox &out);
    void removeStaleReservations(TimePoint now);
    void offerSlots(TimePoint now, Outbox &out);
    void handleOverdueOffers(TimePoint now, Outbox &out);
    void resendDueResults(TimePoint now, Outbox &out);
    void chargeRunning(TimePoint now);

    TaskRun *findRun(const RunKey &key);
    bool isReachable(Incarnation home) const;
    std::uint32_t slotLimit() const;
    std::uint32_t freeSlots() const;

    Incarnation m_self;
    const Ledger &m_ledger;
    UpstreamRegistry &m_upstreams;
    bool m_isDraining = false;
    double m_failureRate = 0; // of the upstream's results, exponentially weighted, in [0, 1]
    std::array<Epoch, ShardCount> m_fenceEpochs{}; // highest epoch of a StartEpoch, by shard
    StartMemory m_memory;
    std::map<RunKey, std::string> m_running; // the value is the incarnation of the upstream
    // Unacknowledged results by the time of their next repeat.
    std::set<std::pair<TimePoint, RunKey>> m_resends;
    ReservationQueue m_queue;
    std::map<TaskRef, Offer> m_offers; // these reservations are not in m_queue
    // Homes that left an offer unanswered; they get no offer until this time or their next message.
    std::map<Incarnation, TimePoint> m_unresponsiveHomes;
};

} // namespace cactuscove
