// Compares ready_queue with a FIFO queue, and placement by credits with its two baselines.
// `cost` benchmarks measure the time per decision. `play` benchmarks simulate a service and report
// the slowdown of jobs or tasks: the response time divided by the ideal, which is the run time of
// the longest task of the job, or of the single task. The ratios of each baseline to
// the product's policy, ready_queue or credits, are printed at the end.

#include "bamboohead/placement.hpp"
#include "bamboohead/ready_queue.hpp"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <map>
#include <queue>
#include <random>
#include <string>

namespace {

using namespace bamboohead;
using namespace std::chrono_literals;

constexpr time_point start{std::chrono::hours{1}};
constexpr duration timeStep = 1ms;
constexpr duration simulatedTime = 60s;
constexpr double meanRunSeconds = 0.2;
constexpr std::uint32_t slotsPerAgent = 8;
constexpr double utilization = 0.9;

using generator = std::mt19937_64;

std::uint32_t uniform(generator &random, std::uint32_t low, std::uint32_t high)
{
    return std::uniform_int_distribution<std::uint32_t>{low, high}(random);
}

/// Run time of a task, exponential with a mean of meanRunSeconds.
duration runTime(generator &random)
{
    const auto seconds = std::exponential_distribution<>{1 / meanRunSeconds}(random);
    return std::max(timeStep, duration{static_cast<duration::rep>(seconds * 1e6)});
}

/// Poisson process of arrivals.
class arrivals
{
public:
    explicit arrivals(double perSecond)
        : m_gap{perSecond}
    {}

    /// Returns true once for each arrival up to `now`.
    bool due(generator &random, time_point now)
    {
        if (m_next > now) {
            return false;
        }
        m_next += duration{static_cast<duration::rep>(m_gap(random) * 1e6)};
        return true;
    }

private:
    std::exponential_distribution<> m_gap;
    time_point m_next = start;
};

void setQuantiles(benchmark::State &state, std::vector<double> &slowdowns)
{
    std::ranges::sort(slowdowns);
    const auto at = [&](std::size_t percent) {
        return slowdowns[slowdowns.size() * percent / 100];
    };
    state.counters["median"] = at(50);
    state.counters["p99"] = at(99);
}

// Order of jobs

job_id jobId(std::uint64_t number)
{
    return job_id{session_id{}, number};
}

/// Baseline: tasks start in the order in which their jobs were submitted.
class fifo_queue
{
public:
    void add(const ready_job &job) { m_jobs.push_back(job); }
    void observe(std::string_view /*service*/, duration /*runTime*/) {}

