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

TEST_CASE("idle credits are distributed evenly and never exceed the limit")
{
    // Guards against issuing more credits than the agent may hold orders.
    auto ledger = twoEntries(10);
    CHECK(ledger.creditsOf(entryA).outstanding() == 5);
    CHECK(ledger.creditsOf(entryB).outstanding() == 5);
    ledger.recordUse(entryA, ledger.creditsOf(entryA).epoch, 2);
    ledger.setHeld(2);
    ledger.distribute();
    CHECK(ledger.outstanding() + ledger.held() == 10);
    CHECK_FALSE(ledger.mayHold());
}

TEST_CASE("a freed credit goes to the entry whose demand has the earliest priority time")
{
    // Guards against a recent burst at one entry that starves an older task at another. The
    // priority time (entry_demand::priorityTime) is earlier for an older job and later for a job
    // with more remaining work.
    auto ledger = twoEntries(4);
    ledger.recordUse(entryA, ledger.creditsOf(entryA).epoch, 2);
    ledger.recordUse(entryB, ledger.creditsOf(entryB).epoch, 2);
    ledger.setHeld(4);
    ledger.setDemand(entryA, {50, start + 1s});
    ledger.setDemand(entryB, {1, start});
    ledger.setHeld(3);
    ledger.distribute();
    CHECK(ledger.creditsOf(entryB).outstanding() == 1);
    ledger.setHeld(2);
    ledger.distribute();
    CHECK(ledger.creditsOf(entryA).outstanding() == 1);
    CHECK(ledger.creditsOf(entryB).outstanding() == 1);
}

TEST_CASE("unused credits are recalled only while another entry waits")
{
    // Guards against credits that stay idle at one entry while tasks wait at another.
    auto ledger = twoEntries(4);
    CHECK_FALSE(ledger.creditsOf(entryA).recall);
    ledger.setDemand(entryB, {9, start});
    ledger.distribute();
    CHECK(ledger.creditsOf(entryA).recall);
    CHECK(ledger.creditsOf(entryA).recallUrgent);
    CHECK_FALSE(ledger.creditsOf(entryB).recall);

    ledger.recordUse(entryA, ledger.creditsOf(entryA).epoch, 2); // the entry returns its credits
    ledger.distribute();
    CHECK(ledger.creditsOf(entryB).outstanding() == 4);
    CHECK_FALSE(ledger.creditsOf(entryA).recall);
}

TEST_CASE("idle credits are recalled for an entry that was added later")
{
    // Guards against the first entry keeping all idle credits, in which case every burst at another
    // entry waits for a recall.
    credit_ledger ledger;
    ledger.setCapacity(4);
    ledger.open(entryA);
    ledger.distribute();
    CHECK(ledger.creditsOf(entryA).outstanding() == 4);
    ledger.open(entryB);
    ledger.distribute();
    CHECK(ledger.creditsOf(entryA).recall);
    CHECK_FALSE(ledger.creditsOf(entryA).recallUrgent);
    ledger.recordUse(entryA, ledger.creditsOf(entryA).epoch, 4);
    ledger.distribute();
    CHECK(ledger.creditsOf(entryA).outstanding() == 2);
    CHECK(ledger.creditsOf(entryB).outstanding() == 2);
    CHECK_FALSE(ledger.creditsOf(entryA).recall);
}

TEST_CASE("the next total of used credits makes up for a lost or delayed one")
{
    // Guards against credits that leak when a message is lost, or reappear when one is delayed.
    auto ledger = twoEntries(8);
    const auto epoch = ledger.creditsOf(entryA).epoch;
    CHECK(ledger.recordUse(entryA, epoch, 3) == 0); // the message with total 2 was lost
    CHECK(ledger.creditsOf(entryA).outstanding() == 1);
    CHECK(ledger.recordUse(entryA, epoch, 2) == 0); // delayed message
    CHECK(ledger.creditsOf(entryA).outstanding() == 1);
    CHECK(ledger.outstanding() == 5);
}

