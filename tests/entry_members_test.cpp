#include "entry_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace bamboohead;
using namespace std::chrono_literals;

TEST_CASE_FIXTURE(entry_fixture, "the member list is sent to the other entries in turn")
{
    // Guards against lists to all entries at once, whose bytes grow with the square of the number
    // of entries, and against an entry that never gets a list.
    for (std::uint64_t number = 1; number <= 4; ++number) {
        addEntry(number, "graz");
    }
    run(15s);
    std::map<std::uint64_t, int> lists;
    dropMessage = [&lists](const wire::Envelope &envelope) {
        lists[envelope.receiver()] += envelope.entry_heartbeat().entries().empty() ? 0 : 1;
        return false;
    };
    run(30s);
    for (std::uint64_t number = 1; number <= 4; ++number) {
        // Each of the four entries sends one list every 5 s.
        CHECK(lists[number] >= 3);
        CHECK(lists[number] <= 9);
    }
}

TEST_CASE("hello messages are sent to seeds that were replaced at run time")
{
    // Guards against settings that are reloaded on SIGHUP but not applied: an entry whose seeds
    // were replaced would then find no other entry.
    manual_clock time;
    entry_options options;
    options.self = {incarnation_id{1}, "e1", wire::ROLE_ENTRY, "graz"};
    entry_core core{options, time};
    core.setSeeds({"e9"});
    time.advance(5s);
    core.tick();
    const auto actions = core.takeActions();
    CHECK(std::ranges::any_of(actions, [](const entry_action &action) {
        const auto *const message = std::get_if<send_message>(&action);
        return message != nullptr && message->endpoint == "e9" && message->envelope.has_hello();
    }));
}
