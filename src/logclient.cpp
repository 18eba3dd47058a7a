// Long polls, appends and their repetition over the HTTP protocol of the log service.

#include "logclient.h"

#include "jsonfields.h"
#include "logging.h"
#include "recordcodec.h"

#include <algorithm>

namespace cactuscove {

using namespace std::chrono_literals;

namespace {

// A silent connection is noticed after wait + slack and the records are read over a new one, which
// leaves more than half of the 9 s within which a configuration must be in force.
constexpr Duration LongPollWait = 2s;
constexpr Duration ReadSlack = 1500ms;

constexpr Duration MinBackOff = 100ms;
constexpr Duration MaxBackOff = 2s;

constexpr int RecordsPerRead = 500;

std::string reasonOf(const Result<HttpReply, HttpCallError> &reply)
{
    return isOk(reply) ? "status " + std::to_string(valueOf(reply).status) : errorOf(reply).detail;
}

bool hasStatus(const Result<HttpReply, HttpCallError> &reply, int from, int to)
{
    return isOk(reply) && valueOf(reply).status >= from && valueOf(reply).status < to;
}

// The log will never take this record, for example because it is too large.
bool isRefusal(const Result<HttpReply, HttpCallError> &reply)
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
        m_isWaiting = false;
        schedule();
    })
{}

LogClient::~LogClient()
{
    if (m_read)
        m_http.cancel(*m_read);
    if (m_appendCall)
        m_http.cancel(*m_appendCall);
}

void LogClient::setReading(bool isReading)
{
    if (std::exchange(m_isReading, isReading) == isReading)
        return;
    if (isReading && m_settings.readJitter > Duration::zero() && !m_isWaiting) {
        m_isWaiting = true;
        m_retryTimer.startIn(jitter(m_settings.readJitter));
    }
    schedule();
}

void LogClient::advanceTo(LogOffset next)
{
    if (m_isSearching ? next < m_search.firstOffset() : next <= m_position)
        return;
    m_position = next;
    m_isSearching = false; // a feed has brought the state that was searched for
    if (m_read) {
        m_http.cancel(*m_read);
        m_read.reset();
    }
    schedule();
}

void LogClient::append(Record record)
{
    std::string text = encodeRecord(record);
    m_appends.push_back({std::move(record.appendId), std::move(text)});
    schedule();
}

bool LogClient::withdraw(const std::string &appendId)
{
    const auto it = std::find_if(m_appends.begin(), m_appends.end(),
                                 [&](const auto &pending) { return pending.appendId == appendId; });
    if (it == m_appends.end())
        return false; // done, or never asked for
    const bool isCurrent = it == m_appends.begin();
    const bool isClear = !it->mayBeInLog && !(isCurrent && m_appendCall);
    if (isCurrent) {
        if (m_appendCall)
            m_http.cancel(*m_appendCall);
        m_appendCall.reset();
        m_mustReadToTip = false;
    }
    m_appends.erase(it);
    schedule();
    return isClear;
}

// Starts whatever is due. Appends wait for the reading that looks for the current one.
void LogClient::schedule()
{
    if (m_isWaiting)
        return;
    if (!m_read && (m_isReading || m_mustReadToTip))
        startRead();
    if (!m_appendCall && !m_appends.empty() && !m_mustReadToTip)
        startAppend();
}

void LogClient::startRead()
{
    // The first read after a start, an outage or a found snapshot only looks for the tip.
    const bool isSearchIdle = m_searchReachedTip && !m_search.hasSnapshot();
    const bool isLongPoll
        = m_isReading && m_isReachable && !m_mustReadToTip && (!m_isSearching || isSearchIdle);
    const Duration wait = isLongPoll ? LongPollWait : Duration::zero();
    HttpCall call;
    call.url
        = recordsUrl() + "?from=" + std::to_string(m_position.value)
          + "&limit=" + std::to_string(RecordsPerRead) + "&wait_ms="
          + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(wait).count());
    call.timeout = wait + ReadSlack;
    call.freshConnection = m_backOff > Duration::zero(); // pooled ones may be silent for good
    if (m_handlers.onReadStarted)
        m_handlers.onReadStarted();
    m_read = m_http.start(std::move(call), [this](const Reply &reply) {
        m_read.reset();
        onReadReply(reply);
        schedule();
    });
}

