#include "bamboohead/dispatch/dropped_routes.hpp"

#include <algorithm>

namespace bamboohead {

void dropped_routes::update(const std::vector<dispatch_route> &before,
                            const std::vector<dispatch_route> &now)
{
    for (const auto &route : before) {
        const bool kept = std::ranges::any_of(now, [&](const auto &other) {
            return other.host == route.host && other.prefix == route.prefix;
        });
        if (kept) {
            continue;
        }
        route_address added{route.host, route.prefix};
        std::erase(m_routes, added);
        m_routes.push_back(std::move(added));
        if (m_routes.size() > maxRoutes) {
            m_routes.pop_front();
        }
    }
}

std::optional<std::string_view> dropped_routes::restOfPath(std::string_view host,
                                                           std::string_view path) const
{
    const route_address *best = nullptr;
    for (const auto &route : m_routes) {
        const bool matches = route.host == host && path.starts_with(route.prefix);
        if (matches && (best == nullptr || route.prefix.size() > best->prefix.size())) {
            best = &route;
        }
    }
    return best == nullptr ? std::nullopt : std::optional{path.substr(best->prefix.size())};
}

} // namespace bamboohead
