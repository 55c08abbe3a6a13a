#pragma once

#include "bamboohead/detail/entry/job_record.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

#include <deque>
#include <memory>
#include <unordered_map>

namespace bamboohead::detail {

/// @brief What remains of a job after its answer was dropped.
struct job_end
{
    content_hash hash;
    error_kind error = error_kind::none;
    job_outcome outcome = job_outcome::complete;
    bool mayHaveRun = false;
};

/// @brief One session and the outcomes of its ended jobs.
struct session_record
{
    session_id id;
    time_point opened;       ///< at the backup: when its first record arrived
    bool handedOver = false; ///< at the backup: an id without a record never ran and never will
    boost::unordered_flat_map<std::uint64_t, job_end> ends;
    std::vector<std::uint64_t> records; ///< backup: numbers of jobs recorded, for their removal
};

struct session_hash
{
    std::size_t operator()(const session_id &id) const noexcept { return hashValue(job_id{id, 0}); }
};

/// @brief Sessions and jobs with their expiry, each ordered by time. Holds no decisions.
class job_table
{
public:
    /// @brief The session, opened at `now` when it is not held yet.
    session_record &openSession(const session_id &id, time_point now);
    [[nodiscard]] session_record *findSession(const session_id &id);
    /// @brief Sessions of a home that were opened at `since` or later.
    [[nodiscard]] std::vector<std::uint64_t> sessionsOf(const job_home &home,
                                                        time_point since) const;

    /// @brief Adds a job with one task record a payload, all waiting.
    job_record &add(job_submission submission, home_owner owner, time_point now,
                    time_point deadline);
    [[nodiscard]] job_record *find(const job_id &id);
    /// @brief Moves a job to the end of the list of its phase.
    void enter(job_record &job, job_phase phase, time_point now);
    /// @brief Makes the job an ended one that holds only its answer.
    void end(job_record &job, job_answer answer, time_point now);
    /// @brief Records an outcome without a job, for example a refusal.
    void recordEnd(const job_id &id, const job_end &end, time_point now);
    void erase(const job_id &id);

    /// @brief Answer of an ended job.
    /// @return Nothing when the job is unknown or unfinished.
    [[nodiscard]] std::optional<job_answer> heldAnswer(const job_id &id);

    /// @brief Drops answers and sessions that reached their retention time.
    void expire(time_point now);

    [[nodiscard]] std::size_t unfinished() const noexcept { return m_unfinished; }
    [[nodiscard]] std::size_t sessionCount() const noexcept { return m_sessions.size(); }
    [[nodiscard]] const auto &jobs() const noexcept { return m_jobs; }

    phase_list recording;
    phase_list closing;
    close_list unacknowledgedCloses;
    deadline_set deadlines;
    std::vector<job_home> lostCloses; ///< homes with a close that expired unacknowledged

private:
    void expireSession(const session_id &id);
    void countUnfinished(job_phase before, job_phase after);

    std::unordered_map<job_id, std::unique_ptr<job_record>> m_jobs;
    std::unordered_map<session_id, session_record, session_hash> m_sessions;
    std::deque<std::pair<time_point, session_id>> m_sessionOrder;
    phase_list m_ended;
    std::size_t m_unfinished = 0; ///< jobs that this entry has to bring to an end
};

} // namespace bamboohead::detail
