// Settings of the task runner of an agent process, by the platform's settings and the flags.

#pragma once

#include "featureflags.h"
#include "platform.h"
#include "taskrunner.h"

namespace cactuscove {

// Shortens the silence of an entry after which its tasks are stopped, and the lease, where needed:
// all tasks of a lost job must have ended before its caller submits it again. In the worst case the
// silence, the lease and the time to stop a task follow one another.
TaskRunnerSettings taskRunnerSettings(const platform::PlatformSettings &settings,
                                      const FeatureFlags &features, Incarnation instance);

} // namespace cactuscove
