// A process's side of the platform's log: reads records in order, appends them without loss.

#pragma once

#include "eventloop.h"
#include "httpclient.h"
#include "records.h"
#include "result.h"
#include "snapshotsearch.h"
#include "types.h"

#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace cactuscove {

struct LogClientSettings
{
    std::string url; // of the log service, "http://ip:port"
    std::string stream;
    std::uint64_t seed = 0; // of the jitter
    Duration readJitter{};  // setReading(true) starts within this time
    // A synced write takes several ms; a slow log takes longer, and repeats make it slower.
    Duration appendTimeout = std::chrono::seconds(3);
};

struct LogClientHandlers
{
    // Records in offset order without a gap; `next` is the first offset not yet read.
    std::function<void(std::vector<LogRecord> records, LogOffset next)> onRecords;
    // The log was trimmed beyond the reader's position, so the reader starts anew from here. The
    // records after snapshot.asOf follow in onRecords. A ledger that is past it stays as it is.
    std::function<void(const SnapshotRecord &snapshot)> onSnapshot;
    std::function<void(bool isReachable)> onReachable; // on changes; may be empty
    std::function<void()> onReadStarted;               // may be empty
    // The read that started last has returned the end of the log; after its onRecords; may be
    // empty.
    std::function<void()> onEndRead;
    // Whether the process's ledger has the append, from whatever source; may be empty.
    std::function<bool(const std::string &appendId)> hasAppend;
};

class LogClient
{
public:
    LogClient(EventLoop &loop, HttpClient &http, LogClientSettings settings,
              LogClientHandlers handlers);
    ~LogClient();
    LogClient(const LogClient &) = delete;
    LogClient &operator=(const LogClient &) = delete;

    // Commands
    void setReading(bool isReading); // long polls from position() on
    void advanceTo(LogOffset next);  // the ledger has learned the records below from elsewhere
    // Appends in the order of the calls, one at a time. An append whose fate is unclear is looked
    // for in the log and repeated with the same append id until the log has it.
    void append(Record record);
    // Gives up an append. True if the log provably does not have it.
    bool withdraw(const std::string &appendId);

    // Queries
    LogOffset position() const { return m_position; } // next offset to read
    bool isReachable() const { return m_isReachable; }
    std::size_t pendingAppends() const { return m_appends.size(); }

private:
    struct PendingAppend
    {
        std::string appendId;
        std::string text;
        bool mayBeInLog = false; // sent at least once without a clear failure
    };

    // What one read of the log returned.
    struct Page
    {
        LogOffset first; // retained
        LogOffset next;
        std::vector<LogRecord> records;
    };

    using Reply = Result<HttpReply, HttpCallError>;

    void schedule();
    void startRead();
    void onReadReply(const Reply &reply);
    void onPage(Page page);
    void onTrimmed(LogOffset first);
    void finishSearch();
    void startAppend();
    void onAppendReply(const Reply &reply);
    void finishAppend(const std::string &appendId);
    void forgetSeenAppends(const std::vector<LogRecord> &records);
    void succeeded();
    void failed(std::string_view operation, const std::string &reason);
    void setReachable(bool isReachable);
    std::optional<Page> parsePage(const std::string &body) const;
    std::string recordsUrl() const;
    Duration jitter(Duration upTo);

    EventLoop &m_loop;
    HttpClient &m_http;
    LogClientSettings m_settings;
    LogClientHandlers m_handlers;
    std::minstd_rand m_random;
    Timer m_retryTimer;

    LogOffset m_position;
    bool m_isReading = false;
    bool m_isReachable = false;
    bool m_isWaiting = false; // for m_retryTimer; nothing is sent meanwhile
    Duration m_backOff{};     // 0 after a success

    std::optional<HttpCallId> m_read;
    std::optional<HttpCallId> m_appendCall;
    std::deque<PendingAppend> m_appends;
    bool m_mustReadToTip = false; // before the first append is repeated

    bool m_isSearching = false; // from the first retained record for a snapshot to start from
    bool m_searchReachedTip = false;
    SnapshotSearch m_search;
};

} // namespace cactuscove
