#pragma once

#include "bamboohead/agent_core.hpp"
#include "bamboohead/http_server.hpp"
#include "bamboohead/runtime.hpp"
#include "bamboohead/target_client.hpp"

#include <string>
#include <variant>

namespace bamboohead {

/// @brief Inputs of an agent's control thread: target announcements, ended tasks and requests for
///        the state dump.
using agent_input = std::variant<target_announcement, task_end, dump_input>;

/// @brief HTTP interface of an agent for its target: `PUT /v1/target`.
class http_agent
{
public:
    /// @brief Adds the route to the server.
    /// @param fixedTarget Address (`host:port`) that announcements must contain; empty accepts any.
    http_agent(http_server &server, std::string fixedTarget, input_queue<agent_input> &inputs,
               target_client &target);

private:
    void handleAnnouncement(const httplib::Request &request, httplib::Response &response);

    std::string m_fixedTarget;
    input_queue<agent_input> &m_inputs;
    target_client &m_target;
};

} // namespace bamboohead
