// Parses network addresses that are written as "ip:port".

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

struct sockaddr_in;

namespace cactuscove {

// Splits "ip:port" at the last colon into `ip` and `port`. Returns false if there is no colon, the
// ip is empty or the port is not a number from 0 to 65535; `ip` and `port` may be changed then too.
// The ip is not checked.
bool splitAddress(std::string_view address, std::string &ip, std::uint16_t &port);
// Returns whether splitAddress() accepts `address`.
bool isAddress(std::string_view address);

// Returns whether `address` is an IPv4 address with a port from 1 to 65535, so that a connection to
// it can be tried.
bool isRemoteAddress(std::string_view address);

// Converts "ip:port" to `out`. Returns false if the port is not valid or the ip is not an IPv4
// address.
bool toSockaddr(std::string_view address, sockaddr_in &out);

} // namespace cactuscove
