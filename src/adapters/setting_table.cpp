#include "bamboohead/settings.hpp"

#include "bamboohead/manifest.hpp"
#include "bamboohead/network_address.hpp"

#include <algorithm>
#include <array>
#include <limits>

namespace bamboohead {

namespace {

constexpr std::int64_t maxPort = 65'535;
/// Maximum numbers of list items. The limit of seed endpoints also applies to dispatch contacts.
constexpr std::int64_t maxSeedEndpoints = 16;
constexpr std::int64_t maxStoreAddresses = 8;
/// Limits of /http/max_connections. Each connection takes one server thread. Callers that wait for
/// answers may occupy all but eight of these threads; the others serve requests that are answered
/// without waiting.
constexpr std::int64_t minHttpConnections = 16;
constexpr std::int64_t maxHttpConnections = 4'096;
constexpr std::int64_t maxRandomSeed = std::numeric_limits<std::int64_t>::max();
/// Limits of /requests/memory_kb and /requests/timeout_ms. The smallest memory holds some requests
/// with the largest body of the platform's interfaces (256 KiB).
constexpr std::int64_t minRequestMemoryKb = 1'024;
constexpr std::int64_t maxRequestMemoryKb = 1'048'576;
constexpr std::int64_t minRequestTimeoutMs = 100;
constexpr std::int64_t maxRequestTimeoutMs = 600'000;
constexpr std::string_view endpointScheme = "tcp://";
constexpr std::array<std::string_view, 4> levelNames{"debug", "info", "warning", "error"};
constexpr std::array<std::string_view, 2> admissionNames{"entry", "fleet"};
constexpr std::array<std::string_view, 2> placementNames{"immediate", "forecast"};
constexpr std::int64_t maxDistanceFactor = 100;
constexpr std::array<std::string_view, 3> policyNames{"credits", "random", "two_choices"};

bool isOptionalEndpoint(std::string_view text)
{
    return text.empty() || isEndpoint(text);
}

bool isHost(std::string_view text)
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
               c == '-' || c == '.';
    };
    return !text.empty() && std::ranges::all_of(text, allowed);
}

bool isAddressOrEmpty(std::string_view text)
{
    return text.empty() || isAddress(text);
}

bool isNumericAddressOrEmpty(std::string_view text)
{
    return text.empty() || parseAddress(text).has_value();
}

bool isAnyText(std::string_view)
{
    return true;
}

bool isLevel(std::string_view text)
{
    return std::ranges::find(levelNames, text) != levelNames.end();
}

bool isPolicy(std::string_view text)
{
    return std::ranges::find(policyNames, text) != policyNames.end();
}

bool isAdmission(std::string_view text)
{
    return std::ranges::find(admissionNames, text) != admissionNames.end();
}

bool isPlacement(std::string_view text)
{
    return std::ranges::find(placementNames, text) != placementNames.end();
}

void assignLevel(process_settings &settings, std::string text)
{
    const auto *const name = std::ranges::find(levelNames, text);
    settings.log.level = static_cast<log_level>(name - levelNames.begin());
}

void assignPolicy(process_settings &settings, std::string text)
{
    settings.entry.policy = parsePlacementPolicy(text).value_or(placement_policy::credits);
}

setting_description textSetting(std::string_view path, std::string_view defaultText,
                                std::string_view range, std::string_view help,
                                bool (*valid)(std::string_view),
                                void (*assign)(process_settings &, std::string))
{
    setting_description row;
    row.path = path;
    row.defaultText = defaultText;
    row.range = range;
    row.help = help;
    row.valid = valid;
    row.assignText = assign;
    return row;
}

setting_description choiceSetting(std::string_view path, std::string_view defaultText,
                                  std::string_view range, std::string_view help,
                                  bool (*valid)(std::string_view),
                                  void (*assign)(process_settings &, std::string))
{
    auto row = textSetting(path, defaultText, range, help, valid, assign);
    row.type = setting_type::choice;
    return row;
}

setting_description listSetting(std::string_view path, std::string_view range,
                                std::string_view help, std::int64_t maximum,
                                bool (*valid)(std::string_view),
                                void (*assign)(process_settings &, std::vector<std::string>))
{
    setting_description row;
    row.path = path;
    row.type = setting_type::text_list;
    row.defaultText = "[]";
    row.range = range;
    row.help = help;
    row.maximum = maximum;
    row.valid = valid;
    row.assignList = assign;
    return row;
}

/// Inclusive range of an integer setting.
struct bounds
{
    std::int64_t minimum;
    std::int64_t maximum;
};

