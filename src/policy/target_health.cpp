#include "bamboohead/target_health.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bamboohead {

namespace {

/// Period over which ended tasks are counted.
constexpr duration healthWindow = std::chrono::seconds{10};

/// Failures of distinct jobs that one agent must show; fewer prove nothing.
constexpr std::uint32_t minFailedJobs = 3;

/// Failure ratio of a suspended agent against that of the others.
constexpr double minRatioToOthers = 5.0;

constexpr duration firstSuspension = std::chrono::seconds{1};
constexpr duration maxSuspension = std::chrono::seconds{60};

/// Time after which a probe without an end is taken as lost, for example refused before its
/// start, and another one is allowed.
constexpr duration probeTimeout = std::chrono::seconds{10};

/// Jobs seen in the window, each counted once an agent.
struct job_counts
{
    std::int64_t ended = 0;
    std::int64_t failed = 0; ///< without jobs that failed on several agents

    [[nodiscard]] double ratio() const
    {
        return ended == 0 ? 0.0 : static_cast<double>(failed) / static_cast<double>(ended);
    }
};

/// What a job did on one agent.
struct job_on_agent
{
    time_point seen;
    bool failed = false;
};

struct suspension
{
    duration length = firstSuspension;
    time_point until;
    std::optional<time_point> probeSent;
};

struct agent_history
{
    std::unordered_map<job_id, job_on_agent> jobs;
    job_counts counts;
    std::optional<suspension> suspended;
};

/// Agents on which a job failed.
struct job_failures
{
    std::vector<incarnation_id> agents;
    bool excluded = false; ///< failed on several agents, so it is held against none
};

struct seen_job
{
    time_point seen;
    incarnation_id agent;
    job_id job;
};

} // namespace

class target_health::implementation
{
public:
    void taskEnded(incarnation_id agent, const job_id &job, bool failed, time_point now);
    void orderSent(incarnation_id agent, time_point now);
    [[nodiscard]] bool usable(incarnation_id agent, time_point now) const;
    void remove(incarnation_id agent);

private:
    void expire(time_point now);
    void forget(incarnation_id agent, const job_id &job, const job_on_agent &seen);
    void recordEnd(incarnation_id agent, const job_id &job, time_point now);
    void recordFailure(incarnation_id agent, const job_id &job, time_point now);
    void exclude(job_failures &failures);
    void countFailure(agent_history &history, std::int64_t delta);
    [[nodiscard]] bool suspicious(const agent_history &history) const;
    void clearHistory(incarnation_id agent, agent_history &history);
    void probeEnded(incarnation_id agent, const job_id &job, bool failed, time_point now);
    [[nodiscard]] bool excluded(const job_id &job) const;

    std::unordered_map<incarnation_id, agent_history> m_agents;
    std::unordered_map<job_id, job_failures> m_failures;
    std::deque<seen_job> m_seen; ///< oldest first
    job_counts m_total;
};

void target_health::implementation::countFailure(agent_history &history, std::int64_t delta)
{
    history.counts.failed += delta;
    m_total.failed += delta;
}

bool target_health::implementation::excluded(const job_id &job) const
{
    const auto found = m_failures.find(job);
    return found != m_failures.end() && found->second.excluded;
}

void target_health::implementation::forget(incarnation_id agent, const job_id &job,
                                           const job_on_agent &seen)
{
    auto &history = m_agents.at(agent);
    --history.counts.ended;
    --m_total.ended;
    if (!seen.failed) {
        return;
    }
    const auto found = m_failures.find(job);
    if (!found->second.excluded) {
        countFailure(history, -1);
    }
    std::erase(found->second.agents, agent);
    if (found->second.agents.empty()) {
        m_failures.erase(found);
    }
}

void target_health::implementation::expire(time_point now)
{
    while (!m_seen.empty() && now - m_seen.front().seen > healthWindow) {
        const auto oldest = m_seen.front();
        m_seen.pop_front();
        const auto agent = m_agents.find(oldest.agent);
        if (agent == m_agents.end()) {
            continue;
        }
        auto &jobs = agent->second.jobs;
        const auto job = jobs.find(oldest.job);
        if (job != jobs.end() && job->second.seen == oldest.seen) {
            forget(oldest.agent, oldest.job, job->second);
            jobs.erase(job);
        }
    }
}

