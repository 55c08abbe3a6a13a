#pragma once

#include "bamboohead/agent_core.hpp"
#include "bamboohead/detail/agent/credit_ledger.hpp"
#include "bamboohead/detail/agent/entry_set.hpp"
#include "bamboohead/detail/agent/task_table.hpp"

#include <initializer_list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bamboohead {

/// @brief Age above which an order, a query or a demand report is ignored.
inline constexpr duration orderAgeLimit = std::chrono::seconds{1};
/// @brief An entry without a fresh echo for this long loses its credits.
inline constexpr duration linkSilenceLimit = std::chrono::seconds{2};
/// @brief A target that has not announced itself for this long counts as leaving.
inline constexpr duration targetSilenceLimit = std::chrono::seconds{3};
/// @brief Longest time between two messages to an entry.
inline constexpr duration heartbeatInterval = std::chrono::milliseconds{500};
/// @brief Longest time between two full heartbeats when other messages carry the stamps; makes up
///        for the loss of a heartbeat that told a state change.
inline constexpr duration fullHeartbeatInterval = std::chrono::seconds{2};
/// @brief How long an acceptance waits for another message to the same entry. Most tasks end within
///        it, so that their acceptance needs no message of its own. Entries ask for orders without
///        an update after 1.5 s.
inline constexpr duration acceptanceDelay = std::chrono::seconds{1};
/// @brief Interval between greetings of the seeds while no entry answers.
inline constexpr duration lonelyHelloInterval = std::chrono::seconds{1};
/// @brief Least time between two requests for the configuration.
inline constexpr duration pullInterval = std::chrono::milliseconds{250};
/// @brief Waiting orders above which orders without credits are refused. Only the baselines of
///        placement, which know no credits, send such orders.
inline constexpr std::size_t maxUncreditedQueue = 1000;
/// @brief How long a stopping agent waits for acknowledgements after its last task.
inline constexpr duration stopGrace = std::chrono::seconds{5};
/// @brief Updates and bytes above which a batch is sent at once.
inline constexpr int maxBatchUpdates = 256;
inline constexpr std::size_t maxBatchBytes = std::size_t{256} * 1024;

/// @brief State of agent_core. Messages to one entry are collected and sent in takeActions().
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
    /// Messages waiting for one entry, and what it was told when.
    struct outbox
    {
        wire::TaskUpdates updates;
        std::size_t updateBytes = 0;
        std::optional<time_point> updatesDue; ///< latest time to send the updates
        bool heartbeatDue = false;
        time_point lastSent;
        time_point lastHeartbeat;
        bool serving = false; ///< the entry is current and not draining
    };

    /// Sender and age of the message in hand.
    struct origin
    {
        incarnation_id sender;
        std::optional<duration> age;

        [[nodiscard]] bool fresh(duration limit) const
        {
            return age && *age >= duration::zero() && *age <= limit;
        }
    };

    using log_fields = std::initializer_list<std::pair<std::string, std::string>>;

    // Messages
    void dispatch(const wire::Envelope &envelope, const origin &from);
    void onEntryHeartbeat(const wire::EntryHeartbeat &heartbeat, const origin &from);
    void proofHeard(config_version version, std::uint64_t ageMicroseconds, const origin &from);
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
    void handleOrder(const wire::TaskOrder &order, wire::Owner owner, bool covered,
                     const origin &from);
    [[nodiscard]] bool mayQueueUncredited(const wire::StartTasks &start) const;
    [[nodiscard]] bool ownerMaySend(const job_home &home, wire::Owner owner,
                                    incarnation_id sender) const;
    [[nodiscard]] error_kind refusalOf(const wire::TaskOrder &order, const task_ref &ref,
                                       bool covered, const origin &from) const;
    [[nodiscard]] error_kind startObstacle(const std::string &service, time_point deadline) const;
    void queryOrder(const task_ref &ref, const origin &from);
    /// Answers a sender that does not own the home. Not recorded, because the backup may use the
    /// same attempt number.
    void answerFenced(const task_ref &ref, const origin &from);
    void refuseOrder(const task_ref &ref, error_kind error, const origin &from);
    void withdrawOrder(detail::order_record &order, error_kind error);
    void sweepQueue();
    void startOrder(detail::order_record &order);
    [[nodiscard]] std::size_t effectiveSlots() const;

    // State
    void refreshState();
    void refreshLinks();
    void refreshLine(incarnation_id entry);
    void rebalance();
    void checkStopped();
    [[nodiscard]] bool leaving() const;
    [[nodiscard]] bool open() const;

    // Output
    void send(incarnation_id receiver, wire::Envelope envelope);
    void sendHello(const std::string &endpoint, incarnation_id receiver);
    void greetSeeds();
    void addUpdate(incarnation_id receiver, wire::TaskUpdate update, time_point due);
    void report(const detail::order_record &order);
    void resendReports();
    void scheduleHeartbeats();
    void announceState();
    void flush();
    void sendUpdates(incarnation_id receiver, outbox &box);
    void sendHeartbeat(incarnation_id receiver, outbox &box);
    void pullConfig(incarnation_id entry);
    void log(std::string_view name, log_fields fields);
    void logTask(std::string_view name, const task_ref &ref, log_fields fields = {});

    [[nodiscard]] boost::json::array dumpEntries() const;
    [[nodiscard]] boost::json::array dumpOrders() const;

    agent_options m_options;
    const clock &m_clock;
    link_table m_links;
    config_state m_config;
    detail::entry_set m_entries;
    detail::credit_ledger m_credits;
    detail::task_table m_tasks;
    std::map<incarnation_id, outbox> m_outboxes;
    std::optional<target_announcement> m_target;
    time_point m_targetHeard;
    bool m_wasZoneIn = false;
    bool m_wasLeaving = true;
    time_point m_linksRefreshed;
    std::optional<time_point> m_seedsGreeted;
    std::optional<time_point> m_pulled;
    std::optional<time_point> m_stopping;
    time_point m_lastEnd;
    bool m_shutdownReported = false;
    std::vector<agent_action> m_actions;
    agent_counters m_counters;
};

/// @brief The report of an order's present state.
[[nodiscard]] wire::TaskUpdate toUpdate(const detail::order_record &order);

/// @brief A duration received from a peer, at most 24 hours so that sums with it cannot overflow.
[[nodiscard]] duration durationFromWire(std::uint64_t microseconds);

} // namespace bamboohead
