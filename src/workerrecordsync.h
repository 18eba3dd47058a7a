// Decides when an agent reads and writes the record of its worker, and whether a record that it
// read is used. The record is read once after the start of the process. It is used only until the
// first heartbeat of a worker. It is written once for each change of the worker's description, and
// again after RefreshInterval so that its age tells how old the description is, with one write at a
// time; while a write is under way or has failed, only the newest description is
// kept.
//
// Does no I/O and reads no clock: inputs carry the time, and the Unix time for the age of records.

#pragma once

#include "outbox.h"
#include "workerrecord.h"

#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cactuscove {

// Effect: read the record. onRead() or onReadFailed() follows.
struct ReadWorkerRecord
{};

// Effect: write the record. onWritten() or onWriteFailed() follows.
struct WriteWorkerRecord
{
    std::string value;
};

// Effect: pass the worker on as one that is known from before.
struct UseWorkerRecord
{
    WorkerInfo worker;
    std::optional<Duration> age; // of the description; none if the clock was set back
};

using WorkerRecordEffect
    = std::variant<ReadWorkerRecord, WriteWorkerRecord, UseWorkerRecord, LogEvent>;
using WorkerRecordOutbox = std::vector<WorkerRecordEffect>;

struct WorkerRecordSettings
{
    // "ip:port" at which the platform's settings place the worker; empty: they do not say.
    std::string workerAddress;
    std::uint64_t seed = 0; // of the jitter of retries; a different one in each process
};

// One object per agent process.
class WorkerRecordSync
{
public:
    // `startedAt` is the start of the process. The first processPending() reads the record.
    WorkerRecordSync(WorkerRecordSettings settings, TimePoint startedAt);

    // Commands

    // A heartbeat of a worker.
    void onWorkerInfo(const WorkerInfo &info, std::int64_t unixMs, TimePoint now,
                      WorkerRecordOutbox &out);
    // The store has answered; `value` is empty if it has no record.
    void onRead(std::string_view value, std::int64_t unixMs, TimePoint now,
                WorkerRecordOutbox &out);
    void onReadFailed(std::string_view detail, TimePoint now, WorkerRecordOutbox &out);
    void onWritten(TimePoint now, WorkerRecordOutbox &out);
    void onWriteFailed(std::string_view detail, TimePoint now, WorkerRecordOutbox &out);
    // Starts the reads and writes that are due. To be called after inputs and at nextTimer().
    void processPending(TimePoint now, WorkerRecordOutbox &out);

    // Queries

    TimePoint nextTimer() const; // NeverTime if nothing is due without an input

private:
    // State of the only read and of the only write. Idle: neither due nor under way.
    enum class State { Idle, Due, UnderWay };

    void useRecord(const WorkerRecord &record, std::int64_t unixMs, TimePoint now,
                   WorkerRecordOutbox &out);
    // Ends the reads; from then on descriptions are written.
    void endReading();
    // Makes a write due if the store is not known to hold the newest description, or holds it with
    // an old time.
    void scheduleWrite(TimePoint now);

    WorkerRecordSettings m_settings;
    TimePoint m_startedAt;
    std::minstd_rand m_random;
    State m_readState = State::Due;
    TimePoint m_readAt;     // Due: when the read starts
    int m_readFailures = 0; // in a row
    State m_writeState = State::Idle;
    TimePoint m_writeAt{};   // Due: when the write starts
    int m_writeFailures = 0; // in a row
    // The newest description by heartbeats; none before the first heartbeat.
    std::optional<WorkerRecord> m_current;
    std::optional<WorkerInfo> m_stored;  // the description that the store is known to hold
    std::optional<WorkerInfo> m_writing; // the description of the write that is under way
    TimePoint m_writtenAt{};             // when the newest write started
};

} // namespace cactuscove
