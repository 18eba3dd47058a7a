// Expected run times of tasks, learned for each queue from the ends that are seen. A caller's
// declaration tells the larger task from the smaller one; its scale is not trusted.

#pragma once

#include "types.h"

#include <map>
#include <string>
#include <string_view>

namespace cactuscove {

class RunTimeModel
{
public:
    // `declared` is 0 if the caller gave none.
    void learn(std::string_view queue, Duration runTime, Duration declared);

    // Falls back to the declaration, then to a default, until an end has been seen.
    Duration expect(std::string_view queue, Duration declared) const;

private:
    struct Queue
    {
        double meanMs = 0;
        double declaredMeanMs = 0; // of those that gave one
        int samples = 0;
        int declaredSamples = 0;
    };

    std::map<std::string, Queue, std::less<>> m_queues;
};

} // namespace cactuscove
