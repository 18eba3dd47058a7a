// Long polls, appends and retries over the HTTP protocol of the log service.

#include "logclient.h"

#include "jsonfields.h"
#include "logging.h"
#include "recordcodec.h"

#include <algorithm>

namespace cactuscove {

using namespace std::chrono_literals;

namespace {

// A read over a connection that has gone silent fails after LongPollWait + ReadSlack = 3.5 s. The
// next read uses a new connection and has more than half of the 9 s left within which an accepted
// configuration must be in force everywhere.
constexpr Duration LongPollWait = 2s;
constexpr Duration ReadSlack = 1500ms;

constexpr Duration MinBackoff = 100ms;
constexpr Duration MaxBackoff = 2s;

constexpr int RecordsPerRead = 500;

std::string failureReason(const Result<HttpReply, HttpCallError> &reply)
{
    return isOk(reply) ? "status " + std::to_string(valueOf(reply).status) : errorOf(reply).detail;
}

bool hasStatus(const Result<HttpReply, HttpCallError> &reply, int from, int to)
{
    return isOk(reply) && valueOf(reply).status >= from && valueOf(reply).status < to;
}

// The log service will never accept this record, for example because it is too large.
bool isRejection(const Result<HttpReply, HttpCallError> &reply)
{
    return hasStatus(reply, 400, 401) || hasStatus(reply, 413, 414) || hasStatus(reply, 422, 423);
}

} // namespace

LogClient::LogClient(EventLoop &loop, HttpClient &http, LogClientSettings settings,
                     LogClientHandlers handlers)
    : m_loop(loop)
    , m_http(http)
    , m_settings(std::move(settings))
    , m_handlers(std::move(handlers))
    , m_random(static_cast<std::minstd_rand::result_type>(m_settings.seed))
    , m_retryTimer(loop, [this] {
        m_isDelayed = false;
        schedule();
    })
{}

LogClient::~LogClient()
{
    if (m_readCall)
        m_http.cancel(*m_readCall);
    if (m_appendCall)
        m_http.cancel(*m_appendCall);
}

void LogClient::setReading(bool isReading)
{
    if (std::exchange(m_isReading, isReading) == isReading)
        return;
    if (isReading && m_settings.readJitter > Duration::zero() && !m_isDelayed) {
        m_isDelayed = true;
        m_retryTimer.startIn(jitter(m_settings.readJitter));
    }
    schedule();
}

void LogClient::advanceTo(LogOffset next)
{
    if (m_isSearching ? next < m_search.firstOffset() : next <= m_position)
        return;
    m_position = next;
    m_isSearching = false; // the ledger received its state from another source
    if (m_readCall) {
        m_http.cancel(*m_readCall);
        m_readCall.reset();
    }
    schedule();
}

void LogClient::append(Record record)
{
    std::string text = encodeRecord(record);
    m_pendingAppends.push_back({std::move(record.appendId), std::move(text)});
    schedule();
}

bool LogClient::withdraw(const std::string &appendId)
{
    const auto it = std::find_if(m_pendingAppends.begin(), m_pendingAppends.end(),
                                 [&](const auto &pending) { return pending.appendId == appendId; });
    if (it == m_pendingAppends.end())
        return false; // already in the log, rejected, or never queued
    const bool isCurrent = it == m_pendingAppends.begin();
    const bool isProvablyAbsent = !it->mayBeInLog && !(isCurrent && m_appendCall);
    if (isCurrent) {
        if (m_appendCall)
            m_http.cancel(*m_appendCall);
        m_appendCall.reset();
        m_mustReadToEnd = false;
    }
    m_pendingAppends.erase(it);
    schedule();
    return isProvablyAbsent;
}

// Sends the requests that are due. While a read checks whether the first append is in the log, no
// append is sent.
void LogClient::schedule()
{
    if (m_isDelayed)
        return;
    if (!m_readCall && (m_isReading || m_mustReadToEnd))
        startRead();
    if (!m_appendCall && !m_pendingAppends.empty() && !m_mustReadToEnd)
        startAppend();
}

void LogClient::startRead()
{
    // A long poll only helps at the end of the log. A read must return at once while that end is
    // not known, which is after a start or an outage, while it looks for an append, and during a
    // search until the search has reached the end without finding a snapshot.
    const bool isSearchIdle = m_searchReachedEnd && !m_search.hasSnapshot();
    const bool isLongPoll
        = m_isReading && m_isReachable && !m_mustReadToEnd && (!m_isSearching || isSearchIdle);
    const Duration wait = isLongPoll ? LongPollWait : Duration::zero();
    HttpCall call;
    call.url
        = recordsUrl() + "?from=" + std::to_string(m_position.value)
          + "&limit=" + std::to_string(RecordsPerRead) + "&wait_ms="
          + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(wait).count());
    call.timeout = wait + ReadSlack;
    call.freshConnection = m_backoff > Duration::zero(); // pooled connections may be dead
    if (m_handlers.onReadStarted)
        m_handlers.onReadStarted();
    m_readCall = m_http.start(std::move(call), [this](const Reply &reply) {
        m_readCall.reset();
        onReadReply(reply);
        schedule();
    });
}

