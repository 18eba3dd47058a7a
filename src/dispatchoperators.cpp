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
    m_hasEvacuationBound = settings.hasEvacuationBound;
    StoreFollowerSettings follower;
    follower.store = settings.storeAddress;
    follower.topic = platform::operatorTopic();
    follower.seed = seed;
    m_follower = std::make_unique<StoreFollower>(
        m_loop, m_http, std::move(follower),
        StoreFollower::Handlers{[this](const platform::StoreRecord &record) { onRecord(record); },
                                [this](bool isReachable, const std::string &detail) {
                                    onReachabilityChanged(isReachable, detail);
                                },
                                [this](const std::set<std::string> &keys, LogOffset readUpTo) {
                                    onCompleteRead(keys, readUpTo);
                                },
                                [this](std::string_view key) {
                                    m_handlers.log(unreadableRecordEvent("operators", key));
                                },
                                [this](const FailedRead &read) {
                                    m_handlers.log(failedReadEvent("operators", read));
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
    if (m_sync && hello.protocol >= OperatorMessagesProtocol)
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
    if (platform::isEvacuationKey(record.key))
        onEvacuationRecord(record);
    else if (record.key == platform::ConfigKey)
        applyConfig(record.value, "store", {{"offset", std::to_string(record.offset.value)}});
}

void DispatchOperators::onEvacuationRecord(const platform::StoreRecord &record)
{
    const auto evacuation = platform::parseEvacuation(record);
    std::optional<LogEvent> event;
    if (!isOk(evacuation))
        event
            = m_evacuationChanges.unreadable(record.key, record.offset, errorOf(evacuation).reason);
    else if (!m_records.updateEvacuation(valueOf(evacuation)))
        event = m_evacuationChanges.withoutEffect(valueOf(evacuation), m_records);
    if (event)
        m_handlers.log(*event);
    applyEvacuations("store");
}

void DispatchOperators::onCompleteRead(const std::set<std::string> &keys, LogOffset readUpTo)
{
    std::set<std::string> evacuated;
    for (const std::string &it : keys)
        evacuated.insert(platform::evacuatedDataCentre(it));
    if (evacuated.empty() && !knowsEvacuations())
        return;
    m_records.completeRead(evacuated, readUpTo);
    applyEvacuations("store");
}

void DispatchOperators::onEvacuationUpdate(std::string_view sender, const EvacuationUpdate &update)
{
    if (update.evacuations.empty() && !knowsEvacuations())
        return;
    m_records.mergeEvacuations(update.evacuations, update.readUpTo);
    applyEvacuations(sender);
}

void DispatchOperators::applyEvacuations(std::string_view source)
{
    const EvacuationChanges::Change change
        = m_evacuationChanges.update(m_records, source, m_handlers.workersIn);
    for (const LogEvent &it : change.events)
        m_handlers.log(it);
    if (!change.mustBeSent)
        return;
    const std::set<std::string> dataCentres = m_records.evacuatedDataCentres();
    m_metrics.set("cactuscove_evacuated_data_centres", {}, static_cast<double>(dataCentres.size()));
    m_handlers.onEvacuations(dataCentres);
    if (m_sync)
        m_sync->recordsChanged();
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
    if (snapshot.evacuations.empty() && !knowsEvacuations())
        return;
    m_records.mergeEvacuations(snapshot.evacuations, snapshot.readUpTo);
    applyEvacuations(source);
}

} // namespace cactuscove
