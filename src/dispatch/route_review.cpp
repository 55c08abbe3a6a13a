#include "bamboohead/dispatch/route_review.hpp"

#include "bamboohead/dispatch/milliseconds.hpp"

#include <algorithm>

namespace bamboohead {

namespace {

/// Size limit of a request body at the servers of an entry, see async_http_limits.
constexpr std::uint64_t serverBodyLimit = 262'144;

class state_reviewer
{
public:
    explicit state_reviewer(const desired_state &state)
        : m_state{state}
    {}

    std::vector<state_finding> review()
    {
        for (std::size_t index = 0; index < m_state.routes.size(); ++index) {
            reviewMatching(index);
            reviewLimits(index);
        }
        for (std::size_t index = 0; index < m_state.services.size(); ++index) {
            if (std::ranges::find(m_state.routes, m_state.services[index],
                                  &dispatch_route::service) == m_state.routes.end()) {
                add(finding_kind::never_used, state_field::service, index,
                    "no route leads to this service");
            }
        }
        if (m_state.maxBodyBytes > serverBodyLimit) {
            add(finding_kind::contradiction, state_field::body_limit, 0,
                "the entries reject bodies of more than " + std::to_string(serverBodyLimit) +
                        " bytes");
        }
        return std::move(m_findings);
    }

private:
    void add(finding_kind kind, state_field field, std::size_t index, std::string message)
    {
        m_findings.push_back({kind, field, index, std::move(message)});
    }

    /// Whether requests reach the route, see findRoute().
    void reviewMatching(std::size_t index)
    {
        const auto &route = m_state.routes[index];
        const auto earlier = m_state.routes.begin() + static_cast<std::ptrdiff_t>(index);
        const auto same = std::find_if(m_state.routes.begin(), earlier, [&](const auto &other) {
            return other.host == route.host && other.prefix == route.prefix;
        });
        if (same != earlier) {
            add(finding_kind::never_used, state_field::route_prefix, index,
                "the route \"" + same->name +
                        "\" before it gets all requests of this host and "
                        "prefix");
        }
        if (route.host.find(':') != std::string::npos) {
            add(finding_kind::never_used, state_field::route_host, index,
                "hosts are compared without their port, so none equals this one");
        }
        if (!route.prefix.empty() && !route.prefix.starts_with('/')) {
            add(finding_kind::never_used, state_field::route_prefix, index,
                "paths start with /, so none has this prefix");
        }
        if (route.prefix.find_first_of("?#") != std::string::npos) {
            add(finding_kind::never_used, state_field::route_prefix, index,
                "paths are compared without query and fragment, so none has this prefix");
        }
        if (std::ranges::find(m_state.services, route.service) == m_state.services.end()) {
            add(finding_kind::contradiction, state_field::route_service, index,
                "the service is not listed under the services");
        }
        if (std::any_of(m_state.routes.begin(), earlier,
                        [&](const auto &other) { return other.name == route.name; })) {
            add(finding_kind::contradiction, state_field::route_name, index,
                "another route has this name: run times and shares are kept by name");
        }
    }

    void reviewLimits(std::size_t index)
    {
        const auto &route = m_state.routes[index];
        if (route.stretch < 1.0 && route.objectiveOffset == duration{}) {
            add(finding_kind::contradiction, state_field::route_stretch, index,
                "the objective is shorter than the job itself, so no job can meet it");
        }
        if (route.timeout > duration{} && route.timeout < route.objectiveOffset) {
            add(finding_kind::contradiction, state_field::route_timeout, index,
                "the time limit of " + std::to_string(toMilliseconds(route.timeout)) +
                        " ms is shorter than the objective of at least " +
                        std::to_string(toMilliseconds(route.objectiveOffset)) + " ms");
        }
    }

    const desired_state &m_state;
    std::vector<state_finding> m_findings;
};

} // namespace

std::vector<state_finding> reviewState(const desired_state &state)
{
    return state_reviewer{state}.review();
}

} // namespace bamboohead
