#include "bamboohead/dispatch/store_follower.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace bamboohead;
using namespace std::chrono_literals;

namespace {

/// A follower whose calls are answered by the test.
class follower_fixture
{
public:
    explicit follower_fixture(store_follower_options options)
        : follower{std::move(options), time}
    {
        collectCalls();
    }

    /// Advances the clock in one step and collects the calls that are then due.
    void pass(duration length)
    {
        time.advance(length);
        collectCalls();
    }

    void collectCalls()
    {
        follower.tick();
        for (auto &call : follower.takeCalls()) {
            calls.push_back(std::move(call));
        }
    }

    /// Removes and returns the oldest pending call of a type; nothing when there is none.
    template <typename Call>
    std::optional<Call> next()
    {
        const auto found = std::find_if(calls.begin(), calls.end(), [](const auto &call) {
            return std::holds_alternative<Call>(call);
        });
        if (found == calls.end()) {
            return std::nullopt;
        }
        auto call = std::get<Call>(*found);
        calls.erase(found);
        return call;
    }

    /// Removes and returns the oldest pending list call for an area; nothing when there is none.
    std::optional<list_area> nextList(store_area area)
    {
        const auto found = std::find_if(calls.begin(), calls.end(), [area](const auto &call) {
            const auto *const list = std::get_if<list_area>(&call);
            return list != nullptr && list->area == area;
        });
        if (found == calls.end()) {
            return std::nullopt;
        }
        auto call = std::get<list_area>(*found);
        calls.erase(found);
        return call;
    }

    /// Answers a call. Every reply grants the lease 77.
    void reply(call_id id, store_status status, std::vector<store_item> items = {},
               std::uint64_t revision = 0, bool more = false)
    {
        store_reply made;
        made.id = id;
        made.status = status;
        made.items = std::move(items);
        made.revision = revision;
        made.more = more;
        made.lease = 77;
        follower.handle(made);
        collectCalls();
    }

    manual_clock time;
    store_follower follower;
    std::vector<store_request> calls;
};

store_follower_options entryOptions()
{
    store_follower_options options;
    options.configuration = follow_mode::watch;
    options.members = follow_mode::watch;
    options.memberName = "00000000000000aa";
    options.memberValue = "tcp://10.0.0.1:7720";
    return options;
}

} // namespace

TEST_CASE("the configuration is listed page by page, then watched from its revision")
{
    follower_fixture fixture{entryOptions()};
    auto list = fixture.nextList(store_area::configuration);
    REQUIRE(list);
    fixture.reply(list->header.id, store_status::ok, {{"op/a", "1", 5, false}}, 9, true);
    CHECK_FALSE(fixture.follower.takeConfiguration());
    list = fixture.nextList(store_area::configuration);
    REQUIRE(list);
    CHECK(list->after == "op/a");
    fixture.reply(list->header.id, store_status::ok, {{"op/b", "2", 6, false}}, 9);
    const auto read = fixture.follower.takeConfiguration();
    REQUIRE(read);
    CHECK(read->first.size() == 2);
    CHECK(read->second == 9);
    const auto watch = fixture.next<watch_area>();
    REQUIRE(watch);
    CHECK(watch->revision == 9);
}

// Guards against missing for good a change that is executed while the pages of a list are read.
TEST_CASE("a list of several pages is complete up to the revision of its first page")
{
    follower_fixture fixture{entryOptions()};
    auto list = fixture.nextList(store_area::configuration);
    fixture.reply(list->header.id, store_status::ok, {{"op/config", "old", 5, false}}, 9, true);
    list = fixture.nextList(store_area::configuration);
    fixture.reply(list->header.id, store_status::ok, {{"op/evacuate/graz", "{}", 6, false}}, 12);
    CHECK(fixture.follower.takeConfiguration()->second == 9);
    const auto watch = fixture.next<watch_area>();
    REQUIRE(watch);
    CHECK(watch->revision == 9);
    fixture.reply(watch->header.id, store_status::ok, {{"op/config", "new", 11, false}}, 12);
    const auto read = fixture.follower.takeConfiguration();
    REQUIRE(read);
    CHECK(read->first.at("op/config") == "new");
    CHECK(read->second == 11);
}

