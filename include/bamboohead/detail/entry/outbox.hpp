#pragma once

#include "bamboohead/entry_core.hpp"

#include <initializer_list>
#include <utility>

namespace bamboohead::detail {

/// @brief Collects the actions of one entry and seals its messages.
class outbox
{
public:
    using field = std::pair<std::string, std::string>;

    outbox(const link_table &links, entry_counters &counters)
        : m_links{links}
        , m_counters{counters}
    {}

    /// @brief Sends to a known peer; a message to an unknown one is dropped.
    void send(incarnation_id receiver, wire::Envelope envelope);
    /// @brief Sends to an endpoint whose incarnation may be unknown (none).
    void sendTo(const std::string &endpoint, incarnation_id receiver, wire::Envelope envelope);
    void log(std::string name, std::initializer_list<field> fields);
    void push(entry_action action) { m_actions.push_back(std::move(action)); }

    [[nodiscard]] std::vector<entry_action> take() { return std::exchange(m_actions, {}); }

private:
    const link_table &m_links;
    entry_counters &m_counters;
    std::vector<entry_action> m_actions;
};

} // namespace bamboohead::detail
