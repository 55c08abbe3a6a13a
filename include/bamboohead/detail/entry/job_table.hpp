#pragma once

#include "bamboohead/detail/entry/job_record.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

#include <deque>
#include <memory>
#include <unordered_map>

namespace bamboohead::detail {

/// @brief Outcome of an ended job, which is kept longer than its answer.
struct job_end
{
    content_hash hash; ///< of the submission; zero when none was received
    error_kind error = error_kind::none;
    job_outcome outcome = job_outcome::complete;
    bool mayHaveRun = false;
};

/// @brief A session and the outcomes of its ended jobs.
struct session_record
{
    session_id id;
    time_point opened; ///< at the backup: when the first message about it arrived
    /// @brief At the backup, set by a primary that stopped gracefully: a job without a record has
    ///        never run and never will.
    bool handedOver = false;
    boost::unordered_flat_map<std::uint64_t, job_end> ends; ///< outcomes by job number
    std::vector<std::uint64_t> records; ///< at the backup: numbers of the recorded jobs
};

struct session_hash
{
    std::size_t operator()(const session_id &id) const noexcept { return hashValue(job_id{id, 0}); }
};

/// @brief Storage of sessions and jobs, with lists of them ordered by time for timeouts and expiry.
class job_table
{
public:
    /// @brief Finds the session, or adds it as opened at `now`.
    session_record &openSession(const session_id &id, time_point now);
    /// @return Null when the session is unknown.
    [[nodiscard]] session_record *findSession(const session_id &id);
    /// @brief Numbers of the sessions of a home that were opened at `since` or later.
    [[nodiscard]] std::vector<std::uint64_t> sessionsOf(const job_home &home,
                                                        time_point since) const;

    /// @brief Adds a job with one waiting task per payload.
    job_record &add(job_submission submission, home_owner owner, time_point now,
                    time_point deadline);
    /// @return Null when the job is unknown.
    [[nodiscard]] job_record *find(const job_id &id);
    /// @brief Changes the phase of a job, and appends the job to the list of that phase.
    void setPhase(job_record &job, job_phase phase, time_point now);
    /// @brief Ends the job, of which only the answer and the outcome are kept.
    void end(job_record &job, job_answer answer, time_point now);
    /// @brief Stores the outcome of a job id that may have no job_record, for example a refusal.
    void recordEnd(const job_id &id, const job_end &end, time_point now);
    void erase(const job_id &id);

    /// @brief Answer of an ended job. After its retention time only the outcome is known; a job
    ///        that ended with all results then gives the error `answer_expired`.
    /// @return Nothing when the job is unknown or unfinished.
    [[nodiscard]] std::optional<job_answer> storedAnswer(const job_id &id);

    /// @brief Drops answers and sessions that have exceeded their retention time.
    void expire(time_point now);

    [[nodiscard]] std::size_t unfinished() const noexcept { return m_unfinished; }
    [[nodiscard]] std::size_t sessionCount() const noexcept { return m_sessions.size(); }
    [[nodiscard]] const auto &jobs() const noexcept { return m_jobs; }

    phase_list recording;
    phase_list closing;
    close_list unacknowledgedCloses;
    deadline_set deadlines;              ///< jobs that end at their deadline
    std::vector<job_home> expiredCloses; ///< homes with a close that expired unacknowledged

private:
    void expireSession(const session_id &id);
    void countUnfinished(job_phase before, job_phase after);

    std::unordered_map<job_id, std::unique_ptr<job_record>> m_jobs;
    std::unordered_map<session_id, session_record, session_hash> m_sessions;
    std::deque<std::pair<time_point, session_id>> m_sessionsByTime;
    phase_list m_ended;
    std::size_t m_unfinished = 0; ///< jobs that have not ended, without the backup's records
};

} // namespace bamboohead::detail
