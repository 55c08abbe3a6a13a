#include "bamboohead/dispatch/dispatch_entry.hpp"
#include "dispatch/sample_jobs.hpp"

#include <doctest/doctest.h>

#include <vector>

using namespace bamboohead;
using namespace bamboohead::dispatch_test;
using namespace std::chrono_literals;

namespace {

/// Entry without agents, at which jobs wait.
struct cancel_fixture
{
    cancel_fixture()
    {
        time.advance(10s);
        entry.handleConfig(stateWithOneRoute());
    }

    static dispatch_entry_options makeOptions()
    {
        dispatch_entry_options options;
        options.self = {incarnation_id{1}, "e1", wire::ROLE_ENTRY, "graz"};
        options.limits.discoveryTime = 1h;
        options.limits.noAgentTimeout = 1h;
        return options;
    }

    /// Submits the job and returns the replies that follow at once.
    std::vector<job_reply> submit(duration callerTimeout)
    {
        auto job = smallJob(1);
        job.callerTimeout = callerTimeout;
        entry.submit(caller_request{++requests}, quoteRoute(), std::move(job));
        std::vector<job_reply> replies;
        for (const auto &action : entry.takeActions()) {
            if (const auto *const reply = std::get_if<job_reply>(&action)) {
                replies.push_back(*reply);
            }
        }
        return replies;
    }

    void pass(duration length)
    {
        time.advance(length);
        entry.tick();
        (void)entry.takeActions();
    }

    manual_clock time;
    dispatch_entry entry{makeOptions(), time};
    std::uint64_t requests = 0;
};

} // namespace

// Guards against a cancelled job that a late copy of its request starts anew.
TEST_CASE_FIXTURE(cancel_fixture, "a repeat of the request of a cancelled job is answered as "
                                  "cancelled while it may come")
{
    REQUIRE(submit(100s).empty());
    CHECK(entry.cancel(batch_job_id{1}));
    (void)entry.takeActions();
    pass(90s);
    const auto replies = submit(100s);
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].state == batch_job_state::cancelled);
    CHECK(replies[0].error == error_kind::cancelled);
    // The caller of the repeat may repeat it again for as long as it waits.
    pass(90s);
    CHECK(submit(1s).size() == 1);
    pass(70s);
    CHECK(submit(1s).empty());
    CHECK(entry.stateOf(batch_job_id{1}) == batch_job_state::pending);
}

// Guards against a cancelled job whose runs are being stopped and that a repeat resumes.
TEST_CASE_FIXTURE(cancel_fixture, "a job is repeated after its caller has left, but not after it "
                                  "was cancelled")
{
    REQUIRE(submit(10s).empty());
    entry.callerDisconnected(caller_request{1});
    REQUIRE(submit(10s).empty());
    CHECK(entry.cancel(batch_job_id{1}));
    (void)entry.takeActions();
    CHECK(submit(10s).size() == 1);
    CHECK(entry.stateOf(batch_job_id{1}) == std::nullopt);
}
