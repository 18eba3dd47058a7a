// Reservations that wait for a slot of one upstream, in weighted order: the class that used the
// least slot time for its share comes first, then the team of it that used the least for its
// weight, then the oldest reservation.

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

struct Reservation
{
    TaskRef ref;
    AttemptId id;
    Incarnation home;
    std::string team;
    std::string jobClass;
    TimePoint deadline; // no start later than this
};

class ReservationQueue
{
public:
    // Commands
    void add(Reservation reservation);
    std::optional<Reservation> remove(const TaskRef &ref);
    // Takes the best reservation of a home that `mayOffer` accepts.
    std::optional<Reservation> takeBest(const std::function<bool(Incarnation)> &mayOffer);
    std::vector<Reservation> takeAll();
    std::vector<Reservation> takeExpired(TimePoint now);
    // Counts slot time of a task against the shares; negative to take a charge back.
    void charge(std::string_view jobClass, std::string_view team, Duration slotTime,
                const FleetConfig &config);

    // Queries
    const Reservation *find(const TaskRef &ref) const;
    std::vector<TaskRef> refs() const;
    std::size_t size() const { return m_index.size(); }
    TimePoint nextDeadline() const;

private:
    struct Team
    {
        double used = 0;                           // slot time by weight, in s
        std::map<std::uint64_t, Reservation> fifo; // by arrival
    };
    struct Class
    {
        double used = 0;     // slot time by share, in s
        double lastUsed = 0; // of the team served last; a team that starts to wait begins there
        std::size_t waiting = 0;
        std::map<std::string, Team, std::less<>> teams;
    };
    struct Place
    {
        std::string jobClass;
        std::string team;
        std::uint64_t arrival = 0;
    };

    Reservation take(std::map<TaskRef, Place>::iterator place);

    std::map<std::string, Class, std::less<>> m_classes;
    std::map<TaskRef, Place> m_index;
    std::set<std::pair<TimePoint, TaskRef>> m_deadlines;
    double m_lastUsed = 0; // of the class served last
    std::uint64_t m_arrivals = 0;
};

} // namespace cactuscove