void LogClient::onReadReply(const Reply &reply)
{
    if (hasStatus(reply, 410, 411)) {
        const auto json = readJson(valueOf(reply).body);
        if (isOk(json) && valueOf(json).isObject() && valueOf(json)["first"].isUInt64()) {
            onCallSucceeded();
            return onTrimmed(LogOffset{valueOf(json)["first"].asUInt64()});
        }
    }
    std::optional<Page> page;
    if (hasStatus(reply, 200, 201))
        page = parsePage(valueOf(reply).body);
    if (!page)
        return onCallFailed("read", failureReason(reply));
    if (page->first > m_position)
        return onTrimmed(page->first);
    if (page->next < m_position)
        return onCallFailed("read", "the log ends at offset " + std::to_string(page->next.value)
                                        + ", before the position "
                                        + std::to_string(m_position.value));
    onCallSucceeded();
    const bool isLastPage = page->records.size() < RecordsPerRead;
    onPage(std::move(*page));
    if (isLastPage && !m_isSearching && m_handlers.onEndRead)
        m_handlers.onEndRead();
}

void LogClient::onPage(Page page)
{
    m_position = page.next;
    finishSeenAppends(page.records);
    const bool isEnd = page.records.empty();
    if (m_isSearching) {
        for (LogRecord &record : page.records)
            m_search.add(std::move(record));
        if (isEnd)
            finishSearch();
    } else if (!page.records.empty()) {
        m_handlers.onRecords(std::move(page.records), m_position);
    }
    if (isEnd)
        m_mustReadToEnd = false; // an append that has not been found is sent again
}

void LogClient::onTrimmed(LogOffset first)
{
    writeLog(
        {Severity::Warning,
         "log_trimmed",
         {{"position", std::to_string(m_position.value)}, {"first", std::to_string(first.value)}}});
    m_isSearching = true;
    m_searchReachedEnd = false;
    m_search.begin(first);
    m_position = first;
}

void LogClient::finishSearch()
{
    auto start = m_search.take();
    if (!start) {
        // The records cannot be applied without the state before them. The search continues with
        // each new record until an entry that has the state appends a snapshot.
        if (!std::exchange(m_searchReachedEnd, true))
            writeLog({Severity::Error,
                      "log_without_snapshot",
                      {{"next", std::to_string(m_position.value)}}});
        return;
    }
    m_isSearching = false;
    writeLog({Severity::Info,
              "log_restart",
              {{"as_of", std::to_string(start->snapshot.asOf.value)},
               {"next", std::to_string(m_position.value)}}});
    m_handlers.onSnapshot(start->snapshot);
    m_handlers.onRecords(std::move(start->records), m_position);
}

void LogClient::startAppend()
{
    PendingAppend &pending = m_pendingAppends.front();
    if (pending.mayBeInLog && m_handlers.hasAppend && m_handlers.hasAppend(pending.appendId)) {
        finishAppend(std::string(pending.appendId));
        return schedule();
    }
    HttpCall call;
    call.method = "POST";
    call.url = recordsUrl();
    call.headers["Content-Type"] = "application/json";
    call.body = pending.text;
    call.timeout = m_settings.appendTimeout;
    call.freshConnection = true; // on a reused connection libcurl may send the append twice
    m_appendCall = m_http.start(std::move(call), [this](const Reply &reply) {
        m_appendCall.reset();
        onAppendReply(reply);
        schedule();
    });
}

