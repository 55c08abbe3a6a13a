#include "bamboohead/http_agent.hpp"

#include "bamboohead/detail/http/job_json.hpp"

namespace bamboohead {

namespace leaf = boost::leaf;

http_agent::http_agent(http_server &server, std::string fixedTarget,
                       input_queue<agent_input> &inputs, target_client &target)
    : m_fixedTarget{std::move(fixedTarget)}
    , m_inputs{inputs}
    , m_target{target}
{
    server.routes().Put("/v1/target",
                        [this](const httplib::Request &request, httplib::Response &response) {
                            handleAnnouncement(request, response);
                        });
}

void http_agent::handleAnnouncement(const httplib::Request &request, httplib::Response &response)
{
    const auto respondFault = [&](const detail::request_fault &fault) {
        response.status = errorInfo(fault.kind).httpStatus;
        response.set_content(detail::toJson(fault), "application/json");
    };
    leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(target, detail::parseTarget(request.body));
                if (!m_fixedTarget.empty() && target.address != m_fixedTarget) {
                    return leaf::new_error(detail::request_fault{
                            error_kind::invalid_request, "/address",
                            "the settings name another target: " + m_fixedTarget});
                }
                m_target.setAddress(target.address);
                m_target.ensureThreads(target.announcement.slots);
                m_inputs.push(std::move(target.announcement));
                response.set_content("{}", "application/json");
                return {};
            },
            respondFault,
            [&] {
                respondFault({error_kind::internal, "", ""});
            });
}

} // namespace bamboohead
