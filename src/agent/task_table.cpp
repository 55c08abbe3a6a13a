#include "bamboohead/detail/agent/task_table.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace bamboohead::detail {

namespace {

constexpr std::array<std::string_view, 5> stateNames{"queued", "running", "finished", "failed",
                                                     "refused"};

/// Key of a task, which is the same for all its attempts: the attempt number is 0.
task_ref taskKey(const task_ref &ref)
{
    return task_ref{ref.job, ref.task, 0};
}

} // namespace

std::string_view toText(order_state state) noexcept
{
    return stateNames[static_cast<std::size_t>(state)];
}

std::size_t task_ref_hash::operator()(const task_ref &ref) const noexcept
{
    // Odd 64-bit multipliers (2^64 divided by the golden ratio, and the first multiplier of the
    // SplitMix64 mixer) spread small numbers over the whole range.
    constexpr std::uint64_t taskFactor = 0x9e3779b97f4a7c15;
    constexpr std::uint64_t attemptFactor = 0xbf58476d1ce4e5b9;
    return hashValue(ref.job) ^ (ref.task * taskFactor + ref.attempt * attemptFactor);
}

order_record *task_table::find(const task_ref &ref)
{
    const auto found = m_orders.find(ref);
    return found == m_orders.end() ? nullptr : &found->second;
}

bool task_table::hasAcceptedAttempt(const task_ref &ref) const
{
    return m_acceptedTasks.contains(taskKey(ref));
}

bool task_table::hasRoom(std::size_t payloadBytes) const
{
    return m_orders.size() < maxOrderRecords && m_contentBytes + payloadBytes <= maxContentBytes;
}

order_record &task_table::accept(const task_ref &ref, incarnation_id destination,
                                 order_content content)
{
    auto &order = m_orders[ref];
    order.ref = ref;
    order.state = order_state::queued;
    order.destination = destination;
    order.service = std::move(content.service);
    order.payload = std::move(content.payload);
    order.deadline = content.deadline;
    m_contentBytes += order.payload.size();
    m_acceptedTasks.insert(taskKey(ref));
    m_homes[ref.job.session.home].push_back(order);
    m_queue.push_back(order);
    ++m_queued;
    return order;
}

order_record &task_table::refuse(const task_ref &ref, incarnation_id destination, error_kind error,
                                 time_point now)
{
    auto &order = m_orders[ref];
    order.ref = ref;
    order.state = order_state::refused;
    order.destination = destination;
    order.error = error;
    order.deadline = now;
    beginRetention(order, now);
    return order;
}

void task_table::withdraw(order_record &order, error_kind error, time_point now)
{
    removeActive(order);
    // The task did not run, so another attempt may be accepted here.
    m_acceptedTasks.erase(taskKey(order.ref));
    order.homeHook.unlink();
    order.state = order_state::refused;
    order.error = error;
    beginRetention(order, now);
}

std::string task_table::start(order_record &order)
{
    order.activeHook.unlink();
    m_runningOrders.push_back(order);
    --m_queued;
    ++m_running;
    order.state = order_state::running;
    m_contentBytes -= order.payload.size();
    return std::exchange(order.payload, {});
}

void task_table::markEnded(order_record &order, error_kind error, std::string result,
                           duration runTime, time_point now)
{
    removeActive(order);
    order.state = error == error_kind::none ? order_state::finished : order_state::failed;
    order.error = error;
    order.result = std::move(result);
    order.runTime = runTime;
    m_contentBytes += order.result.size();
    beginRetention(order, now);
}

std::vector<order_record *> task_table::dueReports(time_point now)
{
    std::vector<order_record *> due;
    while (!m_unacked.empty() && m_unacked.front().nextSend <= now) {
        auto &order = m_unacked.front();
        due.push_back(&order);
        order.nextSend = now + resendInterval;
        m_unacked.splice(m_unacked.end(), m_unacked, m_unacked.iterator_to(order));
    }
    return due;
}

void task_table::expire(time_point now)
{
    while (!m_expiry.empty() && m_expiry.begin()->expiry <= now) {
        erase(*m_expiry.begin());
    }
}

bool task_table::fence(const job_home &home)
{
    const bool added = m_fences.insert(home).second;
    const auto found = m_homes.find(home);
    if (added && found != m_homes.end()) {
        for (auto &order : found->second) {
            order.destination = home.backup;
        }
    }
    return added;
}

void task_table::forEachAccepted(const job_home &home,
                                 const std::function<void(const order_record &)> &visit)
{
    const auto found = m_homes.find(home);
    if (found != m_homes.end()) {
        std::ranges::for_each(found->second, visit);
    }
}

void task_table::forEachActive(const std::function<void(const order_record &)> &visit) const
{
    std::ranges::for_each(m_queue, visit);
    std::ranges::for_each(m_runningOrders, visit);
}

void task_table::beginRetention(order_record &order, time_point now)
{
    order.expiry = std::max(order.deadline + deadlineRetention, now + endRetention);
    order.nextSend = now + resendInterval;
    m_expiry.insert(order);
    m_unacked.push_back(order);
}

void task_table::removeActive(order_record &order)
{
    if (order.state == order_state::queued) {
        --m_queued;
    } else {
        --m_running;
    }
    order.activeHook.unlink();
    m_contentBytes -= order.payload.size();
    order.payload = {};
}

void task_table::erase(order_record &order)
{
    const auto home = order.ref.job.session.home;
    if (order.state != order_state::refused) {
        m_acceptedTasks.erase(taskKey(order.ref));
    }
    m_contentBytes -= order.result.size();
    // The key is copied because order.ref is part of the erased record.
    m_orders.erase(task_ref{order.ref});
    const auto found = m_homes.find(home);
    if (found != m_homes.end() && found->second.empty()) {
        m_homes.erase(found);
    }
}

} // namespace bamboohead::detail
