// Parts of a process that do not depend on its role.

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

std::string hexOf(Incarnation incarnation)
{
    char buf[17];
    std::snprintf(buf, sizeof(buf), "%016llx", static_cast<unsigned long long>(incarnation.value));
    return buf;
}

ProcessParts::ProcessParts(ProcessSettings values)
    : settings(std::move(values))
    , self(randomIncarnation())
    , instance(hexOf(self))
    , tracer(settings.role == Role::Entry ? "entry" : "agent", instance, settings.traceFile)
    , http(loop)
{
    initLogging(settings.role == Role::Entry ? "entry" : "agent", instance, settings.logLevel);
}

NodeSettings ProcessParts::nodeSettings(const std::string &listenAddress) const
{
    NodeSettings out;
    out.self
        = {self, settings.role, listenAddress, settings.dataCentre, settings.rack, settings.office};
    out.seed = self.value;
    return out;
}

} // namespace cactuscove
