#include "bamboohead/network_address.hpp"

#include <arpa/inet.h>

#include <charconv>
#include <string>

namespace bamboohead {

std::optional<std::uint16_t> parsePort(std::string_view digits, std::uint16_t lowest)
{
    const auto *const end = digits.data() + digits.size();
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(digits.data(), end, port);
    return parsed.ec == std::errc{} && parsed.ptr == end && port >= lowest ? std::optional{port}
                                                                           : std::nullopt;
}

std::optional<network_address> parseAddress(std::string_view text, std::uint16_t lowestPort)
{
    const auto colon = text.find(':');
    if (colon == std::string_view::npos || text.find('\0') != std::string_view::npos) {
        return std::nullopt;
    }
    const std::string host{text.substr(0, colon)};
    in_addr parsedHost{};
    if (inet_pton(AF_INET, host.c_str(), &parsedHost) != 1) {
        return std::nullopt;
    }
    const auto port = parsePort(text.substr(colon + 1), lowestPort);
    return port ? std::optional{network_address{ntohl(parsedHost.s_addr), *port}} : std::nullopt;
}

std::optional<network_address> parseEndpoint(std::string_view text)
{
    constexpr std::string_view scheme = "tcp://";
    return text.starts_with(scheme) ? parseAddress(text.substr(scheme.size())) : std::nullopt;
}

} // namespace bamboohead
