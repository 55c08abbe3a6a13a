#include "bamboohead/ready_queue.hpp"

#include <doctest/doctest.h>

#include <cstdlib>
#include <map>
#include <random>

using namespace bamboohead;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{100s};

job_id id(std::uint64_t number)
{
    return job_id{session_id{job_home{incarnation_id{1}, incarnation_id{2}}, 1}, number};
}

ready_job job(std::uint64_t number, std::uint32_t tasks, const std::string &team = "desk",
              duration after = 0s)
{
    return ready_job{id(number), team, "quotes", tasks, start + after, start + 60s};
}

std::map<std::uint64_t, int> popped(ready_queue &queue, int tasks)
{
    std::map<std::uint64_t, int> counts;
    for (int task = 0; task < tasks; ++task) {
        ++counts[queue.pop("quotes", start).value().number];
    }
    return counts;
}

manifest weights(std::uint32_t desk, std::uint32_t booking)
{
    manifest config;
    config.teams["desk"].weight = desk;
    config.teams["booking"].weight = booking;
    return config;
}

} // namespace

TEST_CASE("teams share the task starts by weight, independent of the sizes of their jobs")
{
    // Guards against a team that gets more than its share of a service by submitting many small
    // jobs.
    ready_queue queue;
    queue.configure(weights(3, 1));
    queue.add(job(1, 1000, "desk"));
    for (std::uint64_t number = 2; number < 500; ++number) {
        queue.add(job(number, 1, "booking"));
    }
    CHECK(popped(queue, 400)[1] == 300);
    queue.configure(weights(1, 1));
    CHECK(popped(queue, 200)[1] == 100);
}

TEST_CASE("a team that was idle gets its share from now on and no compensation for the past")
{
    // Guards against a team that returns after a pause and blocks the others until it has caught
    // up.
    ready_queue queue;
    queue.configure(weights(1, 1));
    queue.add(job(1, 1000, "desk"));
    CHECK(popped(queue, 500)[1] == 500);
    queue.add(job(2, 1000, "booking"));
    auto counts = popped(queue, 100);
    CHECK(std::abs(counts[1] - counts[2]) <= 2);
}

TEST_CASE("in a team the job with the least remaining work starts first")
{
    // Guards against jobs that share the slots evenly, so that all of them end late.
    ready_queue queue;
    queue.add(job(1, 100));
    queue.add(job(2, 10));
    queue.add(job(3, 11));
    CHECK(popped(queue, 10)[2] == 10);
    CHECK(popped(queue, 6)[3] == 6);
    queue.add(job(4, 7));
    CHECK(popped(queue, 5)[3] == 5);
    CHECK(popped(queue, 7)[4] == 7);
    CHECK(popped(queue, 100)[1] == 100);
    CHECK(queue.empty());
}

TEST_CASE("a job is not overtaken by jobs of its team submitted four seconds later or more")
{
    // Guards against the starvation of a large job by a stream of small ones.
    ready_queue queue;
    queue.add(job(1, 1200));
    queue.add(job(2, 1, "desk", 2s));
    queue.add(job(3, 1, "desk", 4s));
    queue.add(job(4, 1, "desk", 5s));
    CHECK(queue.pop("quotes", start)->number == 2);
    CHECK(popped(queue, 1200)[1] == 1200);
    CHECK(queue.pop("quotes", start)->number == 3);
}

TEST_CASE("a returned task waits again and its team is not charged for it")
{
    // Guards against tasks that are lost after a refused order, and against teams that are charged
    // for them.
    ready_queue queue;
    queue.configure(weights(1, 1));
    queue.add(job(1, 100, "desk"));
    queue.add(job(2, 100, "booking"));
    CHECK(popped(queue, 40)[1] == 20);
    for (int task = 0; task < 20; ++task) {
        queue.taskReturned(job(1, 100, "desk"));
    }
    CHECK(queue.waiting("quotes") == 180);
    CHECK(popped(queue, 20)[1] >= 19);
    CHECK(popped(queue, 160)[2] >= 79);
    CHECK(queue.empty());
    queue.taskReturned(job(1, 100, "desk"));
    CHECK(queue.waiting("quotes") == 1);
}

TEST_CASE("the run time estimate starts at 200 ms, follows the observed run times and reorders the "
          "jobs")
{
    // Guards against estimates that start at zero or don't follow the observed run times.
    ready_queue queue;
    CHECK(queue.estimate("quotes") == 200ms);
    queue.add(job(1, 20));
    queue.add(job(2, 1, "desk", 2100ms));
    for (int task = 0; task < 200; ++task) {
        queue.observe("quotes", 1s);
    }
    CHECK(queue.estimate("quotes") > 990ms);
    CHECK(queue.estimate("quotes") <= 1s);
    // With an estimate of 200 ms per task, the large job would be first.
    CHECK(queue.pop("quotes", start)->number == 2);
}

TEST_CASE("the backlog reports the number of waiting tasks and the age of the oldest job")
{
    // Guards against agents that issue credits to an entry without demand.
    ready_queue queue;
    queue.add(job(1, 5, "desk", 1s));
    queue.add(job(2, 7, "booking", 0s));
    auto backlog = queue.backlog(start + 3s);
    REQUIRE(backlog.size() == 1);
    CHECK(backlog.front().waitingTasks == 12);
    CHECK(backlog.front().oldestAge == 3s);
    queue.remove(id(2));
    backlog = queue.backlog(start + 3s);
    CHECK(backlog.front().waitingTasks == 5);
    CHECK(backlog.front().oldestAge == 2s);
    queue.remove(id(1));
    CHECK(queue.backlog(start).empty());
    CHECK_FALSE(queue.pop("quotes", start));
}

TEST_CASE("every task is popped exactly once in a random sequence of changes")
{
    // Guards against inconsistent indexes, by which jobs would be lost or returned twice.
    std::mt19937 random{3};
    ready_queue queue;
    std::map<std::uint64_t, std::uint32_t> waiting;
    std::uint32_t sum = 0;
    const auto teamOf = [](std::uint64_t number) { return number % 2 == 0 ? "desk" : "booking"; };
    for (std::uint64_t step = 1; step < 5000; ++step) {
        const auto tasks = 1 + static_cast<std::uint32_t>(random() % 20);
        if (step % 8 == 0) {
            queue.add(job(step, tasks, teamOf(step), step * 1ms));
            waiting[step] = tasks;
            sum += tasks;
        } else if (step % 50 == 1 && !waiting.empty()) {
            const auto removed = waiting.begin();
            sum -= removed->second;
            queue.remove(id(removed->first));
            waiting.erase(removed);
        } else if (const auto popped = queue.pop("quotes", start)) {
            REQUIRE(waiting[popped->number] > 0);
            --sum;
            if (--waiting[popped->number] == 0) {
                waiting.erase(popped->number);
            }
            queue.observe("quotes", std::chrono::milliseconds{random() % 1000});
        }
        REQUIRE(queue.waiting("quotes") == sum);
    }
}
