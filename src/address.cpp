// Parses the port itself and leaves the ip to inet_pton().

#include "address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <charconv>

namespace cactuscove {

bool splitAddress(std::string_view address, std::string &ip, std::uint16_t &port)
{
    const auto colon = address.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    const std::string_view digits = address.substr(colon + 1);
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    ip = address.substr(0, colon);
    return ec == std::errc() && end == digits.data() + digits.size() && !ip.empty();
}

bool isAddress(std::string_view address)
{
    std::string ip;
    std::uint16_t port = 0;
    return splitAddress(address, ip, port);
}

bool isRemoteAddress(std::string_view address)
{
    sockaddr_in parsed{};
    return toSockaddr(address, parsed) && parsed.sin_port != 0;
}

bool toSockaddr(std::string_view address, sockaddr_in &out)
{
    std::string ip;
    std::uint16_t port = 0;
    if (!splitAddress(address, ip, port))
        return false;
    out = {};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    return inet_pton(AF_INET, ip.c_str(), &out.sin_addr) == 1;
}

} // namespace cactuscove
