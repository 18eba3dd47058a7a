// Where a task may start while an earlier start of it is open.
//
// A start without an answer is open: it may be carried out for OpenStartTime after it was sent, by
// any process of the worker that it names, also by one that begins later and knows of no stop.
// Nothing in a start makes such a process refuse it: calls name the worker and not the process, the
// deadline is a time on the clock of the process before, and a new process has seen no attempt and
// no fencing token. So a task with an open start starts at that worker or nowhere. There it is
// safe: two processes of a worker never run at the same time, and one that runs or has stopped a
// later attempt of the task refuses the open one. docs/design/run-ends.md describes the rule and
// each path that needs it; endproof.h and startproof.h are its twins.
//
// Does no I/O and reads no clock.

#pragma once

#include "dispatchmessages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cactuscove {

// After this time a start without an answer is not carried out any more. The platform carries one
// out 12 s late at most; the rest covers clocks that differ and messages about the start.
inline constexpr Duration OpenStartTime = std::chrono::seconds(15);

// Leave to start a task at one worker. Only OpenStarts::permitStart() makes one. An entry numbers
// an attempt, and an agent accepts one, only by a permit, so neither can start a task that has an
// open start elsewhere.
class StartPermit
{
public:
    // False for an attempt that an open start could be taken for.
    bool allows(std::uint32_t attempt) const { return !m_lastAttempt || attempt > *m_lastAttempt; }
    // The first allowed attempt after this one.
    std::uint32_t attemptAfter(std::uint32_t attempt) const;

private:
    friend class OpenStarts;

    StartPermit() = default;

    std::optional<std::uint32_t> m_lastAttempt; // highest of which a start was open
};

// The open starts that a process knows of: its own, and those that others have reported. All
// processes that know of an attempt come to the same state of it, in whatever order they hear.
class OpenStarts
{
public:
    // Commands

    // Returns whether the report is news.
    bool merge(const OpenStart &report, TimePoint now);
    // This process has heard from the agent again, which reports itself what is open.
    void forgetSuspicion(const OpenStart &suspicion);
    void removeExpired(TimePoint now);

    // Queries

    bool isEmpty() const { return m_starts.empty(); }
    // None if the task has an open start at another worker.
    std::optional<StartPermit> permitStart(const TaskId &task, std::string_view workerId,
                                           TimePoint now) const;
    // The only worker at which the task may start; none if there is no open start of it. With open
    // starts at several workers it may start at none, and one of them is returned.
    std::optional<std::string_view> onlyWorkerOf(const TaskId &task, TimePoint now) const;
    // Some task of the job has an open start.
    bool hasJob(std::string_view jobId, TimePoint now) const;
    // What is known, with the time that is left.
    std::vector<OpenStart> all(TimePoint now) const;
    // Those that are open.
    std::vector<OpenStart> atWorker(std::string_view workerId, TimePoint now) const;

private:
    struct Record
    {
        OpenStart start;
        TimePoint until{};
    };

    // Calls `visit` for the records of the task that have not expired.
    template <typename Visit>
    void forEach(const TaskId &task, TimePoint now, Visit visit) const;
    template <typename Matches>
    std::vector<OpenStart> select(TimePoint now, Matches matches) const;

    std::map<TaskId, std::vector<Record>> m_starts; // no empty vectors
    TimePoint m_nextExpiry = NeverTime;             // none of them expires earlier
};

} // namespace cactuscove
