#pragma once

#include "bamboohead/error_kind.hpp"
#include "bamboohead/types.hpp"

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace bamboohead::detail {

/// @brief Minimum time for which an ended order is kept after its end.
inline constexpr duration endRetention = std::chrono::seconds{60};
/// @brief Minimum time for which an ended order is kept after its deadline.
inline constexpr duration deadlineRetention = std::chrono::seconds{5};
/// @brief Interval at which the outcome of an order is resent until it is acknowledged.
inline constexpr duration resendInterval = std::chrono::milliseconds{500};
/// @brief Number of order records (about 300 bytes each) from which on new orders are refused. The
///        records of these refusals are still added.
inline constexpr std::size_t maxOrderRecords = 300'000;
/// @brief Maximum sum of payload and result bytes with which a new order is accepted.
inline constexpr std::size_t maxContentBytes = std::size_t{96} * 1024 * 1024;

/// @brief State of one order. `finished`, `failed` and `refused` are final. A refused order is
///        void, which means that its attempt is never started here.
enum class order_state : std::uint8_t { queued, running, finished, failed, refused };

/// @brief Name of a state in dumps and logs.
[[nodiscard]] std::string_view toText(order_state state) noexcept;

struct task_ref_hash
{
    std::size_t operator()(const task_ref &ref) const noexcept;
};

namespace intrusive = boost::intrusive;
using order_list_hook = intrusive::list_member_hook<intrusive::link_mode<intrusive::auto_unlink>>;
using order_set_hook = intrusive::set_member_hook<intrusive::link_mode<intrusive::auto_unlink>>;

/// @brief Record of one order, which is an attempt to run a task on this agent.
struct order_record
{
    task_ref ref;
    order_state state = order_state::refused;
    incarnation_id destination = incarnation_id::none; ///< entry that receives the updates
    error_kind error = error_kind::none;
    std::string service;
    std::string payload; ///< empty once started or ended
    std::string result;
    duration runTime{};
    time_point deadline;
    time_point expiry;   ///< when the record of the ended order is erased
    time_point nextSend; ///< when the unacknowledged outcome is resent

    order_list_hook activeHook; ///< link in the queue or in the list of running orders
    order_list_hook homeHook;   ///< link in the list of accepted orders of a home
    /// Link in the list of ended orders whose outcome is not acknowledged, sorted by `nextSend`.
    order_list_hook unackedHook;
    order_set_hook expiryHook; ///< link in the set of ended orders, sorted by `expiry`

    [[nodiscard]] bool ended() const
    {
        return state != order_state::queued && state != order_state::running;
    }
};

template <order_list_hook order_record::*hook>
using order_list = intrusive::list<order_record, intrusive::constant_time_size<false>,
                                   intrusive::member_hook<order_record, order_list_hook, hook>>;

struct earlier_expiry
{
    bool operator()(const order_record &left, const order_record &right) const
    {
        return left.expiry < right.expiry;
    }
};

/// @brief Content of an accepted order.
struct order_content
{
    std::string service;
    std::string payload;
    time_point deadline;
};

/// @brief Records of all orders of an agent, each an attempt to run a task, and the fenced homes.
///        Records of ended orders are kept sorted by expiry and erased without scans.
class task_table
{
public:
    using active_list = order_list<&order_record::activeHook>;
    using home_list = order_list<&order_record::homeHook>;
    using unacked_list = order_list<&order_record::unackedHook>;

    /// @return The order, or null when there is no record of it.
    [[nodiscard]] order_record *find(const task_ref &ref);

    /// @brief Whether an attempt of the task was accepted and not withdrawn, and its record has not
    ///        expired. The attempt number in `ref` is ignored.
    [[nodiscard]] bool hasAcceptedAttempt(const task_ref &ref) const;

    /// @brief Whether the memory limits allow another accepted order.
    [[nodiscard]] bool hasRoom(std::size_t payloadBytes) const;

    /// @brief Adds an accepted order at the end of the queue.
    order_record &accept(const task_ref &ref, incarnation_id destination, order_content content);

    /// @brief Records an order as refused without accepting it, so that its attempt is void.
    order_record &refuse(const task_ref &ref, incarnation_id destination, error_kind error,
                         time_point now);

    /// @brief Marks a queued order as refused, or a running one that the target refused to start.
    ///        Another attempt of the task may then be accepted.
    void withdraw(order_record &order, error_kind error, time_point now);

    /// @brief Moves a queued order to running.
    /// @return The payload, which is moved out of the record.
    [[nodiscard]] std::string start(order_record &order);

    /// @brief Marks a running order as finished if `error` is `none`, else as failed.
    void markEnded(order_record &order, error_kind error, std::string result, duration runTime,
                   time_point now);

    /// @brief Marks the outcome of an order as received by its destination, so that it is not
    ///        resent.
    static void acknowledge(order_record &order) { order.unackedHook.unlink(); }

    /// @brief Returns the unacknowledged orders whose outcome is due to be resent, and schedules
    ///        the next time.
    [[nodiscard]] std::vector<order_record *> dueReports(time_point now);

    /// @brief Erases ended orders whose retention period is over.
    void expire(time_point now);

    /// @brief Fences a home until the process ends, and redirects the reports of its accepted
    ///        orders to the backup. agent_core must refuse further orders of the home's primary.
    /// @return False when the home was already fenced.
    bool fence(const job_home &home);
    [[nodiscard]] bool fenced(const job_home &home) const { return m_fences.contains(home); }

    /// @brief Visits the accepted orders of a home: queued, running, finished and failed.
    void forEachAccepted(const job_home &home,
                         const std::function<void(const order_record &)> &visit);

    /// @brief Visits queued and running orders.
    void forEachActive(const std::function<void(const order_record &)> &visit) const;

    [[nodiscard]] active_list &queue() noexcept { return m_queue; }
    [[nodiscard]] std::size_t queued() const noexcept { return m_queued; }
    [[nodiscard]] std::size_t running() const noexcept { return m_running; }
    [[nodiscard]] std::size_t size() const noexcept { return m_orders.size(); }
    [[nodiscard]] std::size_t contentBytes() const noexcept { return m_contentBytes; }
    [[nodiscard]] bool allAcknowledged() const noexcept { return m_unacked.empty(); }
    [[nodiscard]] const std::unordered_set<job_home> &fences() const noexcept { return m_fences; }

private:
    using expiry_set = intrusive::multiset<
            order_record, intrusive::constant_time_size<false>, intrusive::compare<earlier_expiry>,
            intrusive::member_hook<order_record, order_set_hook, &order_record::expiryHook>>;

    /// Schedules the expiry and the first resending of an ended order.
    void beginRetention(order_record &order, time_point now);
    /// Removes an order from the queue or the running orders, and drops its payload.
    void removeActive(order_record &order);
    void erase(order_record &order);

    // The lists are declared after the records that they link, so that they are destroyed first.
    std::unordered_map<task_ref, order_record, task_ref_hash> m_orders;
    /// Tasks with an accepted attempt. The key's attempt number is always 0, so that it is the same
    /// for all attempts of a task.
    std::unordered_set<task_ref, task_ref_hash> m_acceptedTasks;
    std::unordered_set<job_home> m_fences;
    std::unordered_map<job_home, home_list> m_homes;
    active_list m_queue;
    active_list m_runningOrders;
    unacked_list m_unacked;
    expiry_set m_expiry;
    std::size_t m_queued = 0;
    std::size_t m_running = 0;
    std::size_t m_contentBytes = 0;
};

} // namespace bamboohead::detail
