#include "bamboohead/detail/load/ideal.hpp"

#include <algorithm>
#include <functional>
#include <numeric>
#include <queue>
#include <set>
#include <tuple>
#include <utility>

namespace bamboohead::detail {

namespace {

struct running_task
{
    duration end{};
    std::size_t job = 0; ///< index among the jobs
    duration work{};     ///< run time

    bool operator>(const running_task &other) const
    {
        return std::tie(end, job) > std::tie(other.end, other.job);
    }
};

/// Event-driven simulation of the ideal queue.
class replay_simulation
{
public:
    replay_simulation(const std::vector<replay_job> &jobs,
                      const std::vector<capacity_step> &capacity, ideal_order order)
        : m_jobs{jobs}
        , m_capacity{capacity}
        , m_order{order}
        , m_states(jobs.size())
    {
        m_result.jobEnds.resize(jobs.size(), duration::max());
        for (std::size_t i = 0; i < jobs.size(); ++i) {
            // Tasks are started from the back, longest first, so that the job's last task ends as
            // early as possible.
            m_states[i].waiting = jobs[i].runTimes;
            std::ranges::sort(m_states[i].waiting);
            m_states[i].remaining = std::accumulate(jobs[i].runTimes.begin(),
                                                    jobs[i].runTimes.end(), duration::zero());
            m_states[i].unfinished = jobs[i].runTimes.size();
        }
    }

    replay_result run()
    {
        auto now = nextEvent();
        while (now != duration::max()) {
            processEvents(now);
            startTasks(now);
            now = nextEvent();
        }
        return std::move(m_result);
    }

private:
    struct job_state
    {
        std::vector<duration> waiting; ///< run times not started yet, shortest first
        duration remaining{};          ///< sum of `waiting`
        std::size_t unfinished = 0;    ///< tasks that have not ended
    };

    using rank = std::tuple<duration, std::size_t>;

    [[nodiscard]] rank rankOf(std::size_t job) const
    {
        const bool first = m_order == ideal_order::first_come;
        return {first ? m_jobs[job].at : m_states[job].remaining, job};
    }

    /// @return Time of the next arrival, capacity change or task end; `duration::max()` if none.
    [[nodiscard]] duration nextEvent() const
    {
        auto next = duration::max();
        if (m_nextJob < m_jobs.size()) {
            next = std::min(next, m_jobs[m_nextJob].at);
        }
        if (m_nextStep < m_capacity.size()) {
            next = std::min(next, m_capacity[m_nextStep].at);
        }
        if (!m_running.empty()) {
            next = std::min(next, m_running.top().end);
        }
        return next;
    }

    /// @brief Applies all events up to `now`.
    void processEvents(duration now)
    {
        for (; !m_running.empty() && m_running.top().end <= now; m_running.pop()) {
            endTask(m_running.top());
        }
        for (; m_nextStep < m_capacity.size() && m_capacity[m_nextStep].at <= now; ++m_nextStep) {
            m_slots = m_capacity[m_nextStep].slots;
        }
        for (; m_nextJob < m_jobs.size() && m_jobs[m_nextJob].at <= now; ++m_nextJob) {
            m_ready.insert(rankOf(m_nextJob));
        }
    }

    void endTask(const running_task &task)
    {
        m_result.taskEnds.push_back(task.end);
        m_result.taskWork.push_back(task.work);
        if (--m_states[task.job].unfinished == 0) {
            m_result.jobEnds[task.job] = task.end;
        }
    }

    void startTasks(duration now)
    {
        while (m_running.size() < m_slots && !m_ready.empty()) {
            const auto job = std::get<1>(*m_ready.begin());
            auto &state = m_states[job];
            m_ready.erase(m_ready.begin());
            const auto work = state.waiting.back();
            state.waiting.pop_back();
            state.remaining -= work;
            m_running.push({now + work, job, work});
            if (!state.waiting.empty()) {
                m_ready.insert(rankOf(job));
            }
        }
    }

    const std::vector<replay_job> &m_jobs;
    const std::vector<capacity_step> &m_capacity;
    ideal_order m_order;
    std::vector<job_state> m_states;
    std::set<rank> m_ready; ///< jobs with waiting tasks, in the order of service
    std::priority_queue<running_task, std::vector<running_task>, std::greater<>> m_running;
    std::size_t m_nextJob = 0;
    std::size_t m_nextStep = 0;
    std::uint32_t m_slots = 0;
    replay_result m_result;
};

} // namespace

replay_result replay(const std::vector<replay_job> &jobs,
                     const std::vector<capacity_step> &capacity, ideal_order order)
{
    return replay_simulation{jobs, capacity, order}.run();
}

duration idleResponseTime(std::vector<duration> runTimes, std::uint32_t slots)
{
    std::ranges::sort(runTimes, std::greater<>{});
    std::priority_queue<duration, std::vector<duration>, std::greater<>> free;
    for (std::uint32_t i = 0; i < slots; ++i) {
        free.push(duration::zero());
    }
    auto last = duration::zero();
    for (const auto runTime : runTimes) {
        const auto end = free.top() + runTime;
        free.pop();
        free.push(end);
        last = std::max(last, end);
    }
    return last;
}

} // namespace bamboohead::detail
