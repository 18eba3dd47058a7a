// Names of enumerators, as used in logs and metrics, and the choice of a queue.

#include "dispatchtypes.h"

#include <algorithm>
#include <cctype>

namespace cactuscove {

namespace {

// Host names compare without regard to case, and a port of `host` does not matter.
bool isSameHost(std::string_view configured, std::string_view host)
{
    host = host.substr(0, host.rfind(':'));
    return std::equal(
        configured.begin(), configured.end(), host.begin(), host.end(),
        [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

} // namespace

QueueMatch matchQueue(const DispatchConfig &config, std::string_view host, std::string_view path)
{
    QueueMatch match;
    for (const QueueSettings &it : config.queues) {
        if (!path.starts_with(it.pathPrefix) || !isSameHost(it.host, host))
            continue;
        if (match.queue && match.queue->pathPrefix.size() >= it.pathPrefix.size())
            continue;
        match = {&it, path.substr(it.pathPrefix.size())};
    }
    return match;
}

std::string_view nameOf(TaskEnd end)
{
    switch (end) {
    case TaskEnd::Done:
        return "done";
    case TaskEnd::Failed:
        return "failed";
    case TaskEnd::Stopped:
        return "stopped";
    case TaskEnd::Lost:
        return "lost";
    }
    return "?";
}

std::string_view nameOf(StartRefusal refusal)
{
    switch (refusal) {
    case StartRefusal::Expired:
        return "expired";
    case StartRefusal::Draining:
        return "draining";
    case StartRefusal::NoWorker:
        return "no_worker";
    case StartRefusal::OldAttempt:
        return "old_attempt";
    case StartRefusal::Unhealthy:
        return "unhealthy";
    case StartRefusal::Withdrawn:
        return "withdrawn";
    case StartRefusal::Duplicate:
        return "duplicate";
    }
    return "?";
}

} // namespace cactuscove
