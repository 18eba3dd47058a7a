// Reads before it writes: a record that holds the present description need not be written again.

#include "workerrecordsync.h"

#include "durations.h"
#include "storeretry.h"

#include <algorithm>
#include <utility>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

// Reads are not repeated after this time. A worker that runs has sent a heartbeat by then: its
// interval is 1.5 s.
constexpr Duration ReadPeriod = 3s;

// Restarted agents use the capacity of a recent description only. Less than the interval of
// heartbeats, so that each is written.
constexpr Duration RefreshInterval = 1400ms;

// What a record says of the worker.
WorkerInfo descriptionOf(const WorkerInfo &info)
{
    WorkerInfo description = info;
    description.sequence = 0;
    return description;
}

} // namespace

WorkerRecordSync::WorkerRecordSync(WorkerRecordSettings settings, TimePoint startedAt)
    : m_settings(std::move(settings))
    , m_startedAt(startedAt)
    , m_random(static_cast<std::minstd_rand::result_type>(m_settings.seed))
    , m_readAt(startedAt)
{}

void WorkerRecordSync::onWorkerInfo(const WorkerInfo &info, std::int64_t unixMs, TimePoint now,
                                    WorkerRecordOutbox &out)
{
    // A record without a start time could not be told from that of an earlier process.
    if (info.startedAtUnixMs <= 0)
        return;
    const WorkerInfo description = descriptionOf(info);
    if (m_current && info.startedAtUnixMs < m_current->worker.startedAtUnixMs)
        return;
    if (m_current && m_current->worker == description) {
        m_current->describedAtUnixMs = unixMs;
        return scheduleWrite(now);
    }
    if (!m_current && m_readState == State::Due && m_readFailures > 0) {
        out.emplace_back(LogEvent{Severity::Info,
                                  "worker_record_not_needed",
                                  {{"worker", info.id},
                                   {"read_failures", std::to_string(m_readFailures)},
                                   {"since_start_ms", toMsString(now - m_startedAt)}}});
        endReading();
    }
    m_current = WorkerRecord{description, unixMs};
    scheduleWrite(now);
}

void WorkerRecordSync::onRead(std::string_view value, std::int64_t unixMs, TimePoint now,
                              WorkerRecordOutbox &out)
{
    endReading();
    if (!value.empty()) {
        const auto record = decodeWorkerRecord(value);
        if (isOk(record))
            useRecord(valueOf(record), unixMs, now, out);
        else
            out.emplace_back(LogEvent{Severity::Warning,
                                      "worker_record_ignored",
                                      {{"field", errorOf(record).field},
                                       {"reason", errorOf(record).reason},
                                       {"bytes", std::to_string(value.size())}}});
    }
    scheduleWrite(now);
}

void WorkerRecordSync::useRecord(const WorkerRecord &record, std::int64_t unixMs, TimePoint now,
                                 WorkerRecordOutbox &out)
{
    const WorkerInfo &worker = record.worker;
    const std::int64_t ageMs = unixMs - record.describedAtUnixMs;
    const std::string age = std::to_string(ageMs);
    const bool isForeign
        = !m_settings.workerAddress.empty() && worker.address != m_settings.workerAddress;
    if (!isForeign) {
        m_stored = worker;
        m_writtenAt = now - std::chrono::milliseconds(std::max<std::int64_t>(ageMs, 0));
    }
    if (isForeign || m_current) {
        out.emplace_back(
            LogEvent{isForeign ? Severity::Warning : Severity::Info,
                     "worker_record_ignored",
                     {{"field", isForeign ? "address" : "worker"},
                      {"reason", isForeign ? worker.address + " is not the worker of this machine"
                                           : "a heartbeat came first"},
                      {"worker", worker.id},
                      {"age_ms", age}}});
        return;
    }
    out.emplace_back(LogEvent{Severity::Info,
                              "worker_record_used",
                              {{"worker", worker.id},
                               {"address", worker.address},
                               {"born_ms", std::to_string(worker.startedAtUnixMs)},
                               {"age_ms", age},
                               {"read_failures", std::to_string(m_readFailures)},
                               {"since_start_ms", toMsString(now - m_startedAt)}}});
    out.emplace_back(UseWorkerRecord{
        worker,
        ageMs < 0 ? std::nullopt : std::optional<Duration>(std::chrono::milliseconds(ageMs))});
}

