// Each call to the store is one HTTP call; what follows from its outcome is decided elsewhere.

#include "operatorsync.h"

#include "platform.h"

#include <utility>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

// As in StoreFollowerSettings.
constexpr Duration StallTimeout = 1s;
constexpr Duration AppendTimeout = 1s;
// An append gets the time in addition that it takes on the slowest link, next to the appends to the
// other partitions.
constexpr std::int64_t MinLinkBytesPerSecond = 250'000;

CopySettings copySettings(const OperatorSyncSettings &settings)
{
    CopySettings it;
    it.partitions = settings.partitions;
    it.selfAddress = settings.selfAddress;
    it.maxCopyBytes = platform::MaxRecordBytes - 1 - std::string_view(CopyKey).size();
    const auto sinceBoot = bootNow().time_since_epoch();
    it.bootAtUnixMs = (std::chrono::system_clock::now().time_since_epoch() - sinceBoot) / 1ms;
    it.seed = settings.seed;
    return it;
}

// Returns none if the read has failed.
std::optional<CopyPage> copyPage(const platform::CallResult &result)
{
    auto page = platform::parseNewest(result);
    if (!isOk(page))
        return std::nullopt;
    CopyPage copy;
    copy.end = valueOf(page).end;
    for (platform::StoreRecord &it : valueOf(page).records) {
        if (it.key != CopyKey || it.value.empty())
            continue;
        copy.bytes = std::move(it.value);
        copy.offset = it.offset;
    }
    return copy;
}

CopyWriteResult copyWriteResult(const platform::CallResult &result)
{
    const auto error = platform::parseAppend(result);
    if (!error)
        return CopyWriteResult::Written;
    if (error->kind == platform::StoreFailure::Conflict)
        return CopyWriteResult::Conflict;
    return error->kind == platform::StoreFailure::Refused ? CopyWriteResult::Refused
                                                          : CopyWriteResult::Unclear;
}

} // namespace

OperatorSync::OperatorSync(EventLoop &loop, HttpClient &http, Metrics &metrics,
                           const OperatorRecords &records, OperatorSyncSettings settings,
                           Handlers handlers)
    : m_http(http)
    , m_metrics(metrics)
    , m_settings(std::move(settings))
    , m_handlers(std::move(handlers))
    , m_handover(records, bootNow())
    , m_copies(copySettings(m_settings), records, bootNow())
    , m_handoverLoop(loop, m_handover, *this)
    , m_copiesLoop(loop, m_copies, *this)
{
    // Starts the timer of the first read of the copies.
    m_copiesLoop.handleInput([](OperatorCopies &, TimePoint, CopiesOutbox &) {});
}

void OperatorSync::recordsChanged()
{
    m_copiesLoop.handleInput([this](OperatorCopies &copies, TimePoint now, CopiesOutbox &) {
        copies.recordsChanged(now);
        for (const std::uint64_t hash : m_handover.copiedHashes())
            copies.reportedCopied(hash);
    });
    m_handoverLoop.handleInput([](OperatorHandover &, TimePoint, HandoverOutbox &) {});
}

void OperatorSync::topicReachable(bool isReachable)
{
    m_copiesLoop.handleInput([isReachable](OperatorCopies &copies, TimePoint, CopiesOutbox &) {
        copies.topicRead(isReachable);
    });
    m_handoverLoop.handleInput(
        [isReachable](OperatorHandover &handover, TimePoint, HandoverOutbox &) {
            handover.readerChanged(isReachable);
        });
}

void OperatorSync::peerConnected(OperatorPeer peer)
{
    m_handoverLoop.handleInput([peer](OperatorHandover &handover, TimePoint, HandoverOutbox &) {
        handover.peerConnected(peer);
    });
}

void OperatorSync::peerDisconnected(OperatorPeer peer)
{
    m_handoverLoop.handleInput([peer](OperatorHandover &handover, TimePoint, HandoverOutbox &) {
        handover.peerDisconnected(peer);
    });
}

void OperatorSync::onMessage(OperatorPeer peer, const PeerMessage &message)
{
    const auto *offer = std::get_if<OperatorOffer>(&message);
    const auto *request = std::get_if<OperatorRequest>(&message);
    const auto *state = std::get_if<OperatorState>(&message);
    if (!offer && !request && !state)
        return;
    if (offer)
        m_copiesLoop.handleInput([&](OperatorCopies &copies, TimePoint, CopiesOutbox &) {
            copies.reportedCopied(offer->copiedHash);
        });
    if (state)
        m_handlers.onRecords(state->snapshot, "entry", {});
    m_handoverLoop.handleInput([&](OperatorHandover &handover, TimePoint now, HandoverOutbox &out) {
        if (offer)
            handover.onOffer(peer, *offer, now);
        else if (request)
            handover.onRequest(peer, *request, now, out);
        else
            handover.onState(peer);
    });
}

void OperatorSync::perform(LogEvent &effect)
{
    if (effect.name == "copy_unreadable")
        count("unreadable");
    m_handlers.log(effect);
}

void OperatorSync::perform(ReadCopy &effect)
{
    m_http.start(platform::makeNewestCall(m_settings.store, platform::productTopic(CopyTopic), "",
                                          StallTimeout, effect.partition),
                 [this, partition = effect.partition](const platform::CallResult &result) {
                     const std::optional<CopyPage> page = copyPage(result);
                     count(page ? "read" : "failed");
                     m_copiesLoop.handleInput(
                         [&](OperatorCopies &copies, TimePoint now, CopiesOutbox &out) {
                             copies.onRead(partition, page, now, out);
                         });
                 });
}

void OperatorSync::perform(WriteCopy &effect)
{
    const Duration sendTime = std::chrono::seconds(1)
                              * static_cast<std::int64_t>(effect.bytes.size())
                              * m_settings.partitions / MinLinkBytesPerSecond;
    m_http.start(platform::makeAppendCall(m_settings.store, platform::productTopic(CopyTopic),
                                          CopyKey, effect.bytes, AppendTimeout + sendTime,
                                          effect.partition, effect.at),
                 [this, partition = effect.partition](const platform::CallResult &reply) {
                     const CopyWriteResult result = copyWriteResult(reply);
                     if (result == CopyWriteResult::Conflict)
                         count("conflict");
                     else
                         count(result == CopyWriteResult::Written ? "written" : "failed");
                     m_copiesLoop.handleInput(
                         [&](OperatorCopies &copies, TimePoint now, CopiesOutbox &out) {
                             copies.onWritten(partition, result, now, out);
                         });
                 });
}

void OperatorSync::perform(UseCopy &effect)
{
    m_handlers.onRecords(effect.copy.snapshot, "copy",
                         {{"partition", std::to_string(effect.partition)},
                          {"age_ms", std::to_string(effect.age / 1ms)}});
}

void OperatorSync::count(const char *result)
{
    m_metrics.add("cactuscove_operator_copies_total", {{"result", result}});
}

void OperatorSync::onPendingProcessed(TimePoint)
{
    if (std::exchange(m_copiedHash, m_copies.copiedHash()) == m_copies.copiedHash())
        return;
    m_handoverLoop.handleInput([this](OperatorHandover &handover, TimePoint, HandoverOutbox &) {
        handover.setCopied(m_copiedHash);
    });
}

} // namespace cactuscove
