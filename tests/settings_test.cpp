#include "bamboohead/settings.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace bamboohead {

namespace {

constexpr std::string_view validText = R"({
    // Comments are allowed.
    "zone": "graz",
    "endpoint": "tcp://127.0.0.1:7001",
    "seeds": ["tcp://127.0.0.1:7002"],
    "http": {"port": 8001, "max_connections": 64},
    "entry": {"store": ["127.0.0.1:2379"], "policy": "two_choices"}
})";

std::vector<config_error> faultsOf(std::string_view text)
{
    const auto result = parseSettings(text);
    const auto *const faults = std::get_if<std::vector<config_error>>(&result);
    return faults == nullptr ? std::vector<config_error>{} : *faults;
}

const config_error *findFault(const std::vector<config_error> &faults, std::string_view path)
{
    const auto found = std::ranges::find(faults, path, &config_error::path);
    return found == faults.end() ? nullptr : &*found;
}

} // namespace

TEST_CASE("a zone that is not a valid name in a manifest is a fault")
{
    // Guards against a process whose zone no manifest can put into service.
    const std::string tooLong(maxManifestNameLength + 1, 'a');
    for (const auto &zone : {std::string{"graz_1"}, tooLong}) {
        const auto faults =
                faultsOf(R"({"endpoint": "tcp://127.0.0.1:7001", "zone": ")" + zone + R"("})");
        CHECK(findFault(faults, "/zone") != nullptr);
    }
}

// Guards against settings that are parsed but not applied.
TEST_CASE("valid settings are applied, and missing ones have their defaults")
{
    const auto result = parseSettings(validText);
    const auto *const settings = std::get_if<process_settings>(&result);
    REQUIRE(settings != nullptr);
    CHECK(settings->zone == "graz");
    CHECK(settings->endpoint == "tcp://127.0.0.1:7001");
    CHECK(settings->seeds == std::vector<std::string>{"tcp://127.0.0.1:7002"});
    CHECK(settings->http.port == 8001);
    CHECK(settings->http.maxConnections == 64);
    CHECK(settings->http.address == "127.0.0.1");
    CHECK(settings->log.level == log_level::info);
    CHECK(settings->entry.policy == placement_policy::two_choices);
    CHECK(settings->entry.store == std::vector<std::string>{"127.0.0.1:2379"});
}

// Guards against an entry that forecasts waits but has no agents assigned to it.
TEST_CASE("settings that need each other are checked together")
{
    const std::string common =
            R"({"zone": "graz", "endpoint": "tcp://127.0.0.1:7001", "http": {"port": 8001}, )";
    const auto alone = faultsOf(common + R"("dispatch": {"placement": "forecast"}})");
    REQUIRE(alone.size() == 1);
    CHECK(alone.front().path == "/dispatch/placement");
    CHECK(faultsOf(common + R"("dispatch": {"placement": "forecast", "admission": "fleet"}})")
                  .empty());
    CHECK(faultsOf(common + R"("dispatch": {"admission": "fleet"}})").empty());
}

// Guards against validation that stops at the first fault, and against values that are not
// validated.
TEST_CASE("all faults are reported together, with path, value and allowed range")
{
    const auto faults = faultsOf(R"({
        "zone": "Graz 1", "endpoint": "127.0.0.1:7001", "seeds": "tcp://127.0.0.1:1",
        "log": {"level": "loud"}, "http": {"port": 70000, "max_connections": 1.5},
        "entry": {"store": ["127.0.0.1:0"], "policy": "best"}, "agent": {"seed": -1}})");
    for (const auto *const path :
         {"/zone", "/endpoint", "/seeds", "/log/level", "/http/port", "/http/max_connections",
          "/entry/store", "/entry/policy", "/agent/seed"}) {
        CAPTURE(path);
        CHECK(findFault(faults, path) != nullptr);
    }
    CHECK(faults.size() == 9);
    const auto *const connections = findFault(faults, "/http/max_connections");
    REQUIRE(connections != nullptr);
    CHECK(connections->message.find("1.5") != std::string::npos);
    CHECK(connections->message.find("16 to 4096 connections") != std::string::npos);
}

// Guards against an address that is only found to be unusable when it is bound or called.
TEST_CASE("addresses of the dispatch processes are numeric")
{
    const auto faults =
            faultsOf(R"({"zone": "graz", "endpoint": "tcp://127.0.0.1:7001", "http": {"port": 8001},
        "dispatch": {"callers": "localhost:1", "readiness": "localhost:1", "targets": "a:1",
                     "store": "store.example:2379"}})");
    for (const std::string name : {"callers", "readiness", "targets", "store"}) {
        CAPTURE(name);
        CHECK(findFault(faults, "/dispatch/" + name) != nullptr);
    }
    CHECK(faults.size() == 4);
}

// Guards against misspelt settings that are silently ignored.
TEST_CASE("unknown keys are faults at any depth")
{
    const auto faults = faultsOf(R"({"zone": "graz", "endpoint": "tcp://127.0.0.1:7001",
        "http": {"port": 1, "prot": 2}, "speed": 3, "log": 4})");
    CHECK(findFault(faults, "/http/prot") != nullptr);
    CHECK(findFault(faults, "/speed") != nullptr);
    CHECK(findFault(faults, "/log") != nullptr);
    CHECK(faults.size() == 3);
}

// Guards against a process that starts without a setting that has no default.
TEST_CASE("missing required settings, malformed JSON and unreadable files are faults")
{
    const auto faults = faultsOf("{}");
    CHECK(findFault(faults, "/zone") != nullptr);
    CHECK(findFault(faults, "/endpoint") != nullptr);
    CHECK(findFault(faults, "/http/port") != nullptr);
    CHECK(faultsOf("{").size() == 1);
    CHECK(faultsOf("[]").size() == 1);
    const auto missing = loadSettings("/nonexistent/settings.json");
    CHECK(std::holds_alternative<std::vector<config_error>>(missing));
    CHECK(describeFault("a.json", {"/zone", "absent"}) == "a.json: /zone: absent");
}

// Guards against defaults that fail validation, and against an incomplete reference.
TEST_CASE("the reference lists every setting, and all defaults are valid")
{
    const auto reference = settingsReference();
    for (const auto &row : settingDescriptions()) {
        CHECK(reference.find("`" + std::string{row.path} + "`") != std::string::npos);
    }
    CHECK(faultsOf(R"({"zone": "a", "endpoint": "tcp://127.0.0.1:1", "http": {"port": 1}})")
                  .empty());
}

} // namespace bamboohead
