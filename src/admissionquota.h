// Decides which new jobs of an entry are accepted when the callers of all entries ask for more than
// the fleet can carry. Each entry accepts the same part of its own demand, so entries need no
// agreement, and one with more callers accepts more.
//
// Addresses loads that exceed the fleet for longer than about a second. For shorter ones the
// expected wait (loadcontrol.h) decides.

#pragma once

#include "demandtable.h"
#include "loadcontrol.h"

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cactuscove {

// Utilisation of the fleet that the accepted work aims at. Less than 1, because tasks of several
// cores leave gaps on workers and about half of the run times are longer than expected.
inline constexpr double TargetUtilisation = 0.9;

// The part of each priority's work that fits, from 0 to 1. All are 1 if the sum of `utilisation` is
// not above TargetUtilisation.
std::map<int, double> acceptedParts(const std::map<int, double> &utilisation);

// Time after which a refused caller may expect capacity.
Duration retryAfterOf(double acceptedPart);

// Used by JobDispatcher, one object per entry process.
class AdmissionQuota
{
public:
    // Returns whether the job is accepted, so that the accepted work of its queue and size class
    // follows `part`. `work` is the expected work of the job. To be called for each new job.
    bool accept(std::string_view queue, CoreMs work, double part);

private:
    // The largest tenth of a queue's jobs, the fifth below, and the rest. Jobs are counted
    // separately, so that small jobs do not take the part of the large ones.
    static constexpr std::size_t SizeClasses = 3;

    struct Queue
    {
        std::vector<CoreMs> works; // of the newest jobs; a ring
        std::size_t next = 0;      // position of the oldest in the ring, once it is full
        // By size class: the part of the work so far, less the accepted work.
        std::array<CoreMs, SizeClasses> credit{};
    };

    static std::size_t sizeClassOf(const Queue &queue, CoreMs work);
    static void remember(Queue &queue, CoreMs work);

    std::map<std::string, Queue, std::less<>> m_queues;
};

} // namespace cactuscove
