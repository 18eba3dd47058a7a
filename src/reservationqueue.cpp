// Start-time fair queueing over classes and, within a class, over teams.

#include "reservationqueue.h"

#include <algorithm>

namespace cactuscove {

namespace {

double shareOf(const FleetConfig &config, std::string_view jobClass)
{
    const auto it = config.classes.find(std::string(jobClass));
    return it == config.classes.end() || it->second.share <= 0 ? 1 : it->second.share;
}

double weightOf(const FleetConfig &config, std::string_view team)
{
    const auto it = config.teams.find(std::string(team));
    return it == config.teams.end() || it->second.weight <= 0 ? 1 : it->second.weight;
}

} // namespace

void ReservationQueue::add(Reservation reservation)
{
    remove(reservation.ref);
    if (m_index.empty()) {
        // Slot time that was used while no reservation waited was not taken from anyone, so it is
        // not counted.
        m_classes.clear();
        m_virtualTime = 0;
    }
    Class &jobClass = m_classes[reservation.jobClass];
    if (jobClass.waiting == 0)
        jobClass.weightedUse = std::max(jobClass.weightedUse, m_virtualTime);
    Team &team = jobClass.teams[reservation.team];
    if (team.fifo.empty())
        team.weightedUse = std::max(team.weightedUse, jobClass.virtualTime);
    ++jobClass.waiting;
    m_index[reservation.ref] = {reservation.jobClass, reservation.team, m_arrivalCount};
    m_deadlines.emplace(reservation.deadline, reservation.ref);
    team.fifo.emplace(m_arrivalCount++, std::move(reservation));
}

std::optional<Reservation> ReservationQueue::remove(const TaskRef &ref)
{
    const auto it = m_index.find(ref);
    if (it == m_index.end())
        return {};
    return take(it);
}

std::optional<Reservation>
ReservationQueue::takeBest(const std::function<bool(Incarnation)> &accepts)
{
    Class *bestClass = nullptr;
    Team *bestTeam = nullptr;
    const Reservation *best = nullptr;
    for (auto &[className, jobClass] : m_classes) {
        if (jobClass.waiting == 0 || (bestClass && jobClass.weightedUse >= bestClass->weightedUse))
            continue;
        Team *classTeam = nullptr;
        const Reservation *classBest = nullptr;
        for (auto &[teamName, team] : jobClass.teams) {
            if (classTeam && team.weightedUse >= classTeam->weightedUse)
                continue;
            const auto it
                = std::find_if(team.fifo.begin(), team.fifo.end(),
                               [&](const auto &entry) { return accepts(entry.second.home); });
            if (it != team.fifo.end()) {
                classTeam = &team;
                classBest = &it->second;
            }
        }
        if (classBest) {
            bestClass = &jobClass;
            bestTeam = classTeam;
            best = classBest;
        }
    }
    if (!best)
        return {};
    m_virtualTime = bestClass->weightedUse;
    bestClass->virtualTime = bestTeam->weightedUse;
    return take(m_index.find(best->ref));
}

std::vector<Reservation> ReservationQueue::takeAll()
{
    std::vector<Reservation> result;
    while (!m_index.empty())
        result.push_back(take(m_index.begin()));
    return result;
}

std::vector<Reservation> ReservationQueue::takeExpired(TimePoint now)
{
    std::vector<Reservation> result;
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now)
        result.push_back(take(m_index.find(m_deadlines.begin()->second)));
    return result;
}

void ReservationQueue::charge(std::string_view jobClass, std::string_view team, Duration slotTime,
                              const FleetConfig &config)
{
    const auto it = m_classes.find(jobClass);
    if (it == m_classes.end())
        return;
    const double seconds = std::chrono::duration<double>(slotTime).count();
    it->second.weightedUse += seconds / shareOf(config, jobClass);
    const auto member = it->second.teams.find(team);
    if (member != it->second.teams.end())
        member->second.weightedUse += seconds / weightOf(config, team);
}

const Reservation *ReservationQueue::find(const TaskRef &ref) const
{
    const auto it = m_index.find(ref);
    if (it == m_index.end())
        return nullptr;
    const Class &jobClass = m_classes.find(it->second.jobClass)->second;
    return &jobClass.teams.find(it->second.team)->second.fifo.at(it->second.arrival);
}

std::vector<TaskRef> ReservationQueue::refs() const
{
    std::vector<TaskRef> result;
    result.reserve(m_index.size());
    for (const auto &[ref, position] : m_index)
        result.push_back(ref);
    return result;
}

TimePoint ReservationQueue::nextDeadline() const
{
    return m_deadlines.empty() ? NeverTime : m_deadlines.begin()->first;
}

Reservation ReservationQueue::take(std::map<TaskRef, Position>::iterator position)
{
    Class &jobClass = m_classes.find(position->second.jobClass)->second;
    Team &team = jobClass.teams.find(position->second.team)->second;
    auto node = team.fifo.extract(position->second.arrival);
    --jobClass.waiting;
    m_deadlines.erase({node.mapped().deadline, node.mapped().ref});
    m_index.erase(position);
    return std::move(node.mapped());
}

} // namespace cactuscove
