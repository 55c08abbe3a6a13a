#pragma once

#include "bamboohead/detail/entry/context.hpp"

namespace bamboohead::detail {

/// @brief Operation of a forwarded request; the values are part of the wire format.
enum class job_verb : std::uint8_t { submit = 1, query = 2, cancel = 3 };

/// @brief A request that is served locally, or forwarded to an entry of the job's home and not
///        answered yet.
struct pending_forward
{
    std::uint64_t request = 0; ///< number of the forwarded request, unique in this entry
    waiter caller;             ///< who is answered: a local caller or the forwarding entry
    job_verb verb = job_verb::query;
    job_id id;
    job_submission submission; ///< only for submit
    bool accepted = false;     ///< the receiver has confirmed the submission; resends are queries
    time_point sent;           ///< last attempt to send
    std::optional<time_point> unreachableSince; ///< set while no entry of the home is reachable
    list_hook sentHook;                         ///< pending requests by `sent`
};

/// @brief Routes requests to the local job_manager when this entry owns the job's home, otherwise
///        to an entry of that home.
class forwarder
{
public:
    explicit forwarder(entry_context &context)
        : m_ctx{context}
    {}

    // Requests of `caller`, which is a local caller or an entry that has forwarded the request

    void submit(const waiter &caller, job_submission submission);
    void query(const waiter &caller, const job_id &id);
    void cancel(const waiter &caller, const job_id &id);
    /// @brief Drops the pending requests of a local caller.
    void callerDisconnected(caller_request request);

    /// @brief Handles a request that another entry forwarded.
    /// @param age Upper bound of the message's age; submissions that are older than
    ///        forwardAgeLimit, or of unknown age, are dropped.
    void receive(incarnation_id sender, std::optional<duration> age,
                 const wire::JobForward &forward);
    /// @brief Handles the answer to a request that this entry forwarded.
    void receive(const wire::JobReply &reply);

    /// @brief Serves the pending requests of a home that this entry has taken over.
    void homeTakenOver(const job_home &home);
    /// @brief Answers all pending requests with `outcome_unknown`, at the end of a shutdown.
    void failAll();
    /// @brief Resends requests without answer, and fails those whose home is unreachable.
    void tick();

    [[nodiscard]] std::size_t pending() const noexcept { return m_pending.size(); }

private:
    using sent_list = intrusive::list<
            pending_forward,
            intrusive::member_hook<pending_forward, list_hook, &pending_forward::sentHook>,
            intrusive::constant_time_size<false>>;

    /// @brief Whether this entry is the home's primary and does not know of a takeover by the
    ///        backup (home_table::fenced), or is its backup after the begin of a takeover.
    [[nodiscard]] bool ownsHome(const job_home &home);
    /// @brief Other entry to which requests for the home go: the primary, else the backup, if
    ///        alive; none when there is no such entry.
    [[nodiscard]] incarnation_id receiverOf(const job_home &home) const;
    /// @brief Serves the request here if this entry owns the home or has the answer, otherwise
    ///        stores and routes it. A repeated request of the same waiter is ignored.
    void start(pending_forward forward);
    /// @brief Passes the request to the local job_manager.
    void serve(pending_forward &forward);
    /// @brief Sends the request, or fails it after `homeUnreachableLimit` without a receiver.
    void route(pending_forward &forward);
    void send(pending_forward &forward, incarnation_id receiver);
    /// @brief Removes a pending request, and answers it.
    void finish(std::uint64_t request, job_answer answer);

    entry_context &m_ctx;
    std::uint64_t m_lastRequest = 0;
    std::unordered_map<std::uint64_t, pending_forward> m_pending;
    std::unordered_map<waiter, std::uint64_t, waiter_hash> m_byCaller;
    sent_list m_sent;
};

} // namespace bamboohead::detail