void LogClient::onReadReply(const Reply &reply)
{
    if (hasStatus(reply, 410, 411)) {
        const auto json = readJson(valueOf(reply).body);
        if (isOk(json) && valueOf(json).isObject() && valueOf(json)["first"].isUInt64()) {
            succeeded();
            return onTrimmed(LogOffset{valueOf(json)["first"].asUInt64()});
        }
    }
    std::optional<Page> page;
    if (hasStatus(reply, 200, 201))
        page = parsePage(valueOf(reply).body);
    if (!page)
        return failed("read", reasonOf(reply));
    if (page->first > m_position)
        return onTrimmed(page->first);
    if (page->next < m_position)
        return failed("read", "the log ends at " + std::to_string(page->next.value)
                                  + ", before the position " + std::to_string(m_position.value));
    succeeded();
    const bool isWhole = page->records.size() < RecordsPerRead;
    onPage(std::move(*page));
    if (isWhole && !m_isSearching && m_handlers.onEndRead)
        m_handlers.onEndRead();
}

void LogClient::onPage(Page page)
{
    m_position = page.next;
    forgetSeenAppends(page.records);
    const bool isTip = page.records.empty();
    if (m_isSearching) {
        for (LogRecord &record : page.records)
            m_search.add(std::move(record));
        if (isTip)
            finishSearch();
    } else if (!page.records.empty()) {
        m_handlers.onRecords(std::move(page.records), m_position);
    }
    if (isTip)
        m_mustReadToTip = false; // an append that was not seen by now is sent again
}

void LogClient::onTrimmed(LogOffset first)
{
    writeLog(
        {Severity::Warning,
         "log_trimmed",
         {{"position", std::to_string(m_position.value)}, {"first", std::to_string(first.value)}}});
    m_isSearching = true;
    m_searchReachedTip = false;
    m_search.begin(first);
    m_position = first;
}

void LogClient::finishSearch()
{
    auto start = m_search.take();
    if (!start) {
        // The records so far cannot be applied without a state before them. An entry that has the
        // state writes a snapshot; until then the search goes on with each new record.
        if (!std::exchange(m_searchReachedTip, true))
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
    PendingAppend &pending = m_appends.front();
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
    // On a reused connection libcurl itself may send the append twice.
    call.freshConnection = true;
    m_appendCall = m_http.start(std::move(call), [this](const Reply &reply) {
        m_appendCall.reset();
        onAppendReply(reply);
        schedule();
    });
}

void LogClient::onAppendReply(const Reply &reply)
{
    PendingAppend &pending = m_appends.front();
    if (hasStatus(reply, 200, 300)) {
        succeeded();
        return finishAppend(std::string(pending.appendId));
    }
    if (isRefusal(reply)) { // repeating it would block all later appends
        writeLog({Severity::Error,
                  "log_append_refused",
                  {{"append_id", pending.appendId}, {"reason", reasonOf(reply)}}});
        return finishAppend(std::string(pending.appendId));
    }
    if (isOk(reply) || errorOf(reply).kind != HttpFailure::NotSent) {
        pending.mayBeInLog = true;
        m_mustReadToTip = true;
        if (m_read) { // it may have started before the append took effect
            m_http.cancel(*m_read);
            m_read.reset();
        }
    }
    failed("append", reasonOf(reply));
}

void LogClient::finishAppend(const std::string &appendId)
{
    const auto it = std::find_if(m_appends.begin(), m_appends.end(),
                                 [&](const auto &pending) { return pending.appendId == appendId; });
    if (it == m_appends.end())
        return;
    if (it == m_appends.begin()) {
        if (m_appendCall)
            m_http.cancel(*m_appendCall);
        m_appendCall.reset();
        m_mustReadToTip = false;
    }
    m_appends.erase(it);
}

void LogClient::forgetSeenAppends(const std::vector<LogRecord> &records)
{
    if (m_appends.empty())
        return;
    for (const LogRecord &it : records)
        finishAppend(it.record.appendId);
}

void LogClient::succeeded()
{
    m_backOff = Duration::zero();
    setReachable(true);
}

void LogClient::failed(std::string_view operation, const std::string &reason)
{
    if (m_isReachable)
        writeLog({Severity::Warning,
                  "log_unreachable",
                  {{"operation", std::string(operation)}, {"reason", reason}}});
    m_backOff = std::clamp(2 * m_backOff, MinBackOff, MaxBackOff);
    m_isWaiting = true;
    m_retryTimer.startIn(m_backOff / 2 + jitter(m_backOff));
    setReachable(false);
}

void LogClient::setReachable(bool isReachable)
{
    if (std::exchange(m_isReachable, isReachable) == isReachable)
        return;
    if (isReachable)
        writeLog({Severity::Info, "log_reachable", {}});
    if (m_handlers.onReachable)
        m_handlers.onReachable(isReachable);
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
            if (offset != expected) // a gap would make this ledger differ from all others
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
