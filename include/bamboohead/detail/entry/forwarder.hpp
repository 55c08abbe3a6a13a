#pragma once

#include "bamboohead/detail/entry/context.hpp"

namespace bamboohead::detail {

enum class job_verb : std::uint8_t { submit = 1, query = 2, cancel = 3 };

/// @brief A request on its way to the home of its job.
struct pending_forward
{
    std::uint64_t request = 0;
    waiter caller;
    job_verb verb = job_verb::query;
    job_id id;
    job_submission submission; ///< only for submit
    bool accepted = false;     ///< the receiver holds the request; resent as a query
    time_point sent;
    std::optional<time_point> unreachableSince;
    list_hook sentHook;
};

/// @brief Routes requests: to this entry's own jobs, or to the entries of the job's home.
class forwarder
{
public:
    explicit forwarder(entry_context &context)
        : m_ctx{context}
    {}

    void submit(const waiter &caller, job_submission submission);
    void query(const waiter &caller, const job_id &id);
    void cancel(const waiter &caller, const job_id &id);
    void callerGone(caller_request request);

    void receive(incarnation_id sender, std::optional<duration> age,
                 const wire::JobForward &forward);
    void receive(const wire::JobReply &reply);

    /// @brief This entry has taken the home over: serves the requests that waited for that.
    void homeTaken(const job_home &home);
    /// @brief Gives up all requests; used at the end of a shutdown.
    void answerAll();
    /// @brief Resends and timeouts.
    void tick();

    [[nodiscard]] std::size_t pending() const noexcept { return m_pending.size(); }

private:
    using sent_list = intrusive::list<
            pending_forward,
            intrusive::member_hook<pending_forward, list_hook, &pending_forward::sentHook>,
            intrusive::constant_time_size<false>>;

    [[nodiscard]] bool servedHere(const job_home &home);
    [[nodiscard]] incarnation_id target(const job_home &home) const;
    void start(pending_forward forward);
    void serve(pending_forward &forward);
    void check(pending_forward &forward);
    void send(pending_forward &forward, incarnation_id receiver);
    void finish(std::uint64_t request, job_answer answer);

    entry_context &m_ctx;
    std::uint64_t m_lastRequest = 0;
    std::unordered_map<std::uint64_t, pending_forward> m_pending;
    std::unordered_map<waiter, std::uint64_t, waiter_hash> m_byCaller;
    sent_list m_sent;
};

} // namespace bamboohead::detail
