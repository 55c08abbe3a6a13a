#pragma once

#include "schedule/fake_network.hpp"

namespace bamboohead::schedule {

/// @brief Behaviour of the callers in one run.
struct caller_options
{
    std::size_t jobs = 10;
    duration from = 3s;                ///< earliest first request, from the start of the run
    duration until = 15s;              ///< latest first request, from the start of the run
    std::uint64_t cancelPercent = 0;   ///< jobs that are cancelled within 3 s of their submission
    std::uint64_t resubmitPercent = 0; ///< answered jobs that are submitted again with the same id
    bool lateRequests = false;         ///< 5 % of the requests take up to 30 s to arrive
    duration deadline = 60s;
};

/// @brief Simulates callers. Each submits one job of 1 to 6 tasks, and submits it again through a
///        randomly chosen entry when it is not answered in time or its outcome is unknown.
class callers
{
public:
    callers(fake_network &network, invariant_checker &checker, const caller_options &options);

    /// @brief Whether each job has its final answer.
    [[nodiscard]] bool allAnswered() const;
    /// @brief Checks that each entry that has completed a graceful shutdown answered all the
    ///        job submissions that it received (docs/design.md, R8).
    void checkStoppedEntries() const;
    /// @brief Time of the first submission of each job.
    [[nodiscard]] const std::map<job_id, time_point> &submittedAt() const noexcept
    {
        return m_submittedAt;
    }

private:
    struct caller
    {
        std::optional<job_submission> job;
        std::size_t tasks = 1;
        std::uint64_t attempts = 0; ///< session requests, then submissions of the job
        bool done = false;          ///< has received its final answer
        bool resubmitted = false;   ///< its resubmission after the final answer is scheduled
    };

    struct sent_request
    {
        std::size_t caller = 0;
        job_id job;
        /// Entry that received the submission; none before, and for other kinds of requests.
        incarnation_id receivingEntry = incarnation_id::none;
        bool answered = false;
    };

    /// Reuses the session of another caller or requests one, and repeats this until the caller has
    /// a job.
    void requestSession(std::size_t index);
    void handleSession(const answer_session_request &answer);
    void submit(std::size_t index);
    void cancel(std::size_t index);
    void answered(const answer_caller &answer);
    /// Submits some of the answered jobs again.
    void maybeResubmit(std::size_t index);
    /// Submits the job again unless it is done or has been submitted since attempt `attempts`.
    void resubmitIfUnanswered(std::size_t index, std::uint64_t attempts);
    [[nodiscard]] std::string randomEntry();
    [[nodiscard]] duration requestDelay();
    /// @return The number of a new request of a caller.
    [[nodiscard]] caller_request addRequest(std::size_t index);

    fake_network &m_network;
    invariant_checker &m_checker;
    caller_options m_options;
    std::vector<caller> m_callers;
    std::vector<sent_request> m_requests;      ///< by caller_request
    std::optional<session_id> m_sharedSession; ///< session of the newest job, for other callers
    std::uint64_t m_lastJobNumber = 0;
    std::map<job_id, time_point> m_submittedAt;
};

} // namespace bamboohead::schedule
