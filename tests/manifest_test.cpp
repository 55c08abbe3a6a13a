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

std::vector<config_error> errorsOf(std::string_view text)
{
    const auto parsed = parseManifest(text);
    const auto *errors = std::get_if<std::vector<config_error>>(&parsed);
    return errors == nullptr ? std::vector<config_error>{} : *errors;
}

std::string messageAt(const std::vector<config_error> &errors, std::string_view path)
{
    const auto found = std::ranges::find(errors, path, &config_error::path);
    return found == errors.end() ? "no error at this path" : found->message;
}

} // namespace

TEST_CASE("a valid manifest with comments is read in full")
{
    // Guards against settings that are accepted but not applied.
    const auto parsed = parseManifest(valid);
    REQUIRE(std::holds_alternative<manifest>(parsed));
    const auto &parsedManifest = std::get<manifest>(parsed);
    CHECK(parsedManifest.zones.at("graz") == zone_state::in);
    CHECK(parsedManifest.zones.at("linz") == zone_state::out);
    CHECK(parsedManifest.services.at("price-quote").weight == 3);
    CHECK(parsedManifest.services.at("price-quote").maxRunningPerTarget == 4);
    CHECK(parsedManifest.services.at("price-quote").defaultDeadline == 2500ms);
    CHECK(parsedManifest.services.at("rack-lookup").defaultDeadline == 10s);
    CHECK(parsedManifest.teams.at("growers").weight == 2);
    CHECK(parsedManifest.teams.at("growers").maxRunning == 100);
}

TEST_CASE("all errors are reported at once, each with its path, value, range and unit")
{
    // Guards against reporting only the first error, which costs operators one attempt per error
    // during an outage.
    const auto errors = errorsOf(R"({
        "zones": {"Graz": {"state": "in"}, "linz": {"state": "off", "a/b": 1}},
        "services": {"rack-lookup": {"weight": 0, "default_deadline_ms": 700000}},
        "teams": {"growers": {"max_running": 1.5}, "dealers": 7},
        "zone": {}})");
    CHECK(errors.size() == 8);
    CHECK(messageAt(errors, "/zones/Graz").find("found the name \"Graz\"") == 0);
    CHECK(messageAt(errors, "/zones/linz/state") == R"(found "off"; allowed: "in" or "out")");
    CHECK(messageAt(errors, "/zones/linz/a~1b").find("unknown key") == 0);
    CHECK(messageAt(errors, "/services/rack-lookup/weight") ==
          "found 0; allowed: an integer from 1 to 1000 (share)");
    CHECK(messageAt(errors, "/services/rack-lookup/default_deadline_ms") ==
          "found 700000; allowed: an integer from 1 to 600000 (ms)");
    CHECK(messageAt(errors, "/teams/growers/max_running").find("found 1.5E0;") == 0);
    CHECK(messageAt(errors, "/teams/dealers") == "found 7; allowed: an object");
    CHECK(messageAt(errors, "/zone") == "unknown key; allowed: zones, services, teams");
}

TEST_CASE("a manifest without zones or services is refused")
{
    // Guards against an empty file by which the whole system would go out of service.
    CHECK(errorsOf("{}").size() == 2);
    CHECK(errorsOf(R"({"zones": {}, "services": {"a": {}}})").size() == 1);
    CHECK(errorsOf("[]").size() == 1);
}

TEST_CASE("a repeated key is refused")
{
    // Guards against a zone that stays in service because a repeated key silently replaced "out".
    const auto errors = errorsOf(R"({"services": {"a": {}},
        "zones": {"graz": {"state": "out"}, "gr\u0061z": {"state": "in"}}})");
    CHECK(messageAt(errors, "/zones/graz") == "the key is repeated; allowed: once");
}

TEST_CASE("text that is not valid JSON is refused with the position of the error")
{
    // Guards against a truncated file that is accepted as a shorter manifest.
    CHECK(messageAt(errorsOf("{\n  \"zones\": x}"), "").find("near line 2") != std::string::npos);
    CHECK(errorsOf("").size() == 1);
    CHECK(errorsOf(valid.substr(0, valid.size() - 1)).size() == 1);
    CHECK(errorsOf(std::string{valid} + "{}").size() == 1);
}

TEST_CASE("a manifest above the store's value limit is refused")
{
    // Guards against a manifest that is valid but too large to be stored.
    const std::string text{valid};
    CHECK(errorsOf(text + std::string(maxManifestBytes - text.size(), ' ')).empty());
    CHECK(errorsOf(text + std::string(maxManifestBytes - text.size() + 1, ' ')).size() == 1);
}

TEST_CASE("changing the state of a zone preserves the rest of the text")
{
    // Guards against a zone command that loses comments or settings written by other operators.
    const auto changed = changeZoneState(valid, "linz", zone_state::in);
    REQUIRE(std::holds_alternative<std::string>(changed));
    std::string expected{valid};
    expected.replace(expected.find("\"out\""), 5, "\"in\"");
    CHECK(std::get<std::string>(changed) == expected);

    const auto unknown = changeZoneState(valid, "wien", zone_state::out);
    REQUIRE(std::holds_alternative<std::vector<config_error>>(unknown));
    CHECK(std::get<std::vector<config_error>>(unknown).front().path == "/zones/wien");
}
