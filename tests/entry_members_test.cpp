#include "entry_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace bamboohead;
using namespace std::chrono_literals;

TEST_CASE_FIXTURE(entry_fixture, "one entry after the other gets the member list")
{
    // Guards against lists to all entries, whose bytes grow with the square of their number, and
    // against an entry that never gets one.
    for (std::uint64_t number = 1; number <= 4; ++number) {
        addEntry(number, "graz");
    }
    run(15s);
    std::map<std::uint64_t, int> lists;
    lose = [&lists](const wire::Envelope &envelope) {
        lists[envelope.receiver()] += envelope.entry_heartbeat().entries().empty() ? 0 : 1;
        return false;
    };
    run(30s);
    for (std::uint64_t number = 1; number <= 4; ++number) {
        // Four entries send one list each 5 s.
        CHECK(lists[number] >= 3);
        CHECK(lists[number] <= 9);
    }
}

TEST_CASE("new seeds are greeted while the process runs")
{
    // Guards against settings that are read again on SIGHUP and not used: an entry whose seeds were
    // replaced would then stay alone.
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
