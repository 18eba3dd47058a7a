// Follows one keyed topic in the platform's store: reads the newest record of each key, then new
// records by long reads. Can also publish one record of this process in the topic.
//
// A large record may take seconds over the network link of an instance. Therefore a read may take
// long while it makes progress, a read after a failure continues after the records that were
// received, and a follower that is behind skips to the newest record of each key, as older records
// of the key would only delay it.

#pragma once

#include "eventloop.h"
#include "httpclient.h"
#include "outbox.h"
#include "platform.h"

#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>

namespace cactuscove {

struct StoreFollowerSettings
{
    std::string store; // "ip:port"
    std::string topic; // named by platform::operatorTopic() or productTopic()
    // The store ends a long read after this time if there is no new record. With a shorter time a
    // broken connection is found sooner.
    Duration readWait = std::chrono::milliseconds(700);
    // A read of which nothing arrives for this long has failed. Must be longer than `readWait`.
    Duration stallTimeout = std::chrono::milliseconds(1000);
    Duration appendTimeout = std::chrono::milliseconds(1000); // of a whole append
    std::uint64_t seed = 0; // of the jitter of retries; a different one in each process
};

// A read that has failed.
struct FailedRead
{
    platform::StoreError error;
    Duration duration{};             // from the begin of the read
    int failuresBefore = 0;          // reads in a row that failed before it
    std::optional<LogOffset> offset; // that was to be read; none: the newest records
};

// Return the events that report a skipped record and a failed read of `topic`.
LogEvent unreadableRecordEvent(std::string_view topic, std::string_view key);
LogEvent failedReadEvent(std::string_view topic, const FailedRead &read);

class StoreFollower
{
public:
    // Called from the event loop.
    struct Handlers
    {
        // A record was read. The same record may be reported again, and a record that is followed
        // by a newer one with the same key may be skipped.
        std::function<void(const platform::StoreRecord &record)> onRecord;
        // The first read has ended, or the store has become reachable or unreachable since.
        // `detail` is the error of the failed read; empty if the store is reachable. The handler
        // may be empty.
        std::function<void(bool isReachable, const std::string &detail)> onReachabilityChanged;
        // The newest record of each key was read and reported. `keys` are all keys that had one; a
        // key that is missing had none before `readUpTo`. Not called if a record names no key. The
        // handler may be empty.
        std::function<void(const std::set<std::string> &keys, LogOffset readUpTo)> onCompleteRead;
        // A record among the newest ones cannot be decoded and is skipped. `key` is empty if it
        // names none. The handler may be empty.
        std::function<void(std::string_view key)> onUnreadableRecord;
        // A read has failed; it will be repeated. The handler may be empty.
        std::function<void(const FailedRead &read)> onReadFailed;
    };

    // Begins to read in the next iteration of `loop`. Failed reads are retried without limit.
    // `loop` and `http` must outlive this object, and no call of `http` may end after its
    // destruction.
    StoreFollower(EventLoop &loop, HttpClient &http, StoreFollowerSettings settings,
                  Handlers handlers);

    // Appends a record to the topic and repeats the append until the store has acknowledged it
    // once. Must not be called a second time.
    void publish(std::string key, std::string value);

private:
    void startRead();
    void readNewest();
    void readNext();
    void onNewestRead(); // the last page of newest records was read
    void skipUnreadable(const std::string &key);
    void startAppend();
    void onPage(const platform::StorePage &page);
    void onFailure(const platform::StoreError &error);
    void setReachable(bool isReachable, const std::string &detail);

    EventLoop &m_loop;
    HttpClient &m_http;
    StoreFollowerSettings m_settings;
    Handlers m_handlers;
    std::minstd_rand m_random;
    Timer m_readTimer;
    Timer m_appendTimer;
    TimePoint m_readStartedAt{}; // of the newest read
    int m_readFailures = 0;      // in a row; 0 after a successful read
    // Next offset to read. None: the newest record of each key is read first, in pages.
    std::optional<LogOffset> m_nextOffset;
    LogOffset m_firstPageEnd;           // end of the topic when the first page was read
    std::string m_continueAfterKey;     // key after which the next page begins; empty: first page
    std::set<std::string> m_newestKeys; // of the pages that were read so far
    std::optional<bool> m_isReachable;  // none before the first read has ended
    std::string m_publishedKey;         // of the published record
    std::string m_publishedValue;       // of the published record
};

} // namespace cactuscove
