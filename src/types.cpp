#include "bamboohead/types.hpp"

#include <array>
#include <charconv>
#include <vector>

#include <xxhash.h>

namespace bamboohead {

namespace {

constexpr int hexBase = 16;
constexpr int decimalBase = 10;
constexpr std::size_t hexDigits = 16;
constexpr std::size_t sessionParts = 4;
constexpr std::size_t jobParts = 5;

std::string toHex(std::uint64_t value)
{
    std::array<char, hexDigits> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, hexBase);
    const auto length = static_cast<std::size_t>(end.ptr - digits.data());
    return std::string(hexDigits - length, '0') + std::string(digits.data(), length);
}

std::optional<std::uint64_t> parseNumber(std::string_view text, int base)
{
    std::uint64_t value = 0;
    const auto *const last = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), last, value, base);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != last) {
        return std::nullopt;
    }
    return value;
}

std::vector<std::string_view> split(std::string_view text)
{
    std::vector<std::string_view> parts;
    while (true) {
        const auto dot = text.find('.');
        parts.push_back(text.substr(0, dot));
        if (dot == std::string_view::npos) {
            return parts;
        }
        text.remove_prefix(dot + 1);
    }
}

std::optional<session_id> parseSessionParts(const std::vector<std::string_view> &parts)
{
    const auto primary = parseNumber(parts[1], hexBase);
    const auto backup = parseNumber(parts[2], hexBase);
    const auto session = parseNumber(parts[3], hexBase);
    if (!primary || !backup || !session || *primary == 0) {
        return std::nullopt;
    }
    return session_id{job_home{incarnation_id{*primary}, incarnation_id{*backup}}, *session};
}

std::string sessionText(const session_id &id)
{
    return toText(id.home.primary) + "." + toText(id.home.backup) + "." + toHex(id.value);
}

} // namespace

std::string toText(incarnation_id id)
{
    return toHex(static_cast<std::uint64_t>(id));
}

std::string toText(const session_id &id)
{
    return "s1." + sessionText(id);
}

std::string toText(const job_id &id)
{
    return "j1." + sessionText(id.session) + "." + std::to_string(id.number);
}

std::optional<session_id> parseSessionId(std::string_view text)
{
    const auto parts = split(text);
    if (parts.size() != sessionParts || parts.front() != "s1") {
        return std::nullopt;
    }
    return parseSessionParts(parts);
}

std::optional<job_id> parseJobId(std::string_view text)
{
    const auto parts = split(text);
    if (parts.size() != jobParts || parts.front() != "j1") {
        return std::nullopt;
    }
    const auto session = parseSessionParts(parts);
    const auto number = parseNumber(parts.back(), decimalBase);
    if (!session || !number) {
        return std::nullopt;
    }
    return job_id{*session, *number};
}

std::uint64_t hashValue(const job_home &home) noexcept
{
    const std::array words{static_cast<std::uint64_t>(home.primary),
                           static_cast<std::uint64_t>(home.backup)};
    return XXH3_64bits(words.data(), sizeof(words));
}

std::uint64_t hashValue(const job_id &id) noexcept
{
    const std::array words{static_cast<std::uint64_t>(id.session.home.primary),
                           static_cast<std::uint64_t>(id.session.home.backup), id.session.value,
                           id.number};
    return XXH3_64bits(words.data(), sizeof(words));
}

} // namespace bamboohead
