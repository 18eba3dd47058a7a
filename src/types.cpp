// Maps job keys to shards and gives enumerators their outer names.

#include "types.h"

#include <xxhash.h>

namespace cactuscove {

KeyHash hashOf(const JobKey &key)
{
    const XXH128_hash_t hash = XXH3_128bits(key.value.data(), key.value.size());
    return {hash.high64, hash.low64};
}

ShardId shardOf(const KeyHash &hash)
{
    return ShardId{static_cast<std::uint16_t>(hash.low % ShardCount)};
}

ShardId shardOf(const JobKey &key)
{
    return shardOf(hashOf(key));
}

std::string_view nameOf(TaskStatus status)
{
    switch (status) {
    case TaskStatus::Completed:
        return "completed";
    case TaskStatus::Failed:
        return "failed";
    case TaskStatus::NotStarted:
        return "not_started";
    case TaskStatus::Unknown:
        break;
    }
    return "unknown";
}

std::string_view nameOf(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Completed:
        return "completed";
    case Outcome::NotRun:
        return "not_run";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

} // namespace cactuscove
