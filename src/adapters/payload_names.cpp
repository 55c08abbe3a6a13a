#include "bamboohead/transport.hpp"

namespace bamboohead {

std::string_view payloadName(std::size_t kind) noexcept
{
    using namespace std::string_view_literals;
    constexpr std::size_t first = wire::Envelope::kHello;
    constexpr std::array names{"hello"sv,           "member_list"sv,   "entry_heartbeat"sv,
                               "agent_heartbeat"sv, "start_tasks"sv,   "task_updates"sv,
                               "update_ack"sv,      "task_query"sv,    "record_put"sv,
                               "record_ack"sv,      "record_close"sv,  "record_close_ack"sv,
                               "scope_update"sv,    "scope_ack"sv,     "fence_request"sv,
                               "fence_report"sv,    "home_stopping"sv, "job_forward"sv,
                               "job_reply"sv,       "config_pull"sv,   "config_push"sv};
    static_assert(first + names.size() == wire::Envelope::kConfigPush + 1);
    return kind >= first && kind - first < names.size() ? names.at(kind - first)
                                                        : std::string_view{};
}

} // namespace bamboohead
