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

/// A job of 10 tasks with a deadline of 2 s, at a service that completes 100 tasks per second.
admission_request request(std::string_view team, std::uint32_t waiting)
{
    return admission_request{team, "quotes", 10, 2s, 20, waiting, 1, 200ms};
}

struct simulated_job
{
    std::string team;
    std::uint32_t tasks = 0;
    std::uint32_t unfinishedTasks = 0;
    time_point deadline;
};

/// Simulates 60 s of jobs of 1 to 100 tasks (50 to 350 ms each) from two teams on 80 slots.
/// @param load Offered work as a multiple of what the slots can do.
/// @param batchPercent Percentage of the jobs that belong to the team `batch`.
/// @return Tasks per second that belong to jobs which ended by their deadline.
double goodput(double load, int batchPercent)
{
    std::mt19937_64 random{11};
    const auto uniform = [&](std::int64_t low, std::int64_t high) {
        return std::uniform_int_distribution<std::int64_t>{low, high}(random);
    };
    auto admissionControl = configured();
    ready_queue queue;
    std::vector<simulated_job> jobs;
    using end = std::pair<time_point, std::uint64_t>;
    std::priority_queue<end, std::vector<end>, std::greater<>> running;
    const auto gap = 50.5 * 0.2 / (80 * load);
    double nextJob = 0;
    std::uint64_t inTime = 0;
    for (auto now = start; now < start + 60s; now += 1ms) {
        while (nextJob <= std::chrono::duration<double>{now - start}.count()) {
            nextJob += gap * static_cast<double>(uniform(0, 2000)) / 1000;
            const auto tasks = static_cast<std::uint32_t>(uniform(1, 100));
            const std::string team = uniform(0, 99) < batchPercent ? "batch" : "booking";
            const admission_request jobRequest{team,  "quotes",
                                               tasks, 3s,
                                               80,    queue.waiting("quotes"),
                                               1,     queue.estimate("quotes")};
            if (!admissionControl.check(jobRequest, now)) {
                const job_id id{session_id{}, jobs.size()};
                jobs.push_back(simulated_job{team, tasks, tasks, now + 3s});
                queue.add(ready_job{id, team, "quotes", tasks, now, now + 3s});
                admissionControl.addUsage(team, tasks);
            }
        }
        while (!running.empty() && running.top().first <= now) {
            auto &job = jobs[running.top().second];
            running.pop();
            admissionControl.addUsage(job.team, -1);
            admissionControl.taskEnded("quotes", now);
            inTime += --job.unfinishedTasks == 0 && now <= job.deadline ? job.tasks : 0;
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

TEST_CASE("jobs with an unknown service or team, or without a target, are refused with the "
          "matching error")
{
    // Guards against accepted jobs that wait forever because they can never be started.
    auto admissionControl = configured();
    auto wrong = request("desk", 0);
    wrong.service = "price";
    CHECK(admissionControl.check(wrong, start) == error_kind::unknown_service);
    CHECK(admissionControl.check(request("nobody", 0), start) == error_kind::unknown_team);
    auto noSlots = request("desk", 0);
    noSlots.slots = 0;
    CHECK(admissionControl.check(noSlots, start) == error_kind::no_target);
    CHECK_FALSE(admissionControl.check(request("desk", 0), start));
}

TEST_CASE("a team's quota holds over all entries")
{
    // Guards against a quota that applies per entry, so that a team gets it once at each entry.
    auto admissionControl = configured();
    admissionControl.addUsage("desk", 50);
    admissionControl.setPeerUsage(incarnation_id{2}, {{"desk", 30}});
    admissionControl.setPeerUsage(incarnation_id{2}, {{"desk", 40}});
    CHECK_FALSE(admissionControl.check(request("desk", 0), start));
    admissionControl.addUsage("desk", 1);
    CHECK(admissionControl.check(request("desk", 0), start) == error_kind::quota_exceeded);
    CHECK_FALSE(admissionControl.check(request("booking", 0), start));
    admissionControl.removePeer(incarnation_id{2});
    CHECK_FALSE(admissionControl.check(request("desk", 0), start));
    CHECK(admissionControl.usage() ==
          std::vector<std::pair<std::string, std::uint32_t>>{{"desk", 51}});
    admissionControl.addUsage("desk", -51);
    CHECK(admissionControl.usage().empty());
}

TEST_CASE("a job that cannot end by its deadline is refused at submission")
{
    // Guards against slots that are spent on jobs whose answer arrives after the deadline.
    auto admissionControl = configured();
    CHECK_FALSE(admissionControl.check(request("booking", 50), start));
    CHECK(admissionControl.check(request("booking", 200), start) == error_kind::overloaded);
    auto shared = request("booking", 50);
    shared.entries = 4;
    CHECK_FALSE(admissionControl.check(shared, start));
    admissionControl.setPeerUsage(incarnation_id{2}, {{"booking", 60}});
    CHECK(admissionControl.check(shared, start) == error_kind::overloaded);
    admissionControl.removePeer(incarnation_id{2});
    auto large = request("booking", 0);
    large.tasks = 1000;
    CHECK(admissionControl.check(large, start) == error_kind::overloaded);
}

TEST_CASE("under overload, jobs of teams above their fair share are refused first")
{
    // Guards against a burst of one team that makes the jobs of other teams miss their deadlines.
    auto admissionControl = configured();
    admissionControl.addUsage("batch", 150);
    admissionControl.addUsage("booking", 10);
    CHECK(admissionControl.check(request("batch", 80), start) == error_kind::overloaded);
    CHECK_FALSE(admissionControl.check(request("booking", 80), start));
    CHECK_FALSE(admissionControl.check(request("booking", 150), start));
    CHECK(admissionControl.check(request("booking", 800), start) == error_kind::overloaded);
}

TEST_CASE("a service that completes tasks more slowly than its slots allow accepts fewer jobs")
{
    // Guards against an estimate that includes slots that other entries use.
    auto admissionControl = configured();
    for (auto now = start; now < start + 4s; now += 25ms) {
        admissionControl.taskEnded("quotes", now);
        static_cast<void>(admissionControl.check(request("booking", 50), now));
    }
    CHECK(admissionControl.check(request("booking", 50), start + 4s) == error_kind::overloaded);
    // A zone returned and added slots; the rate observed without them no longer applies.
    auto returned = request("booking", 50);
    returned.slots = 30;
    CHECK_FALSE(admissionControl.check(returned, start + 4s));
    CHECK_FALSE(admissionControl.check(request("booking", 10), start + 4s));
}

TEST_CASE("goodput at 130% load is within 5% of that at capacity")
{
    // Guards against accepting so many jobs that they miss their deadlines.
    for (const int batchPercent : {0, 50, 90}) {
        const auto atCapacity = goodput(1.0, batchPercent);
        const auto overloaded = goodput(1.3, batchPercent);
        CAPTURE(batchPercent);
        CHECK(atCapacity > 0.9 * 400);
        CHECK(overloaded >= 0.95 * atCapacity);
    }
}