TEST_CASE("uses beyond the issued credits are returned as excess")
{
    // Guards against an entry that sends more orders than it has credits.
    auto ledger = twoEntries(4);
    CHECK(ledger.recordUse(entryA, ledger.creditsOf(entryA).epoch, 5) == 3);
    CHECK(ledger.outstanding() == 2);
}

TEST_CASE("a closed account loses its credits, and reopening it starts a new epoch")
{
    // Guards against credits of an unresponsive entry that stay blocked, or that it uses after it
    // has become responsive again.
    auto ledger = twoEntries(4);
    const auto oldEpoch = ledger.creditsOf(entryA).epoch;
    ledger.close(entryA);
    ledger.distribute();
    CHECK(ledger.creditsOf(entryA).outstanding() == 0);
    CHECK(ledger.creditsOf(entryB).outstanding() == 4);
    ledger.open(entryA);
    CHECK(ledger.creditsOf(entryA).epoch > oldEpoch);
    // The maximum value means that the epoch is not the present one.
    CHECK(ledger.recordUse(entryA, oldEpoch, 1) == std::numeric_limits<std::uint64_t>::max());
}

TEST_CASE("a smaller limit invalidates the credits by new epochs")
{
    // Guards against a sum of credits and orders above the limit after a target has announced fewer
    // slots, and against credits that stay valid after the limit became 0.
    auto ledger = twoEntries(10);
    const auto oldEpoch = ledger.creditsOf(entryA).epoch;
    ledger.setCapacity(4);
    ledger.distribute();
    CHECK(ledger.outstanding() == 4);
    CHECK(ledger.creditsOf(entryA).epoch > oldEpoch);
    ledger.setCapacity(0);
    ledger.distribute();
    CHECK(ledger.outstanding() == 0);
    CHECK_FALSE(ledger.mayHold());
}

TEST_CASE("a freed credit goes to the entry with a pending message unless another demand is much "
          "earlier")
{
    // Guards against an additional message for each task while tasks wait at several entries, and
    // against an entry that gets all credits of an agent.
    auto ledger = twoEntries(2);
    ledger.setHeld(2);
    ledger.recordUse(entryA, ledger.creditsOf(entryA).epoch, 1);
    ledger.recordUse(entryB, ledger.creditsOf(entryB).epoch, 1);
    ledger.setDemand(entryA, {9, start});
    ledger.setDemand(entryB, {9, start + piggybackWindow});
    ledger.setHeld(1);
    ledger.setPiggybackEntry(entryB);
    ledger.distribute();
    CHECK(ledger.creditsOf(entryB).outstanding() == 1);
    ledger.setDemand(entryB, {9, start + piggybackWindow + 1us});
    ledger.setHeld(0);
    ledger.setPiggybackEntry(entryB);
    ledger.distribute();
    CHECK(ledger.creditsOf(entryA).outstanding() == 1);
}

TEST_CASE("a recall is not urgent while all slots are busy")
{
    // Guards against recalls that let no task start sooner. Each recall takes two messages.
    auto ledger = twoEntries(4);
    ledger.recordUse(entryA, ledger.creditsOf(entryA).epoch, 1);
    ledger.recordUse(entryB, ledger.creditsOf(entryB).epoch, 1);
    ledger.setHeld(2);
    ledger.setCapacity(4, 2);
    ledger.setDemand(entryB, {9, start});
    ledger.distribute();
    CHECK_FALSE(ledger.creditsOf(entryA).recallUrgent);
    ledger.setCapacity(4, 3);
    ledger.distribute();
    CHECK(ledger.creditsOf(entryA).recallUrgent);
}

TEST_CASE("reserved credits go only to entries with waiting tasks")
{
    // Guards against reserved credits that are idle at an entry and would have to be recalled from
    // it before use, and against reserved credits that are never issued.
    credit_ledger ledger;
    ledger.setReserve(3);
    ledger.setCapacity(7);
    ledger.open(entryA);
    ledger.open(entryB);
    ledger.distribute();
    CHECK(ledger.outstanding() == 4);
    ledger.setDemand(entryB, {9, start});
    ledger.distribute();
    CHECK(ledger.creditsOf(entryA).outstanding() == 2);
    CHECK(ledger.creditsOf(entryB).outstanding() == 5);
}
