#pragma once

#include "bamboohead/entry_core.hpp"

#include <initializer_list>
#include <utility>

namespace bamboohead::detail {

/// @brief Collects the actions of one entry (messages, answers to callers, log events), and fills
///        in the sender, receiver and timestamps of the messages.
class outbox
{
public:
    using field = std::pair<std::string, std::string>;

    outbox(const link_table &links, entry_counters &counters)
        : m_links{links}
        , m_counters{counters}
    {}

    /// @brief Sends to a known peer. A message to an unknown peer is dropped and counted.
    void send(incarnation_id receiver, wire::Envelope envelope);
    /// @brief Sends to an endpoint.
    /// @param receiver `incarnation_id::none` when the incarnation at the endpoint is unknown.
    void sendTo(const std::string &endpoint, incarnation_id receiver, wire::Envelope envelope);
    void log(std::string name, std::initializer_list<field> fields);
    void push(entry_action action) { m_actions.push_back(std::move(action)); }

    /// @brief Removes and returns the collected actions, in order.
    [[nodiscard]] std::vector<entry_action> take() { return std::exchange(m_actions, {}); }

private:
    const link_table &m_links;
    entry_counters &m_counters;
    std::vector<entry_action> m_actions;
};

} // namespace bamboohead::detail
