// The body is a frame with one OperatorState message, so that fields that are added to the message
// can be read here as well.

#include "operatorcopy.h"

#include "dispatchcodec.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

namespace cactuscove {

namespace {

// A copy begins with these numbers, big-endian; the body follows.
constexpr std::size_t FormatBytes = 4;
constexpr std::size_t SizeBytes = 4;     // of the body
constexpr std::size_t ChecksumBytes = 8; // XXH3 of all that follows it
constexpr std::size_t TimeBytes = 8;     // when the copy was written
constexpr std::size_t CheckedFrom = FormatBytes + SizeBytes + ChecksumBytes;
constexpr std::size_t HeaderBytes = CheckedFrom + TimeBytes;
constexpr std::uint64_t FormatVersion = 1;

void appendBigEndian(std::string &out, std::uint64_t n, std::size_t bytes)
{
    for (std::size_t i = bytes; i-- > 0;)
        out += static_cast<char>(n >> (8 * i) & 0xff);
}

// Removes a number from the front of `rest`, which is long enough.
std::uint64_t takeBigEndian(std::string_view &rest, std::size_t bytes)
{
    std::uint64_t n = 0;
    for (const unsigned char c : rest.substr(0, bytes))
        n = n << 8 | c;
    rest.remove_prefix(bytes);
    return n;
}

std::uint64_t checksumOf(std::string_view bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

Result<OperatorSnapshot, CopyError> decodeBody(std::string_view body)
{
    auto messages = decodeFrame(body);
    if (!isOk(messages))
        return CopyError{"body", errorOf(messages).reason};
    auto *state = valueOf(messages).size() == 1
                      ? std::get_if<OperatorState>(valueOf(messages).data())
                      : nullptr;
    if (!state)
        return CopyError{"body", "not one OperatorState"};
    if (state->snapshot.configVersion == 0)
        return CopyError{"config", "no configuration"};
    return std::move(state->snapshot);
}

} // namespace

std::string encodeCopy(const OperatorCopy &copy)
{
    std::string checked;
    appendBigEndian(checked, static_cast<std::uint64_t>(copy.writtenAtMs), TimeBytes);
    checked += encodeFrame(std::array<PeerMessage, 1>{OperatorState{copy.snapshot}});
    std::string out;
    out.reserve(CheckedFrom + checked.size());
    appendBigEndian(out, FormatVersion, FormatBytes);
    appendBigEndian(out, checked.size() - TimeBytes, SizeBytes);
    appendBigEndian(out, checksumOf(checked), ChecksumBytes);
    return out += checked;
}

Result<OperatorCopy, CopyError> decodeCopy(std::string_view bytes, std::size_t maxBytes)
{
    if (bytes.size() > maxBytes)
        return CopyError{"size", std::to_string(bytes.size()) + " bytes, more than a record"};
    if (bytes.size() < HeaderBytes)
        return CopyError{"size", std::to_string(bytes.size()) + " bytes, less than the header"};
    std::string_view rest = bytes;
    const std::uint64_t format = takeBigEndian(rest, FormatBytes);
    if (format != FormatVersion)
        return CopyError{"format", "version " + std::to_string(format)};
    const std::uint64_t size = takeBigEndian(rest, SizeBytes);
    if (size != bytes.size() - HeaderBytes)
        return CopyError{"size", std::to_string(bytes.size() - HeaderBytes) + " of "
                                     + std::to_string(size) + " bytes of the body"};
    const std::uint64_t checksum = takeBigEndian(rest, ChecksumBytes);
    if (checksum != checksumOf(rest))
        return CopyError{"checksum", "does not match"};
    OperatorCopy copy;
    copy.writtenAtMs = static_cast<std::int64_t>(takeBigEndian(rest, TimeBytes));
    auto snapshot = decodeBody(rest);
    if (!isOk(snapshot))
        return errorOf(snapshot);
    copy.snapshot = std::move(valueOf(snapshot));
    return copy;
}

std::uint64_t stateHash(const OperatorSnapshot &snapshot)
{
    std::string state = std::to_string(snapshot.configVersion);
    std::vector<std::string> evacuated;
    for (const EvacuationRecord &it : snapshot.evacuations)
        if (it.isEvacuated)
            evacuated.push_back('\n' + std::to_string(it.offset.value) + ' ' + it.dataCentre);
    std::sort(evacuated.begin(), evacuated.end());
    for (const std::string &it : evacuated)
        state += it;
    return checksumOf(state);
}

} // namespace cactuscove