setting_description integerSetting(std::string_view path, std::string_view defaultText,
                                   std::string_view range, std::string_view unit,
                                   std::string_view help, bounds allowed,
                                   void (*assign)(process_settings &, std::int64_t))
{
    setting_description row;
    row.path = path;
    row.type = setting_type::integer;
    row.defaultText = defaultText;
    row.range = range;
    row.unit = unit;
    row.help = help;
    row.minimum = allowed.minimum;
    row.maximum = allowed.maximum;
    row.assignInteger = assign;
    return row;
}

setting_description numberSetting(std::string_view path, std::string_view defaultText,
                                  std::string_view range, std::string_view help, bounds allowed,
                                  void (*assign)(process_settings &, double))
{
    setting_description row;
    row.path = path;
    row.type = setting_type::number;
    row.defaultText = defaultText;
    row.range = range;
    row.help = help;
    row.minimum = allowed.minimum;
    row.maximum = allowed.maximum;
    row.assignNumber = assign;
    return row;
}

std::vector<setting_description> commonSettings()
{
    return {
            textSetting("/zone", "", "1 to 63 of a-z, 0-9 and -",
                        "Availability zone of the process.", isManifestName,
                        [](auto &settings, auto value) { settings.zone = std::move(value); }),
            textSetting("/endpoint", "", "tcp://host:port",
                        "ZeroMQ endpoint that the process binds and other processes connect to.",
                        isEndpoint,
                        [](auto &settings, auto value) { settings.endpoint = std::move(value); }),
            textSetting("/bind", R"("")", "tcp://host:port, or empty",
                        "Endpoint to bind when other processes connect to a different one, for "
                        "example behind a proxy; when empty, /endpoint is bound.",
                        isOptionalEndpoint,
                        [](auto &settings, auto value) { settings.bind = std::move(value); }),
            listSetting(
                    "/seeds", "up to 16 of tcp://host:port",
                    "Endpoints of entries to contact first; a reload replaces them, except that "
                    "the dispatch commands only add the new ones. May be empty for a single "
                    "entry, and for the dispatch commands when they find entries through "
                    "/dispatch/contacts or /dispatch/store.",
                    maxSeedEndpoints, isEndpoint,
                    [](auto &settings, auto value) { settings.seeds = std::move(value); }),
            choiceSetting("/log/level", R"("info")", "debug, info, warning, error",
                          "Minimum severity that is logged.", isLevel, assignLevel),
            textSetting("/log/file", R"("")",
                        "a path, - for standard output, or empty for standard error",
                        "File that log lines are appended to; it is rotated at 64 MiB, and two old "
                        "files are kept. On standard output, only the dispatch commands write "
                        "lines while they run; entry and agent write at most about 1 MiB at "
                        "exit and drop the rest.",
                        isAnyText,
                        [](auto &settings, auto value) { settings.log.file = std::move(value); }),
            textSetting(
                    "/http/address", R"("127.0.0.1")", "a host name or IPv4 address",
                    "Address that the HTTP server binds.", isHost,
                    [](auto &settings, auto value) { settings.http.address = std::move(value); }),
            integerSetting("/http/port", "", "1 to 65535", "", "Port that the HTTP server binds.",
                           {1, maxPort},
                           [](auto &settings, auto value) {
                               settings.http.port = static_cast<std::uint16_t>(value);
                           }),
            integerSetting("/http/max_connections", "512", "16 to 4096", "connections",
                           "Connections that the command entry serves at the same time, one thread "
                           "each; the others ignore it: agent uses 16 threads, dispatch-entry and "
                           "dispatch-agent 2.",
                           {minHttpConnections, maxHttpConnections},
                           [](auto &settings, auto value) {
                               settings.http.maxConnections = static_cast<std::uint32_t>(value);
                           }),
    };
}

std::vector<setting_description> requestSettings()
{
    return {
            integerSetting("/requests/memory_kb", "24576", "1024 to 1048576", "KiB",
                           "Memory that requests which were not received as a whole may hold "
                           "together, for each HTTP server of the process. When it is exhausted, "
                           "the requests with the highest product of memory and age are answered "
                           "503, or their connections are closed.",
                           {minRequestMemoryKb, maxRequestMemoryKb},
                           [](auto &settings, auto value) {
                               settings.requests.memoryBytes =
                                       static_cast<std::size_t>(value) * 1'024;
                           }),
            integerSetting("/requests/timeout_ms", "20000", "100 to 600000", "ms",
                           "Time from the first byte of a request to its last one. A request that "
                           "takes longer is answered 408, or its connection is closed.",
                           {minRequestTimeoutMs, maxRequestTimeoutMs},
                           [](auto &settings, auto value) {
                               settings.requests.timeout = std::chrono::milliseconds{value};
                           }),
    };
}