void LogClient::onAppendReply(const Reply &reply)
{
    PendingAppend &pending = m_pendingAppends.front();
    if (hasStatus(reply, 200, 300)) {
        onCallSucceeded();
        return finishAppend(std::string(pending.appendId));
    }
    if (isRejection(reply)) { // retrying it would block all later appends
        writeLog({Severity::Error,
                  "log_append_refused",
                  {{"append_id", pending.appendId}, {"reason", failureReason(reply)}}});
        return finishAppend(std::string(pending.appendId));
    }
    if (isOk(reply) || errorOf(reply).kind != HttpFailure::NotSent) {
        pending.mayBeInLog = true;
        m_mustReadToEnd = true;
        if (m_readCall) { // it may have started before the append took effect, so it proves nothing
            m_http.cancel(*m_readCall);
            m_readCall.reset();
        }
    }
    onCallFailed("append", failureReason(reply));
}

void LogClient::finishAppend(const std::string &appendId)
{
    const auto it = std::find_if(m_pendingAppends.begin(), m_pendingAppends.end(),
                                 [&](const auto &pending) { return pending.appendId == appendId; });
    if (it == m_pendingAppends.end())
        return;
    if (it == m_pendingAppends.begin()) {
        if (m_appendCall)
            m_http.cancel(*m_appendCall);
        m_appendCall.reset();
        m_mustReadToEnd = false;
    }
    m_pendingAppends.erase(it);
}

void LogClient::finishSeenAppends(const std::vector<LogRecord> &records)
{
    if (m_pendingAppends.empty())
        return;
    for (const LogRecord &it : records)
        finishAppend(it.record.appendId);
}

void LogClient::onCallSucceeded()
{
    m_backoff = Duration::zero();
    setReachable(true);
}

void LogClient::onCallFailed(std::string_view operation, const std::string &reason)
{
    if (m_isReachable)
        writeLog({Severity::Warning,
                  "log_unreachable",
                  {{"operation", std::string(operation)}, {"reason", reason}}});
    m_backoff = std::clamp(2 * m_backoff, MinBackoff, MaxBackoff);
    m_isDelayed = true;
    m_retryTimer.startIn(m_backoff / 2 + jitter(m_backoff));
    setReachable(false);
}

void LogClient::setReachable(bool isReachable)
{
    if (std::exchange(m_isReachable, isReachable) == isReachable)
        return;
    if (isReachable)
        writeLog({Severity::Info, "log_reachable", {}});
    if (m_handlers.onReachableChanged)
        m_handlers.onReachableChanged(isReachable);
}

std::optional<LogClient::Page> LogClient::parsePage(const std::string &body) const
{
    using namespace jsonfields;
    const auto json = readJson(body);
    if (!isOk(json))
        return std::nullopt;
    Page page;
    try {
        page.first = LogOffset{number(valueOf(json), "first")};
        page.next = LogOffset{number(valueOf(json), "next")};
        LogOffset expected = m_position;
        for (const Json::Value &it : array(valueOf(json), "records")) {
            const LogOffset offset{number(it, "offset")};
            if (offset != expected) // after a gap this ledger would differ from all others
                return std::nullopt;
            ++expected.value;
            auto record = decodeRecord(text(it, "body"));
            if (isOk(record)) {
                page.records.push_back({offset, std::move(valueOf(record))});
                continue;
            }
            page.records.push_back({offset, {"", MalformedRecord{}}});
            writeLog(
                {Severity::Warning,
                 "log_record_skipped",
                 {{"offset", std::to_string(offset.value)}, {"reason", errorOf(record).reason}}});
        }
        if (page.next != expected && !page.records.empty())
            return std::nullopt;
    } catch (const FieldError &) {
        return std::nullopt;
    }
    return page;
}

std::string LogClient::recordsUrl() const
{
    return m_settings.url + "/streams/" + m_settings.stream + "/records";
}

Duration LogClient::jitter(Duration upTo)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(0, upTo.count())(m_random));
}

} // namespace cactuscove
