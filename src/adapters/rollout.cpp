#include "bamboohead/rollout.hpp"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace bamboohead {

namespace {

namespace json = boost::json;

std::string text(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains({key.data(), key.size()});
    return value != nullptr && value->is_string() ? std::string{value->get_string()} : "";
}

std::uint64_t number(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains({key.data(), key.size()});
    json::error_code error;
    const auto result = value == nullptr ? 0 : value->to_number<std::uint64_t>(error);
    return error ? 0 : result;
}

bool isTrue(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains({key.data(), key.size()});
    return value != nullptr && value->is_bool() && value->get_bool();
}

} // namespace

bool rollout::addState(const std::string &address, std::string_view state)
{
    json::error_code error;
    const auto parsed = json::parse({state.data(), state.size()}, error);
    const auto *root = error ? nullptr : parsed.if_object();
    if (root == nullptr || text(*root, "role") != "entry" || text(*root, "incarnation").empty()) {
        return false;
    }
    const auto recordProcess = [this](const json::object &from, std::string role,
                                      std::string endpoint, bool alive) {
        auto &recorded = m_processes[text(from, "incarnation")];
        recorded.role = std::move(role);
        recorded.zone = text(from, "zone");
        recorded.endpoint = std::move(endpoint);
        recorded.version = std::max(recorded.version, number(from, "config_version"));
        recorded.alive = recorded.alive || alive;
    };
    recordProcess(*root, "entry", address, true);
    for (const auto &[list, role] : {std::pair{"entries", "entry"}, std::pair{"agents", "agent"}}) {
        const auto *peers = root->if_contains(list);
        if (peers == nullptr || !peers->is_array()) {
            return false; // the processes recorded so far stay recorded
        }
        for (const auto &peer : peers->get_array()) {
            if (const auto *object = peer.if_object()) {
                recordProcess(*object, role, text(*object, "endpoint"), isTrue(*object, "alive"));
            }
        }
    }
    return true;
}

void rollout::addUnreachable(const std::string &address)
{
    m_unreachable.insert(address);
}

bool rollout::complete() const
{
    return withoutVersion().empty() && countInForce() > 0;
}

std::vector<std::string> rollout::withoutVersion() const
{
    std::vector<std::string> lines;
    for (const auto &address : m_unreachable) {
        lines.push_back("entry " + address + ": unreachable");
    }
    for (const auto &[incarnation, item] : m_processes) {
        if (item.alive && !hasVersion(item)) {
            lines.push_back(item.role + " " + item.endpoint + " zone=" + item.zone +
                            " incarnation=" + incarnation + ": version " +
                            std::to_string(item.version));
        }
    }
    return lines;
}

std::vector<std::string> rollout::notAlive() const
{
    std::vector<std::string> lines;
    for (const auto &[incarnation, item] : m_processes) {
        if (!item.alive && !hasVersion(item)) {
            lines.push_back(item.role + " " + item.endpoint + " zone=" + item.zone +
                            " incarnation=" + incarnation);
        }
    }
    return lines;
}

std::size_t rollout::countInForce() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
            m_processes, [this](const auto &item) { return hasVersion(item.second); }));
}

} // namespace bamboohead
