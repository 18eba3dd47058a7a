// All decisions of one agent process behind one interface: ledger copy, home side and executor
// side. Driven by the agent process in production and by tests in virtual time.

#pragma once

#include "admission.h"
#include "ledger.h"
#include "messages.h"
#include "outbox.h"
#include "types.h"
#include "upstreamregistry.h"

#include <memory>
#include <span>
#include <string_view>

namespace cactuscove {

struct NodeSettings
{
    Member self;
    std::uint64_t seed = 0; // of every random choice
};

class AgentNode
{
public:
    explicit AgentNode(NodeSettings settings);
    ~AgentNode();

    // Commands. The first effect asked for is the append of the node's registration.
    void start(TimePoint now, Outbox &out);
    void onEnvelope(const Envelope &envelope, TimePoint now, Outbox &out);
    // Provably not delivered: the connection was refused or another incarnation answered.
    void onUndelivered(Incarnation to, const Message &message, TimePoint now, Outbox &out);
    // Records read from the log by the node itself, when it has had no feed for a while.
    void onLogRecords(std::span<const LogRecord> records, LogOffset next, TimePoint now,
                      Outbox &out);
    // The log was trimmed beyond the node's position; the records after snapshot.asOf follow.
    void onLogSnapshot(const SnapshotRecord &snapshot, TimePoint now, Outbox &out);
    void onUpstreamAnnounced(const UpstreamAnnouncement &announcement, TimePoint now, Outbox &out);
    // Ignored for another incarnation than the announced one; empty stands for any.
    void onUpstreamLeft(std::string_view incarnation, TimePoint now, Outbox &out);
    void onUpstreamResult(const TaskRef &ref, std::uint32_t attempt, TaskResult result,
                          TimePoint now, Outbox &out);
    void onTimer(TimePoint now, Outbox &out);
    void beginShutdown(TimePoint now, Outbox &out);

    // Queries
    TimePoint nextTimer() const;
    bool isActive() const; // the ledger contains its own registration
    bool isShutdownComplete() const;
    bool shouldReadLog(TimePoint now) const; // no feed for 5 s
    const Ledger &ledger() const;
    std::vector<LoadReport> loads(TimePoint now) const; // to ride on outgoing envelopes

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace cactuscove
