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

    std::string held() { return std::get<store_value>(client->read(manifestKey)).text; }

    standins::store_server server;
    std::unique_ptr<store_client> client;
    publish_options limits;
    time_point time;
};

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

TEST_CASE_FIXTURE(publish_fixture, "a change whose answer was lost is found by reading back")
{
    // Guards against an operator who is told of a failure, or of a conflict with himself, while his
    // change is in force.
    server.setFault(store_fault::lost_answer, 0ms, 1);
    const auto result = publish("a", store_revision::none);
    CHECK(result.error == error_kind::none);
    CHECK(result.version == config_version{2});
    CHECK(held() == "a");
}

TEST_CASE_FIXTURE(publish_fixture, "a change that surely did not reach the store is written again")
{
    // Guards against a change that is reported as unknown after one failed call.
    server.setFault(store_fault::down, 0ms, 1);
    CHECK(publish("a", store_revision::none).error == error_kind::none);
    CHECK(held() == "a");
}

TEST_CASE_FIXTURE(publish_fixture, "a change made from an old version is a conflict")
{
    // Guards against two operators of whom the second undoes the first one's change.
    const auto first = publish("a", store_revision::none);
    CHECK(publish("b", store_revision::none).error == error_kind::manifest_conflict);
    server.setFault(store_fault::lost_answer, 0ms, 1);
    CHECK(publish("c", store_revision::none).error == error_kind::manifest_conflict);
    CHECK(held() == "a");
    CHECK(first.version == config_version{2});
}

TEST_CASE_FIXTURE(publish_fixture, "a change without any answer is unknown, never refused")
{
    // Guards against "nothing was changed" for a write that may take effect later.
    server.setFault(store_fault::down, 0ms, 0);
    CHECK(publish("a", store_revision::none).error == error_kind::store_outcome_unknown);
    server.stop();
    CHECK(publish("a", store_revision::none).error == error_kind::store_unavailable);
}

TEST_CASE("a version is in force when every process that is heard has it")
{
    // Guards against a success report while an agent still starts tasks in a zone taken out.
    rollout view{config_version{5}};
    CHECK_FALSE(view.complete());
    CHECK(view.addState("a:1",
                        stateOf("e1", 5, agentOf("a1", 4, true) + "," + agentOf("a2", 5, true))));
    CHECK_FALSE(view.complete());
    CHECK(view.lagging().size() == 1);
    CHECK(view.addState("a:2",
                        stateOf("e2", 5, agentOf("a1", 5, true) + "," + agentOf("a3", 4, false))));
    CHECK(view.complete());
    CHECK(view.inForce() == 4);
    CHECK(view.silent().size() == 1);
    view.addUnreachable("a:3");
    CHECK_FALSE(view.complete());
}

TEST_CASE("an answer that is not the state of an entry is not counted")
{
    // Guards against a wrong address in --entries that counts as a process in force.
    rollout view{config_version{1}};
    CHECK_FALSE(view.addState("a:1", "{}"));
    CHECK_FALSE(view.addState("a:1", R"({"role":"agent","incarnation":"1","config_version":9})"));
    CHECK_FALSE(view.addState("a:1", "x"));
    CHECK_FALSE(view.complete());
}