// Guards against a list that is interrupted and continued under the revision of its first attempt.
TEST_CASE("a list that is begun again has the revision of its new first page")
{
    follower_fixture fixture{entryOptions()};
    auto list = fixture.nextList(store_area::configuration);
    fixture.reply(list->header.id, store_status::ok, {{"op/config", "1", 5, false}}, 9, true);
    list = fixture.nextList(store_area::configuration);
    fixture.reply(list->header.id, store_status::unanswered);
    fixture.pass(100ms);
    list = fixture.nextList(store_area::configuration);
    REQUIRE(list);
    CHECK(list->after.empty());
    fixture.reply(list->header.id, store_status::ok, {{"op/config", "1", 5, false}}, 14, true);
    list = fixture.nextList(store_area::configuration);
    fixture.reply(list->header.id, store_status::ok, {{"op/evacuate/graz", "{}", 6, false}}, 15);
    CHECK(fixture.follower.takeConfiguration()->second == 14);
    CHECK(fixture.next<watch_area>()->revision == 14);
}

// Guards against a return to an older state by the history that follows a list of several pages.
TEST_CASE("an event that is older than a listed item changes nothing")
{
    follower_fixture fixture{entryOptions()};
    auto list = fixture.nextList(store_area::configuration);
    fixture.reply(list->header.id, store_status::ok, {{"op/config", "1", 5, false}}, 9, true);
    list = fixture.nextList(store_area::configuration);
    fixture.reply(list->header.id, store_status::ok,
                  {{"op/evacuate/graz", "b", 12, false}, {"op/evacuate/wien", "{}", 12, false}},
                  12);
    (void)fixture.follower.takeConfiguration();
    auto watch = fixture.next<watch_area>();
    fixture.reply(watch->header.id, store_status::ok,
                  {{"op/evacuate/graz", "a", 10, false}, {"op/evacuate/wien", "", 11, true}}, 12);
    auto read = fixture.follower.takeConfiguration();
    REQUIRE(read);
    CHECK(read->first.at("op/evacuate/graz") == "b");
    CHECK(read->first.contains("op/evacuate/wien"));
    CHECK(read->second == 11);
    watch = fixture.next<watch_area>();
    fixture.reply(watch->header.id, store_status::ok, {{"op/evacuate/wien", "", 13, true}}, 13);
    read = fixture.follower.takeConfiguration();
    REQUIRE(read);
    CHECK_FALSE(read->first.contains("op/evacuate/wien"));
}

// Guards against a return to an older state by a list from a server of the store that lags behind.
TEST_CASE("a list that is older than what is known changes nothing")
{
    follower_fixture fixture{entryOptions()};
    const auto list = fixture.nextList(store_area::configuration);
    fixture.reply(list->header.id, store_status::ok,
                  {{"op/config", "old", 5, false}, {"op/evacuate/graz", "{}", 6, false}}, 9);
    auto watch = fixture.next<watch_area>();
    fixture.reply(watch->header.id, store_status::ok,
                  {{"op/config", "new", 11, false},
                   {"op/evacuate/graz", "", 12, true},
                   {"op/evacuate/wien", "{}", 13, false}},
                  13);
    const auto known = fixture.follower.takeConfiguration();
    watch = fixture.next<watch_area>();
    fixture.reply(watch->header.id, store_status::gone);
    const auto older = fixture.nextList(store_area::configuration);
    REQUIRE(older);
    fixture.reply(older->header.id, store_status::ok,
                  {{"op/config", "old", 5, false}, {"op/evacuate/graz", "{}", 6, false}}, 10);
    const auto read = fixture.follower.takeConfiguration();
    CHECK((!read || *read == *known));
    watch = fixture.next<watch_area>();
    REQUIRE(watch);
    CHECK(watch->revision == 13);
}

