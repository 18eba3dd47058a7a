// There is at most one read and one append at a time. Failed ones are repeated after a delay with
// jitter.

#include "storefollower.h"

#include "durations.h"
#include "storeretry.h"

#include <utility>

namespace cactuscove {

LogEvent unreadableRecordEvent(std::string_view topic, std::string_view key)
{
    return {Severity::Warning,
            "store_record_unreadable",
            {{"topic", std::string(topic)}, {"key", std::string(key)}}};
}

LogEvent failedReadEvent(std::string_view topic, const FailedRead &read)
{
    const bool isAnswered = read.error.kind != platform::StoreFailure::Unreachable;
    const char *connection = read.error.isReusedConnection ? "reused" : "new";
    return {Severity::Info,
            "store_read_failed",
            {{"topic", std::string(topic)},
             {"detail", read.error.detail},
             {"connection", isAnswered ? "answered" : connection},
             {"duration_ms", toMsString(read.duration)},
             {"failures_before", std::to_string(read.failuresBefore)},
             {"offset", read.offset ? std::to_string(read.offset->value) : "newest"}}};
}

StoreFollower::StoreFollower(EventLoop &loop, HttpClient &http, StoreFollowerSettings settings,
                             Handlers handlers)
    : m_loop(loop)
    , m_http(http)
    , m_settings(std::move(settings))
    , m_handlers(std::move(handlers))
    , m_random(static_cast<std::minstd_rand::result_type>(m_settings.seed))
    , m_readTimer(loop, [this] { startRead(); })
    , m_appendTimer(loop, [this] { startAppend(); })
{
    m_readTimer.startIn({});
}

void StoreFollower::setReachable(bool isReachable, const std::string &detail)
{
    if (m_isReachable == isReachable)
        return;
    m_isReachable = isReachable;
    if (m_handlers.onReachabilityChanged)
        m_handlers.onReachabilityChanged(isReachable, detail);
}

void StoreFollower::startRead()
{
    m_readStartedAt = m_loop.now();
    if (m_nextOffset)
        readNext();
    else
        readNewest();
}

void StoreFollower::readNewest()
{
    m_http.start(platform::makeNewestCall(m_settings.store, m_settings.topic, m_continueAfterKey,
                                          m_settings.stallTimeout),
                 [this](const platform::CallResult &result) {
                     const auto page = platform::parseNewest(result);
                     if (!isOk(page))
                         return onFailure(errorOf(page));
                     if (m_continueAfterKey.empty())
                         m_firstPageEnd = valueOf(page).next;
                     onPage(valueOf(page));
                     for (const platform::StoreRecord &it : valueOf(page).records)
                         m_newestKeys.insert(it.key);
                     for (const std::string &it : valueOf(page).unreadableKeys)
                         skipUnreadable(it);
                     m_continueAfterKey = valueOf(page).continueAfterKey;
                     if (m_continueAfterKey.empty())
                         onNewestRead();
                     startRead();
                 });
}

// The pages are not a snapshot. Records that were appended while the pages were read come after the
// end that the first page reported.
void StoreFollower::onNewestRead()
{
    m_nextOffset = m_firstPageEnd;
    const std::set<std::string> keys = std::exchange(m_newestKeys, {});
    // A record without a readable key may be that of any key that seems to be missing.
    const bool isComplete = keys.count("") == 0;
    if (isComplete && m_handlers.onCompleteRead)
        m_handlers.onCompleteRead(keys, m_firstPageEnd);
}

void StoreFollower::skipUnreadable(const std::string &key)
{
    m_newestKeys.insert(key);
    if (m_handlers.onUnreadableRecord)
        m_handlers.onUnreadableRecord(key);
}

void StoreFollower::readNext()
{
    m_http.start(platform::makeReadCall(m_settings.store, m_settings.topic, *m_nextOffset,
                                        m_settings.readWait, m_settings.stallTimeout),
                 [this](const platform::CallResult &result) {
                     const auto page = platform::parseRead(result, *m_nextOffset);
                     if (!isOk(page))
                         return onFailure(errorOf(page));
                     onPage(valueOf(page));
                     m_nextOffset = valueOf(page).next;
                     // More records follow: skip to the newest of each key.
                     if (valueOf(page).end > valueOf(page).next)
                         m_nextOffset.reset();
                     startRead();
                 });
}

void StoreFollower::onPage(const platform::StorePage &page)
{
    m_readFailures = 0;
    setReachable(true, {});
    for (const platform::StoreRecord &it : page.records)
        m_handlers.onRecord(it);
}

void StoreFollower::onFailure(const platform::StoreError &error)
{
    if (m_handlers.onReadFailed)
        m_handlers.onReadFailed(
            {error, m_loop.now() - m_readStartedAt, m_readFailures, m_nextOffset});
    const bool isTrimmed = error.kind == platform::StoreFailure::Trimmed;
    // Reading at this offset again would fail again, because its records are gone or malformed.
    if (isTrimmed || error.kind == platform::StoreFailure::Malformed) {
        m_nextOffset.reset();
        m_continueAfterKey.clear();
        m_newestKeys.clear();
    }
    if (isTrimmed)
        return m_readTimer.startIn({});
    setReachable(false, error.detail);
    m_readTimer.startIn(storeRetryDelay(m_readFailures++, m_random));
}

void StoreFollower::publish(std::string key, std::string value)
{
    m_publishedKey = std::move(key);
    m_publishedValue = std::move(value);
    startAppend();
}

// An append whose answer was lost is repeated: a second copy of the same record does no harm.
void StoreFollower::startAppend()
{
    m_http.start(platform::makeAppendCall(m_settings.store, m_settings.topic, m_publishedKey,
                                          m_publishedValue, m_settings.appendTimeout),
                 [this](const platform::CallResult &result) {
                     if (platform::parseAppend(result))
                         // The delay between appends does not grow.
                         m_appendTimer.startIn(storeRetryDelay(0, m_random));
                 });
}

} // namespace cactuscove
