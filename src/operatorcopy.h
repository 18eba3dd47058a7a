// A copy of the operators' records as one record of the store, with a format version and a
// checksum. A copy whose bytes are not those that were written must not be put in force.
//
// Does no I/O and reads no clock.

#pragma once

#include "operatorrecords.h"
#include "result.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cactuscove {

struct OperatorCopy
{
    OperatorSnapshot snapshot;
    std::int64_t writtenAtMs = 0; // writer's clock, since 1970; only for logs
};

// Why bytes are not a usable copy.
struct CopyError
{
    std::string field; // "size", "format", "checksum", "body" or "config"
    std::string reason;
};

std::string encodeCopy(const OperatorCopy &copy);
// Fails if `bytes` is longer than `maxBytes`, cut off, of another format or changed, or contains no
// configuration.
Result<OperatorCopy, CopyError> decodeCopy(std::string_view bytes, std::size_t maxBytes);

// Hash of the configuration's version and the evacuated data centres. Two processes with the same
// hash have the same records in force, whatever else they know of withdrawn evacuations.
std::uint64_t stateHash(const OperatorSnapshot &snapshot);

} // namespace cactuscove
