// The operators' records in force at dispatch-entry: follows the operators' topic in the store and
// puts in force what is newer, also when it comes from another entry or from a copy
// (operatorsync.h).

#pragma once

#include "dispatchtypes.h"
#include "evacuationchanges.h"
#include "featureflags.h"
#include "operatorsync.h"
#include "platform.h"
#include "storefollower.h"

#include <functional>
#include <memory>
#include <set>
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
        // These data centres are evacuated from now on, or other processes may not know that.
        std::function<void(const std::set<std::string> &dataCentres)> onEvacuations;
        // Returns the number of known workers in a data centre.
        std::function<std::size_t(std::string_view dataCentre)> workersIn;
        // Send a message on a connection to another entry.
        std::function<void(OperatorPeer peer, PeerMessage message)> send;
        std::function<void(const LogEvent &event)> log;
    };

    // All references must outlive this object.
    DispatchOperators(EventLoop &loop, HttpClient &http, Metrics &metrics, Handlers handlers);

    // Begins to read the records. `seed` must differ between processes.
    void start(const platform::PlatformSettings &settings, const FeatureFlags &features,
               std::uint64_t seed);

    // A message of an agent or another entry.
    void onEvacuationUpdate(std::string_view sender, const EvacuationUpdate &update);

    // Each does nothing without copies.
    void entryKnown(std::string_view address);
    void peerConnected(OperatorPeer peer, const PeerHello &hello); // another entry
    void peerDisconnected(OperatorPeer peer);
    void onPeerMessage(OperatorPeer peer, const PeerMessage &message);

    // There is something to tell of evacuations: they must be in force in time, or one was
    // requested.
    bool knowsEvacuations() const
    {
        return m_hasEvacuationBound || !m_records.evacuations().empty();
    }
    // What other processes must know of the evacuations.
    EvacuationUpdate evacuationUpdate() const
    {
        return {m_records.evacuations(), m_records.readUpTo()};
    }

private:
    void startSync(const platform::PlatformSettings &settings, std::uint32_t partitions,
                   std::uint64_t seed);
    void onRecord(const platform::StoreRecord &record);
    void onEvacuationRecord(const platform::StoreRecord &record);
    // A request that was withdrawn may have been deleted since, with its withdrawal.
    void onCompleteRead(const std::set<std::string> &keys, LogOffset readUpTo);
    void onReachabilityChanged(bool isReachable, const std::string &detail);
    // Applies a configuration. Ignores a version that is not newer than the one in force: the same
    // version may come from several sources, and the store may deliver records again. `source` is
    // "store", "entry" or "copy".
    void applyConfig(const std::string &text, std::string_view source, LogFields details);
    // Puts the evacuations of m_records in force if they have changed. To be called after each
    // change of m_records.
    void applyEvacuations(std::string_view source);
    // Merges records that did not come from the operators' topic.
    void mergeRecords(const OperatorSnapshot &snapshot, std::string_view source,
                      const LogFields &details);

    EventLoop &m_loop;
    HttpClient &m_http;
    Metrics &m_metrics;
    Handlers m_handlers;
    bool m_hasEvacuationBound = false; // as in PlatformSettings
    OperatorRecords m_records;
    EvacuationChanges m_evacuationChanges;
    std::unique_ptr<StoreFollower> m_follower; // none before start()
    std::unique_ptr<OperatorSync> m_sync;      // none without copies
};

} // namespace cactuscove
