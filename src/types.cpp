// Hashing of job keys to shards.

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

} // namespace cactuscove