void WorkerRecordSync::onReadFailed(std::string_view detail, TimePoint now, WorkerRecordOutbox &out)
{
    m_readState = State::Due;
    m_readAt = now + storeRetryDelay(m_readFailures++, m_random);
    if (!m_current && m_readAt < m_startedAt + ReadPeriod)
        return;
    out.emplace_back(LogEvent{Severity::Warning,
                              "worker_record_unread",
                              {{"reason", std::string(detail)},
                               {"read_failures", std::to_string(m_readFailures)},
                               {"since_start_ms", toMsString(now - m_startedAt)}}});
    endReading();
    scheduleWrite(now);
}

void WorkerRecordSync::endReading()
{
    m_readState = State::Idle;
    m_readAt = NeverTime;
}

void WorkerRecordSync::scheduleWrite(TimePoint now)
{
    const bool isStored
        = m_current && m_stored == m_current->worker && now - m_writtenAt < RefreshInterval;
    if (m_readState != State::Idle || m_writeState != State::Idle || !m_current || isStored)
        return;
    m_writeState = State::Due;
    m_writeAt = now;
}

void WorkerRecordSync::onWritten(TimePoint now, WorkerRecordOutbox &out)
{
    const bool isRefresh = m_stored == m_writing && m_writeFailures == 0;
    m_stored = std::move(m_writing);
    m_writing.reset();
    m_writeState = State::Idle;
    if (!isRefresh)
        out.emplace_back(LogEvent{Severity::Info,
                                  "worker_record_written",
                                  {{"worker", m_stored->id},
                                   {"born_ms", std::to_string(m_stored->startedAtUnixMs)},
                                   {"write_failures", std::to_string(m_writeFailures)}}});
    m_writeFailures = 0;
    scheduleWrite(now);
}

// The write may have been carried out. Until one is acknowledged, it is not known what the store
// holds.
void WorkerRecordSync::onWriteFailed(std::string_view detail, TimePoint now,
                                     WorkerRecordOutbox &out)
{
    m_stored.reset();
    m_writing.reset();
    if (m_writeFailures == 0)
        out.emplace_back(
            LogEvent{Severity::Warning,
                     "worker_record_unwritten",
                     {{"worker", m_current->worker.id}, {"reason", std::string(detail)}}});
    m_writeState = State::Due;
    m_writeAt = now + storeRetryDelay(m_writeFailures++, m_random);
}

void WorkerRecordSync::processPending(TimePoint now, WorkerRecordOutbox &out)
{
    if (m_readState == State::Due && now >= m_readAt) {
        m_readState = State::UnderWay;
        out.emplace_back(ReadWorkerRecord{});
    }
    if (m_writeState != State::Due || now < m_writeAt)
        return;
    auto value = encodeWorkerRecord(*m_current);
    if (!isOk(value)) {
        out.emplace_back(LogEvent{Severity::Warning,
                                  "worker_record_unwritten",
                                  {{"worker", m_current->worker.id},
                                   {"field", errorOf(value).field},
                                   {"reason", errorOf(value).reason}}});
        m_writeState = State::Idle;
        m_stored = m_current->worker; // not tried again before the description changes
        return;
    }
    m_writeState = State::UnderWay;
    m_writing = m_current->worker;
    m_writtenAt = now;
    out.emplace_back(WriteWorkerRecord{std::move(valueOf(value))});
}

TimePoint WorkerRecordSync::nextTimer() const
{
    return std::min(m_readState == State::Due ? m_readAt : NeverTime,
                    m_writeState == State::Due ? m_writeAt : NeverTime);
}

} // namespace cactuscove
