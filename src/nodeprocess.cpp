// The parts of NodeProcess that do not depend on the type of the node.

#include "nodeprocess.h"

#include <random>

namespace cactuscove {

namespace {

Incarnation randomIncarnation()
{
    std::random_device device;
    for (;;) {
        const std::uint64_t value = (std::uint64_t{device()} << 32) | device();
        if (value != 0)
            return Incarnation{value};
    }
}

} // namespace

std::string formatIncarnation(Incarnation incarnation)
{
    char buf[17];
    std::snprintf(buf, sizeof(buf), "%016llx", static_cast<unsigned long long>(incarnation.value));
    return buf;
}

ProcessContext::ProcessContext(ProcessSettings values)
    : settings(std::move(values))
    , self(randomIncarnation())
    , instance(formatIncarnation(self))
    , tracer(settings.role == Role::Entry ? "entry" : "agent", instance, settings.traceFile)
    , http(loop)
{
    initLogging(settings.role == Role::Entry ? "entry" : "agent", instance, settings.logLevel);
}

NodeSettings ProcessContext::makeNodeSettings(const std::string &listenAddress) const
{
    NodeSettings result;
    result.self
        = {self, settings.role, listenAddress, settings.dataCentre, settings.rack, settings.office};
    result.seed = self.value;
    return result;
}

} // namespace cactuscove