std::vector<setting_description> roleSettings()
{
    return {
            listSetting(
                    "/entry/store", "up to 8 of host:port",
                    "Addresses of the store's HTTP gateway; when empty, the entry receives the "
                    "manifest only from other entries and from the operators' commands.",
                    maxStoreAddresses, isAddress,
                    [](auto &settings, auto value) { settings.entry.store = std::move(value); }),
            choiceSetting("/entry/policy", R"("credits")", "credits, random, two_choices",
                          "Policy by which an entry chooses the agent of a task; random and "
                          "two_choices are baselines for comparison.",
                          isPolicy, assignPolicy),
            integerSetting("/entry/seed", "0", "0 to 9223372036854775807", "",
                           "Seed of the random number generator; 0 selects a random seed.",
                           {0, maxRandomSeed},
                           [](auto &settings, auto value) {
                               settings.entry.seed = static_cast<std::uint64_t>(value);
                           }),
            textSetting(
                    "/agent/target", R"("")", "host:port, or empty",
                    "Address of the target; when empty, the address that the target announces.",
                    isAddressOrEmpty,
                    [](auto &settings, auto value) { settings.agent.target = std::move(value); }),
            integerSetting("/agent/seed", "0", "0 to 9223372036854775807", "",
                           "Seed of the random number generator; 0 selects a random seed.",
                           {0, maxRandomSeed},
                           [](auto &settings, auto value) {
                               settings.agent.seed = static_cast<std::uint64_t>(value);
                           }),
    };
}

std::vector<setting_description> dispatchSettings()
{
    return {
            textSetting(
                    "/dispatch/callers", R"("")", "host:port, or empty",
                    "IPv4 address and port that dispatch-entry binds for the platform's callers; "
                    "required for this command.",
                    isNumericAddressOrEmpty,
                    [](auto &settings, auto value) {
                        settings.dispatch.callers = std::move(value);
                    }),
            textSetting("/dispatch/readiness", R"("")", "host:port, or empty",
                        "IPv4 address and port that dispatch-entry binds for the load balancer's "
                        "readiness checks; required for this command.",
                        isNumericAddressOrEmpty,
                        [](auto &settings, auto value) {
                            settings.dispatch.readiness = std::move(value);
                        }),
            textSetting("/dispatch/targets", R"("")", "host:port, or empty",
                        "IPv4 address and port that dispatch-agent binds for the reports of its "
                        "target; required for this command.",
                        isNumericAddressOrEmpty,
                        [](auto &settings, auto value) {
                            settings.dispatch.targets = std::move(value);
                        }),
            textSetting(
                    "/dispatch/store", R"("")", "host:port, or empty",
                    "IPv4 address and port of the platform's store; when empty, the process uses "
                    "no store.",
                    isNumericAddressOrEmpty,
                    [](auto &settings, auto value) { settings.dispatch.store = std::move(value); }),
            listSetting("/dispatch/contacts", "up to 16 of host:port",
                        "Agents to contact for finding entries; only the hosts are used, with the "
                        "port of the process's own endpoint.",
                        maxSeedEndpoints, isAddress,
                        [](auto &settings, auto value) {
                            settings.dispatch.contacts = std::move(value);
                        }),
            choiceSetting(
                    "/dispatch/admission", R"("entry")", "entry, fleet",
                    "Load by which dispatch-entry refuses jobs: that of its own queue, or the "
                    "demand of all entries, whose room is then shared between the routes.",
                    isAdmission,
                    [](auto &settings, auto value) {
                        settings.dispatch.fleetAdmission = value == "fleet";
                    }),
            choiceSetting("/dispatch/placement", R"("immediate")", "immediate, forecast",
                          "How dispatch-entry places tasks: only where they can start at once, or "
                          "by forecasts of the wait at full targets and of the targets' speeds.",
                          isPlacement,
                          [](auto &settings, auto value) {
                              settings.dispatch.forecastPlacement = value == "forecast";
                          }),
            numberSetting(
                    "/dispatch/distance_factor", "0", "0 to 100",
                    "Factor by which a task runs longer away from the data or group that it "
                    "names. Above 1, dispatch-entry decides with it how long a task waits for "
                    "a place there; otherwise such targets are only preferred.",
                    {0, maxDistanceFactor},
                    [](auto &settings, auto value) { settings.dispatch.distanceFactor = value; }),
    };
}

std::vector<setting_description> allSettings()
{
    auto rows = commonSettings();
    for (const auto &more : {requestSettings(), roleSettings(), dispatchSettings()}) {
        rows.insert(rows.end(), more.begin(), more.end());
    }
    return rows;
}

} // namespace

bool isAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    return colon != std::string_view::npos && isHost(text.substr(0, colon)) &&
           parsePort(text.substr(colon + 1)).has_value();
}

bool isEndpoint(std::string_view text)
{
    return text.starts_with(endpointScheme) && isAddress(text.substr(endpointScheme.size()));
}

std::span<const setting_description> settingDescriptions()
{
    static const auto rows = allSettings();
    return rows;
}

} // namespace bamboohead
