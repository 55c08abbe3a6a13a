#include "bamboohead/config_review.hpp"

#include "bamboohead/dispatch/route_review.hpp"
#include "platform/configuration_review.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace bamboohead;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view validManifest = R"({
    // Linz is being rewired until Friday.
    "zones": {"graz": {"state": "in"}, "linz": {"state": "out"}},
    "services": {"price-quote": {"max_running_per_target": 4}},
    "teams": {"growers": {"weight": 2}, "buyers": {}}
})";

constexpr std::string_view validConfiguration = R"({
    "version": 7,
    "routes": [
        {"name": "quote", "host": "desk.example", "prefix": "/quote/", "service": "desk",
         "priority": 1, "maxAttempts": 3, "stretch": 1.6, "targetLatencyMs": 60,
         "timeoutMs": 1500},
        {"name": "desk", "host": "desk.example", "prefix": "/", "service": "desk"}
    ],
    "services": [{"name": "desk", "enforcesCapacity": false}],
    "limits": {"maxBodyBytes": 262144}
})";

/// Replaces the first occurrence of a part of a text.
std::string with(std::string_view text, std::string_view part, std::string_view replacement)
{
    std::string changed{text};
    const auto found = changed.find(part);
    REQUIRE(found != std::string::npos);
    changed.replace(found, part.size(), replacement);
    return changed;
}

const config_finding *find(const std::vector<config_finding> &findings, std::string_view path)
{
    const auto found = std::ranges::find(findings, path, &config_finding::path);
    return found == findings.end() ? nullptr : &*found;
}

bool has(const std::vector<config_finding> &findings, finding_kind kind, std::string_view path)
{
    return std::ranges::any_of(findings, [&](const auto &finding) {
        return finding.kind == kind && finding.path == path;
    });
}

} // namespace

TEST_CASE("review: a sound manifest or configuration has no findings")
{
    CHECK(reviewManifest(validManifest, std::nullopt).empty());
    CHECK(reviewManifest(validManifest, validManifest).empty());
    CHECK(platform::reviewConfiguration(validConfiguration, std::nullopt).empty());
}

// Guards against an error that the operator has to search for.
TEST_CASE("review: errors have the line and column of their value")
{
    const auto syntax = reviewManifest("{\n  \"zones\": {,\n}", std::nullopt);
    REQUIRE(syntax.size() == 1);
    CHECK(syntax.front().line == 2);
    CHECK(syntax.front().column == 13);
    CHECK_FALSE(isValid(syntax));

    const auto findings = reviewManifest(with(validManifest, R"("out")", R"("off")"), std::nullopt);
    REQUIRE(findings.size() == 1);
    CHECK(findings.front().path == "/zones/linz/state");
    CHECK(findings.front().line == 3);
    CHECK(findings.front().column == 58);

    // A missing value is located at the object that lacks it.
    const auto missing = reviewManifest(
            "{\n \"zones\": {\"graz\":\n {}}, \"services\": {\"a\": {}}}", std::nullopt);
    const auto *const state = find(missing, "/zones/graz/state");
    REQUIRE(state != nullptr);
    CHECK(state->line == 3);
    CHECK(state->column == 2);
}

// Guards against a manifest that is sent though it stops all work, and against settings that an
// operator believes to have an effect.
TEST_CASE("review: a manifest without a zone in service, and weights without an effect, are found")
{
    const auto findings = reviewManifest(
            R"({"zones": {"graz": {"state": "out"}}, "services": {"a": {"weight": 3}},
                "teams": {"growers": {"weight": 2}}})",
            std::nullopt);
    CHECK(isValid(findings));
    CHECK(has(findings, finding_kind::contradiction, "/zones"));
    CHECK(has(findings, finding_kind::never_used, "/services/a/weight"));
    CHECK(has(findings, finding_kind::never_used, "/teams/growers/weight"));
    CHECK(findings.size() == 3);
}

// Guards against a change that the operator did not intend and does not see.
TEST_CASE("review: changes are found by name, whatever the order of the entries")
{
    const auto manifest = reviewManifest(
            with(with(validManifest, R"("buyers": {})", R"("sellers": {})"), ": 4", ": 5"),
            validManifest);
    CHECK(has(manifest, finding_kind::change, "/services/price-quote/max_running_per_target"));
    CHECK(has(manifest, finding_kind::change, "/teams/sellers")); // added
    CHECK(has(manifest, finding_kind::change, "/teams"));         // `buyers` is removed
    CHECK(manifest.size() == 3);

    const auto swapped = R"({"version": 8, "routes": [
        {"name": "desk", "host": "desk.example", "prefix": "/", "service": "desk"},
        {"name": "quote", "host": "desk.example", "prefix": "/quote/", "service": "desk",
         "priority": 1, "maxAttempts": 3, "stretch": 1.6, "targetLatencyMs": 60,
         "timeoutMs": 900}],
        "services": [{"name": "desk", "enforcesCapacity": false}],
        "limits": {"maxBodyBytes": 262144}})";
    const auto findings = platform::reviewConfiguration(swapped, validConfiguration);
    CHECK(findings.size() == 2);
    CHECK(has(findings, finding_kind::change, "/version"));
    const auto *const timeout = find(findings, "/routes/1/timeoutMs");
    REQUIRE(timeout != nullptr);
    CHECK(timeout->message == "in \"quote\": changed from 1500 to 900");
    CHECK(timeout->line == 5);
}