    std::optional<job_id> pop(std::string_view /*service*/, time_point /*now*/)
    {
        if (m_jobs.empty()) {
            return std::nullopt;
        }
        const auto id = m_jobs.front().id;
        if (--m_jobs.front().waitingTasks == 0) {
            m_jobs.pop_front();
        }
        return id;
    }

private:
    std::deque<ready_job> m_jobs;
};

template <typename queue_type>
void orderCost(benchmark::State &state)
{
    constexpr std::uint64_t heldTasks = 50'000;
    generator random{1};
    queue_type queue;
    std::uint64_t added = 0;
    std::uint64_t tasks = 0;
    for (auto _ : state) {
        if (tasks < heldTasks) {
            const auto size = uniform(random, 1, 100);
            const auto team = "team" + std::to_string(added % 10);
            queue.add(ready_job{jobId(added), team, "quotes", size,
                                start + timeStep * static_cast<std::int64_t>(added), start});
            ++added;
            tasks += size;
        }
        benchmark::DoNotOptimize(queue.pop("quotes", start));
        --tasks;
    }
}

struct simulated_job
{
    time_point submitted;
    std::uint32_t tasksLeft = 0;
    duration longestTask{};
};

/// Four fifths of the jobs have 1 to 10 tasks, the others 50 to 150.
std::uint32_t jobSize(generator &random)
{
    return uniform(random, 1, 5) < 5 ? uniform(random, 1, 10) : uniform(random, 50, 150);
}

constexpr double meanJobSize = 0.8 * 5.5 + 0.2 * 100;

template <typename queue_type>
void simulateOrder(benchmark::State &state)
{
    constexpr std::uint32_t slots = 10 * slotsPerAgent;
    generator random{2};
    queue_type queue;
    arrivals jobArrivals{utilization * slots / meanRunSeconds / meanJobSize};
    std::vector<simulated_job> jobs;
    std::vector<double> slowdowns;
    using end = std::pair<time_point, std::uint64_t>;
    std::priority_queue<end, std::vector<end>, std::greater<>> running;
    for (auto _ : state) {
        for (auto now = start; now < start + simulatedTime; now += timeStep) {
            while (jobArrivals.due(random, now)) {
                const auto size = jobSize(random);
                queue.add(ready_job{jobId(jobs.size()), "desk", "quotes", size, now, now + 10s});
                jobs.push_back(simulated_job{now, size, {}});
            }
            while (!running.empty() && running.top().first <= now) {
                auto &job = jobs[running.top().second];
                running.pop();
                if (--job.tasksLeft == 0) {
                    const auto response = now - job.submitted;
                    slowdowns.push_back(static_cast<double>(response.count()) /
                                        static_cast<double>(job.longestTask.count()));
                }
            }
            while (running.size() < slots) {
                const auto id = queue.pop("quotes", now);
                if (!id) {
                    break;
                }
                const auto length = runTime(random);
                queue.observe("quotes", length);
                jobs[id->number].longestTask = std::max(jobs[id->number].longestTask, length);
                running.emplace(now + length, id->number);
            }
        }
    }
    setQuantiles(state, slowdowns);
}

// Placement

constexpr auto anyAgent = [](incarnation_id) { return true; };

template <placement_policy policy>
void takeCost(benchmark::State &state)
{
    constexpr std::uint64_t agents = 300;
    held_credits account{policy, "graz", 1};
    generator random{3};
    std::uint64_t issued = 0;
    std::uint64_t left = 0;
    for (auto _ : state) {
        if (left == 0) {
            issued += slotsPerAgent;
            left = agents * slotsPerAgent;
            for (std::uint64_t agent = 1; agent <= agents; ++agent) {
                account.report(incarnation_id{agent},
                               agent_load{"quotes", agent % 2 == 0 ? "graz" : "linz", slotsPerAgent,
                                          uniform(random, 0, slotsPerAgent), 0, false, 1, issued});
            }
        }
        --left;
        benchmark::DoNotOptimize(account.take("quotes", anyAgent));
    }
}

struct simulated_task
{
    time_point submitted;
    duration length{};
};

constexpr std::size_t entryCount = 2;
constexpr std::size_t agentCount = 20;

struct simulated_agent
{
    std::uint32_t running = 0;
    std::deque<simulated_task> queued;
    std::array<std::uint64_t, entryCount> issued{};
};

struct simulated_entry
{
    held_credits account;
    std::deque<simulated_task> waiting;
};

struct task_end
{
    time_point at;
    std::size_t agent = 0;

    bool operator>(const task_end &other) const { return at > other.at; }
};

/// Simulates two entries that place single tasks on shared agents. Every agent reports its load to
/// both entries each millisecond, so the baselines decide on fresher data than they would have
/// between processes.
class placement_simulation
{
public:
    explicit placement_simulation(placement_policy policy)
        : m_entries{simulated_entry{{policy, "graz", 1}, {}},
                    simulated_entry{{policy, "graz", 2}, {}}}
    {}

