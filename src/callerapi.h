// The HTTP API of callers, who submit, query and cancel jobs at an entry: POST /v1/jobs, and GET
// and DELETE /v1/jobs/{team}/{id}. Converts requests to commands, and answers to responses. These
// functions keep no state and do no I/O; EntryProcess passes values between them, the HTTP server
// and EntryNode.

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

// A valid request of a caller.
struct CallerCommand
{
    CallerAction action = CallerAction::Query;
    JobKey key;
    JobSpec spec;                      // only for Submit
    Duration wait{};                   // the longest time that the caller waits for the answer
    std::optional<TraceContext> trace; // from the `traceparent` header, if that is valid
};

// A request that the entry refuses itself. Nothing has been sent to the home of a job, so the
// request has no effect.
struct CallerError
{
    int status = 400;   // of the HTTP response
    std::string error;  // stable identifier for programs, for example "bad_request"
    std::string field;  // dotted path in the body, or the name of a query parameter; may be empty
    std::string reason; // for people
};

// Parses and validates a request against the configuration in force. Returns the first error. A
// malformed `traceparent` header is ignored.
Result<CallerCommand, CallerError> parseCallerRequest(const HttpRequest &request,
                                                      const FleetConfig &config);

// The response that carries the reply of EntryNode. `traceId` may be empty.
HttpResponse toResponse(const AnswerCaller &answer, const std::string &traceId);
HttpResponse toResponse(const CallerError &error);
// The response of an entry that is not active yet or is shutting down; asks for a retry after 1 s.
HttpResponse notReadyResponse();

// Hash of everything that defines what a job does. Two submissions under one id are the same job if
// their hashes are equal. The deadline is left out, because a caller that resubmits has less time
// left. Never 0, which means "not known" in messages.
std::uint64_t contentHashOf(const JobSpec &spec);

} // namespace cactuscove
