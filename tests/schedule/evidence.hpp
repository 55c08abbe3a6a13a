#pragma once

#include "bamboohead/job.hpp"
#include "bamboohead/types.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bamboohead::schedule {

/// @brief Result that the fake target gives for a task.
[[nodiscard]] std::string resultOf(const job_id &job, std::size_t task);

/// @brief What happened in a run as seen from outside of the processes, and the invariants
///        (R1 to R9 of the design page) checked on it.
class evidence
{
public:
    // Facts

    void jobSubmitted(const job_id &job, std::size_t tasks);
    /// @brief A target began to run a task.
    void taskStarted(const task_ref &ref, const std::string &agent, const std::string &zone,
                     time_point now);
    void taskFailed(const task_ref &ref) { m_failedTasks[taskKey(ref)] = true; }
    void answered(const job_id &asked, const job_answer &answer);
    /// @brief Operators' change of a zone became known to the processes, or was revoked.
    void zoneOut(const std::string &zone, time_point now);
    void zoneIn(const std::string &zone) { m_outSince.erase(zone); }
    void targetLeaving(const std::string &agent, time_point now);
    void targetReady(const std::string &agent) { m_leavingSince.erase(agent); }
    void versionSeen(const std::string &process, incarnation_id incarnation, std::uint64_t version);
    /// @brief Adds a violation that was found elsewhere.
    void violated(const std::string &rule, const std::string &text);

    // Checks and results

    /// @brief Checks at the end of a run.
    /// @param answersDue Whether each job must have an answer by now.
    void checkEnd(bool answersDue);
    [[nodiscard]] const std::vector<std::string> &violations() const noexcept
    {
        return m_violations;
    }
    [[nodiscard]] std::size_t starts() const noexcept { return m_starts.size(); }
    [[nodiscard]] bool anyStarted(const job_id &job) const { return m_startedJobs.contains(job); }
    /// @brief Last answer of each submitted job; none when there was no answer.
    [[nodiscard]] const std::map<job_id, std::optional<job_answer>> &answers() const noexcept
    {
        return m_answers;
    }

private:
    using task_key = std::pair<job_id, std::uint32_t>;

    static task_key taskKey(const task_ref &ref) { return {ref.job, ref.task}; }
    void checkComplete(const job_id &job, const job_answer &answer);

    std::map<job_id, std::size_t> m_jobs;
    std::map<job_id, std::optional<job_answer>> m_answers;
    std::map<job_id, std::string> m_notRun; ///< jobs answered "not run", with the error
    std::map<task_key, std::string> m_starts;
    std::map<job_id, std::size_t> m_startedJobs;
    std::map<task_key, bool> m_failedTasks;
    std::map<std::string, time_point> m_outSince;
    std::map<std::string, time_point> m_leavingSince;
    std::map<incarnation_id, std::uint64_t> m_versions;
    std::vector<std::string> m_violations;
};

} // namespace bamboohead::schedule
