// Makes messages of the users' platform for tests of the decoders.

#pragma once

#include "platform.h"

#include <string>
#include <utility>

namespace cactuscove::platform {

inline CallResult reply(int status, std::string body)
{
    HttpReply it;
    it.status = status;
    it.body = std::move(body);
    return it;
}

// A heartbeat of the worker i-7f.
inline HttpRequest heartbeat(std::string body)
{
    HttpRequest request;
    request.method = "PUT";
    request.path = "/-/instances/i-7f";
    request.body = std::move(body);
    return request;
}

} // namespace cactuscove::platform
