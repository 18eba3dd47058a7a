// Encodes messages between entries and agents to MessagePack frames and decodes them. FramedLink
// sends and receives the frames.
//
// A frame is a header, which is the length of the body in bytes (4 bytes, big-endian), and a body,
// which is a MessagePack array of messages. A message is an array: first the index of its type in
// PeerMessage, then its fields in the order of their declaration. A receiver ignores additional
// fields at the end, and fields that were added later keep their defaults if an older sender does
// not send them.

#pragma once

#include "dispatchmessages.h"
#include "result.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactuscove {

// Longest body of a frame that a receiver accepts; it closes the connection on a longer one. A job
// of the users has at most MaxTasksPerJob tasks with payloads of a few thousand bytes.
inline constexpr std::size_t MaxFrameBytes = 8 << 20;
inline constexpr std::size_t FrameHeaderBytes = 4;

// Why bytes are not a valid frame.
struct FrameError
{
    std::string reason;
};

// Returns one frame, with its header, that contains `messages` in their order.
std::string encodeFrame(std::span<const PeerMessage> messages);

// Returns the size in bytes, header included, of the frame that begins at the start of `bytes`. The
// frame need not be complete. Returns 0 if `bytes` is shorter than a header, and an error if the
// body is longer than MaxFrameBytes.
Result<std::size_t, FrameError> frameSize(std::string_view bytes);

// Decodes one complete frame with its header. Fails if the body is not an array of messages in
// MessagePack, if a message has an unknown type, or if one of its fields is missing, has the wrong
// type or is an unknown enum value.
Result<std::vector<PeerMessage>, FrameError> decodeFrame(std::string_view frame);

} // namespace cactuscove
