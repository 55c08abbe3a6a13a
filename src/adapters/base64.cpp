#include "base64.hpp"

#include <cstdint>

namespace bamboohead::detail {

namespace {

constexpr std::string_view alphabet =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::size_t groupBytes = 3;
constexpr std::size_t groupLetters = 4;
constexpr unsigned bitsPerLetter = 6;
constexpr unsigned bitsPerByte = 8;

/// Writes the letters of one group of 1 to 3 bytes.
void encodeGroup(std::string_view bytes, std::string &out)
{
    std::uint32_t bits = 0;
    for (std::size_t i = 0; i < groupBytes; ++i) {
        const auto byte = i < bytes.size() ? static_cast<unsigned char>(bytes[i]) : 0U;
        bits = (bits << bitsPerByte) | byte;
    }
    for (std::size_t i = 0; i < groupLetters; ++i) {
        const auto shift = bitsPerLetter * static_cast<unsigned>(groupLetters - 1 - i);
        out += i <= bytes.size() ? alphabet[(bits >> shift) & 0x3FU] : '=';
    }
}

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    std::string out;
    out.reserve((bytes.size() + groupBytes - 1) / groupBytes * groupLetters);
    for (std::size_t i = 0; i < bytes.size(); i += groupBytes) {
        encodeGroup(bytes.substr(i, groupBytes), out);
    }
    return out;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    if (text.size() % groupLetters != 0) {
        return std::nullopt;
    }
    const auto padding = text.size() - std::string_view{text}.find_last_not_of('=') - 1;
    if (!text.empty() && padding > 2) {
        return std::nullopt;
    }
    text.remove_suffix(text.empty() ? 0 : padding);
    std::string out;
    out.reserve(text.size() * groupBytes / groupLetters);
    std::uint32_t bits = 0;
    unsigned held = 0;
    for (const char letter : text) {
        const auto value = alphabet.find(letter);
        if (value == std::string_view::npos) {
            return std::nullopt;
        }
        bits = (bits << bitsPerLetter) | static_cast<std::uint32_t>(value);
        held += bitsPerLetter;
        if (held >= bitsPerByte) {
            held -= bitsPerByte;
            out += static_cast<char>((bits >> held) & 0xFFU);
        }
    }
    return out;
}

} // namespace bamboohead::detail
