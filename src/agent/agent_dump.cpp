#include "bamboohead/detail/agent/agent_implementation.hpp"

#include <utility>

namespace bamboohead {

boost::json::value agent_core::implementation::dump() const
{
    boost::json::object state;
    state["incarnation"] = toText(m_options.self.incarnation);
    state["zone"] = m_options.self.zone;
    state["zone_in"] = m_config.ownZoneInService();
    state["config_version"] = static_cast<std::uint64_t>(m_config.version());
    state["current"] = m_config.agentCurrent();
    state["stopping"] = m_stopping.has_value();
    state["leaving"] = leaving();
    state["service"] = m_target ? m_target->service : "";
    state["slots"] = effectiveSlots();
    state["running"] = m_tasks.running();
    state["queued"] = m_tasks.queued();
    state["orders_held"] = m_tasks.size();
    state["content_bytes"] = m_tasks.contentBytes();
    state["credits_outstanding"] = m_credits.outstanding();
    state["credit_limit"] = m_credits.limit();
    state["entries"] = dumpEntries();
    state["orders"] = dumpOrders();
    boost::json::array fences;
    for (const auto &home : m_tasks.fences()) {
        fences.emplace_back(toText(home.primary) + "." + toText(home.backup));
    }
    state["fences"] = std::move(fences);
    return state;
}

boost::json::array agent_core::implementation::dumpEntries() const
{
    boost::json::array entries;
    for (const auto *entry : m_links.peers(wire::ROLE_ENTRY)) {
        boost::json::object item;
        item["incarnation"] = toText(entry->incarnation);
        item["endpoint"] = entry->endpoint;
        item["zone"] = entry->zone;
        item["chosen"] = m_entries.chosen(entry->incarnation);
        item["alive"] = m_links.alive(entry->incarnation, livenessTimeout);
        item["credits_open"] = m_credits.isOpen(entry->incarnation);
        entries.emplace_back(std::move(item));
    }
    return entries;
}

boost::json::array agent_core::implementation::dumpOrders() const
{
    boost::json::array orders;
    m_tasks.forEachActive([&orders](const detail::order_record &order) {
        boost::json::object item;
        item["job"] = toText(order.ref.job);
        item["task"] = order.ref.task;
        item["attempt"] = order.ref.attempt;
        item["state"] = detail::toText(order.state);
        item["entry"] = toText(order.destination);
        orders.emplace_back(std::move(item));
    });
    return orders;
}

} // namespace bamboohead
