#include "bamboohead/manifest_publish.hpp"
#include "bamboohead/rollout.hpp"

#include "store_server.hpp"

#include <doctest/doctest.h>

using namespace bamboohead;
using namespace std::chrono_literals;
using standins::store_fault;

namespace {

struct publish_fixture
{
    publish_fixture()
    {
        store_options options;
        options.endpoints = {"127.0.0.1:" + std::to_string(server.start(0))};
        client = makeEtcdClient(options);
        limits.timeout = 1s;
        limits.now = [this] { return time; };
        limits.pause = [this](duration delay) { time += delay; };
    }

    publish_result publish(const std::string &text, store_revision expected)
    {
        return publishManifest(*client, text, expected, limits);
    }

    std::string stored() { return std::get<store_value>(client->read(manifestKey)).text; }

    standins::store_server server;
    std::unique_ptr<store_client> client;
    publish_options limits;
    time_point time;
};

/// Response of an entry to GET /v1/state, with the given agents as JSON.
std::string stateOf(const std::string &incarnation, int version, const std::string &agents)
{
    return R"({"role":"entry","incarnation":")" + incarnation +
           R"(","zone":"graz","config_version":)" + std::to_string(version) +
           R"(,"entries":[],"agents":[)" + agents + "]}";
}

std::string agentOf(const std::string &incarnation, int version, bool alive)
{
    return R"({"incarnation":")" + incarnation + R"(","zone":"linz","endpoint":"e","alive":)" +
           (alive ? "true" : "false") + R"(,"config_version":)" + std::to_string(version) + "}";
}

} // namespace

TEST_CASE_FIXTURE(publish_fixture,
                  "a change whose response was lost is found by reading the key back")
{
    // Guards against reporting a failure, or a conflict with the change itself, while the change is
    // in force.
    server.setFault(store_fault::lost_answer, 0ms, 1);
    const auto result = publish("a", store_revision::none);
    CHECK(result.error == error_kind::none);
    CHECK(result.version == config_version{2});
    CHECK(stored() == "a");
}

TEST_CASE_FIXTURE(publish_fixture, "a change that did not reach the store is written again")
{
    // Guards against a change that is reported with unknown outcome after one failed call.
    server.setFault(store_fault::down, 0ms, 1);
    CHECK(publish("a", store_revision::none).error == error_kind::none);
    CHECK(stored() == "a");
}

TEST_CASE_FIXTURE(publish_fixture, "a change that is based on an old version is a conflict")
{
    // Guards against an operator who undoes another operator's change unknowingly.
    const auto first = publish("a", store_revision::none);
    CHECK(publish("b", store_revision::none).error == error_kind::manifest_conflict);
    server.setFault(store_fault::lost_answer, 0ms, 1);
    CHECK(publish("c", store_revision::none).error == error_kind::manifest_conflict);
    CHECK(stored() == "a");
    CHECK(first.version == config_version{2});
}

TEST_CASE_FIXTURE(
        publish_fixture,
        "a change without any response has an unknown outcome, unless the store was never reached")
{
    // Guards against reporting "nothing was changed" for a write that may take effect later.
    server.setFault(store_fault::down, 0ms, 0);
    CHECK(publish("a", store_revision::none).error == error_kind::store_outcome_unknown);
    server.stop();
    CHECK(publish("a", store_revision::none).error == error_kind::store_unavailable);
}

TEST_CASE("a roll-out is complete when every live process has the version")
{
    // Guards against reporting success while an agent still starts tasks in a zone that was taken
    // out of service.
    rollout progress{config_version{5}};
    CHECK_FALSE(progress.complete());
    CHECK(progress.addState(
            "a:1", stateOf("e1", 5, agentOf("a1", 4, true) + "," + agentOf("a2", 5, true))));
    CHECK_FALSE(progress.complete());
    CHECK(progress.withoutVersion().size() == 1);
    CHECK(progress.addState(
            "a:2", stateOf("e2", 5, agentOf("a1", 5, true) + "," + agentOf("a3", 4, false))));
    CHECK(progress.complete());
    CHECK(progress.countInForce() == 4);
    CHECK(progress.notAlive().size() == 1);
    progress.addUnreachable("a:3");
    CHECK_FALSE(progress.complete());
}

TEST_CASE("a response that is not the state of an entry is not counted")
{
    // Guards against counting a wrong address in --entries as a process with the version in force.
    rollout progress{config_version{1}};
    CHECK_FALSE(progress.addState("a:1", "{}"));
    CHECK_FALSE(
            progress.addState("a:1", R"({"role":"agent","incarnation":"1","config_version":9})"));
    CHECK_FALSE(progress.addState("a:1", "x"));
    CHECK_FALSE(progress.complete());
}
