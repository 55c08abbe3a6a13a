#include "bamboohead/detail/entry/outbox.hpp"

namespace bamboohead::detail {

void outbox::send(incarnation_id receiver, wire::Envelope envelope)
{
    const auto *peer = m_links.find(receiver);
    if (peer == nullptr) {
        ++m_counters.messagesDropped;
        return;
    }
    sendTo(peer->endpoint, receiver, std::move(envelope));
}

void outbox::sendTo(const std::string &endpoint, incarnation_id receiver, wire::Envelope envelope)
{
    m_links.setHeader(envelope, receiver);
    ++m_counters.messagesSent;
    m_actions.emplace_back(send_message{endpoint, std::move(envelope)});
}

void outbox::log(std::string name, std::initializer_list<field> fields)
{
    m_actions.emplace_back(log_event{std::move(name), fields});
}

} // namespace bamboohead::detail
