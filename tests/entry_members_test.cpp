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

namespace {

/// Entries 1 and 2 and agent 11. Counts the messages that entry 1 sends.
struct counted_messages : entry_fixture
{
    counted_messages()
    {
        addEntry(1, "graz");
        addEntry(2, "linz");
        addAgent(11, "graz");
        run(2s);
        drop([](const auto &) { return false; });
    }

    /// Drops the messages for which `lost` is true.
    void drop(const std::function<bool(const wire::Envelope &)> &lost)
    {
        dropMessage = [this, lost](const wire::Envelope &envelope) {
            sent[envelope.receiver()] += envelope.sender() == 1 ? 1 : 0;
            exchanged |= envelope.sender() + envelope.receiver() == 3;
            return lost(envelope);
        };
    }

    /// Lets the time pass until the entries have exchanged messages.
    void runUntilExchange()
    {
        for (exchanged = false; !exchanged;) {
            run(10ms);
        }
    }

    /// Number of messages that entry 1 sends to a peer in the next `length`.
    int sentIn(std::uint64_t receiver, duration length)
    {
        sent.clear();
        run(length);
        return sent[receiver];
    }

    std::map<std::uint64_t, int> sent; ///< by receiver
    bool exchanged = false;
};

} // namespace

TEST_CASE_FIXTURE(counted_messages, "a peer is probed while its messages are overdue")
{
    // Guards against a peer that is considered failed because two or three messages were lost
    // (docs/design.md, 2.6).
    runUntilExchange();
    drop([](const wire::Envelope &envelope) { return envelope.receiver() == 1; });
    run(600ms);
    SUBCASE("an entry")
    {
        CHECK(sentIn(2, 800ms) >= 4);
        run(1s);
        CHECK(sentIn(2, 2s) <= 4); // considered failed
    }
    SUBCASE("an agent")
    {
        CHECK(sentIn(11, 800ms) >= 4);
        run(1s);
        CHECK(sentIn(11, 2s) == 0); // considered failed
    }
}

TEST_CASE_FIXTURE(counted_messages, "a peer that has missed messages is answered without delay")
{
    // Guards against a peer that considers this entry failed because two or three messages to it
    // were lost (docs/design.md, 2.6).
    runUntilExchange();
    drop([](const wire::Envelope &envelope) { return envelope.sender() == 1; });
    run(600ms);
    SUBCASE("an entry")
    {
        CHECK(sentIn(2, 800ms) >= 4);
    }
    SUBCASE("an agent")
    {
        CHECK(sentIn(11, 800ms) >= 4);
    }
}

TEST_CASE_FIXTURE(counted_messages, "heartbeats keep their intervals while no message is lost")
{
    // Guards against probes of peers whose messages arrive (docs/CAPACITY.md).
    CHECK(sentIn(2, 10s) <= 22);
    CHECK(sentIn(11, 10s) <= 26);
}
