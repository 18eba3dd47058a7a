// Text encodings of bytes: UTF-8 check, hex and base64.

#pragma once

#include <string>
#include <string_view>

namespace cactuscove {

// Whether `text` is well-formed UTF-8 by RFC 3629, which excludes overlong forms and surrogates.
bool isUtf8(std::string_view text);

// Lower-case hex digits, two for each byte.
std::string toHex(std::string_view bytes);
// Decodes pairs of hex digits of either case into `bytes`. Returns false if `hex` is anything else;
// `bytes` is then unspecified.
bool fromHex(std::string_view hex, std::string &bytes);

// Base64 by RFC 4648, with padding.
std::string toBase64(std::string_view bytes);
// Decodes padded base64 into `bytes`. Returns false if `base64` is anything else; `bytes` is then
// unspecified.
bool fromBase64(std::string_view base64, std::string &bytes);

} // namespace cactuscove
