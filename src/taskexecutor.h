// Executor side of an agent: the last check before a task starts on the upstream (rules R2, R4, R6,
// R10). Remembers what it started, refuses stale epochs, keeps reservations and offers free slots.

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

class TaskExecutor
{
public:
    // `ledger` and `upstreams` belong to the agent node and outlive the executor.
    TaskExecutor(Incarnation self, const Ledger &ledger, UpstreamRegistry &upstreams);

    // Commands
    // Handles StartTask, CancelTask, TaskDoneAck, OfferDeclined and Raise. A Raise only sets the
    // fence here; the agent node answers it from witnessed().
    void onMessage(Incarnation from, const Message &message, TimePoint now, Outbox &out);
    // Result of a StartOnUpstream effect. Exactly one is expected; a second one is ignored.
    void onUpstreamResult(const TaskRef &ref, std::uint32_t attempt, TaskResult result,
                          TimePoint now, Outbox &out);
    // To be called after each announcement, also with Change::None: the slots may have changed.
    void onUpstreamChange(UpstreamRegistry::Change change, TimePoint now, Outbox &out);
    void onLedgerChange(const LedgerChanges &changes, TimePoint now, Outbox &out);
    void onTimer(TimePoint now, Outbox &out);
    // Refuses new starts; running ones go on.
    void beginDraining(TimePoint now, Outbox &out);

    // Queries
    TimePoint nextTimer() const;
    bool isIdle() const; // nothing runs and every result is acknowledged or its home is gone
    LoadReport load() const;
    // What it knows of a shard at epochs lower than the claimed one.
    std::vector<WitnessedJob> witnessed(ShardId shard, Epoch below) const;
    std::vector<AdoptedJob> memory(TimePoint now) const;
    Epoch fence(ShardId shard) const;

private:
    struct RunKey
    {
        TaskRef ref;
        std::uint32_t attempt = 0;
        auto operator<=>(const RunKey &) const = default;
    };
    // A reservation that was offered a slot. The slot is kept for it until it is answered.
    struct Offer
    {
        Reservation reservation;
        TimePoint due;
        bool isRepeated = false;
    };

    void onStartTask(Incarnation from, const StartTask &msg, TimePoint now, Outbox &out);
    void onCancelTask(Incarnation from, const CancelTask &msg, TimePoint now, Outbox &out);
    void onTaskDoneAck(const TaskDoneAck &msg);
    void onOfferDeclined(const OfferDeclined &msg, TimePoint now, Outbox &out);
    void onRaise(const Raise &msg, TimePoint now, Outbox &out);

    bool answerStarted(Incarnation from, const StartTask &msg, Outbox &out);
    std::optional<TaskRefusal> refusalOf(const StartTask &msg) const;
    void refuse(Incarnation to, const TaskRef &ref, std::uint32_t attempt, TaskRefusal reason,
                Outbox &out) const;
    void start(Incarnation from, const StartTask &msg, TimePoint now, Outbox &out);
    void finish(const RunKey &key, TaskResult result, TimePoint now, Outbox &out);
    void sendDone(const RunKey &key, TaskRun &run, TimePoint now, Outbox &out);
    void stop(const TaskRef &ref, const TaskRun &run, Outbox &out) const;
    static void reportState(Incarnation to, const TaskRef &ref, const TaskRun &run, Outbox &out);
    void loseRunning(TimePoint now, Outbox &out);

    const Reservation *findReservation(const TaskRef &ref) const;
    std::optional<Reservation> removeReservation(const TaskRef &ref, TimePoint now);
    void refuseReservations(TaskRefusal reason, TimePoint now, Outbox &out);
    void removeBelowFence(TimePoint now);
    void offerSlots(TimePoint now, Outbox &out);
    void handleDueOffers(TimePoint now, Outbox &out);
    void repeatDone(TimePoint now, Outbox &out);
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
    std::array<Epoch, ShardCount> m_raised{}; // highest epoch of a Raise, by shard
    StartMemory m_memory;
    std::map<RunKey, std::string> m_running;          // with the incarnation of the upstream
    std::set<std::pair<TimePoint, RunKey>> m_repeats; // of results that are not acknowledged
    ReservationQueue m_queue;
    std::map<TaskRef, Offer> m_offers;              // not in m_queue meanwhile
    std::map<Incarnation, TimePoint> m_silentHomes; // get no offer until then
};

} // namespace cactuscove
