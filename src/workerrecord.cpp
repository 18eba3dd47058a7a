// A record is the version of its format, the checksum and a MessagePack array. Uses msgpack-cxx.

#include "workerrecord.h"

#include "address.h"

#include <msgpack.hpp>
#include <xxhash.h>

#include <tuple>
#include <vector>

namespace cactuscove {

namespace {

constexpr std::uint8_t FormatVersion = 1;
constexpr std::size_t VersionBytes = 1;
constexpr std::size_t ChecksumBytes = 8; // big-endian
constexpr std::size_t HeaderBytes = VersionBytes + ChecksumBytes;
constexpr std::size_t MaxLabels = 256;
constexpr std::size_t MaxDepth = 3; // of nested arrays
// Sorts after every character that instance names contain.
constexpr char LastCharacter = '~';

// The fields of a record in their order in the array.
using Fields
    = std::tuple<std::string, std::string, std::string, std::string, std::int64_t, std::int64_t,
                 std::int64_t, std::vector<std::string>, bool, std::int64_t, std::int64_t>;

std::string checksumOf(std::string_view body)
{
    const XXH64_hash_t hash = XXH3_64bits_withSeed(body.data(), body.size(), FormatVersion);
    std::string bytes;
    for (std::size_t i = 0; i < ChecksumBytes; ++i)
        bytes += static_cast<char>(hash >> 8 * (ChecksumBytes - 1 - i) & 0xff);
    return bytes;
}

bool isPlausible(const Resources &capacity)
{
    const auto isInRange = [](std::int64_t n) { return n >= 0 && n <= MaxResourceAmount; };
    return isInRange(capacity.cpuMillis) && isInRange(capacity.memoryMb)
           && isInRange(capacity.accelerators);
}

// Whether a heartbeat could have described this worker.
bool isPlausible(const WorkerInfo &it)
{
    return !it.id.empty() && isRemoteAddress(it.address) && isPlausible(it.capacity)
           && it.startedAtUnixMs > 0 && it.startedAtUnixMs <= MaxUnixMs;
}

} // namespace

Result<std::string, WorkerRecordError> encodeWorkerRecord(const WorkerRecord &record)
{
    const WorkerInfo &it = record.worker;
    if (it.labels.size() > MaxLabels)
        return WorkerRecordError{"labels", std::to_string(it.labels.size()) + " are too many"};
    const Fields fields(it.id, it.upstream, it.address, it.dataCentre, it.capacity.cpuMillis,
                        it.capacity.memoryMb, it.capacity.accelerators, it.labels, it.isDraining,
                        it.startedAtUnixMs, record.describedAtUnixMs);
    msgpack::sbuffer buf;
    msgpack::pack(buf, fields);
    const std::string_view body(buf.data(), buf.size());
    if (HeaderBytes + body.size() > MaxWorkerRecordBytes)
        return WorkerRecordError{"size", std::to_string(body.size()) + " bytes are too long"};
    std::string bytes(1, static_cast<char>(FormatVersion));
    return bytes.append(checksumOf(body)).append(body);
}

Result<WorkerRecord, WorkerRecordError> decodeWorkerRecord(std::string_view bytes)
{
    if (bytes.size() < HeaderBytes || bytes.size() > MaxWorkerRecordBytes)
        return WorkerRecordError{"size", std::to_string(bytes.size()) + " bytes"};
    const auto version = static_cast<std::uint8_t>(bytes[0]);
    if (version != FormatVersion)
        return WorkerRecordError{"format", "version " + std::to_string(version)};
    const std::string_view body = bytes.substr(HeaderBytes);
    if (bytes.substr(VersionBytes, ChecksumBytes) != checksumOf(body))
        return WorkerRecordError{"checksum", "does not match the content"};
    try {
        const msgpack::object_handle handle
            = msgpack::unpack(body.data(), body.size(), nullptr, nullptr,
                              msgpack::unpack_limit(MaxLabels, 0, body.size(), 0, 0, MaxDepth));
        const msgpack::object &array = handle.get();
        if (array.type != msgpack::type::ARRAY || array.via.array.size != std::tuple_size_v<Fields>)
            return WorkerRecordError{"body", "not an array of the fields"};
        WorkerRecord record;
        WorkerInfo &it = record.worker;
        std::tie(it.id, it.upstream, it.address, it.dataCentre, it.capacity.cpuMillis,
                 it.capacity.memoryMb, it.capacity.accelerators, it.labels, it.isDraining,
                 it.startedAtUnixMs, record.describedAtUnixMs)
            = array.as<Fields>();
        if (!isPlausible(it))
            return WorkerRecordError{"worker", "id, address, capacity or start time is invalid"};
        return record;
    } catch (const msgpack::type_error &) {
        return WorkerRecordError{"body", "field of wrong type"};
    } catch (const msgpack::unpack_error &ex) {
        return WorkerRecordError{"body", ex.what()};
    }
}

std::uint32_t workerRecordPartition(std::string_view instance, std::uint32_t partitions)
{
    return static_cast<std::uint32_t>(XXH3_64bits(instance.data(), instance.size()) % partitions);
}

std::string keyBefore(std::string_view key)
{
    std::string before(key);
    if (before.empty())
        return before;
    --before.back();
    return before += LastCharacter;
}

} // namespace cactuscove
