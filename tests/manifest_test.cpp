#include "bamboohead/manifest.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace bamboohead;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view valid = R"({
    // Linz is being rewired until Friday.
    "zones": {"graz": {"state": "in"}, "linz": {"state": /* was in */ "out"}},
    "services": {"price-quote": {"weight": 3, "max_running_per_target": 4,
                                 "default_deadline_ms": 2500}, "rack-lookup": {}},
    "teams": {"growers": {"weight": 2, "max_running": 100}}
})";

std::vector<config_fault> faultsOf(std::string_view text)
{
    const auto parsed = parseManifest(text);
    const auto *faults = std::get_if<std::vector<config_fault>>(&parsed);
    return faults == nullptr ? std::vector<config_fault>{} : *faults;
}

std::string messageAt(const std::vector<config_fault> &faults, std::string_view path)
{
    const auto found = std::ranges::find(faults, path, &config_fault::path);
    return found == faults.end() ? "no fault at this path" : found->message;
}

} // namespace

TEST_CASE("a valid manifest with comments is read in full")
{
    // Guards against settings that are accepted but not applied.
    const auto parsed = parseManifest(valid);
    REQUIRE(std::holds_alternative<manifest>(parsed));
    const auto &held = std::get<manifest>(parsed);
    CHECK(held.zones.at("graz") == zone_state::in);
    CHECK(held.zones.at("linz") == zone_state::out);
    CHECK(held.services.at("price-quote").weight == 3);
    CHECK(held.services.at("price-quote").maxRunningPerTarget == 4);
    CHECK(held.services.at("price-quote").defaultDeadline == 2500ms);
    CHECK(held.services.at("rack-lookup").defaultDeadline == 10s);
    CHECK(held.teams.at("growers").weight == 2);
    CHECK(held.teams.at("growers").maxRunning == 100);
}

TEST_CASE("all faults are reported at once, each with path, value, range and unit")
{
    // Guards against an operator who mends one fault per attempt during an outage.
    const auto faults = faultsOf(R"({
        "zones": {"Graz": {"state": "in"}, "linz": {"state": "off", "a/b": 1}},
        "services": {"rack-lookup": {"weight": 0, "default_deadline_ms": 700000}},
        "teams": {"growers": {"max_running": 1.5}, "dealers": 7},
        "zone": {}})");
    CHECK(faults.size() == 8);
    CHECK(messageAt(faults, "/zones/Graz").find("found the name \"Graz\"") == 0);
    CHECK(messageAt(faults, "/zones/linz/state") == R"(found "off"; allowed: "in" or "out")");
    CHECK(messageAt(faults, "/zones/linz/a~1b").find("unknown key") == 0);
    CHECK(messageAt(faults, "/services/rack-lookup/weight") ==
          "found 0; allowed: an integer from 1 to 1000 (share)");
    CHECK(messageAt(faults, "/services/rack-lookup/default_deadline_ms") ==
          "found 700000; allowed: an integer from 1 to 600000 (ms)");
    CHECK(messageAt(faults, "/teams/growers/max_running").find("found 1.5E0;") == 0);
    CHECK(messageAt(faults, "/teams/dealers") == "found 7; allowed: an object");
    CHECK(messageAt(faults, "/zone") == "unknown key; allowed: zones, services, teams");
}

TEST_CASE("a manifest without zones or services is refused")
{
    // Guards against an empty file that takes the whole system out of service.
    CHECK(faultsOf("{}").size() == 2);
    CHECK(faultsOf(R"({"zones": {}, "services": {"a": {}}})").size() == 1);
    CHECK(faultsOf("[]").size() == 1);
}

TEST_CASE("a repeated key is refused")
{
    // Guards against a zone that stays in because a second line for it replaced "out".
    const auto faults = faultsOf(R"({"services": {"a": {}},
        "zones": {"graz": {"state": "out"}, "gr\u0061z": {"state": "in"}}})");
    CHECK(messageAt(faults, "/zones/graz") == "the key is repeated; allowed: once");
}

TEST_CASE("text that is not JSON is refused with its place")
{
    // Guards against a truncated file being taken as a shorter manifest.
    CHECK(messageAt(faultsOf("{\n  \"zones\": x}"), "").find("near line 2") != std::string::npos);
    CHECK(faultsOf("").size() == 1);
    CHECK(faultsOf(valid.substr(0, valid.size() - 1)).size() == 1);
    CHECK(faultsOf(std::string{valid} + "{}").size() == 1);
}

TEST_CASE("a manifest above the store's value limit is refused")
{
    // Guards against a manifest that passes the check and then cannot be stored.
    const std::string text{valid};
    CHECK(faultsOf(text + std::string(maxManifestBytes - text.size(), ' ')).empty());
    CHECK(faultsOf(text + std::string(maxManifestBytes - text.size() + 1, ' ')).size() == 1);
}

TEST_CASE("changing a zone's state keeps the rest of the text")
{
    // Guards against a zone command that drops comments or settings of other operators.
    const auto changed = changeZoneState(valid, "linz", zone_state::in);
    REQUIRE(std::holds_alternative<std::string>(changed));
    std::string expected{valid};
    expected.replace(expected.find("\"out\""), 5, "\"in\"");
    CHECK(std::get<std::string>(changed) == expected);

    const auto unknown = changeZoneState(valid, "wien", zone_state::out);
    REQUIRE(std::holds_alternative<std::vector<config_fault>>(unknown));
    CHECK(std::get<std::vector<config_fault>>(unknown).front().path == "/zones/wien");
}
