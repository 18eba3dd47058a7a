// The record in the platform's store by which a restarted agent knows its worker before the
// worker's first heartbeat: encoding, key and partition. A record only says where a worker was.
// What runs there is known from the worker alone.

#pragma once

#include "dispatchtypes.h"
#include "result.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cactuscove {

// Topic in the store; see platform::productTopic(). The key is the name of the agent's instance.
inline constexpr char WorkerRecordTopic[] = "workers";

struct WorkerRecord
{
    WorkerInfo worker; // without the sequence number of its heartbeats
    // When the worker described itself in this way last, but for the newest heartbeats.
    std::int64_t describedAtUnixMs = 0;

    bool operator==(const WorkerRecord &) const = default;
};

struct WorkerRecordError
{
    std::string field; // that is wrong, such as "checksum"
    std::string reason;
};

// Far above the size of a description with some labels; bounds what a reader decodes.
inline constexpr std::size_t MaxWorkerRecordBytes = 4096;

// Fails if the record would be longer than MaxWorkerRecordBytes.
Result<std::string, WorkerRecordError> encodeWorkerRecord(const WorkerRecord &record);
// Fails if the format is not that of this version, if the bytes are truncated or changed, or if the
// record does not name a process of a worker.
Result<WorkerRecord, WorkerRecordError> decodeWorkerRecord(std::string_view bytes);

// The partition of the topic that holds the record of the instance.
std::uint32_t workerRecordPartition(std::string_view instance, std::uint32_t partitions);
// A key that sorts just before `key`, so that a page of newest records that follow it begins with
// the record of `key`.
std::string keyBefore(std::string_view key);

} // namespace cactuscove
