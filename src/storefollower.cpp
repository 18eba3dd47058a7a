// One read at a time, one append at a time, pauses with jitter after failures.

#include "storefollower.h"

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

// All instances lose the store at once and must not come back at once.
constexpr Duration ShortestPause = 60ms;
constexpr Duration PauseSpread = 120ms;

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

Duration StoreFollower::pause()
{
    std::uniform_int_distribution<Duration::rep> spread(0, PauseSpread.count());
    return ShortestPause + Duration(spread(m_random));
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
    if (!m_from) {
        m_http.start(platform::newestCall(m_settings.store, m_settings.topic, m_continueFrom,
                                          m_settings.timeout),
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
        return;
    }
    m_http.start(platform::readCall(m_settings.store, m_settings.topic, *m_from, m_settings.wait,
                                    m_settings.timeout),
                 [this](const platform::CallResult &result) {
                     const auto page = platform::parseRead(result, *m_from);
                     if (!isOk(page))
                         return onFailure(errorOf(page));
                     onPage(valueOf(page));
                     m_from = valueOf(page).next;
                     startRead();
                 });
}

void StoreFollower::onPage(const platform::StorePage &page)
{
    setReachable(true, {});
    for (const platform::StoreRecord &it : page.records)
        m_handlers.onRecord(it);
}

void StoreFollower::onFailure(const platform::StoreError &error)
{
    if (error.kind != platform::StoreFailure::Trimmed)
        setReachable(false, error.detail);
    m_from.reset();
    m_continueFrom.clear();
    m_readTimer.startIn(error.kind == platform::StoreFailure::Trimmed ? Duration{} : pause());
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
                                      m_settings.timeout),
                 [this](const platform::CallResult &result) {
                     if (platform::parseAppend(result))
                         m_appendTimer.startIn(pause());
                 });
}

} // namespace cactuscove
