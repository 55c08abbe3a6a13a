#pragma once

#include "bamboohead/dispatch/desired_state.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohead {

/// @brief The routes that newer configurations lack. Their jobs may still run, so callers may ask
///        for them and cancel them.
class dropped_routes
{
public:
    /// Dropped routes that are kept, the newest ones. Bounds the memory to some 100 KB.
    static constexpr std::size_t maxRoutes = 1'000;

    /// @brief Adds the routes of `before` whose host and prefix are missing in `now`.
    void update(const std::vector<dispatch_route> &before, const std::vector<dispatch_route> &now);

    /// @brief Finds the dropped route of a host with the longest matching prefix of a path.
    /// @return The path after the prefix; nothing when no route matches.
    [[nodiscard]] std::optional<std::string_view> restOfPath(std::string_view host,
                                                             std::string_view path) const;
    [[nodiscard]] std::size_t size() const noexcept { return m_routes.size(); }

private:
    struct route_address
    {
        std::string host;
        std::string prefix;

        friend bool operator==(const route_address &, const route_address &) = default;
    };

    std::deque<route_address> m_routes; ///< oldest first
};

} // namespace bamboohead
