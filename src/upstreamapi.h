// Request and error bodies of the HTTP interface by which an upstream announces itself to the agent
// beside it: PUT and DELETE /v1/upstream. The agent process serves these requests.

#pragma once

#include "result.h"
#include "upstreamregistry.h"

#include <string>
#include <string_view>

namespace cactuscove {

struct UpstreamApiError
{
    int status = 400;  // HTTP status of the response
    std::string field; // empty if the body as a whole is wrong
    std::string reason;
};

struct UpstreamLeave
{
    std::string incarnation; // empty: the announced one, whatever it is
};

// Body of PUT: {upstream, incarnation, address, slots, connections, memory_mb, accelerators,
// lease_ms}. memory_mb and accelerators default to 0; unknown fields are ignored. The error names
// the first field that is missing, of the wrong type or out of range.
Result<UpstreamAnnouncement, UpstreamApiError> parseAnnouncement(std::string_view body);

// Body of DELETE: empty or {incarnation}.
Result<UpstreamLeave, UpstreamApiError> parseLeave(std::string_view body);

// Body of an error response: {"error", "field"}, without "field" if it is empty.
std::string formatError(const UpstreamApiError &error);

} // namespace cactuscove
