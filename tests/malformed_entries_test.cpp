#include "bamboohead/dispatch/store_follower.hpp"
#include "base64.hpp"
#include "platform/store_api.hpp"

#include <doctest/doctest.h>

#include <boost/json.hpp>

#include <array>
#include <map>
#include <random>

using namespace bamboohead;
using namespace std::chrono_literals;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

/// A follower of the configuration whose calls are answered with bodies as the store sends them.
class configuration_fixture
{
public:
    configuration_fixture()
        : follower{options(), time}
    {}

    static store_follower_options options()
    {
        store_follower_options made;
        made.configuration = follow_mode::watch;
        made.members = follow_mode::watch;
        return made;
    }

    /// Removes and returns the call for the configuration that is due; nothing when there is none.
    std::optional<store_request> nextCall()
    {
        follower.tick();
        for (auto &call : follower.takeCalls()) {
            const auto *const list = std::get_if<list_area>(&call);
            const auto *const watch = std::get_if<watch_area>(&call);
            if ((list != nullptr && list->area == store_area::configuration) ||
                (watch != nullptr && watch->area == store_area::configuration)) {
                pending = std::move(call);
            }
        }
        return std::exchange(pending, std::nullopt);
    }

    void reply(const store_request &call, const json::object &body)
    {
        http_client_response response{http::status::ok, 11};
        response.body() = json::serialize(body);
        follower.handle(platform::decodeStoreReply(platform::headerOf(call).id,
                                                   http_call_end::answered, response));
    }

    manual_clock time;
    store_follower follower;
    std::optional<store_request> pending;
};

json::object item(const std::string &key, const std::string &value, std::uint64_t revision)
{
    return {{"key", key}, {"value", value}, {"revision", revision}};
}

const std::string unreadableValue = "***"; // not base64

} // namespace

// Guards against a list that ends at a page of which no item can be read, so that all items of the
// later pages count as removed.
TEST_CASE("a page without a readable item does not end the list")
{
    configuration_fixture fixture;
    auto call = fixture.nextCall();
    REQUIRE(call);
    fixture.reply(*call, {{"items", json::array{item("op/a", unreadableValue, 5)}},
                          {"hasMore", true},
                          {"currentRev", 9}});
    CHECK_FALSE(fixture.follower.takeConfiguration());
    call = fixture.nextCall();
    REQUIRE(call);
    const auto *const second = std::get_if<list_area>(&*call);
    REQUIRE(second != nullptr);
    CHECK(second->after == "op/a");
    fixture.reply(*call, {{"items", json::array{item("op/config", "e30=", 6)}}, {"currentRev", 9}});
    const auto read = fixture.follower.takeConfiguration();
    REQUIRE(read);
    CHECK(read->first.contains("op/config"));
}

// Guards against a watch that is repeated without a pause, since the store returns the same event
// as long as its revision is not acknowledged.
TEST_CASE("a watch continues after an event with an unreadable value, and the last value holds")
{
    configuration_fixture fixture;
    auto call = fixture.nextCall();
    REQUIRE(call);
    fixture.reply(*call, {{"items", json::array{item("op/config", "e30=", 6)}}, {"currentRev", 9}});
    (void)fixture.follower.takeConfiguration();
    call = fixture.nextCall();
    REQUIRE(call);
    fixture.reply(*call, {{"events", json::array{item("op/config", unreadableValue, 10)}},
                          {"currentRev", 10}});
    CHECK_FALSE(fixture.follower.takeConfiguration());
    call = fixture.nextCall();
    REQUIRE(call);
    const auto *const watch = std::get_if<watch_area>(&*call);
    REQUIRE(watch != nullptr);
    CHECK(watch->revision == 10);
    fixture.reply(*call,
                  {{"events", json::array{item("op/evacuate/z", "e30=", 11)}}, {"currentRev", 11}});
    const auto read = fixture.follower.takeConfiguration();
    REQUIRE(read);
    CHECK(read->first.at("op/config") == "{}");
    CHECK(read->first.contains("op/evacuate/z"));
}

