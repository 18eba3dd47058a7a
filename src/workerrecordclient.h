// I/O of the worker record of one agent process: reads and writes it in the platform's store as
// WorkerRecordSync decides.

#pragma once

#include "decisionloop.h"
#include "httpclient.h"
#include "metrics.h"
#include "platform.h"
#include "workerrecordsync.h"

#include <functional>
#include <optional>
#include <string>

namespace cactuscove {

class WorkerRecordClient
{
public:
    // Called from the event loop.
    struct Handlers
    {
        // A record is to be used, with the age of its description if that is known.
        std::function<void(const WorkerInfo &worker, std::optional<Duration> age)> onRecord;
        std::function<void(const LogEvent &event)> log;
    };

    // Begins to read in the next iteration of `loop`. `loop`, `http`, `metrics` and `settings` must
    // outlive this object, and no call of `http` may end after its destruction.
    WorkerRecordClient(EventLoop &loop, HttpClient &http, Metrics &metrics,
                       const platform::PlatformSettings &settings, std::uint64_t seed,
                       Handlers handlers);

    void onWorkerInfo(const WorkerInfo &info); // a heartbeat of a worker

private:
    friend class DecisionLoop<WorkerRecordSync, WorkerRecordEffect, WorkerRecordClient>;

    void perform(const ReadWorkerRecord &effect);
    void perform(const WriteWorkerRecord &effect);
    void perform(const UseWorkerRecord &effect) { m_handlers.onRecord(effect.worker, effect.age); }
    void perform(const LogEvent &effect) { m_handlers.log(effect); }
    void onPendingProcessed(TimePoint) {}

    HttpClient &m_http;
    Metrics &m_metrics;
    const platform::PlatformSettings &m_settings;
    Handlers m_handlers;
    std::string m_topic;
    std::uint32_t m_partition;
    WorkerRecordSync m_sync;
    DecisionLoop<WorkerRecordSync, WorkerRecordEffect, WorkerRecordClient> m_decisions;
};

} // namespace cactuscove
