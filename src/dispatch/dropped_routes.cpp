#include "bamboohead/dispatch/dropped_routes.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace bamboohead {

void dropped_routes::update(const std::vector<dispatch_route> &before,
                            const std::vector<dispatch_route> &now)
{
    std::set<std::pair<std::string_view, std::string_view>> kept;
    for (const auto &route : now) {
        kept.emplace(route.host, route.prefix);
    }
    std::vector<route_address> dropped;
    for (const auto &route : before) {
        if (!kept.contains({route.host, route.prefix})) {
            dropped.push_back({route.host, route.prefix});
        }
    }
    const auto excess = dropped.size() - std::min(dropped.size(), maxRoutes);
    dropped.erase(dropped.begin(), dropped.begin() + static_cast<std::ptrdiff_t>(excess));
    for (auto &route : dropped) {
        std::erase(m_routes, route);
        m_routes.push_back(std::move(route));
    }
    while (m_routes.size() > maxRoutes) {
        m_routes.pop_front();
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
