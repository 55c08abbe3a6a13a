#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace bamboohead {

/// @brief IPv4 address and TCP port.
struct network_address
{
    std::uint32_t host = 0; ///< in host byte order
    std::uint16_t port = 0;

    bool operator==(const network_address &) const = default;
};

/// @brief Parses a decimal port.
/// @return Nothing unless the whole text is a number from `lowest` to 65535.
[[nodiscard]] std::optional<std::uint16_t> parsePort(std::string_view digits,
                                                     std::uint16_t lowest = 1);

/// @brief Parses `host:port` without resolving names, which would block the calling thread.
/// @param lowestPort 1 for an address to connect to; 0 also allows any free port to be bound.
/// @return Nothing unless the host is a dotted-decimal IPv4 address, the port is a decimal number
///         from `lowestPort` to 65535, and nothing follows it.
[[nodiscard]] std::optional<network_address> parseAddress(std::string_view text,
                                                          std::uint16_t lowestPort = 1);

/// @brief Parses an address with the scheme `tcp://` in front, see parseAddress().
[[nodiscard]] std::optional<network_address> parseEndpoint(std::string_view text);

} // namespace bamboohead
