#include "bamboohead/detail/config/backoff.hpp"
#include "bamboohead/store_client.hpp"

#include "store_server.hpp"

#include <doctest/doctest.h>

#include <future>

using namespace bamboohead;
using namespace std::chrono_literals;
using standins::store_fault;

namespace {

struct store_fixture
{
    store_fixture()
        : endpoint{"127.0.0.1:" + std::to_string(server.start(0))}
        , client{makeEtcdClient(options({endpoint}))}
    {}

    static store_options options(std::vector<std::string> endpoints)
    {
        store_options result;
        result.endpoints = std::move(endpoints);
        return result;
    }

    standins::store_server server;
    std::string endpoint;
    std::unique_ptr<store_client> client;
};

template <typename Value>
error_kind kindOf(const store_result<Value> &result)
{
    const auto *error = std::get_if<store_error>(&result);
    return error == nullptr ? error_kind::none : error->kind;
}

/// Endpoint that refuses connections.
constexpr std::string_view refusingEndpoint = "127.0.0.1:1";

} // namespace

TEST_CASE_FIXTURE(store_fixture, "a value written by compare-and-swap is read back unchanged")
{
    // Guards against base64 or JSON changing keys, values or revisions.
    std::string bytes;
    for (int i = 0; i < 256; ++i) {
        bytes += static_cast<char>(i);
        const auto expected = std::get<store_value>(client->read("k")).modified;
        const auto written = client->compareAndSwap("k", expected, bytes);
        REQUIRE(std::holds_alternative<store_revision>(written));
        const auto value = std::get<store_value>(client->read("k"));
        CHECK(value.text == bytes);
        CHECK(value.modified == std::get<store_revision>(written));
    }
}

TEST_CASE_FIXTURE(store_fixture, "a write against another revision conflicts and changes nothing")
{
    // Guards against one operator's change silently overwriting another's.
    const auto first = std::get<store_revision>(client->compareAndSwap("k", {}, "a"));
    CHECK(kindOf(client->compareAndSwap("k", {}, "b")) == error_kind::manifest_conflict);
    CHECK(std::holds_alternative<store_revision>(client->compareAndSwap("k", first, "c")));
    CHECK(kindOf(client->compareAndSwap("k", first, "d")) == error_kind::manifest_conflict);
    CHECK(std::get<store_value>(client->read("k")).text == "c");
    CHECK(client->counters().of(store_request_kind::write, store_request_result::conflict) == 2);
    CHECK(client->counters().of(store_request_kind::write, store_request_result::ok) == 2);
}

TEST_CASE_FIXTURE(store_fixture,
                  "a write whose response is lost has an unknown outcome and is sent once")
{
    // Guards against a repeated write that conflicts with its own first copy.
    auto several = makeEtcdClient(options({endpoint, endpoint}));
    server.setFault(store_fault::lost_answer, 0ms, 1);
    CHECK(kindOf(several->compareAndSwap("k", {}, "a")) == error_kind::store_outcome_unknown);
    CHECK(several->counters().of(store_request_kind::write, store_request_result::unknown) == 1);
    CHECK(several->counters().of(store_request_kind::write, store_request_result::ok) == 0);
    CHECK(std::get<store_value>(several->read("k")).text == "a");
}

TEST_CASE_FIXTURE(store_fixture, "a call to a slow store ends at its time-out")
{
    // Guards against an entry or a command that hangs while the store is slow.
    auto shortTimeout = store_fixture::options({endpoint});
    shortTimeout.attemptTimeout = 100ms;
    const auto limitedClient = makeEtcdClient(shortTimeout);
    server.setFault(store_fault::slow, 1500ms, 0);
    CHECK(kindOf(limitedClient->read("k")) == error_kind::store_unavailable);
    CHECK(kindOf(limitedClient->compareAndSwap("k", {}, "a")) == error_kind::store_outcome_unknown);
}

TEST_CASE_FIXTURE(
        store_fixture,
        "a write to a failing store is reported as unknown unless it cannot have been sent")
{
    // Guards against a write with unknown outcome being reported as "nothing was changed".
    server.setFault(store_fault::down, 0ms, 0);
    CHECK(kindOf(client->read("k")) == error_kind::store_unavailable);
    CHECK(kindOf(client->compareAndSwap("k", {}, "a")) == error_kind::store_outcome_unknown);
    const auto unreachable = makeEtcdClient(options({std::string{refusingEndpoint}}));
    CHECK(kindOf(unreachable->compareAndSwap("k", {}, "a")) == error_kind::store_unavailable);
}

TEST_CASE_FIXTURE(store_fixture, "another endpoint is used when one refuses connections")
{
    // Guards against the failure of one store member making the store unavailable.
    const auto several = makeEtcdClient(options({std::string{refusingEndpoint}, endpoint}));
    CHECK(kindOf(several->compareAndSwap("k", {}, "a")) == error_kind::none);
    CHECK(kindOf(several->read("k")) == error_kind::none);
    CHECK(several->counters().of(store_request_kind::write, store_request_result::unavailable) ==
          1);
    CHECK(several->counters().of(store_request_kind::read, store_request_result::unavailable) == 0);
}

TEST_CASE_FIXTURE(store_fixture, "a watch reports changes of its key and ends on a stop request")
{
    // Guards against changes that are found only by the slower reads, and against a shutdown that
    // hangs.
    std::promise<store_value> seen;
    std::jthread watching{[&](const std::stop_token &stop) {
        client->watch(
                "k", [&](const store_value &value) { seen.set_value(value); }, stop);
    }};
    auto result = seen.get_future();
    while (server.calls("watch") == 0) {
        std::this_thread::sleep_for(1ms);
    }
    CHECK(kindOf(client->compareAndSwap("other", {}, "x")) == error_kind::none);
    const auto written = client->compareAndSwap("k", {}, "a");
    REQUIRE(result.wait_for(20s) == std::future_status::ready);
    const auto value = result.get();
    CHECK(value.modified == std::get<store_revision>(written));
    CHECK(value.text == "a");
    watching.request_stop();
    watching.join();
}

TEST_CASE("backoff delays grow to their limit and differ between seeds")
{
    // Guards against clients that failed at the same time and retry at the same time.
    detail::backoff delays{100ms, 1s, 1};
    detail::backoff other{100ms, 1s, 2};
    bool differ = false;
    for (const auto bound : {100ms, 200ms, 400ms, 800ms, 1000ms, 1000ms}) {
        const auto delay = delays.next();
        CHECK(delay >= bound / 2);
        CHECK(delay <= bound);
        differ = differ || other.next() != delay;
    }
    CHECK(differ);
    delays.reset();
    CHECK(delays.next() <= 100ms);
}