    std::vector<double> run()
    {
        for (auto now = start; now < start + simulatedTime; now += timeStep) {
            endTasks(now);
            while (m_arrivals.due(m_random, now)) {
                m_entries[uniform(m_random, 0, entryCount - 1)].waiting.push_back(
                        simulated_task{now, runTime(m_random)});
            }
            recallCredits();
            for (std::size_t agent = 0; agent < agentCount; ++agent) {
                issueCredits(agent);
                reportLoad(agent);
            }
            for (auto &entry : m_entries) {
                placeTasks(entry, now);
            }
        }
        return std::move(m_slowdowns);
    }

private:
    static incarnation_id idOf(std::size_t agent) { return incarnation_id{agent + 1}; }

    void begin(std::size_t agent, const simulated_task &task, time_point now)
    {
        ++m_agents[agent].running;
        const auto end = now + task.length;
        m_ends.push(task_end{end, agent});
        m_slowdowns.push_back(static_cast<double>((end - task.submitted).count()) /
                              static_cast<double>(task.length.count()));
    }

    void endTasks(time_point now)
    {
        while (!m_ends.empty() && m_ends.top().at <= now) {
            const auto agent = m_ends.top().agent;
            m_ends.pop();
            auto &state = m_agents[agent];
            --state.running;
            if (!state.queued.empty()) {
                begin(agent, state.queued.front(), now);
                state.queued.pop_front();
            }
        }
    }

    /// Entries without waiting tasks return their credits while another entry has waiting tasks.
    void recallCredits()
    {
        const auto waits = [](const simulated_entry &entry) { return !entry.waiting.empty(); };
        if (std::ranges::none_of(m_entries, waits)) {
            return;
        }
        for (auto &entry : m_entries) {
            for (std::size_t agent = 0; !waits(entry) && agent < agentCount; ++agent) {
                entry.account.returnUnused(idOf(agent));
            }
        }
    }

    std::uint64_t outstanding(std::size_t agent, std::size_t entry)
    {
        const auto used = m_entries[entry].account.usageOf(idOf(agent)).usedTotal;
        return m_agents[agent].issued[entry] - std::min(used, m_agents[agent].issued[entry]);
    }

    /// The entry that gets the next credit of an agent: the one with the oldest waiting task, else
    /// the one with fewer credits.
    std::size_t receiver(std::size_t agent)
    {
        const auto oldest = [&](std::size_t entry) {
            const auto &waiting = m_entries[entry].waiting;
            return waiting.empty() ? time_point::max() : waiting.front().submitted;
        };
        const auto rank = [&](std::size_t entry) {
            return std::pair{oldest(entry), outstanding(agent, entry)};
        };
        return rank(1) < rank(0) ? 1 : 0;
    }

    void issueCredits(std::size_t agent)
    {
        // Credits beyond the slots: fewer than agent_options::extraOrders, and none are reserved.
        constexpr std::uint64_t excess = 2;
        auto &state = m_agents[agent];
        const auto held =
                state.running + state.queued.size() + outstanding(agent, 0) + outstanding(agent, 1);
        for (auto count = held; count < slotsPerAgent + excess; ++count) {
            ++state.issued[receiver(agent)];
        }
    }

    void reportLoad(std::size_t agent)
    {
        const auto &state = m_agents[agent];
        for (std::size_t entry = 0; entry < entryCount; ++entry) {
            m_entries[entry].account.report(
                    idOf(agent), agent_load{"quotes", "graz", slotsPerAgent, state.running,
                                            static_cast<std::uint32_t>(state.queued.size()), false,
                                            1, state.issued[entry]});
        }
    }

    void placeTasks(simulated_entry &entry, time_point now)
    {
        while (!entry.waiting.empty()) {
            const auto chosen = entry.account.take("quotes", anyAgent);
            if (!chosen) {
                return;
            }
            const auto agent = static_cast<std::size_t>(*chosen) - 1;
            auto &state = m_agents[agent];
            if (state.running < slotsPerAgent) {
                begin(agent, entry.waiting.front(), now);
            } else {
                state.queued.push_back(entry.waiting.front());
            }
            entry.waiting.pop_front();
        }
    }

