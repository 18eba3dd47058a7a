// What the tests of a single job dispatcher share.

#pragma once

#include "dispatchtypes.h"

namespace cactuscove {

// One queue of the upstream "render".
inline DispatchConfig oneQueue()
{
    using namespace std::chrono_literals;
    QueueSettings queue;
    queue.name = "queue";
    queue.upstream = "render";
    queue.maxAttempts = 4;
    queue.slackFactor = 2;
    queue.targetLatency = 60ms;
    DispatchConfig config;
    config.version = 1;
    config.queues.push_back(queue);
    return config;
}

} // namespace cactuscove