// Guards against calls without a pause when an event has no revision from which to continue.
TEST_CASE("the area is listed again, after a delay, when a watch returns no usable event")
{
    configuration_fixture fixture;
    auto call = fixture.nextCall();
    REQUIRE(call);
    fixture.reply(*call, {{"items", json::array{}}, {"currentRev", 9}});
    call = fixture.nextCall();
    REQUIRE(call);
    fixture.reply(*call,
                  {{"events", json::array{json::object{{"key", "op/a"}}, 7}}, {"currentRev", 10}});
    CHECK_FALSE(fixture.nextCall());
    fixture.time.advance(1s);
    call = fixture.nextCall();
    REQUIRE(call);
    CHECK(std::holds_alternative<list_area>(*call));
}

// Guards against a list that never ends and is continued without a pause: each page begins again
// at the same key.
TEST_CASE("a list whose pages do not advance is begun again after a delay")
{
    configuration_fixture fixture;
    const json::object page{
            {"items", json::array{item("op/a", "e30=", 5)}}, {"hasMore", true}, {"currentRev", 9}};
    auto call = fixture.nextCall();
    REQUIRE(call);
    fixture.reply(*call, page);
    call = fixture.nextCall();
    REQUIRE(call);
    fixture.reply(*call, page);
    CHECK_FALSE(fixture.nextCall());
    fixture.time.advance(1s);
    call = fixture.nextCall();
    REQUIRE(call);
    CHECK(std::get<list_area>(*call).after.empty());
    fixture.reply(*call, {{"items", json::array{item("op/a", "e30=", 5)}}, {"currentRev", 9}});
    CHECK(fixture.follower.takeConfiguration());
}

// Guards against items of another writer that hide others, in any order and number.
TEST_CASE("readable items are followed among malformed ones in lists and watches")
{
    constexpr unsigned seeds = 200;
    constexpr std::size_t changes = 30;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        std::mt19937 random{seed};
        const auto below = [&](unsigned limit) { return static_cast<unsigned>(random() % limit); };
        std::map<std::string, std::string> expected;
        std::uint64_t revision = 10;
        // A change of a key, unreadable in one of three cases; then the earlier value holds.
        const auto change = [&](const std::string &key) {
            const bool readable = below(3) != 0;
            if (readable) {
                expected[key] = std::string(1, static_cast<char>('a' + below(26)));
            }
            const auto value = readable ? detail::encodeBase64(expected[key]) : unreadableValue;
            return item(key, value, ++revision);
        };
        const std::array<json::value, 4> malformed{7, nullptr, json::object{{"value", "e30="}},
                                                   json::object{{"key", 7}, {"revision", "x"}}};
        configuration_fixture fixture;
        std::uint64_t known = 0; // up to which the follower has all changes
        // Two digits, so that the order of the keys is that of the numbers.
        for (unsigned first = 10; first < 40; first += 10) {
            json::array page;
            for (unsigned i = first; i < first + 10; ++i) {
                page.emplace_back(change("op/" + std::to_string(i)));
                page.emplace_back(malformed.at(below(malformed.size())));
            }
            const auto call = fixture.nextCall();
            REQUIRE(call);
            fixture.reply(*call,
                          {{"items", page}, {"hasMore", first < 30}, {"currentRev", revision}});
            known = known == 0 ? revision : known; // a list is complete up to its first page
        }
        for (std::size_t i = 0; i < changes; ++i) {
            const auto call = fixture.nextCall();
            REQUIRE(call);
            REQUIRE(std::holds_alternative<watch_area>(*call));
            CHECK(std::get<watch_area>(*call).revision == known);
            json::array events{malformed.at(below(malformed.size()))};
            events.emplace_back(change("op/" + std::to_string(10 + below(40))));
            fixture.reply(*call, {{"events", events}, {"currentRev", revision}});
            known = revision;
        }
        const auto read = fixture.follower.takeConfiguration();
        REQUIRE(read);
        CHECK(read->first == expected);
    }
}
