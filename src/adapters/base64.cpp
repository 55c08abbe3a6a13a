#include "base64.hpp"

#include <cstdint>

namespace bamboohead::detail {

namespace {

constexpr std::string_view alphabet =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::size_t groupBytes = 3;
constexpr std::size_t groupCharacters = 4;
constexpr unsigned bitsPerCharacter = 6;
constexpr unsigned bitsPerByte = 8;

/// Appends the four characters that encode a group of 1 to 3 bytes, padded with '='.
void encodeGroup(std::string_view bytes, std::string &out)
{
    std::uint32_t bits = 0;
    for (std::size_t i = 0; i < groupBytes; ++i) {
        const auto byte = i < bytes.size() ? static_cast<unsigned char>(bytes[i]) : 0U;
        bits = (bits << bitsPerByte) | byte;
    }
    for (std::size_t i = 0; i < groupCharacters; ++i) {
        const auto shift = bitsPerCharacter * static_cast<unsigned>(groupCharacters - 1 - i);
        out += i <= bytes.size() ? alphabet[(bits >> shift) & 0x3FU] : '=';
    }
}

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    std::string out;
    out.reserve((bytes.size() + groupBytes - 1) / groupBytes * groupCharacters);
    for (std::size_t i = 0; i < bytes.size(); i += groupBytes) {
        encodeGroup(bytes.substr(i, groupBytes), out);
    }
    return out;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    if (text.size() % groupCharacters != 0) {
        return std::nullopt;
    }
    const auto padding = text.size() - std::string_view{text}.find_last_not_of('=') - 1;
    if (!text.empty() && padding > 2) {
        return std::nullopt;
    }
    text.remove_suffix(text.empty() ? 0 : padding);
    std::string out;
    out.reserve(text.size() * groupBytes / groupCharacters);
    std::uint32_t bits = 0;
    unsigned bitCount = 0;
    for (const char character : text) {
        const auto value = alphabet.find(character);
        if (value == std::string_view::npos) {
            return std::nullopt;
        }
        bits = (bits << bitsPerCharacter) | static_cast<std::uint32_t>(value);
        bitCount += bitsPerCharacter;
        if (bitCount >= bitsPerByte) {
            bitCount -= bitsPerByte;
            out += static_cast<char>((bits >> bitCount) & 0xFFU);
        }
    }
    return out;
}

} // namespace bamboohead::detail
