// The logic of one entry process, without I/O: a copy of the ledger, routing of jobs to their
// homes, feeds to the agents, and failure detection. The entry process calls it from its event
// loop; tests call it in virtual time.

#pragma once

#include "agentnode.h"
#include "ledger.h"
#include "messages.h"
#include "outbox.h"
#include "types.h"

#include <memory>
#include <span>

namespace cactuscove {

// Every command appends the effects that the process must carry out to `out`, in order. `now` must
// not decrease from one call to the next.
class EntryNode
{
public:
    // `logRetention`: how long the log keeps a record.
    explicit EntryNode(NodeSettings settings, Duration logRetention);
    ~EntryNode();

    // Commands
    // Called once, before every other command. Its effect is the append of the registration.
    void start(TimePoint now, Outbox &out);
    void onEnvelope(const Envelope &envelope, TimePoint now, Outbox &out);
    // The message was certainly not delivered: the connection was refused, or another incarnation
    // answered at the address.
    void onUndelivered(Incarnation to, const Message &message, TimePoint now, Outbox &out);
    // Records read from the log; `next` is the offset after them.
    void onLogRecords(std::span<const LogRecord> records, LogOffset next, TimePoint now,
                      Outbox &out);
    // The log no longer holds the next record that the ledger needs. The snapshot replaces the
    // ledger; onLogRecords() with the records after snapshot.asOf follows.
    void onLogSnapshot(const SnapshotRecord &snapshot, TimePoint now, Outbox &out);
    // A read of the log begins.
    void onLogReadStarted();
    // The read that began last has returned all records up to the end of the log.
    void onLogEndRead();
    // No member is suspected to have failed while the log is unreachable.
    void onLogReachable(bool reachable, TimePoint now);
    // Requests of a caller. Each one is answered with one AnswerCaller effect, when the answer to
    // the job is known or, with JobAccepted, at `waitUntil` if the home has the job by then.
    void submit(CallerId caller, JobSpec spec, TraceContext trace, TimePoint waitUntil,
                TimePoint now, Outbox &out);
    void query(CallerId caller, const JobKey &key, TimePoint waitUntil, TimePoint now, Outbox &out);
    void cancel(CallerId caller, const JobKey &key, TimePoint waitUntil, TimePoint now,
                Outbox &out);
    void callerDisconnected(CallerId caller); // its job continues
    // To be called at nextTimer().
    void onTimer(TimePoint now, Outbox &out);
    // Answers the waiting callers, hands the remembered job keys to another entry, and leaves the
    // fleet. isShutdownComplete() turns true when the process may exit.
    void beginShutdown(TimePoint now, Outbox &out);

    // Queries
    TimePoint nextTimer() const;
    bool isActive() const;    // the ledger contains its own registration
    bool acceptsJobs() const; // active, and not shutting down
    bool isShutdownComplete() const;
    const Ledger &ledger() const;
    std::size_t rememberedKeyCount() const;             // of forwarded and adopted jobs
    std::vector<LoadReport> loads(TimePoint now) const; // newest known load of every agent

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace cactuscove
