#pragma once

#include "bamboohead/job.hpp"
#include "bamboohead/types.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bamboohead::schedule {

/// @brief Result that the simulated target returns for a task that did not fail.
[[nodiscard]] std::string expectedResult(const job_id &job, std::size_t task);

/// @brief Records the events of a run as seen from outside the processes, and checks the invariants
///        R1 to R5, R7 and R9 of docs/design.md against them. Violations that other parts of the
///        simulation find, such as those of R8, are recorded with reportViolation().
class invariant_checker
{
public:
    // Events

    void jobSubmitted(const job_id &job, std::size_t tasks);
    /// @brief A target has started a task.
    void taskStarted(const task_ref &ref, const std::string &agent, const std::string &zone,
                     time_point now);
    void taskFailed(const task_ref &ref) { m_failedTasks[taskKey(ref)] = true; }
    /// @brief A caller has received the answer to a request for the job `requested`.
    void answered(const job_id &requested, const job_answer &answer);
    /// @brief A connected entry can know since `now` that operators took a zone out. zoneIn(): the
    ///        zone was put back in.
    void zoneOut(const std::string &zone, time_point now);
    void zoneIn(const std::string &zone) { m_outSince.erase(zone); }
    /// @brief An agent's target begins to leave; its next announcement says so. targetReady(): the
    ///        target is ready again.
    void targetLeaving(const std::string &agent, time_point now);
    void targetReady(const std::string &agent) { m_leavingSince.erase(agent); }
    /// @brief A process has reported its configuration version in a heartbeat.
    void versionSeen(const std::string &process, incarnation_id incarnation, std::uint64_t version);
    /// @brief Records a violation.
    /// @param rule Number of the violated rule in docs/design.md, for example "R1".
    void reportViolation(const std::string &rule, const std::string &text);

    // Checks and results

    /// @brief Checks at the end of a run that no job is left without an answer.
    /// @param answersDue Whether each job must have an answer by now; false: checks nothing.
    void checkEnd(bool answersDue);
    /// @brief Violations so far, as "rule: text".
    [[nodiscard]] const std::vector<std::string> &violations() const noexcept
    {
        return m_violations;
    }
    /// @brief Number of tasks that were started.
    [[nodiscard]] std::size_t starts() const noexcept { return m_starts.size(); }
    /// @brief Whether a task of the job was started.
    [[nodiscard]] bool anyStarted(const job_id &job) const { return m_startedJobs.contains(job); }
    /// @brief Last answer to each submitted job, or the first complete one if there was one; none
    ///        if there was no answer other than "pending".
    [[nodiscard]] const std::map<job_id, std::optional<job_answer>> &answers() const noexcept
    {
        return m_answers;
    }

private:
    using task_key = std::pair<job_id, std::uint32_t>;

    static task_key taskKey(const task_ref &ref) { return {ref.job, ref.task}; }
    void checkComplete(const job_id &job, const job_answer &answer);

    std::map<job_id, std::size_t> m_jobs; ///< number of tasks of each submitted job
    std::map<job_id, std::optional<job_answer>> m_answers;
    std::map<job_id, std::string> m_notRun;      ///< error of each job answered as not run
    std::map<task_key, std::string> m_starts;    ///< agent of the first start
    std::map<job_id, std::size_t> m_startedJobs; ///< number of starts
    std::map<task_key, bool> m_failedTasks;
    std::map<std::string, time_point> m_outSince;
    std::map<std::string, time_point> m_leavingSince;
    std::map<incarnation_id, std::uint64_t> m_versions; ///< newest reported version
    std::vector<std::string> m_violations;
};

} // namespace bamboohead::schedule