// Guards against a change that is reported because a name is repeated.
TEST_CASE("review: entries with the same name are compared in their order")
{
    const auto doubled =
            with(validConfiguration, R"("name": "desk", "host")", R"("name": "quote", "host")");
    const auto findings = platform::reviewConfiguration(with(doubled, "7,", "8,"), doubled);
    CHECK(has(findings, finding_kind::contradiction, "/routes/1/name"));
    CHECK(has(findings, finding_kind::change, "/version"));
    CHECK(findings.size() == 2);
}

// Guards against routes and values that the entries skip without a word.
TEST_CASE("review: errors of a configuration are found, with the index of the route")
{
    const auto findings = platform::reviewConfiguration(
            R"({"version": 0, "routes": [{"host": "a", "prefix": "/"}, 5,
                {"name": "b", "host": "b", "prefix": "b/", "service": "s", "priority": -1,
                 "stretch": "2"}], "services": [{}], "limits": []})",
            std::nullopt);
    CHECK(has(findings, finding_kind::error, "/version"));
    CHECK(has(findings, finding_kind::error, "/routes/0/service"));
    CHECK(has(findings, finding_kind::error, "/routes/1"));
    CHECK(has(findings, finding_kind::error, "/routes/2/priority"));
    CHECK(has(findings, finding_kind::error, "/routes/2/stretch"));
    CHECK(has(findings, finding_kind::error, "/services/0/name"));
    CHECK(has(findings, finding_kind::error, "/limits"));
    // The entries skip the first two routes; the findings of the third one name it nevertheless.
    CHECK(has(findings, finding_kind::never_used, "/routes/2/prefix"));
    CHECK(has(findings, finding_kind::contradiction, "/routes/2/service"));
    CHECK_FALSE(isValid(platform::reviewConfiguration("[]", std::nullopt)));
    CHECK_FALSE(isValid(platform::reviewConfiguration("{\"routes\": [] // none\n}", std::nullopt)));
}

// Guards against a configuration that the processes ignore, because they have a newer one.
TEST_CASE("review: the version of a configuration has to grow")
{
    const auto same = with(validConfiguration, "1500", "1400");
    CHECK(has(platform::reviewConfiguration(same, validConfiguration), finding_kind::error,
              "/version"));
    CHECK(isValid(platform::reviewConfiguration(with(same, "7,", "9,"), validConfiguration)));
    CHECK_FALSE(isValid(platform::reviewConfiguration(validConfiguration, "{")));
}

// Guards against routes that look right, but that no request reaches.
TEST_CASE("review: routes and services that can never be used are found")
{
    desired_state state;
    state.services = {"desk", "idle"};
    state.routes = {{"quote", "desk.example", "/quote/", "desk"},
                    {"shadowed", "desk.example", "/quote/", "desk"},
                    {"deeper", "desk.example", "/quote/fast/", "desk"},
                    {"port", "desk.example:80", "/", "desk"},
                    {"relative", "desk.example", "quote/", "desk"},
                    {"query", "desk.example", "/quote?kind=1", "desk"}};
    std::vector<std::pair<state_field, std::size_t>> found;
    for (const auto &finding : reviewState(state)) {
        CHECK(finding.kind == finding_kind::never_used);
        found.emplace_back(finding.field, finding.index);
    }
    const std::vector<std::pair<state_field, std::size_t>> expected{{state_field::route_prefix, 1},
                                                                    {state_field::route_host, 3},
                                                                    {state_field::route_prefix, 4},
                                                                    {state_field::route_prefix, 5},
                                                                    {state_field::service, 1}};
    CHECK(found == expected);
}

// Guards against limits that no job can keep.
TEST_CASE("review: values that contradict each other are found")
{
    desired_state state;
    state.services = {"desk"};
    state.maxBodyBytes = 262'145;
    dispatch_route route{"quote", "desk.example", "/quote/", "desk"};
    route.stretch = 0.5;
    route.timeout = 50ms;
    state.routes = {route};
    route.name = "other";
    route.prefix = "/other/";
    route.objectiveOffset = 60ms;
    state.routes.push_back(route);
    route.prefix = "/third/";
    route.service = "missing";
    route.timeout = 60ms;
    state.routes.push_back(route);
    std::vector<std::pair<state_field, std::size_t>> found;
    for (const auto &finding : reviewState(state)) {
        CHECK(finding.kind == finding_kind::contradiction);
        found.emplace_back(finding.field, finding.index);
    }
    const std::vector<std::pair<state_field, std::size_t>> expected{{state_field::route_stretch, 0},
                                                                    {state_field::route_timeout, 1},
                                                                    {state_field::route_service, 2},
                                                                    {state_field::route_name, 2},
                                                                    {state_field::body_limit, 0}};
    CHECK(found == expected);
}

// Guards against reports that a script cannot read.
TEST_CASE("review: reports as text and as JSON")
{
    const std::vector<config_finding> findings{
            {finding_kind::never_used, "/a", "not used", 3, 7},
            {finding_kind::change, "", "changed from \"x\" to \"y\"", 0, 0}};
    CHECK(textReport("new.json", findings) == "new.json:3:7: never_used: /a: not used\n"
                                              "new.json: change: changed from \"x\" to \"y\"\n");
    CHECK(jsonReport("new.json", findings) ==
          R"({"file":"new.json","valid":true,"findings":[)"
          R"({"kind":"never_used","path":"/a","line":3,"column":7,"message":"not used"},)"
          R"({"kind":"change","path":"","line":0,"column":0,)"
          R"("message":"changed from \"x\" to \"y\""}]})");
}
