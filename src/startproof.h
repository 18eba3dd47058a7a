// What proves that an attempt of a task was never started at a worker and never will be. An entry
// that is told so may answer the job as if nothing of it had happened, so a StartRefused is sent
// only with this proof. docs/design/never-started.md describes it and each path that needs it;
// endproof.h is its twin for runs that may have started.
//
// A worker's answer to a start is the only evidence. Nobody else sees what a process has begun: its
// lists end with it, and a start without an answer may still be carried out seconds later, by
// another process of the worker that knows of no stop.
//
// Does no I/O and reads no clock.

#pragma once

#include "types.h"

#include <optional>
#include <string_view>

namespace cactuscove {

// The starts that were sent for one attempt, and what the worker has shown of it.
struct RunStarts
{
    TimePoint lastSentAt{};
    TimePoint leaseFrom{}; // lastSentAt, or when the known process was noticed if that was later
    int sent = 0;
    int unanswered = 0;       // of `sent`; may have been carried out, or may still be
    bool isConfirmed = false; // a start was accepted, or the run was listed
    // The known process has accepted or listed the run. Unknown while it is false: the run may
    // also be in a process that has started since.
    bool isInKnownProcess = false;

    void addSent(TimePoint now);
    void addAnswer(); // of one of the starts, whatever it says
};

// The proof. Only the functions below make one, so what takes a NeverStarted cannot be called on a
// mere guess.
class NeverStarted
{
public:
    // For an attempt of which no start was sent.
    static NeverStarted notSent();
    // None if a start may have been carried out, or may still be.
    static std::optional<NeverStarted> prove(const RunStarts &starts);

    // For logs: "not_sent" or "all_declined".
    std::string_view name() const;

private:
    enum class Evidence {
        NotSent,     // there was no start
        AllDeclined, // each start was answered, and not carried out by that answer
    };

    explicit NeverStarted(Evidence evidence)
        : m_evidence(evidence)
    {}

    Evidence m_evidence;
};

} // namespace cactuscove
