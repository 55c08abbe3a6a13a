#include "dispatch_loop.hpp"

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

} // namespace bamboohead
