#include "bamboohead/dispatch/desired_state.hpp"

#include <algorithm>

namespace bamboohead {

bool desired_state::zoneOutOfService(std::string_view zone) const
{
    return std::ranges::find(zonesOut, zone) != zonesOut.end();
}

bool desired_state::sameContent(const desired_state &other) const
{
    auto compared = other;
    compared.revision = revision;
    return *this == compared;
}

std::optional<route_match> findRoute(const desired_state &state, std::string_view host,
                                     std::string_view path)
{
    const dispatch_route *best = nullptr;
    for (const auto &route : state.routes) {
        const bool matches = route.host == host && path.starts_with(route.prefix);
        if (matches && (best == nullptr || route.prefix.size() > best->prefix.size())) {
            best = &route;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return route_match{best, path.substr(best->prefix.size())};
}

std::string encode(const desired_state &state)
{
    wire::DispatchConfig out;
    out.set_revision(state.revision);
    out.set_version(state.version);
    for (const auto &route : state.routes) {
        auto &added = *out.add_routes();
        added.set_name(route.name);
        added.set_host(route.host);
        added.set_prefix(route.prefix);
        added.set_service(route.service);
        added.set_priority(route.priority);
        added.set_max_attempts(route.maxAttempts);
        added.set_stretch(route.stretch);
        added.set_target_latency_us(static_cast<std::uint64_t>(route.objectiveOffset.count()));
        added.set_timeout_us(static_cast<std::uint64_t>(route.timeout.count()));
    }
    for (const auto &service : state.services) {
        out.add_services(service);
    }
    for (const auto &zone : state.zonesOut) {
        out.add_zones_out(zone);
    }
    out.set_max_body_bytes(static_cast<std::uint32_t>(state.maxBodyBytes));
    return out.SerializeAsString();
}

std::optional<desired_state> decodeDesiredState(const std::string &bytes)
{
    wire::DispatchConfig in;
    if (!in.ParseFromString(bytes)) {
        return std::nullopt;
    }
    desired_state state;
    state.revision = in.revision();
    state.version = in.version();
    for (const auto &route : in.routes()) {
        dispatch_route added;
        added.name = route.name();
        added.host = route.host();
        added.prefix = route.prefix();
        added.service = route.service();
        added.priority = route.priority();
        added.maxAttempts = std::max(route.max_attempts(), 1U);
        added.stretch = route.stretch();
        added.objectiveOffset = duration{static_cast<duration::rep>(route.target_latency_us())};
        added.timeout = duration{static_cast<duration::rep>(route.timeout_us())};
        state.routes.push_back(std::move(added));
    }
    state.services.assign(in.services().begin(), in.services().end());
    state.zonesOut.assign(in.zones_out().begin(), in.zones_out().end());
    state.maxBodyBytes = in.max_body_bytes();
    return state;
}

} // namespace bamboohead
