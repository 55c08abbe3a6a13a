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

/// Number of distinct jobs that have to fail on an agent before it is suspended; fewer are not
/// significant.
constexpr std::uint32_t minFailedJobs = 3;

/// Failure ratio above which an agent is suspended, as a multiple of the ratio of the other agents.
constexpr double minRatioToOthers = 5.0;

constexpr duration firstSuspension = std::chrono::seconds{1};
constexpr duration maxSuspension = std::chrono::seconds{60};

/// Time after which a probe that has not ended is considered lost, for example because it was
/// refused before its start, and another probe is allowed.
constexpr duration probeTimeout = std::chrono::seconds{10};

/// Number of jobs of which a task ended within healthWindow, each counted once per agent.
struct job_counts
{
    std::int64_t ended = 0;
    std::int64_t failed = 0; ///< excludes jobs that failed on several agents

    /// @return Failed part of the jobs, 0 to 1; 0 when none ended.
    [[nodiscard]] double ratio() const
    {
        return ended == 0 ? 0.0 : static_cast<double>(failed) / static_cast<double>(ended);
    }
};

/// Result of a job on one agent.
struct job_record
{
    time_point recordedAt; ///< time of the first end, or of the first failure if any
    bool failed = false;
};

struct suspension
{
    duration length = firstSuspension;
    time_point until;
    std::optional<time_point> probeSent; ///< set while a probe runs
};

struct agent_history
{
    std::unordered_map<job_id, job_record> jobs;
    job_counts counts;
    std::optional<suspension> suspended;
};

/// Agents on which a job failed.
struct job_failures
{
    std::vector<incarnation_id> agents;
    bool excluded = false; ///< failed on several agents, so it counts as a failure of none
};

/// Element of the expiry queue: a job result and the time at which it was recorded.
struct expiry_record
{
    time_point recordedAt;
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
    void removeRecord(incarnation_id agent, const job_id &job, const job_record &jobRecord);
    void recordEnd(incarnation_id agent, const job_id &job, time_point now);
    void recordFailure(incarnation_id agent, const job_id &job, time_point now);
    /// @brief Excludes a job that failed on several agents from their failure counts. Ends the
    ///        suspension of an agent whose other failures do not justify it, if that suspension is
    ///        still the first one (firstSuspension).
    void exclude(job_failures &failures);
    void countFailure(agent_history &history, std::int64_t delta);
    [[nodiscard]] bool failsTooOften(const agent_history &history) const;
    void clearHistory(incarnation_id agent, agent_history &history);
    void probeEnded(incarnation_id agent, const job_id &job, bool failed, time_point now);
    [[nodiscard]] bool excluded(const job_id &job) const;

    std::unordered_map<incarnation_id, agent_history> m_agents;
    std::unordered_map<job_id, job_failures> m_failures;
    std::deque<expiry_record> m_expiryQueue; ///< oldest first
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

void target_health::implementation::removeRecord(incarnation_id agent, const job_id &job,
                                                 const job_record &jobRecord)
{
    auto &history = m_agents.at(agent);
    --history.counts.ended;
    --m_total.ended;
    if (!jobRecord.failed) {
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
    while (!m_expiryQueue.empty() && now - m_expiryQueue.front().recordedAt > healthWindow) {
        const auto oldest = m_expiryQueue.front();
        m_expiryQueue.pop_front();
        const auto agent = m_agents.find(oldest.agent);
        if (agent == m_agents.end()) {
            continue;
        }
        auto &jobs = agent->second.jobs;
        const auto job = jobs.find(oldest.job);
        if (job != jobs.end() && job->second.recordedAt == oldest.recordedAt) {
            removeRecord(oldest.agent, oldest.job, job->second);
            jobs.erase(job);
        }
    }
}

void target_health::implementation::recordEnd(incarnation_id agent, const job_id &job,
                                              time_point now)
{
    auto &history = m_agents[agent];
    if (history.jobs.try_emplace(job, job_record{now, false}).second) {
        ++history.counts.ended;
        ++m_total.ended;
        m_expiryQueue.push_back(expiry_record{now, agent, job});
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
        const bool isFirst = history.suspended && history.suspended->length == firstSuspension;
        if (isFirst && !failsTooOften(history)) {
            history.suspended.reset();
        }
    }
}

void target_health::implementation::recordFailure(incarnation_id agent, const job_id &job,
                                                  time_point now)
{
    auto &history = m_agents.at(agent);
    auto &jobRecord = history.jobs.at(job);
    if (jobRecord.failed) {
        return;
    }
    if (jobRecord.recordedAt != now) {
        m_expiryQueue.push_back(expiry_record{now, agent, job});
    }
    jobRecord = job_record{now, true};
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

bool target_health::implementation::failsTooOften(const agent_history &history) const
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
    for (const auto &[job, jobRecord] : history.jobs) {
        removeRecord(agent, job, jobRecord);
    }
    history.jobs.clear();
}

void target_health::implementation::probeEnded(incarnation_id agent, const job_id &job, bool failed,
                                               time_point now)
{
    auto &history = m_agents.at(agent);
    auto &activeSuspension = *history.suspended;
    activeSuspension.probeSent.reset();
    if (!failed) {
        history.suspended.reset();
        clearHistory(agent, history);
    } else if (!excluded(job)) {
        activeSuspension.length = std::min(2 * activeSuspension.length, maxSuspension);
        activeSuspension.until = now + activeSuspension.length;
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
    } else if (failed && failsTooOften(history)) {
        history.suspended = suspension{firstSuspension, now + firstSuspension, std::nullopt};
    }
}

void target_health::implementation::orderSent(incarnation_id agent, time_point now)
{
    auto &activeSuspension = m_agents[agent].suspended;
    if (activeSuspension && now >= activeSuspension->until) {
        activeSuspension->probeSent = now;
    }
}

bool target_health::implementation::usable(incarnation_id agent, time_point now) const
{
    const auto found = m_agents.find(agent);
    if (found == m_agents.end() || !found->second.suspended) {
        return true;
    }
    const auto &activeSuspension = *found->second.suspended;
    if (activeSuspension.probeSent) {
        return now - *activeSuspension.probeSent > probeTimeout;
    }
    return now >= activeSuspension.until;
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
