#pragma once

#include "bamboohead/agent_core.hpp"
#include "bamboohead/detail/agent/credit_ledger.hpp"
#include "bamboohead/detail/agent/entry_set.hpp"
#include "bamboohead/detail/agent/task_table.hpp"
#include "bamboohead/detail/probing.hpp"

#include <initializer_list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bamboohead {

/// @brief Maximum age of an order or a task query. An older order is refused as stale, an older
///        query is dropped.
inline constexpr duration orderAgeLimit = std::chrono::seconds{1};
/// @brief Maximum age of the newest timestamp of this agent that an entry has echoed, for the entry
///        to count as alive. An entry that is not alive loses its credits, and no outcomes are
///        resent to it. It is removed only after detail::entryRemovalTimeout. Also the maximum age
///        of a demand report.
inline constexpr duration livenessTimeout = std::chrono::seconds{2};
/// @brief Time without an announcement after which the target counts as leaving.
inline constexpr duration targetTimeout = std::chrono::seconds{3};
/// @brief Maximum interval between two messages to an entry. A heartbeat is sent when no other
///        message was.
inline constexpr duration heartbeatInterval = std::chrono::milliseconds{500};
/// @brief Maximum interval between two heartbeats to an entry, also while other messages carry the
///        timestamps. Makes up for the loss of a heartbeat that reported a state change.
inline constexpr duration fullHeartbeatInterval = std::chrono::seconds{2};
/// @brief Maximum time for which the acceptance of an order is held back to share a message with
///        other updates for the same entry. Most tasks end within it, so that their acceptance
///        needs no message of its own. It is below detail::orderSilenceLimit (1.5 s), after which
///        an entry queries an order without an update.
inline constexpr duration acceptanceDelay = std::chrono::seconds{1};
/// @brief Interval between hello messages to the seeds while no entry is alive.
inline constexpr duration reconnectHelloInterval = std::chrono::seconds{1};
/// @brief Minimum interval between two requests for the configuration.
inline constexpr duration pullInterval = std::chrono::milliseconds{250};
/// @brief Number of queued orders at which orders of the baseline placement policies, which need no
///        credits, are refused. Other orders without a credit are always refused.
inline constexpr std::size_t maxUncreditedQueue = 1000;
/// @brief Maximum time for which a stopping agent waits for acknowledgements after the end of its
///        last task.
inline constexpr duration stopAckTimeout = std::chrono::seconds{5};
/// @brief Number of updates from which on a batch is sent at once.
inline constexpr int maxBatchUpdates = 256;
/// @brief Result bytes from which on a batch is sent at once.
inline constexpr std::size_t maxBatchBytes = std::size_t{256} * 1024;

/// @brief Implementation of agent_core. Updates for one entry are batched; takeActions() sends the
///        batches and heartbeats that are due.
class agent_core::implementation
{
public:
    implementation(agent_options options, const clock &clock);

    void receive(const wire::Envelope &envelope);
    void targetAnnounced(const target_announcement &announcement);
    void taskEnded(const task_end &end);
    void tick();
    void stop();
    void setSeeds(std::vector<std::string> endpoints) { m_options.seeds = std::move(endpoints); }
    std::vector<agent_action> takeActions();
    [[nodiscard]] const agent_counters &counters() const noexcept { return m_counters; }
    [[nodiscard]] boost::json::value dump() const;

private:
    /// Pending messages for one entry, the times of the last ones, and whether the entry may hold
    /// credits according to its heartbeats.
    struct outbox
    {
        wire::TaskUpdates updates;
        std::size_t updateBytes = 0;
        std::optional<time_point> updatesDue; ///< latest time to send the updates
        bool heartbeatDue = false;
        time_point lastSent;
        time_point lastHeartbeat;
        /// The entry's newest message showed that it had received nothing for detail::newsOverdue.
        bool probed = false;
        /// The entry reported that its configuration is proven to be up to date and that it is not
        /// draining. A condition for credits, which handleOrder() does not check.
        bool reportedReady = false;
    };

    /// Sender and age of the message that is being handled.
    struct origin
    {
        incarnation_id sender;
        std::optional<duration> age; ///< since the echoed timestamp was sent; none without echo

        [[nodiscard]] bool fresh(duration limit) const
        {
            return age && *age >= duration::zero() && *age <= limit;
        }
    };

    using log_field_list = std::initializer_list<std::pair<std::string, std::string>>;

    // Messages
    void dispatch(const wire::Envelope &envelope, const origin &from);
    void onEntryHeartbeat(const wire::EntryHeartbeat &heartbeat, const origin &from);
    /// Records a proof that `version` is the current configuration, from an entry that is current.
    /// It confirms this agent's configuration when the agent holds the same version.
    /// @param ageMicroseconds Age of the entry's own proof when it sent the message.
    void recordConfigProof(config_version version, std::uint64_t ageMicroseconds,
                           const origin &from);
    void onConfigPush(const wire::ConfigPush &push);
    void onConfigPull(const wire::ConfigPull &pull, const origin &from);
    void onStartTasks(const wire::StartTasks &start, const origin &from);
    void onAcknowledged(const google::protobuf::RepeatedPtrField<wire::TaskRef> &refs,
                        const origin &from);
    void onTaskQuery(const wire::TaskQuery &query, const origin &from);
    void onFenceRequest(const wire::FenceRequest &request, const origin &from);
    void onDemand(const google::protobuf::RepeatedPtrField<wire::Demand> &demands,
                  const origin &from);

