// Encodes and decodes envelopes (messages.h) as JSON: the parameters of the JSON-RPC call
// `deliver`.

#pragma once

#include "messages.h"
#include "result.h"

#include <json/forwards.h>

#include <string>

namespace cactuscove {

struct MessageError
{
    std::string reason; // with the path of the field, for example "messages[2].ref.index: ..."
};

// A string that is not valid UTF-8 becomes {"hex": "..."}, because jsoncpp would change it.
Json::Value encodeEnvelope(const Envelope &envelope);

// Checks the type, range and presence of every field, and returns an error at the first wrong one.
// An unknown type of message is an error too. Never throws. Unknown fields are ignored, so that a
// newer process may send additional ones. Optional fields (messagefields.h) may be missing; a new
// field must be one of them, so that messages of older processes can still be read.
Result<Envelope, MessageError> decodeEnvelope(const Json::Value &json);

} // namespace cactuscove
