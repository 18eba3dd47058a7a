// Chooses the agent that a home sends a task to, from the load reports of the agents and from what
// the home itself has sent since.

#pragma once

#include "random.h"
#include "types.h"

#include <concepts>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactuscove {

// One agent that could run the task, as the home estimates its load now.
struct Candidate
{
    Incarnation agent;
    bool near = false; // in the home's own data centre
    double weight = 1; // from setWeight(); > 0
    // Free slots: those of the report less the tasks that the home has sent and that the report
    // does not count yet. Negative if the home has sent more than that.
    double freeSlots = 0;
    // Reservations waiting at the agent: those of the report and those of the home that the report
    // does not count yet.
    double queued = 0;
    double slots = 1;             // > 0
    double reportedFreeSlots = 0; // free slots of the report alone
    // Reservations that this home holds for the flow of the task, and sent tasks beyond the free
    // slots, whose answer can only be another reservation.
    double reserved = 0;
};

// A policy picks one of several candidates and returns its index. `pickFree` picks an agent that
// should start the task at once; none if all are believed busy. `pickForReservation` picks an agent
// that should hold a reservation until it has a free slot; none if no further reservation is
// allowed.
template <typename T>
concept PlacementPolicy = requires(T policy, std::span<const Candidate> candidates, Random &random)
{
    {
        policy.pickFree(candidates, random)
        } -> std::same_as<std::optional<std::size_t>>;
    {
        policy.pickForReservation(candidates, random)
        } -> std::same_as<std::optional<std::size_t>>;
};

// The policy that homes use. For a start it picks an agent with a free slot, in the home's own data
// centre if possible, at random in proportion to weight and free slots. For a reservation it picks
// the agent with the shorter expected wait of two random ones.
struct LoadReportPolicy
{
    std::optional<std::size_t> pickFree(std::span<const Candidate> candidates, Random &random);
    std::optional<std::size_t> pickForReservation(std::span<const Candidate> candidates,
                                                  Random &random);
};

// RandomPolicy, RoundRobinPolicy and StaleTwoChoicesPolicy are baselines for measurements. They
// send to an agent even if it is believed busy.
struct RandomPolicy
{
    std::optional<std::size_t> pickFree(std::span<const Candidate> candidates, Random &random);
    std::optional<std::size_t> pickForReservation(std::span<const Candidate> candidates,
                                                  Random &random);
};

struct RoundRobinPolicy
{
    std::optional<std::size_t> pickFree(std::span<const Candidate> candidates, Random &random);
    std::optional<std::size_t> pickForReservation(std::span<const Candidate> candidates,
                                                  Random &random);
    Incarnation last; // agent of the previous pick
};

// Of two random agents, the one with more free slots in its last report. Tasks that the home has
// sent since are not counted.
struct StaleTwoChoicesPolicy
{
    std::optional<std::size_t> pickFree(std::span<const Candidate> candidates, Random &random);
    std::optional<std::size_t> pickForReservation(std::span<const Candidate> candidates,
                                                  Random &random);
};

// Estimates the load of every agent and lets the policy choose one for each task. JobHome calls it
// from the event loop of the agent that is the home. Calls about an unknown agent are ignored.
template <PlacementPolicy Policy>
class BasicPlacement
{
public:
    // `dataCentre` is the data centre of the home; agents in it are preferred. `seed` determines
    // the random choices.
    explicit BasicPlacement(std::string dataCentre, std::uint64_t seed);

    // Commands
    // Adds an agent, or changes its data centre. It is chosen once a load report has arrived.
    void setAgent(Incarnation agent, std::string_view dataCentre);
    void removeAgent(Incarnation agent);
    // Stores a load report, unless a newer one of the same agent has arrived before.
    void updateLoad(const LoadReport &report, TimePoint now);
    // `weight` is that of WorkerHealth, in [0, 1]. An agent of weight 0 is not chosen.
    void setWeight(Incarnation agent, double weight);
    // The home has sent a StartTask message to the agent.
    void taskSent(Incarnation agent);
    // A sent task has ended at the agent or was taken back.
    void taskEnded(Incarnation agent);
    // The agent answered a sent task with TaskBusy and holds a reservation. `flow` names the class
    // and team of the task, by which agents divide their slots.
    void reservationMade(Incarnation agent, std::string_view flow = {});
    // The reservation was offered a slot, or was withdrawn or lost.
    void reservationEnded(Incarnation agent, std::string_view flow = {});

    // Queries
    // An agent to start the task at once, because it is believed to have a free slot; none if all
    // are believed busy.
    std::optional<Incarnation> chooseFree(std::string_view upstream, const TaskResources &needs,
                                          TimePoint now, std::span<const Incarnation> excluded);
    // An agent to hold a reservation for the task; none if the home already holds its limit of
    // reservations for the flow at every agent.
    std::optional<Incarnation> chooseForReservation(std::string_view upstream,
                                                    const TaskResources &needs, TimePoint now,
                                                    std::span<const Incarnation> excluded,
                                                    std::string_view flow = {});
    // Some agent, busy or not, has the resources that the task needs.
    bool hasCapableAgent(std::string_view upstream, const TaskResources &needs) const;
    // Some agent serves the upstream and is not draining.
    bool hasUpstream(std::string_view upstream) const;
    // Slots of all agents that serve the upstream and are not draining, busy or not.
    std::uint32_t totalSlots(std::string_view upstream) const;

private:
    struct Agent
    {
        std::string dataCentre;
        LoadReport load;                         // the newest report
        TimePoint observedAt = TimePoint::min(); // when the agent made the report
        // Times of the tasks sent and reservations made that the report may not count yet, oldest
        // first.
        std::deque<TimePoint> recentSends;
        std::deque<TimePoint> recentReservations;
        // Number of reservations that the home holds at the agent.
        std::map<std::string, std::uint32_t, std::less<>> reservationsByFlow;
        double weight = 1;
    };

    // The agents that can run the task, are not ejected and are not in `excluded`.
    std::vector<Candidate> candidates(std::string_view upstream, const TaskResources &needs,
                                      std::span<const Incarnation> excluded,
                                      std::string_view flow) const;

    std::string m_dataCentre; // of the home
    Random m_random;
    Policy m_policy;
    TimePoint m_now{}; // latest time passed in, for the commands without a `now`
    std::map<Incarnation, Agent> m_agents;
};

using Placement = BasicPlacement<LoadReportPolicy>;

extern template class BasicPlacement<LoadReportPolicy>;
extern template class BasicPlacement<RandomPolicy>;
extern template class BasicPlacement<RoundRobinPolicy>;
extern template class BasicPlacement<StaleTwoChoicesPolicy>;

} // namespace cactuscove
