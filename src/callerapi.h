// The caller HTTP API: requests to typed commands, answers to responses. Plain values only; the
// entry process connects it to the HTTP server and to the entry node.

#pragma once

#include "fleetconfig.h"
#include "httpserver.h"
#include "outbox.h"
#include "result.h"
#include "types.h"

#include <optional>
#include <string>
#include <variant>

namespace cactuscove {

enum class CallerAction { Submit, Query, Cancel };

struct CallerCommand
{
    CallerAction action = CallerAction::Query;
    JobKey key;
    JobSpec spec; // of a submission
    Duration wait{};
    std::optional<TraceContext> trace; // from a valid `traceparent` header
};

// A request that is refused without an outcome: nothing was forwarded for it.
struct CallerError
{
    int status = 400;
    std::string error;  // short and stable, for programs
    std::string field;  // dotted path in the body, or the name of a query parameter
    std::string reason; // for people
};

Result<CallerCommand, CallerError> parseCallerRequest(const HttpRequest &request,
                                                      const FleetConfig &config);

// The reply of the entry node to a caller; `traceId` may be empty.
HttpResponse toResponse(const AnswerCaller &answer, const std::string &traceId);
HttpResponse toResponse(const CallerError &error);
// For a process that is not active yet or is shutting down.
HttpResponse notReadyResponse();

// Hash of what a job does. Two submissions under one id are the same job if their hashes are equal.
// The deadline is left out, because a caller that resubmits has less time left. Never 0.
std::uint64_t contentHashOf(const JobSpec &spec);

} // namespace cactuscove
