// The operators' records at an entry beyond its own read of the operators' topic: carries out what
// OperatorHandover and OperatorCopies decide. Messages to other entries go through the owner, which
// has the connections; the copies are read and written in the store.

#pragma once

#include "decisionloop.h"
#include "httpclient.h"
#include "metrics.h"
#include "operatorcopies.h"
#include "operatorhandover.h"

#include <functional>
#include <string>
#include <string_view>

namespace cactuscove {

using LogFields = decltype(LogEvent::fields);

struct OperatorSyncSettings
{
    std::string store;            // "ip:port"
    std::string selfAddress;      // link address of this entry
    std::uint32_t partitions = 0; // that hold a copy
    std::uint64_t seed = 0;       // a different one in each process
};

// Topic in the store that holds the copies, under the key CopyKey.
inline constexpr char CopyTopic[] = "operators";
inline constexpr char CopyKey[] = "records";

class OperatorSync
{
public:
    // Called from the event loop; all must be set.
    struct Handlers
    {
        // Records came from elsewhere than the operators' topic: merge them into the records in
        // force. `source` is "entry" or "copy", `details` are fields for the log.
        std::function<void(const OperatorSnapshot &snapshot, std::string_view source,
                           const LogFields &details)>
            onRecords;
        std::function<void(OperatorPeer peer, PeerMessage message)> send;
        std::function<void(const LogEvent &event)> log;
    };

    // `records` are those in force, changed by the owner alone. All references must outlive this
    // object. To be created when the read of the operators' topic begins.
    OperatorSync(EventLoop &loop, HttpClient &http, Metrics &metrics,
                 const OperatorRecords &records, OperatorSyncSettings settings, Handlers handlers);

    void recordsChanged();
    // A read of the operators' topic has succeeded or failed.
    void topicReachable(bool isReachable);
    void entryKnown(std::string_view address) { m_copies.entryKnown(address); }
    void peerConnected(OperatorPeer peer); // its hello has arrived, and it understands protocol 2
    void peerDisconnected(OperatorPeer peer);
    // A message of another entry; ignored if it is not about the records.
    void onMessage(OperatorPeer peer, const PeerMessage &message);

private:
    friend class DecisionLoop<OperatorHandover, HandoverEffect, OperatorSync>;
    friend class DecisionLoop<OperatorCopies, CopiesEffect, OperatorSync>;

    void perform(SendToPeer &effect) { m_handlers.send(effect.peer, std::move(effect.message)); }
    void perform(LogEvent &effect);
    void perform(ReadCopy &effect);
    void perform(WriteCopy &effect);
    void perform(UseCopy &effect);
    void onPendingProcessed(TimePoint now);
    void count(const char *result);

    HttpClient &m_http;
    Metrics &m_metrics;
    OperatorSyncSettings m_settings;
    Handlers m_handlers;
    std::uint64_t m_copiedHash = 0; // as m_handover knows it
    OperatorHandover m_handover;
    OperatorCopies m_copies;
    DecisionLoop<OperatorHandover, HandoverEffect, OperatorSync> m_handoverLoop;
    DecisionLoop<OperatorCopies, CopiesEffect, OperatorSync> m_copiesLoop;
};

} // namespace cactuscove
