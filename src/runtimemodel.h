// Expected run times of tasks, learned for each queue from the run times of tasks that have ended.
// The run time that a caller declares shows which tasks are larger than others; its scale is not
// trusted.

#pragma once

#include "types.h"

#include <map>
#include <string>
#include <string_view>

namespace cactuscove {

// Used by JobDispatcher, one object per entry process.
class RunTimeModel
{
public:
    // To be called when a task has ended as done. `declaredRunTime` is 0 if the caller declared no
    // run time.
    void learn(std::string_view queue, Duration runTime, Duration declaredRunTime);

    // Run time to expect of a task. Until a task of the queue has ended, it is the declared one, or
    // 200 ms without a declaration.
    Duration expect(std::string_view queue, Duration declaredRunTime) const;

private:
    // Means of one queue.
    struct Queue
    {
        double meanMs = 0;         // run times
        double declaredMeanMs = 0; // declared run times, of tasks with a declaration
        int samples = 0;           // tasks in meanMs
        int declaredSamples = 0;   // tasks in declaredMeanMs
    };

    std::map<std::string, Queue, std::less<>> m_queues;
};

} // namespace cactuscove
