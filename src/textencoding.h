// Bytes as text: UTF-8 check, hex and base64.

#pragma once

#include <string>
#include <string_view>

namespace cactuscove {

// Well-formed by RFC 3629: no overlong forms, no surrogates.
bool isUtf8(std::string_view text);

std::string toHex(std::string_view bytes);
bool fromHex(std::string_view hex, std::string &bytes); // false on anything but pairs of hex digits

std::string toBase64(std::string_view bytes);                 // RFC 4648 with padding
bool fromBase64(std::string_view base64, std::string &bytes); // false on anything else

} // namespace cactuscove
