// Messages between entries and agents as MessagePack frames.
//
// A frame is a length (4 bytes, big-endian) and an array of messages. A message is an array whose
// first element is the index of its type in PeerMessage; the fields follow in their order. A
// receiver ignores fields after those that it knows.

#pragma once

#include "dispatchmessages.h"
#include "result.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactuscove {

// A longer frame is refused and its connection closed. A job has at most MaxTasksPerJob tasks of a
// payload of a few thousand bytes.
inline constexpr std::size_t MaxFrameBytes = 8 << 20;
inline constexpr std::size_t FrameHeaderBytes = 4;

struct FrameError
{
    std::string reason;
};

std::string encodeFrame(std::span<const PeerMessage> messages);

// Size of the first frame in `bytes` with its header; 0 if the header is not complete yet.
Result<std::size_t, FrameError> frameSize(std::string_view bytes);

// `frame` is one whole frame with its header.
Result<std::vector<PeerMessage>, FrameError> decodeFrame(std::string_view frame);

} // namespace cactuscove
