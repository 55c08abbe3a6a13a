#include "load_monitor.hpp"

#include <boost/json.hpp>
#include <httplib.h>

#include <cstdlib>
#include <sstream>
#include <stdexcept>

namespace bamboohead {

namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds requestTimeout{500};
constexpr int statusOk = 200;

std::optional<std::string> get(const std::string &address, const char *path)
{
    httplib::Client client{"http://" + address};
    client.set_connection_timeout(requestTimeout);
    client.set_read_timeout(requestTimeout);
    const auto response = client.Get(path);
    if (!response || response->status != statusOk) {
        return std::nullopt;
    }
    return response->body;
}

} // namespace

load_monitor::load_monitor(const std::vector<std::string> &entries,
                           const std::vector<std::string> &agents)
{
    for (const auto &address : entries) {
        m_processes.push_back({"entry", address, {}});
    }
    for (const auto &address : agents) {
        m_processes.push_back({"agent", address, {}});
    }
}

void load_monitor::read(process &from)
{
    const auto text = get(from.address, "/metrics");
    if (!text) {
        return;
    }
    std::istringstream lines{*text};
    for (std::string line; std::getline(lines, line);) {
        const auto space = line.find(' ');
        const bool isValue = !line.starts_with('#') && line.find("_bucket{") == std::string::npos;
        if (isValue && space != std::string::npos) {
            from.values[line.substr(0, space)] = std::strtod(line.c_str() + space, nullptr);
        }
    }
}

void load_monitor::sample(std::chrono::steady_clock::time_point start)
{
    detail::counter_sample sums;
    for (auto &each : m_processes) {
        read(each);
        for (const auto &[name, value] : each.values) {
            sums.values[each.role + "." + name] += value;
        }
    }
    sums.at = std::chrono::duration_cast<duration>(std::chrono::steady_clock::now() - start);
    m_samples.push_back(std::move(sums));
}

std::vector<detail::zone_slots> readSlots(const std::vector<std::string> &entries)
{
    for (const auto &address : entries) {
        const auto text = get(address, "/v1/state");
        if (!text) {
            continue;
        }
        const auto state = json::parse(*text);
        std::vector<detail::zone_slots> slots;
        for (const auto &item : state.as_object().at("agents").as_array()) {
            const auto &agent = item.as_object();
            slots.push_back({std::string{agent.at("service").as_string()},
                             std::string{agent.at("zone").as_string()},
                             agent.at("slots").to_number<std::uint32_t>()});
        }
        return slots;
    }
    throw std::runtime_error{"no entry responded to GET /v1/state"};
}

} // namespace bamboohead
