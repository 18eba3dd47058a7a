// All decisions of one entry process behind one interface: ledger copy, job routing, feeds and
// failure detection. Driven by the entry process in production and by tests in virtual time.

#pragma once

#include "agentnode.h"
#include "ledger.h"
#include "messages.h"
#include "outbox.h"
#include "types.h"

#include <memory>
#include <span>

namespace cactuscove {

class EntryNode
{
public:
    explicit EntryNode(NodeSettings settings, Duration logRetention);
    ~EntryNode();

    // Commands. The first effect asked for is the append of the node's registration.
    void start(TimePoint now, Outbox &out);
    void onEnvelope(const Envelope &envelope, TimePoint now, Outbox &out);
    void onUndelivered(Incarnation to, const Message &message, TimePoint now, Outbox &out);
    void onLogRecords(std::span<const LogRecord> records, LogOffset next, TimePoint now,
                      Outbox &out);
    // The log was trimmed beyond the node's position; the records after snapshot.asOf follow.
    void onLogSnapshot(const SnapshotRecord &snapshot, TimePoint now, Outbox &out);
    // A read of the log begins, and has later returned the end of the log.
    void onLogReadStarted();
    void onLogEndRead();
    void onLogReachable(bool reachable, TimePoint now); // nobody is suspected during an outage
    void submit(CallerId caller, JobSpec spec, TraceContext trace, TimePoint waitUntil,
                TimePoint now, Outbox &out);
    void query(CallerId caller, const JobKey &key, TimePoint waitUntil, TimePoint now, Outbox &out);
    void cancel(CallerId caller, const JobKey &key, TimePoint waitUntil, TimePoint now,
                Outbox &out);
    void callerDisconnected(CallerId caller);
    void onTimer(TimePoint now, Outbox &out);
    void beginShutdown(TimePoint now, Outbox &out);

    // Queries
    TimePoint nextTimer() const;
    bool isActive() const;    // the ledger contains its own registration
    bool acceptsJobs() const; // active, and not shutting down
    bool isShutdownComplete() const;
    const Ledger &ledger() const;
    std::size_t rememberedKeyCount() const;
    std::vector<LoadReport> loads(TimePoint now) const; // last known load of every agent

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace cactuscove
