// Follows the newest records of one keyed topic in the platform's store by long reads. Also keeps
// one record of the process's own there.
//
// The link of an instance may carry a large record in seconds. So a read may take long as long as
// it makes progress, a failed one goes on from what was received, and a reader that is behind skips
// to the newest record of each key: older ones of that key would only delay it.

#pragma once

#include "eventloop.h"
#include "httpclient.h"
#include "outbox.h"
#include "platform.h"

#include <functional>
#include <optional>
#include <random>
#include <string>

namespace cactuscove {

struct StoreFollowerSettings
{
    std::string store; // "ip:port"
    std::string topic;
    // A long read returns after this without a record. A shorter one finds a silent connection
    // sooner.
    Duration wait = std::chrono::milliseconds(700);
    Duration stallTimeout = std::chrono::milliseconds(1000); // of a read, without any progress
    Duration appendTimeout = std::chrono::milliseconds(1000);
    std::uint64_t seed = 0; // of the jitter
};

class StoreFollower
{
public:
    struct Handlers
    {
        std::function<void(const platform::StoreRecord &record)> onRecord;
        std::function<void(bool isReachable, const std::string &detail)> onReachable; // on changes
    };

    StoreFollower(EventLoop &loop, HttpClient &http, StoreFollowerSettings settings,
                  Handlers handlers);

    // Appends until the store has taken it once.
    void publish(std::string key, std::string value);

private:
    void startRead();
    void readNewest();
    void readOn();
    void startAppend();
    void onPage(const platform::StorePage &page);
    void onFailure(const platform::StoreError &error);
    void setReachable(bool isReachable, const std::string &detail);
    Duration pause(int failuresBefore);

    EventLoop &m_loop;
    HttpClient &m_http;
    StoreFollowerSettings m_settings;
    Handlers m_handlers;
    std::minstd_rand m_random;
    Timer m_readTimer;
    Timer m_appendTimer;
    int m_failures = 0;              // of reads, since the newest success
    std::optional<LogOffset> m_from; // none: the newest record of each key is read first
    LogOffset m_newestEnd;           // of the first page of newest records
    std::string m_continueFrom;      // key after which the next page begins
    std::optional<bool> m_isReachable;
    std::string m_key;
    std::string m_value;
};

} // namespace cactuscove
