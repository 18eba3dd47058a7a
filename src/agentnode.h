// The logic of one agent process, without I/O: a copy of the ledger, the home of the shards that
// the agent owns, and the executor of the tasks on the upstream beside it. The agent process calls
// it from its event loop; simulations and tests call it in virtual time.

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

// Settings of an agent node or an entry node.
struct NodeSettings
{
    Member self;
    std::uint64_t seed = 0; // of every random choice
};

// Every command appends the effects that the process must carry out to `out`, in order. `now` must
// not decrease from one call to the next.
class AgentNode
{
public:
    explicit AgentNode(NodeSettings settings);
    ~AgentNode();

    // Commands
    // Called once, before every other command. Its effect is the append of the registration.
    void start(TimePoint now, Outbox &out);
    void onEnvelope(const Envelope &envelope, TimePoint now, Outbox &out);
    // The message was certainly not delivered: the connection was refused, or another incarnation
    // answered at the address.
    void onUndelivered(Incarnation to, const Message &message, TimePoint now, Outbox &out);
    // Records that the process has read from the log itself; `next` is the offset after them.
    void onLogRecords(std::span<const LogRecord> records, LogOffset next, TimePoint now,
                      Outbox &out);
    // The log no longer holds the next record that the ledger needs. The snapshot replaces the
    // ledger; onLogRecords() with the records after snapshot.asOf follows.
    void onLogSnapshot(const SnapshotRecord &snapshot, TimePoint now, Outbox &out);
    void onUpstreamAnnounced(const UpstreamAnnouncement &announcement, TimePoint now, Outbox &out);
    // The upstream takes no new tasks. An empty `incarnation` means the announced one; any other
    // incarnation is ignored.
    void onUpstreamLeft(std::string_view incarnation, TimePoint now, Outbox &out);
    // The result of a StartOnUpstream effect.
    void onUpstreamResult(const TaskRef &ref, std::uint32_t attempt, TaskResult result,
                          TimePoint now, Outbox &out);
    // To be called at nextTimer().
    void onTimer(TimePoint now, Outbox &out);
    // Finishes running tasks and jobs, hands shards and records to other agents, and leaves the
    // fleet. isShutdownComplete() turns true when the process may exit.
    void beginShutdown(TimePoint now, Outbox &out);

    // Queries
    TimePoint nextTimer() const;
    bool isActive() const; // the ledger contains its own registration
    bool isShutdownComplete() const;
    // No feed has arrived for 5 to 7 s, or none at all within 0.5 s of the start. The process then
    // reads the log itself.
    bool shouldReadLog(TimePoint now) const;
    const Ledger &ledger() const;
    std::vector<LoadReport> loads(TimePoint now) const; // of this agent, to send with each envelope

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace cactuscove
