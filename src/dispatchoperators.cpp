// A record is applied in the same way whatever its source.

#include "dispatchoperators.h"

#include <utility>

namespace cactuscove {

DispatchOperators::DispatchOperators(EventLoop &loop, HttpClient &http, Metrics &metrics,
                                     Handlers handlers)
    : m_loop(loop)
    , m_http(http)
    , m_metrics(metrics)
    , m_handlers(std::move(handlers))
{}

void DispatchOperators::start(const platform::PlatformSettings &settings,
                              const FeatureFlags &features, std::uint64_t seed)
{
    StoreFollowerSettings follower;
    follower.store = settings.storeAddress;
    follower.topic = platform::operatorTopic();
    follower.seed = seed;
    m_follower = std::make_unique<StoreFollower>(
        m_loop, m_http, std::move(follower),
        StoreFollower::Handlers{[this](const platform::StoreRecord &record) { onRecord(record); },
                                [this](bool isReachable, const std::string &detail) {
                                    onReachabilityChanged(isReachable, detail);
                                }});
    if (features.operatorCopies > 0)
        startSync(settings, static_cast<std::uint32_t>(features.operatorCopies), seed);
}

void DispatchOperators::startSync(const platform::PlatformSettings &settings,
                                  std::uint32_t partitions, std::uint64_t seed)
{
    m_sync = std::make_unique<OperatorSync>(
        m_loop, m_http, m_metrics, m_records,
        OperatorSyncSettings{settings.storeAddress, settings.linkAddress, partitions, seed},
        OperatorSync::Handlers{
            [this](const OperatorSnapshot &snapshot, std::string_view source,
                   const LogFields &details) { mergeRecords(snapshot, source, details); },
            m_handlers.send, m_handlers.log});
}

void DispatchOperators::entryKnown(std::string_view address)
{
    if (m_sync)
        m_sync->entryKnown(address);
}

void DispatchOperators::peerConnected(OperatorPeer peer, const PeerHello &hello)
{
    if (m_sync && hello.protocol >= 2)
        m_sync->peerConnected(peer);
}

void DispatchOperators::peerDisconnected(OperatorPeer peer)
{
    if (m_sync)
        m_sync->peerDisconnected(peer);
}

void DispatchOperators::onPeerMessage(OperatorPeer peer, const PeerMessage &message)
{
    if (m_sync)
        m_sync->onMessage(peer, message);
}

void DispatchOperators::onReachabilityChanged(bool isReachable, const std::string &detail)
{
    if (m_sync)
        m_sync->topicReachable(isReachable);
    m_handlers.log({isReachable ? Severity::Info : Severity::Warning,
                    isReachable ? "store_regained" : "store_lost",
                    {{"topic", "operators"},
                     {"detail", detail},
                     {"config", std::to_string(m_records.configVersion())}}});
}

void DispatchOperators::onRecord(const platform::StoreRecord &record)
{
    if (record.key == platform::ConfigKey)
        applyConfig(record.value, "store", {{"offset", std::to_string(record.offset.value)}});
}

void DispatchOperators::applyConfig(const std::string &text, std::string_view source,
                                    LogFields details)
{
    details.emplace_back("source", source);
    auto config = platform::parseConfig(text);
    if (!isOk(config)) {
        details.emplace_back("reason", errorOf(config).reason);
        return m_handlers.log({Severity::Error, "config_unreadable", std::move(details)});
    }
    if (!m_records.updateConfig(valueOf(config).version, text))
        return;
    m_handlers.onConfig(std::move(valueOf(config)));
    details.insert(details.begin(), {"config", std::to_string(m_records.configVersion())});
    m_handlers.log({Severity::Info, "config_source", std::move(details)});
    m_metrics.set("cactuscove_config_revision", {}, static_cast<double>(m_records.configVersion()));
    for (const std::string_view it : {"store", "entry", "copy"})
        m_metrics.set("cactuscove_config_source", {{"source", std::string(it)}}, it == source);
    if (m_sync)
        m_sync->recordsChanged();
}

void DispatchOperators::mergeRecords(const OperatorSnapshot &snapshot, std::string_view source,
                                     const LogFields &details)
{
    if (snapshot.configVersion > m_records.configVersion())
        applyConfig(snapshot.configText, source, details);
    if (m_records.mergeEvacuations(snapshot.evacuations, snapshot.readUpTo)) {
        LogFields fields = details;
        fields.emplace_back("source", source);
        fields.emplace_back("count", std::to_string(m_records.evacuatedDataCentres().size()));
        m_handlers.log({Severity::Info, "evacuations_source", std::move(fields)});
    }
    m_sync->recordsChanged();
}

} // namespace cactuscove
