// Chooses the agent for a task start from piggybacked load digests and the home's own sends.

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

// One agent that could run the task, as the home believes it to be now.
struct Candidate
{
    Incarnation agent;
    bool near = false;    // in the home's own data centre
    double weight = 1;    // > 0
    double free = 0;      // slots; digest less own sends that the digest cannot contain
    double queued = 0;    // reservations; digest plus own reservations since
    double slots = 1;     // > 0
    double staleFree = 0; // slots by the digest alone
    double reserved = 0;  // own reservations of the flow, and sends that can only become some
};

// A rule that picks one of several candidates. `pickFree` may return none if all look busy.
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

// The policy in use: free slots net of own sends, near data centres first.
struct DigestPolicy
{
    std::optional<std::size_t> pickFree(std::span<const Candidate> candidates, Random &random);
    std::optional<std::size_t> pickForReservation(std::span<const Candidate> candidates,
                                                  Random &random);
};

// Baselines. Each sends without regard to whether the agent is believed busy.
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

// Two random agents, the less loaded by its last digest; own sends are not counted.
struct StaleTwoChoicesPolicy
{
    std::optional<std::size_t> pickFree(std::span<const Candidate> candidates, Random &random);
    std::optional<std::size_t> pickForReservation(std::span<const Candidate> candidates,
                                                  Random &random);
};

template <PlacementPolicy Policy>
class BasicPlacement
{
public:
    // `dataCentre` is the home's own; near agents are preferred.
    explicit BasicPlacement(std::string dataCentre, std::uint64_t seed);

    // Commands
    void setAgent(Incarnation agent, std::string_view dataCentre);
    void removeAgent(Incarnation agent);
    void observe(const LoadReport &digest, TimePoint now); // older observations are ignored
    void setWeight(Incarnation agent, double weight);      // from WorkerHealth; 0 is ejected
    void taskSent(Incarnation agent);
    void taskEnded(Incarnation agent);
    // The agent answered TaskBusy to a sent task. `flow` names what agents share their slots by,
    // the class and team of the task.
    void reserved(Incarnation agent, std::string_view flow = {});
    // It was offered, or will never be.
    void reservationEnded(Incarnation agent, std::string_view flow = {});

    // Queries
    // An agent that is believed to have a free slot; none if all are believed busy.
    std::optional<Incarnation> chooseFree(std::string_view upstream, const TaskResources &needs,
                                          TimePoint now, std::span<const Incarnation> excluded);
    // The agent on which a reservation is expected to wait the shortest; none if the home already
    // holds its limit for the flow on every agent.
    std::optional<Incarnation> chooseForReservation(std::string_view upstream,
                                                    const TaskResources &needs, TimePoint now,
                                                    std::span<const Incarnation> excluded,
                                                    std::string_view flow = {});
    bool hasCapableAgent(std::string_view upstream, const TaskResources &needs) const;
    bool hasUpstream(std::string_view upstream) const;
    std::uint32_t totalSlots(std::string_view upstream) const;

private:
    struct Agent
    {
        std::string dataCentre;
        LoadReport load;
        TimePoint observedAt = TimePoint::min();
        std::deque<TimePoint> sends;        // that the digest may not contain; in time order
        std::deque<TimePoint> reservations; // likewise
        std::map<std::string, std::uint32_t, std::less<>> held; // own reservations by flow
        double weight = 1;
    };

    std::vector<Candidate> candidates(std::string_view upstream, const TaskResources &needs,
                                      std::span<const Incarnation> excluded,
                                      std::string_view flow) const;

    std::string m_dataCentre;
    Random m_random;
    Policy m_policy;
    TimePoint m_now{}; // latest time seen; times the commands that carry none
    std::map<Incarnation, Agent> m_agents;
};

using Placement = BasicPlacement<DigestPolicy>;

extern template class BasicPlacement<DigestPolicy>;
extern template class BasicPlacement<RandomPolicy>;
extern template class BasicPlacement<RoundRobinPolicy>;
extern template class BasicPlacement<StaleTwoChoicesPolicy>;

} // namespace cactuscove
