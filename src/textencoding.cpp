// UTF-8 check, hex and base64.

#include "textencoding.h"

#include <charconv>
#include <cstdint>

namespace cactuscove {

namespace {

constexpr char HexDigits[] = "0123456789abcdef";
constexpr char Base64Digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

} // namespace

bool isUtf8(std::string_view text)
{
    for (std::size_t i = 0; i < text.size();) {
        const auto byte = [&](std::size_t n) { return static_cast<unsigned char>(text[i + n]); };
        const unsigned char lead = byte(0);
        const std::size_t n = lead < 0x80                   ? 1
                              : lead >= 0xc2 && lead < 0xe0 ? 2
                              : lead >= 0xe0 && lead < 0xf0 ? 3
                              : lead >= 0xf0 && lead < 0xf5 ? 4
                                                            : 0;
        if (n == 0 || i + n > text.size())
            return false;
        for (std::size_t k = 1; k < n; ++k)
            if ((byte(k) & 0xc0) != 0x80)
                return false;
        if (n == 3 && ((lead == 0xe0 && byte(1) < 0xa0) || (lead == 0xed && byte(1) >= 0xa0)))
            return false; // overlong, or a surrogate
        if (n == 4 && ((lead == 0xf0 && byte(1) < 0x90) || (lead == 0xf4 && byte(1) >= 0x90)))
            return false; // overlong, or above U+10FFFF
        i += n;
    }
    return true;
}

std::string toHex(std::string_view bytes)
{
    std::string hex;
    hex.reserve(bytes.size() * 2);
    for (const unsigned char it : bytes) {
        hex += HexDigits[it >> 4];
        hex += HexDigits[it & 15];
    }
    return hex;
}

bool fromHex(std::string_view hex, std::string &bytes)
{
    if (hex.size() % 2 != 0)
        return false;
    bytes.resize(hex.size() / 2);
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        unsigned char byte = 0;
        const char *begin = hex.data() + 2 * i;
        const auto [end, ec] = std::from_chars(begin, begin + 2, byte, 16);
        if (ec != std::errc() || end != begin + 2)
            return false;
        bytes[i] = static_cast<char>(byte);
    }
    return true;
}

std::string toBase64(std::string_view bytes)
{
    std::string text;
    text.reserve((bytes.size() + 2) / 3 * 4);
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8
                    | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0);
        for (std::size_t k = 0; k < 4; ++k)
            text += i + k <= bytes.size() ? Base64Digits[group >> (18 - 6 * k) & 63] : '=';
    }
    return text;
}

bool fromBase64(std::string_view base64, std::string &bytes)
{
    bytes.clear();
    if (base64.size() % 4 != 0)
        return false;
    const auto digitValue = [](char c) { // -1 for anything but a base64 digit
        if (c >= 'A' && c <= 'Z')
            return c - 'A';
        if (c >= 'a' && c <= 'z')
            return c - 'a' + 26;
        if (c >= '0' && c <= '9')
            return c - '0' + 52;
        return c == '+' ? 62 : c == '/' ? 63 : -1;
    };
    while (!base64.empty()) {
        const bool isLast = base64.size() == 4;
        std::uint32_t group = 0;
        std::size_t padding = 0;
        for (std::size_t i = 0; i < 4; ++i) {
            const bool isPadding = base64[i] == '=' && isLast && i >= 2;
            const int value = isPadding ? 0 : digitValue(base64[i]);
            if (value < 0 || (padding > 0 && !isPadding))
                return false;
            padding += isPadding;
            group = group << 6 | static_cast<std::uint32_t>(value);
        }
        const char decoded[] = {static_cast<char>(group >> 16), static_cast<char>(group >> 8),
                                static_cast<char>(group)};
        bytes.append(decoded, 3 - padding);
        base64.remove_prefix(4);
    }
    return true;
}

} // namespace cactuscove
