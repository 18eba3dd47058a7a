// The HTTP interface that an upstream announces itself through: PUT and DELETE /v1/upstream. Plain
// values in and out; the agent process serves it.

#pragma once

#include "result.h"
#include "upstreamregistry.h"

#include <string>
#include <string_view>

namespace cactuscove {

struct UpstreamApiError
{
    int status = 400;
    std::string field; // empty if the body as a whole is wrong
    std::string reason;
};

struct UpstreamLeave
{
    std::string incarnation; // empty stands for any
};

// Body of PUT: {upstream, incarnation, address, slots, connections, memory_mb, accelerators,
// lease_ms}. memory_mb and accelerators default to 0.
Result<UpstreamAnnouncement, UpstreamApiError> parseAnnouncement(std::string_view body);

// Body of DELETE: empty or {incarnation}.
Result<UpstreamLeave, UpstreamApiError> parseLeave(std::string_view body);

// {"error", "field"} as every interface of the project answers errors.
std::string formatError(const UpstreamApiError &error);

} // namespace cactuscove
