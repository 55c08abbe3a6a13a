#include "bamboohead/detail/agent/credit_ledger.hpp"

#include <doctest/doctest.h>

#include <limits>

using namespace bamboohead;
using namespace bamboohead::detail;
using namespace std::chrono_literals;

namespace {

constexpr incarnation_id entryA{1};
constexpr incarnation_id entryB{2};
constexpr time_point start{100s};

credit_ledger twoEntries(std::uint64_t limit)
{
    credit_ledger ledger;
    ledger.setCapacity(limit);
    ledger.open(entryA);
    ledger.open(entryB);
    ledger.distribute();
    return ledger;
}

} // namespace

TEST_CASE("idle credits are spread evenly and never exceed the limit")
{
    // Guards against issuing more start rights than the agent may hold.
    auto ledger = twoEntries(10);
    CHECK(ledger.line(entryA).outstanding() == 5);
    CHECK(ledger.line(entryB).outstanding() == 5);
    ledger.use(entryA, ledger.line(entryA).epoch, 2);
    ledger.setHeld(2);
    ledger.distribute();
    CHECK(ledger.outstanding() + ledger.held() == 10);
    CHECK_FALSE(ledger.mayHold());
}

TEST_CASE("a freed credit goes to the entry with the oldest waiting task")
{
    // Guards against a young burst at one entry that starves an older task at another.
    auto ledger = twoEntries(4);
    ledger.use(entryA, ledger.line(entryA).epoch, 2);
    ledger.use(entryB, ledger.line(entryB).epoch, 2);
    ledger.setHeld(4);
    ledger.setDemand(entryA, {50, start + 1s});
    ledger.setDemand(entryB, {1, start});
    ledger.setHeld(3);
    ledger.distribute();
    CHECK(ledger.line(entryB).outstanding() == 1);
    ledger.setHeld(2);
    ledger.distribute();
    CHECK(ledger.line(entryA).outstanding() == 1);
    CHECK(ledger.line(entryB).outstanding() == 1);
}

TEST_CASE("unused credits are recalled only while another entry waits")
{
    // Guards against credits that stay idle at one entry while tasks wait at another.
    auto ledger = twoEntries(4);
    CHECK_FALSE(ledger.line(entryA).recall);
    ledger.setDemand(entryB, {9, start});
    ledger.distribute();
    CHECK(ledger.line(entryA).recall);
    CHECK(ledger.line(entryA).recallUrgent);
    CHECK_FALSE(ledger.line(entryB).recall);

    ledger.use(entryA, ledger.line(entryA).epoch, 2); // returned without orders
    ledger.distribute();
    CHECK(ledger.line(entryB).outstanding() == 4);
    CHECK_FALSE(ledger.line(entryA).recall);
}

TEST_CASE("idle credits are recalled for an entry that came later")
{
    // Guards against a first entry that keeps all idle credits, so that every burst at another
    // entry waits for a recall.
    credit_ledger ledger;
    ledger.setCapacity(4);
    ledger.open(entryA);
    ledger.distribute();
    CHECK(ledger.line(entryA).outstanding() == 4);
    ledger.open(entryB);
    ledger.distribute();
    CHECK(ledger.line(entryA).recall);
    CHECK_FALSE(ledger.line(entryA).recallUrgent);
    ledger.use(entryA, ledger.line(entryA).epoch, 4);
    ledger.distribute();
    CHECK(ledger.line(entryA).outstanding() == 2);
    CHECK(ledger.line(entryB).outstanding() == 2);
    CHECK_FALSE(ledger.line(entryA).recall);
}

TEST_CASE("a lost or late counter is healed by the next one")
{
    // Guards against credits that leak when a message is lost, or come back when one is late.
    auto ledger = twoEntries(8);
    const auto epoch = ledger.line(entryA).epoch;
    CHECK(ledger.use(entryA, epoch, 3) == 0); // the message with total 2 was lost
    CHECK(ledger.line(entryA).outstanding() == 1);
    CHECK(ledger.use(entryA, epoch, 2) == 0); // late
    CHECK(ledger.line(entryA).outstanding() == 1);
    CHECK(ledger.outstanding() == 5);
}