    generator m_random{4};
    arrivals m_arrivals{utilization * agentCount * slotsPerAgent / meanRunSeconds};
    std::array<simulated_entry, entryCount> m_entries;
    std::array<simulated_agent, agentCount> m_agents;
    std::priority_queue<task_end, std::vector<task_end>, std::greater<>> m_ends;
    std::vector<double> m_slowdowns;
};

template <placement_policy policy>
void simulatePlacement(benchmark::State &state)
{
    std::vector<double> slowdowns;
    for (auto _ : state) {
        slowdowns = placement_simulation{policy}.run();
    }
    setQuantiles(state, slowdowns);
}

// Ratios

/// Prints the usual table; printRatios() then prints each baseline divided by the
/// product's policy, ready_queue or credits.
class ratio_reporter : public benchmark::ConsoleReporter
{
public:
    ratio_reporter()
        : benchmark::ConsoleReporter{OO_Tabular}
    {}

    void ReportRuns(const std::vector<Run> &runs) override // NOLINT(readability-identifier-naming)
    {
        benchmark::ConsoleReporter::ReportRuns(runs);
        for (const auto &run : runs) {
            auto &values = m_values[run.run_name.function_name];
            values["time"] = run.GetAdjustedRealTime();
            for (const auto &[name, counter] : run.counters) {
                values[name] = counter.value;
            }
        }
    }

    void printRatios() const
    {
        print("cost/order/fifo", "cost/order/ready_queue", "time");
        print("play/order/fifo", "play/order/ready_queue", "median");
        print("play/order/fifo", "play/order/ready_queue", "p99");
        for (const auto *const baseline : {"random", "two_choices"}) {
            print(std::string{"cost/place/"} + baseline, "cost/place/credits", "time");
            print(std::string{"play/place/"} + baseline, "play/place/credits", "median");
            print(std::string{"play/place/"} + baseline, "play/place/credits", "p99");
        }
    }

private:
    void print(const std::string &baseline, const std::string &used, const std::string &value) const
    {
        const auto left = m_values.find(baseline);
        const auto right = m_values.find(used);
        if (left != m_values.end() && right != m_values.end()) {
            std::printf("ratio value=%s baseline=%s to=%s result=%.2f\n", value.c_str(),
                        baseline.c_str(), used.c_str(),
                        left->second.at(value) / right->second.at(value));
        }
    }

    std::map<std::string, std::map<std::string, double>> m_values;
};

template <placement_policy policy>
void registerPlacement()
{
    const std::string name{toText(policy)};
    benchmark::RegisterBenchmark(("cost/place/" + name).c_str(), takeCost<policy>);
    benchmark::RegisterBenchmark(("play/place/" + name).c_str(), simulatePlacement<policy>)
            ->Iterations(1)
            ->Unit(benchmark::kMillisecond);
}

template <typename queue_type>
void registerOrder(const std::string &name)
{
    benchmark::RegisterBenchmark(("cost/order/" + name).c_str(), orderCost<queue_type>);
    benchmark::RegisterBenchmark(("play/order/" + name).c_str(), simulateOrder<queue_type>)
            ->Iterations(1)
            ->Unit(benchmark::kMillisecond);
}

} // namespace

int main(int argc, char **argv)
{
    benchmark::Initialize(&argc, argv);
    if (benchmark::ReportUnrecognizedArguments(argc, argv)) {
        return 2;
    }
    registerOrder<fifo_queue>("fifo");
    registerOrder<ready_queue>("ready_queue");
    registerPlacement<placement_policy::random>();
    registerPlacement<placement_policy::two_choices>();
    registerPlacement<placement_policy::credits>();
    ratio_reporter reporter;
    benchmark::RunSpecifiedBenchmarks(&reporter);
    reporter.printRatios();
    benchmark::Shutdown();
    return 0;
}
