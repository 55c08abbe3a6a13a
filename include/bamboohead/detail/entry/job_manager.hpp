#pragma once

#include "bamboohead/detail/entry/context.hpp"

namespace bamboohead::detail {

/// @brief Life cycle of sessions and jobs in homes that this entry owns: acceptance, waiting
///        callers, end and expiry.
class job_manager
{
public:
    explicit job_manager(entry_context &context)
        : m_ctx{context}
    {}

    // Requests for homes that this entry owns as primary or after a takeover. `caller` is a local
    // caller or an entry that has forwarded the request.

    void openSession(caller_request request);
    void submit(const waiter &caller, job_submission submission);
    void query(const waiter &caller, const job_id &id);
    void cancel(const waiter &caller, const job_id &id);
    /// @brief Removes a local caller from the waiters of its job.
    void callerDisconnected(caller_request request);
    /// @brief Answers a local caller, or the entry that forwarded the request.
    void answer(const waiter &caller, job_answer answer);

    // Changes of jobs

    /// @brief Enters the phase `running`, so that the job's tasks may start.
    void run(job_record &job);
    /// @brief Ends the job as failed.
    /// @param detail Appended to the error message unless empty.
    void fail(job_record &job, error_kind kind, std::string detail = {});
    /// @brief Ends the job with all results.
    void complete(job_record &job);
    /// @brief Ends a job by deadline or cancellation. The answer is "not run" only when that is
    ///        proven. If the backup may have the record, it has to acknowledge a close first.
    void abandon(job_record &job, error_kind kind);
    /// @brief Handles the acknowledgement of a close by a backup that has not taken over the home.
    void closeConfirmed(job_record &job);
    /// @brief Ends the job with this answer, and sends it to the waiters and the backup.
    void end(job_record &job, job_answer answer);
    /// @brief Drops a home that its backup has taken over, and queries the backup for its waiting
    ///        requests.
    void homeFenced(const job_home &home);

    /// @brief Handles deadlines, timeouts and expiry.
    void tick();

private:
    primary_home &chooseHome();
    /// @brief Live entry to be the backup of new sessions; none when there is no suitable one.
    [[nodiscard]] incarnation_id chooseBackup() const;
    /// @brief Answers the caller, or adds it to the waiters, when the job or its outcome is known.
    /// @param hash Hash of the submitted content; null for a query or cancellation.
    /// @return False when the job is unknown.
    bool answerKnownJob(const waiter &caller, const job_id &id, const content_hash *hash);
    /// @brief Answers with `errorIfSessionValid`, with `session_expired` when the session is no
    ///        longer valid, or with `outcome_unknown` when this entry is not the session's primary
    ///        or doesn't store the session.
    void answerUnknownJob(const waiter &caller, const job_id &id, error_kind errorIfSessionValid);
    [[nodiscard]] bool sessionValid(const job_id &id);
    /// @brief Adds the caller to the job's waiters. A forwarding entry that waits for the end is
    ///        also answered that the job is accepted.
    void addWaiter(job_record &job, const waiter &caller);
    /// @brief Answers the waiters that only wait for the acceptance of the job.
    void answerAccepted(job_record &job);
    /// @brief Checks whether a new job can be accepted.
    /// @return The reason for a refusal, or nothing.
    [[nodiscard]] std::optional<error_kind> checkNew(const job_submission &submission,
                                                     const primary_home &home);
    /// @brief Whether no task can start in the home: the backup, which has to acknowledge each
    ///        agent of the scope, is not alive, and no agent that it has acknowledged is usable.
    [[nodiscard]] bool unschedulable(const primary_home &home) const;
    /// @brief Ends waiting jobs of a home that has been unschedulable for `unschedulableTimeout`.
    void endUnschedulableJobs(primary_home &home);
    /// @brief Whether any agent of the service is known, usable or not.
    [[nodiscard]] bool hasAgentOf(std::string_view service) const;
    [[nodiscard]] std::uint32_t usableSlots(const std::string &service);
    void refuse(const waiter &caller, const job_submission &submission, error_kind kind);
    void accept(const waiter &caller, job_submission submission, primary_home &home);
    void releaseUsage(job_record &job);
    /// @brief Sends a close for a job without orders, and waits for its acknowledgement before the
    ///        caller is answered.
    void startClosing(job_record &job, error_kind kind);
    void countOutcome(const job_answer &answer);

    struct cached_slots
    {
        std::uint32_t slots = 0;
        time_point until;
    };

    entry_context &m_ctx;
    std::uint64_t m_lastSession = 0;
    std::unordered_map<std::uint64_t, job_id> m_localWaiters; ///< jobs by request of local callers
    std::map<std::string, cached_slots, std::less<>> m_slots;
};

} // namespace bamboohead::detail
