// Encodes and decodes envelopes as JSON: the parameters of the JSON-RPC call `deliver`.

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

Json::Value encodeEnvelope(const Envelope &envelope);

// Checks types, ranges and presence of every field, and returns an error at the first wrong one.
// Never throws. Unknown fields are ignored, so that a newer process may send additional ones.
Result<Envelope, MessageError> decodeEnvelope(const Json::Value &json);

} // namespace cactuscove
