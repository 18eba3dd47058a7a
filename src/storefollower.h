// Follows the newest records of one keyed topic in the platform's store by long reads, and reads
// all of it anew after any doubt. Also keeps one record of the process's own there.

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
    Duration timeout = std::chrono::milliseconds(1000);
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
    void startAppend();
    void onPage(const platform::StorePage &page);
    void onFailure(const platform::StoreError &error);
    void setReachable(bool isReachable, const std::string &detail);
    Duration pause();

    EventLoop &m_loop;
    HttpClient &m_http;
    StoreFollowerSettings m_settings;
    Handlers m_handlers;
    std::minstd_rand m_random;
    Timer m_readTimer;
    Timer m_appendTimer;
    std::optional<LogOffset> m_from; // none: the newest records are read first
    LogOffset m_newestEnd;           // of the first page of newest records
    std::string m_continueFrom;      // key after which the next page begins
    std::optional<bool> m_isReachable;
    std::string m_key;
    std::string m_value;
};

} // namespace cactuscove
