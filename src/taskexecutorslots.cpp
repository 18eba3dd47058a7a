// Slots of the upstream: reservations that wait for one, and the offers of free ones to their
// homes.

#include "taskexecutor.h"

#include <algorithm>

namespace cactuscove {

namespace {

// A home usually answers an offer within 1 ms. If it does not, the slot stays empty for at most two
// of these timeouts, which is about the run time of a short task.
constexpr Duration OfferTimeout = std::chrono::milliseconds(50);
// A home that left an offer and its repeat unanswered gets no further offer for this time. Senders
// replace a connection that is silent for 2 s.
constexpr Duration UnresponsiveHomePause = std::chrono::seconds(1);

// The lower of `value` and `limit`; a limit of 0 means no limit.
std::uint32_t applyLimit(std::uint32_t value, std::uint32_t limit)
{
    return limit == 0 ? value : std::min(value, limit);
}

} // namespace

const Reservation *TaskExecutor::findReservation(const TaskRef &ref) const
{
    const auto offer = m_offers.find(ref);
    return offer != m_offers.end() ? &offer->second.reservation : m_queue.find(ref);
}

// Removes the reservation of the task, if there is one, and leaves a tombstone for its attempt. A
// slot that was offered to it becomes free.
std::optional<Reservation> TaskExecutor::removeReservation(const TaskRef &ref, TimePoint now)
{
    std::optional<Reservation> removed = m_queue.remove(ref);
    if (auto offer = m_offers.extract(ref)) {
        removed = std::move(offer.mapped().reservation);
        m_queue.charge(removed->jobClass, removed->team, -StartCharge, m_ledger.fleetConfig());
    }
    if (removed)
        m_memory.addTombstone(ref, removed->id, now);
    return removed;
}

void TaskExecutor::refuseReservations(TaskRefusal reason, TimePoint now, Outbox &out)
{
    std::vector<Reservation> refused = m_queue.takeAll();
    for (auto &[ref, offer] : m_offers)
        refused.push_back(std::move(offer.reservation));
    m_offers.clear();
    for (const Reservation &it : refused) {
        m_memory.addTombstone(it.ref, it.id, now);
        refuse(it.home, it.ref, it.id.attempt, reason, out);
    }
}

void TaskExecutor::removeStaleReservations(TimePoint now)
{
    std::vector<TaskRef> refs = m_queue.refs();
    for (const auto &[ref, offer] : m_offers)
        refs.push_back(ref);
    for (const TaskRef &ref : refs) {
        if (findReservation(ref)->id.epoch < fence(shardOf(ref.key)))
            removeReservation(ref, now);
    }
}

// Offers every free slot to a reservation.
void TaskExecutor::offerSlots(TimePoint now, Outbox &out)
{
    if (m_queue.size() == 0 || freeSlots() == 0)
        return;
    chargeRunning(now);
    const auto canOffer = [&](Incarnation home) {
        return !m_unresponsiveHomes.contains(home) && isReachable(home);
    };
    while (freeSlots() > 0) {
        std::optional<Reservation> best = m_queue.takeBest(canOffer);
        if (!best)
            return;
        m_queue.charge(best->jobClass, best->team, StartCharge, m_ledger.fleetConfig());
        out.send(best->home, SlotOffer{best->ref, best->id.attempt});
        const TaskRef ref = best->ref;
        m_offers.emplace(ref, Offer{std::move(*best), now + OfferTimeout});
    }
}

// Repeats an unanswered offer once. After that the slot goes to the next home, and the reservation
// returns to the queue, so that a home with a broken connection does not lose it.
void TaskExecutor::handleOverdueOffers(TimePoint now, Outbox &out)
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
        offer.due = now + OfferTimeout;
        out.send(offer.reservation.home, SlotOffer{ref, offer.reservation.id.attempt});
    }
    for (const TaskRef &ref : unanswered) {
        Reservation reservation = *removeReservation(ref, now);
        m_unresponsiveHomes[reservation.home] = now + UnresponsiveHomePause;
        if (reservation.deadline > now)
            m_queue.add(std::move(reservation));
    }
}

// Charges the slot time that running tasks have used since the last charge.
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

// The announced slots within the configured limits; 0 without an upstream.
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
        slots = applyLimit(slots, limits->second.slotsPerWorker);
        connections = applyLimit(connections, limits->second.connectionsPerWorker);
    }
    return std::min(slots, connections); // each running task uses its own connection (rule R10)
}

// Slots that are neither in use nor offered; 0 while draining.
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