void target_health::implementation::recordEnd(incarnation_id agent, const job_id &job,
                                              time_point now)
{
    auto &history = m_agents[agent];
    if (history.jobs.try_emplace(job, job_on_agent{now, false}).second) {
        ++history.counts.ended;
        ++m_total.ended;
        m_seen.push_back(seen_job{now, agent, job});
    }
}

void target_health::implementation::exclude(job_failures &failures)
{
    failures.excluded = true;
    for (const auto agent : failures.agents) {
        auto &history = m_agents.at(agent);
        countFailure(history, -1);
    }
    for (const auto agent : failures.agents) {
        auto &history = m_agents.at(agent);
        const bool first = history.suspended && history.suspended->length == firstSuspension;
        if (first && !suspicious(history)) {
            history.suspended.reset();
        }
    }
}

void target_health::implementation::recordFailure(incarnation_id agent, const job_id &job,
                                                  time_point now)
{
    auto &history = m_agents.at(agent);
    auto &seen = history.jobs.at(job);
    if (seen.failed) {
        return;
    }
    if (seen.seen != now) {
        m_seen.push_back(seen_job{now, agent, job});
    }
    seen = job_on_agent{now, true};
    auto &failures = m_failures[job];
    failures.agents.push_back(agent);
    if (failures.excluded) {
        return;
    }
    countFailure(history, 1);
    if (failures.agents.size() > 1) {
        exclude(failures);
    }
}

bool target_health::implementation::suspicious(const agent_history &history) const
{
    if (m_agents.size() < 2 || history.counts.failed < minFailedJobs) {
        return false;
    }
    const job_counts others{m_total.ended - history.counts.ended,
                            m_total.failed - history.counts.failed};
    return history.counts.ratio() > minRatioToOthers * others.ratio();
}

void target_health::implementation::clearHistory(incarnation_id agent, agent_history &history)
{
    for (const auto &[job, seen] : history.jobs) {
        forget(agent, job, seen);
    }
    history.jobs.clear();
}

void target_health::implementation::probeEnded(incarnation_id agent, const job_id &job, bool failed,
                                               time_point now)
{
    auto &history = m_agents.at(agent);
    auto &state = *history.suspended;
    state.probeSent.reset();
    if (!failed) {
        history.suspended.reset();
        clearHistory(agent, history);
    } else if (!excluded(job)) {
        state.length = std::min(2 * state.length, maxSuspension);
        state.until = now + state.length;
    }
}

void target_health::implementation::taskEnded(incarnation_id agent, const job_id &job, bool failed,
                                              time_point now)
{
    expire(now);
    recordEnd(agent, job, now);
    if (failed) {
        recordFailure(agent, job, now);
    }
    auto &history = m_agents.at(agent);
    if (history.suspended) {
        if (history.suspended->probeSent) {
            probeEnded(agent, job, failed, now);
        }
    } else if (failed && suspicious(history)) {
        history.suspended = suspension{firstSuspension, now + firstSuspension, std::nullopt};
    }
}

void target_health::implementation::orderSent(incarnation_id agent, time_point now)
{
    auto &state = m_agents[agent].suspended;
    if (state && now >= state->until) {
        state->probeSent = now;
    }
}

bool target_health::implementation::usable(incarnation_id agent, time_point now) const
{
    const auto found = m_agents.find(agent);
    if (found == m_agents.end() || !found->second.suspended) {
        return true;
    }
    const auto &state = *found->second.suspended;
    if (state.probeSent) {
        return now - *state.probeSent > probeTimeout;
    }
    return now >= state.until;
}

void target_health::implementation::remove(incarnation_id agent)
{
    const auto found = m_agents.find(agent);
    if (found != m_agents.end()) {
        clearHistory(agent, found->second);
        m_agents.erase(found);
    }
}

target_health::target_health()
    : m_impl{std::make_unique<implementation>()}
{}

target_health::~target_health() = default;
target_health::target_health(target_health &&) noexcept = default;

void target_health::taskEnded(incarnation_id agent, const job_id &job, bool failed, time_point now)
{
    m_impl->taskEnded(agent, job, failed, now);
}

void target_health::orderSent(incarnation_id agent, time_point now)
{
    m_impl->orderSent(agent, now);
}

bool target_health::usable(incarnation_id agent, time_point now) const
{
    return m_impl->usable(agent, now);
}

void target_health::remove(incarnation_id agent)
{
    m_impl->remove(agent);
}

} // namespace bamboohead
