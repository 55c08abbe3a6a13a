#pragma once

#include "schedule/fake_network.hpp"

namespace bamboohead::schedule {

/// @brief Choices about callers in one run.
struct caller_options
{
    std::size_t jobs = 10;
    duration from = 3s; ///< jobs begin in this interval of the run
    duration until = 15s;
    std::uint64_t cancelPercent = 0;
    std::uint64_t lateCopyPercent = 0; ///< an answered job is submitted again under its id
    bool lateRequests = false;         ///< some requests arrive up to 30 s late
    duration deadline = 60s;
};

/// @brief Callers that submit jobs of 1 to 6 tasks, and submit them again through other entries
///        when no answer comes or the outcome is unknown.
class callers
{
public:
    callers(fake_network &network, evidence &facts, const caller_options &options);

    /// @brief Whether each job has its last answer.
    [[nodiscard]] bool allAnswered() const;
    /// @brief R8: an entry that exits after a graceful stop has answered all its requests.
    void checkStopped() const;
    /// @brief When a job was first submitted.
    [[nodiscard]] const std::map<job_id, time_point> &submittedAt() const noexcept
    {
        return m_submittedAt;
    }

private:
    struct caller
    {
        std::optional<job_submission> job;
        std::size_t tasks = 1;
        std::uint64_t tries = 0;
        bool done = false;
        bool copied = false;
    };

    struct sent_request
    {
        std::size_t caller = 0;
        job_id job;
        incarnation_id taker = incarnation_id::none; ///< entry that received it
        bool answered = false;
    };

    void open(std::size_t index);
    void opened(const session_answer &answer);
    void submit(std::size_t index);
    void cancel(std::size_t index);
    void answered(const answer_caller &answer);
    void maybeCopy(std::size_t index);
    void checkTimeout(std::size_t index, std::uint64_t tries);
    [[nodiscard]] std::string anyEntry();
    [[nodiscard]] duration requestDelay();
    [[nodiscard]] caller_request add(std::size_t index);

    fake_network &m_network;
    evidence &m_evidence;
    caller_options m_options;
    std::vector<caller> m_callers;
    std::vector<sent_request> m_requests; ///< by caller_request
    std::optional<session_id> m_shared;
    std::uint64_t m_lastNumber = 0;
    std::map<job_id, time_point> m_submittedAt;
};

} // namespace bamboohead::schedule
