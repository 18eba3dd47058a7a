// Addresses as "ip:port".

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

struct sockaddr_in;

namespace cactuscove {

// Splits "ip:port"; the port must be a number from 0 to 65535. The ip is not checked.
bool splitAddress(std::string_view address, std::string &ip, std::uint16_t &port);
bool isAddress(std::string_view address); // splitAddress() would succeed

// False unless the ip is one of IPv4.
bool toSockaddr(std::string_view address, sockaddr_in &out);

} // namespace cactuscove
