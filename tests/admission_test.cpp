#include "bamboohead/admission.hpp"
#include "bamboohead/ready_queue.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <queue>
#include <random>

using namespace bamboohead;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{100s};

manifest config()
{
    manifest made;
    made.services["quotes"];
    made.teams["desk"].maxRunning = 100;
    made.teams["booking"].weight = 1;
    made.teams["batch"].weight = 1;
    return made;
}

admission configured()
{
    admission made;
    made.configure(config());
    return made;
}

/// 10 tasks within 2 s at a service that ends 100 tasks a second.
admission_request request(std::string_view team, std::uint32_t waiting)
{
    return admission_request{team, "quotes", 10, 2s, 20, waiting, 1, 200ms};
}

struct played_job
{
    std::string team;
    std::uint32_t tasks = 0;
    std::uint32_t left = 0;
    time_point deadline;
};

/// Plays jobs of 1 to 100 tasks (50 to 350 ms) of two teams against 80 slots for 60 s.
/// @param batchPart Percentage of the jobs that belong to the team `batch`.
/// @return Tasks a second of jobs that ended by their deadline.
double goodput(double load, int batchPart)
{
    std::mt19937_64 random{11};
    const auto uniform = [&](std::int64_t low, std::int64_t high) {
        return std::uniform_int_distribution<std::int64_t>{low, high}(random);
    };
    auto door = configured();
    ready_queue queue;
    std::vector<played_job> jobs;
    using end = std::pair<time_point, std::uint64_t>;
    std::priority_queue<end, std::vector<end>, std::greater<>> running;
    const auto gap = 50.5 * 0.2 / (80 * load);
    double nextJob = 0;
    std::uint64_t inTime = 0;
    for (auto now = start; now < start + 60s; now += 1ms) {
        while (nextJob <= std::chrono::duration<double>{now - start}.count()) {
            nextJob += gap * static_cast<double>(uniform(0, 2000)) / 1000;
            const auto tasks = static_cast<std::uint32_t>(uniform(1, 100));
            const std::string team = uniform(0, 99) < batchPart ? "batch" : "booking";
            const admission_request asked{team,  "quotes",
                                          tasks, 3s,
                                          80,    queue.waiting("quotes"),
                                          1,     queue.estimate("quotes")};
            if (!door.check(asked, now)) {
                const job_id id{session_id{}, jobs.size()};
                jobs.push_back(played_job{team, tasks, tasks, now + 3s});
                queue.add(ready_job{id, team, "quotes", tasks, now, now + 3s});
                door.usageChanged(team, tasks);
            }
        }
        while (!running.empty() && running.top().first <= now) {
            auto &job = jobs[running.top().second];
            running.pop();
            door.usageChanged(job.team, -1);
            door.taskEnded("quotes", now);
            inTime += --job.left == 0 && now <= job.deadline ? job.tasks : 0;
        }
        while (running.size() < 80) {
            const auto id = queue.pop("quotes", now);
            if (!id) {
                break;
            }
            const auto runTime = std::chrono::milliseconds{uniform(50, 350)};
            queue.observe("quotes", runTime);
            running.emplace(now + runTime, id->number);
        }
    }
    return static_cast<double>(inTime) / 60;
}

} // namespace

TEST_CASE("unknown names and a service without targets are refused as such")
{
    // Guards against jobs that wait for a start that can never come.
    auto door = configured();
    auto wrong = request("desk", 0);
    wrong.service = "price";
    CHECK(door.check(wrong, start) == error_kind::unknown_service);
    CHECK(door.check(request("nobody", 0), start) == error_kind::unknown_team);
    auto noSlots = request("desk", 0);
    noSlots.slots = 0;
    CHECK(door.check(noSlots, start) == error_kind::no_target);
    CHECK_FALSE(door.check(request("desk", 0), start));
}

TEST_CASE("a team's quota holds over all entries")
{
    // Guards against a team that multiplies its quota by the number of entries.
    auto door = configured();
    door.usageChanged("desk", 50);
    door.peerUsage(incarnation_id{2}, {{"desk", 30}});
    door.peerUsage(incarnation_id{2}, {{"desk", 40}});
    CHECK_FALSE(door.check(request("desk", 0), start));
    door.usageChanged("desk", 1);
    CHECK(door.check(request("desk", 0), start) == error_kind::quota_exceeded);
    CHECK_FALSE(door.check(request("booking", 0), start));
    door.peerGone(incarnation_id{2});
    CHECK_FALSE(door.check(request("desk", 0), start));
    CHECK(door.usage() == std::vector<std::pair<std::string, std::uint32_t>>{{"desk", 51}});
    door.usageChanged("desk", -51);
    CHECK(door.usage().empty());
}

TEST_CASE("a job that cannot end by its deadline is refused at once")
{
    // Guards against work on jobs whose answer comes too late.
    auto door = configured();
    CHECK_FALSE(door.check(request("booking", 50), start));
    CHECK(door.check(request("booking", 200), start) == error_kind::overloaded);
    auto shared = request("booking", 50);
    shared.entries = 4;
    CHECK_FALSE(door.check(shared, start));
    door.peerUsage(incarnation_id{2}, {{"booking", 60}});
    CHECK(door.check(shared, start) == error_kind::overloaded);
    door.peerGone(incarnation_id{2});
    auto large = request("booking", 0);
    large.tasks = 1000;
    CHECK(door.check(large, start) == error_kind::overloaded);
}

TEST_CASE("under pressure teams above their fair share are refused first")
{
    // Guards against one team whose burst makes the jobs of the others fail.
    auto door = configured();
    door.usageChanged("batch", 150);
    door.usageChanged("booking", 10);
    CHECK(door.check(request("batch", 80), start) == error_kind::overloaded);
    CHECK_FALSE(door.check(request("booking", 80), start));
    CHECK_FALSE(door.check(request("booking", 150), start));
    CHECK(door.check(request("booking", 800), start) == error_kind::overloaded);
}

TEST_CASE("a service that ends fewer tasks than its slots promise is filled less")
{
    // Guards against an estimate that trusts slots whose credits other entries hold.
    auto door = configured();
    for (auto now = start; now < start + 4s; now += 25ms) {
        door.taskEnded("quotes", now);
        static_cast<void>(door.check(request("booking", 50), now));
    }
    CHECK(door.check(request("booking", 50), start + 4s) == error_kind::overloaded);
    // A zone returned; the observed rate of the other slots no longer applies.
    auto returned = request("booking", 50);
    returned.slots = 30;
    CHECK_FALSE(door.check(returned, start + 4s));
    CHECK_FALSE(door.check(request("booking", 10), start + 4s));
}

TEST_CASE("goodput at 130% load is within 5% of that at capacity")
{
    // Guards against accepting so much that jobs end after their deadlines.
    for (const int batchPart : {0, 50, 90}) {
        const auto atCapacity = goodput(1.0, batchPart);
        const auto overloaded = goodput(1.3, batchPart);
        CAPTURE(batchPart);
        CHECK(atCapacity > 0.9 * 400);
        CHECK(overloaded >= 0.95 * atCapacity);
    }
}
