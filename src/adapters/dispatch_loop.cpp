#include "dispatch_loop.hpp"

#include "bamboohead/logging.hpp"
#include "bamboohead/network_address.hpp"

namespace bamboohead {

std::string endpointOnHost(const std::string &endpoint, const std::string &address)
{
    const auto host = address.substr(0, address.rfind(':'));
    return "tcp://" + host + endpoint.substr(endpoint.rfind(':'));
}

std::vector<std::string> contactEndpoints(const process_settings &settings)
{
    auto endpoints = settings.seeds;
    for (const auto &contact : settings.dispatch.contacts) {
        endpoints.push_back(endpointOnHost(settings.endpoint, contact));
    }
    return endpoints;
}

std::vector<std::string> usableEndpoints(std::vector<std::string> endpoints)
{
    const auto removed = std::erase_if(
            endpoints, [](const auto &endpoint) { return !parseEndpoint(endpoint).has_value(); });
    if (removed > 0) {
        logLine(log_level::warning, "members_unusable",
                {{"endpoints", std::to_string(removed)},
                 {"usable", std::to_string(endpoints.size())}});
    }
    return endpoints;
}

} // namespace bamboohead
