// One read at a time, one append at a time, pauses with jitter after failures.

#include "storefollower.h"

#include <algorithm>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

// All instances lose the store at once and must not come back at once.
constexpr Duration ShortestPause = 60ms;
constexpr Duration PauseSpread = 120ms;
constexpr int MaxDoublings = 2; // of the spread, after repeated failures

} // namespace

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

Duration StoreFollower::pause(int failuresBefore)
{
    const Duration spread = PauseSpread * (1 << std::min(failuresBefore, MaxDoublings));
    std::uniform_int_distribution<Duration::rep> pick(0, spread.count());
    return ShortestPause + Duration(pick(m_random));
}

void StoreFollower::setReachable(bool isReachable, const std::string &detail)
{
    if (m_isReachable == isReachable)
        return;
    m_isReachable = isReachable;
    if (m_handlers.onReachable)
        m_handlers.onReachable(isReachable, detail);
}

void StoreFollower::startRead()
{
    if (m_from)
        readOn();
    else
        readNewest();
}

void StoreFollower::readNewest()
{
    m_http.start(platform::newestCall(m_settings.store, m_settings.topic, m_continueFrom,
                                      m_settings.stallTimeout),
                 [this](const platform::CallResult &result) {
                     const auto page = platform::parseNewest(result);
                     if (!isOk(page))
                         return onFailure(errorOf(page));
                     if (m_continueFrom.empty())
                         m_newestEnd = valueOf(page).next;
                     onPage(valueOf(page));
                     m_continueFrom = valueOf(page).continueFrom;
                     // Pages are no snapshot: what came meanwhile is read from the first end.
                     if (m_continueFrom.empty())
                         m_from = m_newestEnd;
                     startRead();
                 });
}

void StoreFollower::readOn()
{
    m_http.start(platform::readCall(m_settings.store, m_settings.topic, *m_from, m_settings.wait,
                                    m_settings.stallTimeout),
                 [this](const platform::CallResult &result) {
                     const auto page = platform::parseRead(result, *m_from);
                     if (!isOk(page))
                         return onFailure(errorOf(page));
                     onPage(valueOf(page));
                     m_from = valueOf(page).next;
                     if (valueOf(page).end > valueOf(page).next)
                         m_from.reset();
                     startRead();
                 });
}

void StoreFollower::onPage(const platform::StorePage &page)
{
    m_failures = 0;
    setReachable(true, {});
    for (const platform::StoreRecord &it : page.records)
        m_handlers.onRecord(it);
}

void StoreFollower::onFailure(const platform::StoreError &error)
{
    const bool isTrimmed = error.kind == platform::StoreFailure::Trimmed;
    // Records that are gone, or that cannot be read at this offset, never will be read there.
    if (isTrimmed || error.kind == platform::StoreFailure::Malformed) {
        m_from.reset();
        m_continueFrom.clear();
    }
    if (isTrimmed)
        return m_readTimer.startIn({});
    setReachable(false, error.detail);
    m_readTimer.startIn(pause(m_failures++));
}

void StoreFollower::publish(std::string key, std::string value)
{
    m_key = std::move(key);
    m_value = std::move(value);
    startAppend();
}

// Every copy of the record says the same, so a repeat after a lost answer does no harm.
void StoreFollower::startAppend()
{
    m_http.start(platform::appendCall(m_settings.store, m_settings.topic, m_key, m_value,
                                      m_settings.appendTimeout),
                 [this](const platform::CallResult &result) {
                     if (platform::parseAppend(result))
                         m_appendTimer.startIn(pause(0));
                 });
}

} // namespace cactuscove