    // Orders
    /// @param covered Whether the entry had a credit for the order, or needs none.
    void handleOrder(const wire::TaskOrder &order, wire::Owner owner, bool covered,
                     const origin &from);
    [[nodiscard]] bool mayQueueUncredited(const wire::StartTasks &start) const;
    /// Whether the sender owns the home: the primary before the fence, the backup after it.
    [[nodiscard]] bool ownerMaySend(const job_home &home, wire::Owner owner,
                                    incarnation_id sender) const;
    /// Reason for refusing a new order; `none` when it can be accepted.
    [[nodiscard]] error_kind refusalOf(const wire::TaskOrder &order, const task_ref &ref,
                                       bool covered, const origin &from) const;
    /// Reason why a task of the service cannot be started now; `none` when it can.
    [[nodiscard]] error_kind startRefusalReason(const std::string &service,
                                                time_point deadline) const;
    /// Reports the state of an order. An unknown or queued order becomes void and is never started.
    void answerQuery(const task_ref &ref, const origin &from);
    /// Refuses an order or a query whose sender does not own the home. The refusal is not recorded:
    /// a record would make the attempt number void for the owner too, and would replace the record
    /// of an order that was accepted before the fence.
    void answerFenced(const task_ref &ref, const origin &from);
    void refuseOrder(const task_ref &ref, error_kind error, const origin &from);
    void withdrawOrder(detail::order_record &order, error_kind error);
    /// Withdraws queued orders that can no longer be started, and starts orders on free slots.
    void processQueue();
    void startOrder(detail::order_record &order);
    /// Slots of the target, limited by `max_running_per_target` of its service; 0 without target.
    [[nodiscard]] std::size_t effectiveSlots() const;

    // State
    /// Sets the credit limit, and announces changes of the zone's or the target's state.
    void refreshState();
    /// Removes entries that are unresponsive and no longer listed (see detail::entry_set), and
    /// chooses the entries that get credits and heartbeats.
    void refreshEntries();
    /// Opens or closes the credit account of an entry.
    void refreshEligibility(incarnation_id entry);
    /// Tells the ledger how many orders are queued or running, issues the free credits and marks
    /// the credits to recall.
    void distributeCredits();
    /// Emits shutdown_complete once the graceful shutdown has finished.
    void checkStopped();
    /// Whether the agent is stopping, or its target is leaving or not announced within
    /// `targetTimeout`.
    [[nodiscard]] bool leaving() const;
    [[nodiscard]] bool acceptsOrders() const;

    // Output
    void send(incarnation_id receiver, wire::Envelope envelope);
    void sendHello(const std::string &endpoint, incarnation_id receiver);
    void sendDueHellos();
    /// Adds an update to the batch for an entry. An update for an unknown entry is dropped.
    /// @param due Latest time to send the batch.
    void addUpdate(incarnation_id receiver, wire::TaskUpdate update, time_point due);
    void report(const detail::order_record &order);
    void resendReports();
    void scheduleHeartbeats();
    /// Makes a heartbeat to each chosen entry due at once.
    void announceState();
    /// Sends the batches and heartbeats that are due.
    void flush();
    void sendUpdates(incarnation_id receiver, outbox &box);
    void sendHeartbeat(incarnation_id receiver, outbox &box);
    void pullConfig(incarnation_id entry);
    void log(std::string_view name, log_field_list fields);
    void logTask(std::string_view name, const task_ref &ref, log_field_list fields = {});

    [[nodiscard]] boost::json::array dumpEntries() const;
    [[nodiscard]] boost::json::array dumpOrders() const;

    agent_options m_options;
    const clock &m_clock;
    link_table m_links;
    config_state m_config;
    detail::entry_set m_entries;
    detail::credit_ledger m_credits;
    detail::task_table m_tasks; ///< records of orders, one for each attempt to run a task
    std::map<incarnation_id, outbox> m_outboxes;
    std::optional<target_announcement> m_target;
    time_point m_lastAnnouncement;
    bool m_wasZoneIn = false; ///< whether the zone was in service at the last refreshState()
    bool m_wasLeaving = true; ///< result of leaving() at the last refreshState()
    time_point m_lastEntryRefresh;
    std::optional<time_point> m_lastSeedHello;
    std::optional<time_point> m_lastConfigPull;
    std::optional<time_point> m_stopping; ///< start of the graceful shutdown
    time_point m_lastEnd; ///< latest end of a task, or the start of the shutdown if later
    bool m_shutdownReported = false;
    std::vector<agent_action> m_actions;
    agent_counters m_counters;
};

/// @brief Returns an update that reports the present state of an order.
[[nodiscard]] wire::TaskUpdate toUpdate(const detail::order_record &order);

/// @brief Converts a duration received from a peer. It is capped at 24 hours, so that sums with it
///        cannot overflow.
[[nodiscard]] duration durationFromWire(std::uint64_t microseconds);

} // namespace bamboohead
