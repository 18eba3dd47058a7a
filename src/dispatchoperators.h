// The operators' records in force at dispatch-entry: follows the operators' topic in the store and
// puts in force what is newer, also when it comes from another entry or from a copy
// (operatorsync.h).

#pragma once

#include "dispatchtypes.h"
#include "featureflags.h"
#include "operatorsync.h"
#include "platform.h"
#include "storefollower.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cactuscove {

class DispatchOperators
{
public:
    // Called from the event loop; all must be set.
    struct Handlers
    {
        // A configuration is in force from now on.
        std::function<void(DispatchConfig config)> onConfig;
        // Send a message on a connection to another entry.
        std::function<void(OperatorPeer peer, PeerMessage message)> send;
        std::function<void(const LogEvent &event)> log;
    };

    // All references must outlive this object.
    DispatchOperators(EventLoop &loop, HttpClient &http, Metrics &metrics, Handlers handlers);

    // Begins to read the records. `seed` must differ between processes.
    void start(const platform::PlatformSettings &settings, const FeatureFlags &features,
               std::uint64_t seed);

    // Each does nothing without copies.
    void entryKnown(std::string_view address);
    void peerConnected(OperatorPeer peer, const PeerHello &hello); // another entry
    void peerDisconnected(OperatorPeer peer);
    void onPeerMessage(OperatorPeer peer, const PeerMessage &message);

    const OperatorRecords &records() const { return m_records; }

private:
    void startSync(const platform::PlatformSettings &settings, std::uint32_t partitions,
                   std::uint64_t seed);
    void onRecord(const platform::StoreRecord &record);
    void onReachabilityChanged(bool isReachable, const std::string &detail);
    // Applies a configuration. Ignores a version that is not newer than the one in force: the same
    // version may come from several sources, and the store may deliver records again. `source` is
    // "store", "entry" or "copy".
    void applyConfig(const std::string &text, std::string_view source, LogFields details);
    // Merges records that did not come from the operators' topic.
    void mergeRecords(const OperatorSnapshot &snapshot, std::string_view source,
                      const LogFields &details);

    EventLoop &m_loop;
    HttpClient &m_http;
    Metrics &m_metrics;
    Handlers m_handlers;
    OperatorRecords m_records;
    std::unique_ptr<StoreFollower> m_follower; // none before start()
    std::unique_ptr<OperatorSync> m_sync;      // none without copies
};

} // namespace cactuscove
