// Chooses the agent for a task start from piggybacked load digests and the home's own sends.

#pragma once

#include "types.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactuscove {

class Placement
{
public:
    // `dataCentre` is the home's own; near agents are preferred.
    explicit Placement(std::string dataCentre, std::uint64_t seed);

    // Commands
    void setAgent(Incarnation agent, std::string_view dataCentre);
    void removeAgent(Incarnation agent);
    void observe(const LoadDigest &digest, TimePoint now); // older observations are ignored
    void setWeight(Incarnation agent, double weight);      // from WorkerHealth; 0 is ejected
    void taskSent(Incarnation agent);
    void taskEnded(Incarnation agent);
    void reserved(Incarnation agent); // the agent answered TaskBusy

    // Queries
    // An agent that is believed to have a free slot; none if all are believed busy.
    std::optional<Incarnation> chooseFree(std::string_view upstream, const TaskNeeds &needs,
                                          TimePoint now, std::span<const Incarnation> excluded);
    // The agent on which a reservation is expected to wait the shortest.
    std::optional<Incarnation> chooseForReservation(std::string_view upstream,
                                                    const TaskNeeds &needs, TimePoint now,
                                                    std::span<const Incarnation> excluded);
    bool canRunSomewhere(std::string_view upstream, const TaskNeeds &needs) const;
    bool hasUpstream(std::string_view upstream) const;
    std::uint32_t totalSlots(std::string_view upstream) const;

private:
    struct Agent
    {
        std::string dataCentre;
        LoadDigest load;
        TimePoint observedAt{};
        std::uint32_t sentSince = 0; // starts sent after the observation
        double weight = 1;
    };

    std::string m_dataCentre;
    std::uint64_t m_random; // state of a deterministic generator
    std::map<Incarnation, Agent> m_agents;
};

} // namespace cactuscove