// Guards against lists without a pause when the store drops the history faster than a list is made.
TEST_CASE("an area whose history is lost during each list is listed at growing intervals")
{
    follower_fixture fixture{entryOptions()};
    std::uint64_t revision = 9;
    const auto listAndLoseHistory = [&] {
        const auto list = fixture.nextList(store_area::configuration);
        REQUIRE(list);
        revision += 10;
        fixture.reply(list->header.id, store_status::ok, {{"op/config", "1", 5, false}}, revision);
        const auto watch = fixture.next<watch_area>();
        REQUIRE(watch);
        fixture.reply(watch->header.id, store_status::gone);
    };
    listAndLoseHistory();
    listAndLoseHistory(); // the first loss is not repeated yet
    CHECK(fixture.follower.takeConfiguration()->first.contains("op/config"));
    for (const auto delay : {100ms, 200ms, 400ms}) {
        CHECK_FALSE(fixture.nextList(store_area::configuration));
        fixture.pass(delay - 1ms);
        CHECK_FALSE(fixture.nextList(store_area::configuration));
        fixture.pass(1ms);
        listAndLoseHistory();
    }
    // What was listed stays in force meanwhile.
    CHECK_FALSE(fixture.follower.takeConfiguration());
    fixture.pass(800ms);
    fixture.reply(fixture.nextList(store_area::configuration)->header.id, store_status::ok,
                  {{"op/config", "1", 5, false}}, 99);
    fixture.reply(fixture.next<watch_area>()->header.id, store_status::ok, {}, 99);
    // A watch has succeeded, so the next loss of the history is the first one again.
    fixture.reply(fixture.next<watch_area>()->header.id, store_status::gone);
    CHECK(fixture.nextList(store_area::configuration));
}

TEST_CASE("a watch that returns without events does not advance the revision")
{
    // Guards against missing a change: a watch may return before it has received the change, with
    // the store's newer revision.
    follower_fixture fixture{entryOptions()};
    const auto list = fixture.nextList(store_area::configuration);
    fixture.reply(list->header.id, store_status::ok, {{"op/config", "1", 5, false}}, 9);
    (void)fixture.follower.takeConfiguration();
    auto watch = fixture.next<watch_area>();
    fixture.reply(watch->header.id, store_status::ok, {}, 20);
    watch = fixture.next<watch_area>();
    REQUIRE(watch);
    CHECK(watch->revision == 9);
    CHECK_FALSE(fixture.follower.takeConfiguration());
}

TEST_CASE("a removal reported by a watch removes the item")
{
    follower_fixture fixture{entryOptions()};
    const auto list = fixture.nextList(store_area::configuration);
    fixture.reply(list->header.id, store_status::ok, {{"op/evacuate/graz", "{}", 5, false}}, 9);
    (void)fixture.follower.takeConfiguration();
    const auto watch = fixture.next<watch_area>();
    fixture.reply(watch->header.id, store_status::ok, {{"op/evacuate/graz", "", 10, true}}, 10);
    const auto read = fixture.follower.takeConfiguration();
    REQUIRE(read);
    CHECK(read->first.empty());
    CHECK(read->second == 10);
}

TEST_CASE("the area is listed again when the store no longer has the history")
{
    follower_fixture fixture{entryOptions()};
    const auto list = fixture.nextList(store_area::configuration);
    fixture.reply(list->header.id, store_status::ok, {{"op/config", "1", 5, false}}, 9);
    const auto watch = fixture.next<watch_area>();
    fixture.reply(watch->header.id, store_status::gone);
    CHECK(fixture.nextList(store_area::configuration));
}

TEST_CASE("failed calls are retried with increasing delays, and the loss of contact is logged once")
{
    follower_fixture fixture{entryOptions()};
    auto list = fixture.nextList(store_area::configuration);
    fixture.reply(list->header.id, store_status::unavailable);
    const auto events = fixture.follower.takeEvents();
    REQUIRE(events.size() == 1);
    CHECK(events.front().name == "store_lost");
    CHECK_FALSE(fixture.nextList(store_area::configuration));
    fixture.pass(100ms);
    list = fixture.nextList(store_area::configuration);
    REQUIRE(list);
    fixture.reply(list->header.id, store_status::unanswered);
    CHECK(fixture.follower.takeEvents().empty());
    fixture.pass(100ms);
    CHECK_FALSE(fixture.nextList(store_area::configuration));
    fixture.pass(100ms);
    list = fixture.nextList(store_area::configuration);
    REQUIRE(list);
    fixture.reply(list->header.id, store_status::ok, {}, 3);
    CHECK(fixture.follower.takeEvents().front().name == "store_regained");
}

