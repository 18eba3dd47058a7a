// The calls to the store and their outcomes.

#include "workerrecordclient.h"

#include <algorithm>
#include <chrono>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

// Without an answer for this long the read is repeated, so that a lost answer does not cost more
// than the wait for the worker's heartbeat, which is at most 1.5 s.
constexpr Duration ReadTimeout = 400ms;
constexpr Duration WriteTimeout = 1s;

// Wall-clock time, for the age of records only.
std::int64_t unixNowMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

} // namespace

WorkerRecordClient::WorkerRecordClient(EventLoop &loop, HttpClient &http, Metrics &metrics,
                                       const platform::PlatformSettings &settings,
                                       std::uint64_t seed, Handlers handlers)
    : m_http(http)
    , m_metrics(metrics)
    , m_settings(settings)
    , m_handlers(std::move(handlers))
    , m_topic(platform::productTopic(WorkerRecordTopic))
    , m_partition(workerRecordPartition(settings.instance, settings.storePartitions))
    , m_sync({settings.workerCallAddress, seed}, bootNow())
    , m_decisions(loop, m_sync, *this)
{
    m_decisions.handleInput([](WorkerRecordSync &, TimePoint, WorkerRecordOutbox &) {});
}

void WorkerRecordClient::onWorkerInfo(const WorkerInfo &info)
{
    m_decisions.handleInput([&](WorkerRecordSync &sync, TimePoint now, WorkerRecordOutbox &out) {
        sync.onWorkerInfo(info, unixNowMs(), now, out);
    });
}

void WorkerRecordClient::perform(const ReadWorkerRecord &)
{
    m_metrics.add("cactuscove_worker_record_calls_total", {{"call", "read"}});
    m_http.start(platform::makeNewestCall(m_settings.storeAddress, m_topic,
                                          keyBefore(m_settings.instance), ReadTimeout, m_partition),
                 [this](const platform::CallResult &result) {
                     const auto page = platform::parseNewest(result);
                     m_decisions.handleInput([&](WorkerRecordSync &sync, TimePoint now,
                                                 WorkerRecordOutbox &out) {
                         if (!isOk(page))
                             return sync.onReadFailed(errorOf(page).detail, now, out);
                         const auto &records = valueOf(page).records;
                         const auto it = std::find_if(records.begin(), records.end(),
                                                      [this](const auto &record) {
                                                          return record.key == m_settings.instance;
                                                      });
                         sync.onRead(it == records.end() ? std::string_view() : it->value,
                                     unixNowMs(), now, out);
                     });
                 });
}

void WorkerRecordClient::perform(const WriteWorkerRecord &effect)
{
    m_metrics.add("cactuscove_worker_record_calls_total", {{"call", "write"}});
    m_http.start(platform::makeAppendCall(m_settings.storeAddress, m_topic, m_settings.instance,
                                          effect.value, WriteTimeout, m_partition),
                 [this](const platform::CallResult &result) {
                     const auto error = platform::parseAppend(result);
                     m_decisions.handleInput(
                         [&](WorkerRecordSync &sync, TimePoint now, WorkerRecordOutbox &out) {
                             if (error)
                                 sync.onWriteFailed(error->detail, now, out);
                             else
                                 sync.onWritten(now, out);
                         });
                 });
}

} // namespace cactuscove
