// Client of the platform's log service, an append-only stream of records that all processes share.
// Reads the records in order and appends new ones without loss. Each process has one LogClient,
// owned by NodeProcess.

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
    std::string url;        // of the log service, "http://ip:port"
    std::string stream;     // name of the stream in the log service
    std::uint64_t seed = 0; // for the jitter of delays
    Duration readJitter{}; // setReading(true) sends the first read after a random part of this time
    // A write that the log service syncs to disk takes several ms, and longer under load. A shorter
    // timeout would add repeated appends to that load.
    Duration appendTimeout = std::chrono::seconds(3);
};

// Called from the event loop. onRecords and onSnapshot must be set; the others may be empty.
struct LogClientHandlers
{
    // Records that were read, in offset order and without a gap, including malformed ones. `next`
    // is the first offset that has not been read.
    std::function<void(std::vector<LogRecord> records, LogOffset next)> onRecords;
    // The log no longer has the record at position(), so reading restarts from a snapshot. The
    // records after snapshot.asOf follow in onRecords. The receiver must ignore a snapshot that is
    // older than its own state.
    std::function<void(const SnapshotRecord &snapshot)> onSnapshot;
    std::function<void(bool isReachable)> onReachableChanged; // isReachable() has changed
    std::function<void()> onReadStarted;                      // a read request is about to be sent
    // The newest read has returned all records up to the end of the log. Called after its
    // onRecords.
    std::function<void()> onEndRead;
    // Returns whether the ledger of the process contains the append. The ledger may have received
    // it other than through this client.
    std::function<bool(const std::string &appendId)> hasAppend;
};

class LogClient
{
public:
    // `loop` and `http` must outlive this object. Reading is off at first.
    LogClient(EventLoop &loop, HttpClient &http, LogClientSettings settings,
              LogClientHandlers handlers);
    ~LogClient();
    LogClient(const LogClient &) = delete;
    LogClient &operator=(const LogClient &) = delete;

    // Commands
    // Starts or stops continuous reading from position() on, by long polls.
    void setReading(bool isReading);
    // Skips the records below `next`, because the ledger has received them from another source.
    void advanceTo(LogOffset next);
    // Queues a record for append. Records are appended one at a time in the order of the calls. If
    // the result of an append is unknown, the client reads the log up to its end and repeats the
    // append with the same append id unless the log has it. Readers ignore a repeated append id. An
    // append that the log service rejects (status 400, 413 or 422) is dropped and logged.
    void append(Record record);
    // Drops an append from the queue. Returns true if the log provably does not contain it, false
    // if it may contain it or the append is not in the queue.
    bool withdraw(const std::string &appendId);

    // Queries
    LogOffset position() const { return m_position; } // next offset to read; 0 at first
    // Whether the last call to the log service succeeded; false before the first one.
    bool isReachable() const { return m_isReachable; }
    std::size_t pendingAppends() const { return m_pendingAppends.size(); } // queued or being sent

private:
    struct PendingAppend
    {
        std::string appendId;
        std::string text;        // encoded record
        bool mayBeInLog = false; // was sent at least once with an unknown result
    };

    // The response to one read.
    struct Page
    {
        LogOffset first; // oldest offset that the log still has
        LogOffset next;  // first offset after the records
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
    void finishAppend(const std::string &appendId); // removes it from the queue
    void finishSeenAppends(const std::vector<LogRecord> &records);
    void onCallSucceeded();
    void onCallFailed(std::string_view operation,
                      const std::string &reason); // retries after a delay
    void setReachable(bool isReachable);
    std::optional<Page> parsePage(const std::string &body) const; // nothing if it is malformed
    std::string recordsUrl() const;
    Duration jitter(Duration upTo); // random, from 0 to `upTo`

    EventLoop &m_loop;
    HttpClient &m_http;
    LogClientSettings m_settings;
    LogClientHandlers m_handlers;
    std::minstd_rand m_random;
    Timer m_retryTimer;

    LogOffset m_position;
    bool m_isReading = false;
    bool m_isReachable = false;
    bool m_isDelayed = false; // nothing is sent until m_retryTimer runs
    Duration m_backoff{};     // mean delay before the newest retry; 0 after a success

    std::optional<HttpCallId> m_readCall;   // read in progress
    std::optional<HttpCallId> m_appendCall; // append of m_pendingAppends.front() in progress
    std::deque<PendingAppend> m_pendingAppends;
    // The log must be read up to its end before m_pendingAppends.front() may be sent again.
    bool m_mustReadToEnd = false;

    // The log was trimmed beyond the position. Records go to m_search instead of onRecords, from
    // the oldest one that the log has, until a snapshot to restart from is found.
    bool m_isSearching = false;
    bool m_searchReachedEnd = false;
    SnapshotSearch m_search;
};

} // namespace cactuscove
