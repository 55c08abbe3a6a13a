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

/// @brief How long an ended order is kept after its end.
inline constexpr duration endRetention = std::chrono::seconds{60};
/// @brief How long an ended order is kept after its deadline.
inline constexpr duration deadlineRetention = std::chrono::seconds{5};
/// @brief Interval between two reports of an unacknowledged end.
inline constexpr duration resendInterval = std::chrono::milliseconds{500};
/// @brief Records above which no further order is accepted (about 300 bytes each).
inline constexpr std::size_t maxRecords = 300'000;
/// @brief Payload and result bytes above which no further order is accepted.
inline constexpr std::size_t maxContentBytes = std::size_t{96} * 1024 * 1024;

/// @brief State of one order. `refused` is final: the attempt is void.
enum class order_state : std::uint8_t { queued, running, finished, failed, refused };

/// @brief Name for dumps and logs.
[[nodiscard]] std::string_view toText(order_state state) noexcept;

/// @brief Hash of a task reference.
struct task_ref_hash
{
    std::size_t operator()(const task_ref &ref) const noexcept;
};

namespace intrusive = boost::intrusive;
using order_list_hook = intrusive::list_member_hook<intrusive::link_mode<intrusive::auto_unlink>>;
using order_set_hook = intrusive::set_member_hook<intrusive::link_mode<intrusive::auto_unlink>>;

/// @brief One order: an attempt to run one task here.
struct order_record
{
    task_ref ref;
    order_state state = order_state::refused;
    incarnation_id destination = incarnation_id::none; ///< entry that gets the updates
    error_kind error = error_kind::none;
    std::string service;
    std::string payload;
    std::string result;
    duration runTime{};
    time_point deadline;
    time_point expiry;   ///< when the ended order is forgotten
    time_point nextSend; ///< when the unacknowledged end is reported again

    order_list_hook queueHook;
    order_list_hook homeHook;
    order_list_hook unackedHook;
    order_set_hook expiryHook;

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

/// @brief What an accepted order contains.
struct order_content
{
    std::string service;
    std::string payload;
    time_point deadline;
};

/// @brief All orders an agent knows, and the fences of homes. Ended orders are forgotten in the
///        order of their expiry, without scans.
class task_table
{
public:
    using queue_list = order_list<&order_record::queueHook>;
    using home_list = order_list<&order_record::homeHook>;
    using unacked_list = order_list<&order_record::unackedHook>;

    /// @return The order, or null when it is not known.
    [[nodiscard]] order_record *find(const task_ref &ref);

    /// @brief Whether another attempt of the task was accepted and not withdrawn.
    [[nodiscard]] bool taskTaken(const task_ref &ref) const;

    /// @brief Whether the memory limits allow another accepted order.
    [[nodiscard]] bool hasRoom(std::size_t payloadBytes) const;

    /// @brief Adds an accepted order at the end of the queue.
    order_record &accept(const task_ref &ref, incarnation_id destination, order_content content);

    /// @brief Records an attempt as void without ever having accepted it.
    order_record &refuse(const task_ref &ref, incarnation_id destination, error_kind error,
                         time_point now);

    /// @brief Withdraws a queued order, or a running one that the target refused to start.
    void withdraw(order_record &order, error_kind error, time_point now);

    /// @brief Moves a queued order to running.
    /// @return Its payload, which is not kept.
    [[nodiscard]] std::string start(order_record &order);

    /// @brief Ends a running order.
    void end(order_record &order, error_kind error, std::string result, duration runTime,
             time_point now);

    /// @brief The destination has received the order's end.
    static void acknowledge(order_record &order) { order.unackedHook.unlink(); }

    /// @brief Takes the ends that are due to be reported again, and schedules the next report.
    [[nodiscard]] std::vector<order_record *> dueReports(time_point now);

    /// @brief Forgets ended orders whose retention is over.
    void expire(time_point now);

    /// @brief Fences a home for the life of the process; its accepted orders report to the backup.
    /// @return Whether the home was not fenced before.
    bool fence(const job_home &home);
    [[nodiscard]] bool fenced(const job_home &home) const { return m_fences.contains(home); }

    /// @brief Visits the accepted orders of a home, running and ended.
    void forEachAccepted(const job_home &home,
                         const std::function<void(const order_record &)> &visit);

    /// @brief Visits queued and running orders.
    void forEachActive(const std::function<void(const order_record &)> &visit) const;

    [[nodiscard]] queue_list &queue() noexcept { return m_queue; }
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

    void settle(order_record &order, time_point now);
    void leaveActive(order_record &order);
    void forget(order_record &order);

    // The lists are declared after the records, so that they are destroyed before them.
    std::unordered_map<task_ref, order_record, task_ref_hash> m_orders;
    std::unordered_set<task_ref, task_ref_hash> m_takenTasks; ///< attempt number 0
    std::unordered_set<job_home> m_fences;
    std::unordered_map<job_home, home_list> m_homes;
    queue_list m_queue;
    queue_list m_runningOrders;
    unacked_list m_unacked;
    expiry_set m_expiry;
    std::size_t m_queued = 0;
    std::size_t m_running = 0;
    std::size_t m_contentBytes = 0;
};

} // namespace bamboohead::detail
