#include "entry_fixture.hpp"

#include <doctest/doctest.h>

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