TEST_CASE("uses beyond the issued credits are reported")
{
    // Guards against an entry that sends more orders than it has credits.
    auto ledger = twoEntries(4);
    CHECK(ledger.use(entryA, ledger.line(entryA).epoch, 5) == 3);
    CHECK(ledger.outstanding() == 2);
}

TEST_CASE("a closed line loses its credits and its epoch")
{
    // Guards against credits of a silent entry that stay blocked, or are used after its return.
    auto ledger = twoEntries(4);
    const auto oldEpoch = ledger.line(entryA).epoch;
    ledger.close(entryA);
    ledger.distribute();
    CHECK(ledger.line(entryA).outstanding() == 0);
    CHECK(ledger.line(entryB).outstanding() == 4);
    ledger.open(entryA);
    CHECK(ledger.line(entryA).epoch > oldEpoch);
    CHECK(ledger.use(entryA, oldEpoch, 1) == std::numeric_limits<std::uint64_t>::max());
}

TEST_CASE("a smaller limit starts new epochs within the limit")
{
    // Guards against a sum above slots + 2 after a target has announced fewer slots, and against
    // credits that stay valid after the limit became 0.
    auto ledger = twoEntries(10);
    const auto oldEpoch = ledger.line(entryA).epoch;
    ledger.setCapacity(4);
    ledger.distribute();
    CHECK(ledger.outstanding() == 4);
    CHECK(ledger.line(entryA).epoch > oldEpoch);
    ledger.setCapacity(0);
    ledger.distribute();
    CHECK(ledger.outstanding() == 0);
    CHECK_FALSE(ledger.mayHold());
}

TEST_CASE("a freed credit goes with a waiting update unless another entry waits much longer")
{
    // Guards against one more message for each task while several entries wait, and against an
    // entry that keeps an agent to itself.
    auto ledger = twoEntries(2);
    ledger.setHeld(2);
    ledger.use(entryA, ledger.line(entryA).epoch, 1);
    ledger.use(entryB, ledger.line(entryB).epoch, 1);
    ledger.setDemand(entryA, {9, start});
    ledger.setDemand(entryB, {9, start + companionWindow});
    ledger.setHeld(1);
    ledger.setCompanion(entryB);
    ledger.distribute();
    CHECK(ledger.line(entryB).outstanding() == 1);
    ledger.setDemand(entryB, {9, start + companionWindow + 1us});
    ledger.setHeld(0);
    ledger.setCompanion(entryB);
    ledger.distribute();
    CHECK(ledger.line(entryA).outstanding() == 1);
}

TEST_CASE("a credit is not recalled while all slots are busy")
{
    // Guards against recalls that start no task sooner, which cost two messages each.
    auto ledger = twoEntries(4);
    ledger.use(entryA, ledger.line(entryA).epoch, 1);
    ledger.use(entryB, ledger.line(entryB).epoch, 1);
    ledger.setHeld(2);
    ledger.setCapacity(4, 2);
    ledger.setDemand(entryB, {9, start});
    ledger.distribute();
    CHECK_FALSE(ledger.line(entryA).recallUrgent);
    ledger.setCapacity(4, 3);
    ledger.distribute();
    CHECK(ledger.line(entryA).recallUrgent);
}

TEST_CASE("reserved credits go only to entries with waiting tasks")
{
    // Guards against recalls of idle credits, and against a reserve that is never given out.
    credit_ledger ledger;
    ledger.setReserve(3);
    ledger.setCapacity(7);
    ledger.open(entryA);
    ledger.open(entryB);
    ledger.distribute();
    CHECK(ledger.outstanding() == 4);
    ledger.setDemand(entryB, {9, start});
    ledger.distribute();
    CHECK(ledger.line(entryA).outstanding() == 2);
    CHECK(ledger.line(entryB).outstanding() == 5);
}
