#pragma once

#include "bamboohead/detail/entry/context.hpp"

namespace bamboohead::detail {

/// @brief Life of jobs whose evidence this entry holds: sessions, acceptance, waiters, end.
class job_keeper
{
public:
    explicit job_keeper(entry_context &context)
        : m_ctx{context}
    {}

    // Requests; the home is this entry's, as primary or after a takeover

    void openSession(caller_request request);
    void submit(const waiter &caller, job_submission submission);
    void query(const waiter &caller, const job_id &id);
    void cancel(const waiter &caller, const job_id &id);
    /// @brief Forgets a local caller.
    void callerGone(caller_request request);
    /// @brief Answers a local caller, or the entry that forwarded the request.
    void answer(const waiter &caller, job_answer answer);

    // Changes of jobs

    /// @brief The job's tasks may start from now on.
    void run(job_record &job);
    /// @brief Ends the job as failed.
    void fail(job_record &job, error_kind kind, std::string detail = {});
    /// @brief Ends the job with all results.
    void complete(job_record &job);
    /// @brief Ends a job by deadline or cancellation; claims "not run" only when that is proven.
    void abandon(job_record &job, error_kind kind);
    /// @brief The backup confirmed a close before any takeover.
    void closeConfirmed(job_record &job);
    /// @brief Ends the job with this answer.
    void end(job_record &job, job_answer answer);
    /// @brief The backup has taken the home over: drops it and passes its waiters on.
    void homeFenced(const job_home &home);

    /// @brief Deadlines, timeouts and expiry.
    void tick();

private:
    primary_home &chooseHome();
    [[nodiscard]] incarnation_id chooseBackup() const;
    bool answerKnown(const waiter &caller, const job_id &id, const content_hash *hash);
    void answerUnknown(const waiter &caller, const job_id &id, error_kind whileSessionLives);
    [[nodiscard]] bool sessionLives(const job_id &id);
    void attach(job_record &job, const waiter &caller);
    void answerAccepted(job_record &job);
    [[nodiscard]] std::optional<error_kind> checkNew(const job_submission &submission,
                                                     const primary_home &home);
    /// @brief Whether no task can start in the home: the backup, which has to acknowledge each
    ///        agent of the scope, is dead, and none that it acknowledged is left.
    [[nodiscard]] bool stranded(const primary_home &home) const;
    void endStranded(primary_home &home);
    [[nodiscard]] bool serviceKnown(std::string_view service) const;
    [[nodiscard]] std::uint32_t usableSlots(const std::string &service);
    void refuse(const waiter &caller, const job_submission &submission, error_kind kind);
    void accept(const waiter &caller, job_submission submission, primary_home &home);
    void releaseUsage(job_record &job);
    void startClosing(job_record &job, error_kind kind);
    void count(const job_answer &answer);

    struct cached_slots
    {
        std::uint32_t slots = 0;
        time_point until;
    };

    entry_context &m_ctx;
    std::uint64_t m_lastSession = 0;
    std::unordered_map<std::uint64_t, job_id> m_localWaiters;
    std::map<std::string, cached_slots, std::less<>> m_slots;
};

} // namespace bamboohead::detail