TEST_CASE("an entry registers under a lease, renews it, and registers again after its expiry")
{
    follower_fixture fixture{entryOptions()};
    const auto grant = fixture.next<grant_lease>();
    REQUIRE(grant);
    fixture.reply(grant->header.id, store_status::ok);
    const auto put = fixture.next<put_member>();
    REQUIRE(put);
    CHECK(put->lease == 77);
    CHECK(put->value == "tcp://10.0.0.1:7720");
    fixture.reply(put->header.id, store_status::ok);
    CHECK_FALSE(fixture.next<renew_lease>());
    fixture.pass(1'500ms);
    const auto renew = fixture.next<renew_lease>();
    REQUIRE(renew);
    fixture.reply(renew->header.id, store_status::gone);
    CHECK(fixture.next<grant_lease>());
}

TEST_CASE("a key that was removed although its lease is valid is written again")
{
    // Guards against an entry that can no longer be discovered after the store has removed its key
    // without ending the lease.
    follower_fixture fixture{entryOptions()};
    fixture.reply(fixture.next<grant_lease>()->header.id, store_status::ok);
    fixture.reply(fixture.next<put_member>()->header.id, store_status::ok);
    // The process recognizes its own key by the value, not by the name.
    const store_item own{"members/aa", "tcp://10.0.0.1:7720", 4, false};
    fixture.reply(fixture.nextList(store_area::members)->header.id, store_status::ok, {own}, 5);
    CHECK(fixture.follower.takeMembers()->size() == 1);
    CHECK_FALSE(fixture.next<grant_lease>());
    fixture.reply(fixture.next<watch_area>()->header.id, store_status::ok,
                  {{"members/aa", "", 6, true}}, 6);
    CHECK(fixture.next<grant_lease>());
}

TEST_CASE("unwatched members are polled every 250 ms until the process is connected to an entry")
{
    // Guards against a load on the store by the polls: they are infrequent while connected, and
    // allow stale reads, which cost the store less.
    follower_fixture fixture{{}};
    auto list = fixture.nextList(store_area::members);
    REQUIRE(list);
    CHECK(list->stale);
    fixture.reply(list->header.id, store_status::ok, {{"members/a", "tcp://a:1", 4, false}}, 5);
    CHECK(fixture.follower.takeMembers()->front() == "tcp://a:1");
    fixture.pass(250ms);
    list = fixture.nextList(store_area::members);
    REQUIRE(list);
    fixture.follower.setConnected(true);
    fixture.reply(list->header.id, store_status::ok, {{"members/a", "tcp://a:1", 4, false}}, 5);
    fixture.pass(1s);
    CHECK_FALSE(fixture.nextList(store_area::members));
    fixture.follower.setConnected(false);
    fixture.pass(10ms);
    CHECK(fixture.nextList(store_area::members));
}

TEST_CASE("a stopping process revokes its lease")
{
    follower_fixture fixture{entryOptions()};
    fixture.reply(fixture.next<grant_lease>()->header.id, store_status::ok);
    fixture.reply(fixture.next<put_member>()->header.id, store_status::ok);
    fixture.follower.deregister();
    fixture.collectCalls();
    const auto end = fixture.next<revoke_lease>();
    REQUIRE(end);
    CHECK(end->lease == 77);
}

// Guards against a state that counts as newer than it is.
TEST_CASE("a proof has the time at which the store had no newer configuration")
{
    follower_fixture fixture{entryOptions()};
    const auto begin = fixture.time.now();
    auto list = fixture.nextList(store_area::configuration);
    fixture.time.advance(200ms);
    fixture.reply(list->header.id, store_status::ok, {{"op/config", "1", 5, false}}, 9, true);
    CHECK_FALSE(fixture.follower.takeProof());
    list = fixture.nextList(store_area::configuration);
    fixture.time.advance(200ms);
    fixture.reply(list->header.id, store_status::ok, {{"op/evacuate/graz", "{}", 6, false}}, 12);
    auto proof = fixture.follower.takeProof();
    REQUIRE(proof);
    CHECK(proof->at == begin); // of the request of the first page
    CHECK(proof->revision == 9);
    REQUIRE(proof->values);
    CHECK(proof->values->size() == 2);
    CHECK_FALSE(fixture.follower.takeProof());

    auto watch = fixture.next<watch_area>();
    const auto sent = fixture.time.now();
    SUBCASE("a watch that the store holds back to the end")
    {
        fixture.time.advance(1'100ms);
        fixture.reply(watch->header.id, store_status::ok, {}, 15);
        proof = fixture.follower.takeProof();
        REQUIRE(proof);
        CHECK(proof->at == sent + 1s);
        CHECK(proof->revision == 9);
        CHECK_FALSE(proof->values);
    }
    SUBCASE("a watch that returns early")
    {
        fixture.time.advance(900ms);
        fixture.reply(watch->header.id, store_status::ok, {}, 15);
        proof = fixture.follower.takeProof();
        REQUIRE(proof);
        CHECK(proof->at == sent);
    }
    SUBCASE("a watch with an event")
    {
        fixture.time.advance(1'100ms);
        fixture.reply(watch->header.id, store_status::ok, {{"op/config", "2", 14, false}}, 15);
        proof = fixture.follower.takeProof();
        REQUIRE(proof);
        CHECK(proof->at == sent);
        CHECK(proof->revision == 14);
    }
    SUBCASE("a failed watch")
    {
        fixture.reply(watch->header.id, store_status::unanswered);
        CHECK_FALSE(fixture.follower.takeProof());
    }
    SUBCASE("a list that is older than what is known")
    {
        fixture.reply(watch->header.id, store_status::gone);
        list = fixture.nextList(store_area::configuration);
        fixture.reply(list->header.id, store_status::ok, {{"op/config", "1", 5, false}}, 8);
        CHECK_FALSE(fixture.follower.takeProof());
    }
}

// Guards against reads of the configuration that nobody has asked for, and against a stale answer
// to one that was asked for.
TEST_CASE("a configuration that is read on request is listed once for each request")
{
    follower_fixture fixture{{}};
    CHECK_FALSE(fixture.nextList(store_area::configuration));
    for (std::uint64_t revision = 9; revision < 12; ++revision) {
        fixture.follower.requestConfiguration();
        fixture.collectCalls();
        const auto list = fixture.nextList(store_area::configuration);
        REQUIRE(list);
        CHECK_FALSE(list->stale);
        CHECK(list->header.timeout == 300ms);
        fixture.reply(list->header.id, store_status::ok, {{"op/config", "1", 5, false}}, revision);
        const auto proof = fixture.follower.takeProof();
        REQUIRE(proof);
        CHECK(proof->revision == revision);
        CHECK(proof->values);
        fixture.pass(60s);
        CHECK_FALSE(fixture.nextList(store_area::configuration));
        CHECK_FALSE(fixture.next<watch_area>());
    }
    CHECK_FALSE(fixture.follower.takeRequestFailure());
    fixture.follower.requestConfiguration();
    fixture.collectCalls();
    fixture.reply(fixture.nextList(store_area::configuration)->header.id,
                  store_status::unavailable);
    CHECK(fixture.follower.takeRequestFailure());
    CHECK_FALSE(fixture.follower.takeRequestFailure());
    fixture.pass(60s);
    CHECK_FALSE(fixture.nextList(store_area::configuration));
    // A list of a server of the store that lags behind proves nothing.
    fixture.follower.requestConfiguration();
    fixture.collectCalls();
    fixture.reply(fixture.nextList(store_area::configuration)->header.id, store_status::ok,
                  {{"op/config", "1", 5, false}}, 10);
    CHECK_FALSE(fixture.follower.takeProof());
    CHECK(fixture.follower.takeRequestFailure());
    // A failure does not delay the next request.
    fixture.follower.requestConfiguration();
    fixture.collectCalls();
    CHECK(fixture.nextList(store_area::configuration));
}
