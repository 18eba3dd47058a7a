// Reservations that wait for a slot of the upstream beside one agent, in weighted order: first the
// class that has used the least slot time in relation to its share, within it the team that has
// used the least in relation to its weight, and of that team the oldest reservation.

#pragma once

#include "fleetconfig.h"
#include "startmemory.h"
#include "types.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cactuscove {

// A task that waits at an executor until a slot becomes free.
struct Reservation
{
    TaskRef ref;
    AttemptId id;     // of the request that was answered with TaskBusy
    Incarnation home; // gets the offer of a slot
    std::string team;
    std::string jobClass;
    TimePoint deadline; // the task must not start later than this
};

// At most one reservation for each task. The executor calls it for each request that finds no free
// slot, and for each slot that becomes free.
class ReservationQueue
{
public:
    // Commands
    // Replaces an earlier reservation of the same task.
    void add(Reservation reservation);
    std::optional<Reservation> remove(const TaskRef &ref);
    // Removes and returns the first reservation for whose home `accepts` returns true.
    std::optional<Reservation> takeBest(const std::function<bool(Incarnation)> &accepts);
    std::vector<Reservation> takeAll();
    // Removes and returns the reservations whose deadline has passed.
    std::vector<Reservation> takeExpired(TimePoint now);
    // Charges slot time of a task to its class and team. A negative time takes a charge back.
    void charge(std::string_view jobClass, std::string_view team, Duration slotTime,
                const FleetConfig &config);

    // Queries
    const Reservation *find(const TaskRef &ref) const;
    std::vector<TaskRef> refs() const;
    std::size_t size() const { return m_index.size(); }
    TimePoint nextDeadline() const; // NeverTime if the queue is empty

private:
    struct Team
    {
        double weightedUse = 0; // seconds of slot time divided by the weight of the team
        std::map<std::uint64_t, Reservation> fifo; // by arrival number
    };
    struct Class
    {
        double weightedUse = 0; // seconds of slot time divided by the share of the class
        // `weightedUse` of the team served last. A team that begins to wait starts there if it has
        // used less, because unused shares are not saved up.
        double virtualTime = 0;
        std::size_t waiting = 0; // number of reservations in `teams`
        std::map<std::string, Team, std::less<>> teams;
    };
    // Where a reservation is stored.
    struct Position
    {
        std::string jobClass;
        std::string team;
        std::uint64_t arrival = 0;
    };

    Reservation take(std::map<TaskRef, Position>::iterator position);

    std::map<std::string, Class, std::less<>> m_classes;
    std::map<TaskRef, Position> m_index; // every reservation
    std::set<std::pair<TimePoint, TaskRef>> m_deadlines;
    double m_virtualTime = 0;         // `weightedUse` of the class served last
    std::uint64_t m_arrivalCount = 0; // number of reservations added so far
};

} // namespace cactuscove
