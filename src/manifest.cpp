#include "bamboohead/manifest.hpp"

#include "bamboohead/detail/config/json_difference.hpp"
#include "bamboohead/detail/config/json_scan.hpp"
#include "bamboohead/detail/config/json_text.hpp"

#include <boost/json/object.hpp>
#include <boost/json/string.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace bamboohead {

namespace {

namespace json = boost::json;

constexpr std::array<std::string_view, 2> zoneStateNames{"in", "out"};

/// Allowed range of a number, both bounds included.
struct number_range
{
    std::uint32_t low;
    std::uint32_t high;
    std::string_view unit; ///< unit (`share`: relative weight) and meaning of 0; for messages
};

constexpr number_range weightRange{1, 1'000, "share"};
constexpr number_range perTargetRange{0, 1'000, "tasks, 0 means the target's slots"};
constexpr number_range deadlineRange{1, 600'000, "ms"};
constexpr number_range runningRange{0, 10'000'000, "tasks, 0 means no limit"};

using detail::quoted;

/// Converts parsed JSON to a manifest and collects all errors on the way.
class manifest_reader
{
public:
    manifest read(const json::value &root)
    {
        manifest result;
        const auto *object = objectAt(root, "");
        if (object == nullptr) {
            return result;
        }
        rejectUnknownKeys(*object, "", {"zones", "services", "teams"});
        readTable(*object, "zones", true, result.zones, &manifest_reader::readZone);
        readTable(*object, "services", true, result.services, &manifest_reader::readService);
        readTable(*object, "teams", false, result.teams, &manifest_reader::readTeam);
        return result;
    }

    std::vector<config_error> releaseErrors() { return std::move(m_errors); }

private:
    void addError(std::string path, std::string message)
    {
        m_errors.push_back(config_error{std::move(path), std::move(message)});
    }

    const json::object *objectAt(const json::value &value, const std::string &path)
    {
        const auto *object = value.if_object();
        if (object == nullptr) {
            addError(path, "found " + quoted(value) + "; allowed: an object");
        }
        return object;
    }

    void rejectUnknownKeys(const json::object &object, const std::string &path,
                           std::initializer_list<std::string_view> known)
    {
        for (const auto &member : object) {
            const std::string_view key{member.key().data(), member.key().size()};
            if (std::ranges::find(known, key) == known.end()) {
                addError(detail::appendPointer(path, key), "unknown key; allowed: " + list(known));
            }
        }
    }

    static std::string list(std::initializer_list<std::string_view> names)
    {
        std::string text;
        for (const auto name : names) {
            text += text.empty() ? "" : ", ";
            text += name;
        }
        return text;
    }

    template <typename Settings>
    void readTable(const json::object &root, std::string_view key, bool required,
                   std::map<std::string, Settings, std::less<>> &out,
                   Settings (manifest_reader::*readSettings)(const json::object &,
                                                             const std::string &))
    {
        const auto path = detail::appendPointer("", key);
        const auto *value = root.if_contains({key.data(), key.size()});
        if (value == nullptr) {
            if (required) {
                addError(path, "missing; allowed: an object with at least one name");
            }
            return;
        }
        const auto *table = objectAt(*value, path);
        if (table == nullptr) {
            return;
        }
        if (required && table->empty()) {
            addError(path, "found {}; allowed: at least one name");
        }
        for (const auto &member : *table) {
            const std::string name{member.key()};
            const auto memberPath = detail::appendPointer(path, name);
            if (!isManifestName(name)) {
                addError(memberPath, "found the name " + quoted(json::value(name)) +
                                             "; allowed: 1 to 63 of a-z, 0-9 and -");
            }
            if (const auto *settings = objectAt(member.value(), memberPath)) {
                out.emplace(name, (this->*readSettings)(*settings, memberPath));
            }
        }
    }

    zone_state readZone(const json::object &object, const std::string &path)
    {
        rejectUnknownKeys(object, path, {"state"});
        const auto statePath = detail::appendPointer(path, "state");
        const auto *value = object.if_contains("state");
        if (value == nullptr) {
            addError(statePath, R"(missing; allowed: "in" or "out")");
            return zone_state::out;
        }
        const auto *text = value->if_string();
        const auto name =
                text == nullptr ? std::string_view{} : std::string_view{text->data(), text->size()};
        const auto found = std::ranges::find(zoneStateNames, name);
        if (found == zoneStateNames.end()) {
            addError(statePath, "found " + quoted(*value) + R"(; allowed: "in" or "out")");
            return zone_state::out;
        }
        return static_cast<zone_state>(found - zoneStateNames.begin());
    }

    service_settings readService(const json::object &object, const std::string &path)
    {
        rejectUnknownKeys(object, path,
                          {"weight", "max_running_per_target", "default_deadline_ms"});
        service_settings result;
        result.weight = number(object, path, "weight", weightRange).value_or(result.weight);
        result.maxRunningPerTarget = number(object, path, "max_running_per_target", perTargetRange)
                                             .value_or(result.maxRunningPerTarget);
        if (const auto deadline = number(object, path, "default_deadline_ms", deadlineRange)) {
            result.defaultDeadline = std::chrono::milliseconds{*deadline};
        }
        return result;
    }

    team_settings readTeam(const json::object &object, const std::string &path)
    {
        rejectUnknownKeys(object, path, {"weight", "max_running"});
        team_settings result;
        result.weight = number(object, path, "weight", weightRange).value_or(result.weight);
        result.maxRunning =
                number(object, path, "max_running", runningRange).value_or(result.maxRunning);
        return result;
    }

    std::optional<std::uint32_t> number(const json::object &object, const std::string &path,
                                        std::string_view key, const number_range &range)
    {
        const auto *value = object.if_contains({key.data(), key.size()});
        if (value == nullptr) {
            return std::nullopt;
        }
        const auto *integer = value->if_int64();
        if (integer == nullptr || *integer < range.low || *integer > range.high) {
            addError(detail::appendPointer(path, key),
                     "found " + quoted(*value) + "; allowed: an integer from " +
                             std::to_string(range.low) + " to " + std::to_string(range.high) +
                             " (" + std::string{range.unit} + ")");
            return std::nullopt;
        }
        return static_cast<std::uint32_t>(*integer);
    }

    std::vector<config_error> m_errors;
};

std::variant<json::value, config_error> parseText(std::string_view text)
{
    if (text.size() > maxManifestBytes) {
        return config_error{"", "found " + std::to_string(text.size()) +
                                        " bytes; allowed: at most " +
                                        std::to_string(maxManifestBytes) + " bytes"};
    }
    auto parsed = detail::parseJsonText(text, detail::json_comments::allowed);
    if (const auto *const error = std::get_if<detail::syntax_error>(&parsed)) {
        const auto position = detail::positionAt(text, error->offset);
        return config_error{"", "not valid JSON near line " + std::to_string(position.line) +
                                        ", column " + std::to_string(position.column) + ": " +
                                        error->message};
    }
    return std::get<json::value>(std::move(parsed));
}

} // namespace

bool isManifestName(std::string_view name) noexcept
{
    const auto allowed = [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') ||
               character == '-';
    };
    return !name.empty() && name.size() <= maxManifestNameLength &&
           std::ranges::all_of(name, allowed);
}

std::string_view toText(zone_state state) noexcept
{
    return zoneStateNames.at(static_cast<std::size_t>(state));
}

std::variant<manifest, std::vector<config_error>> parseManifest(std::string_view text)
{
    const auto parsed = parseText(text);
    if (const auto *syntax = std::get_if<config_error>(&parsed)) {
        return std::vector{*syntax};
    }
    manifest_reader reader;
    auto result = reader.read(std::get<json::value>(parsed));
    auto errors = reader.releaseErrors();
    for (const auto &path : detail::scanJson(text).duplicates) {
        errors.push_back(config_error{path, "the key is repeated; allowed: once"});
    }
    if (!errors.empty()) {
        return errors;
    }
    return result;
}

std::variant<std::string, std::vector<config_error>>
changeZoneState(std::string_view text, std::string_view zone, zone_state state)
{
    const auto parsed = parseManifest(text);
    if (const auto *errors = std::get_if<std::vector<config_error>>(&parsed)) {
        return *errors;
    }
    const auto zonePath = detail::appendPointer("/zones", zone);
    const auto jsonLayout = detail::scanJson(text);
    const auto found = jsonLayout.values.find(detail::appendPointer(zonePath, "state"));
    if (found == jsonLayout.values.end()) {
        return std::vector{config_error{zonePath, "the manifest has no such zone"}};
    }
    std::string result{text};
    result.replace(found->second.begin, found->second.end - found->second.begin,
                   '"' + std::string{toText(state)} + '"');
    return result;
}

} // namespace bamboohead
