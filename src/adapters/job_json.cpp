#include "bamboohead/detail/http/job_json.hpp"

#include "bamboohead/settings.hpp"

namespace bamboohead::detail {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

constexpr value_bounds idLength{1, 128};
constexpr value_bounds nameLength{1, 64};
constexpr value_bounds addressLength{1, 256};
constexpr value_bounds payloadLength{0, maxPayloadBytes};
constexpr value_bounds taskCount{1, maxTasksPerJob};
constexpr value_bounds deadlineMilliseconds{1, maxDeadline.count()};
constexpr value_bounds targetSlots{1, maxSlotsPerTarget};
constexpr int statusOk = 200;
constexpr int statusAccepted = 202;

leaf::error_id invalidRequest(std::string path, std::string message)
{
    return leaf::new_error(
            request_fault{error_kind::invalid_request, std::move(path), std::move(message)});
}

leaf::result<std::string> parsePayload(const json::value &task, const std::string &path)
{
    const auto *const object = task.if_object();
    if (object == nullptr) {
        return invalidRequest(path, "not an object");
    }
    BOOST_LEAF_AUTO(fields, readFields(*object, path, {"payload"}));
    return fields.text("payload", payloadLength);
}

leaf::result<std::vector<std::string>> parseTasks(const json_fields &fields)
{
    BOOST_LEAF_AUTO(tasks, fields.array("tasks", taskCount));
    std::vector<std::string> payloads;
    payloads.reserve(tasks->size());
    for (const auto &task : *tasks) {
        const auto path = fields.path("tasks") + "/" + std::to_string(payloads.size());
        BOOST_LEAF_AUTO(payload, parsePayload(task, path));
        payloads.push_back(std::move(payload));
    }
    return payloads;
}

json::object errorObject(error_kind kind, std::string_view message)
{
    json::object error;
    error["number"] = static_cast<std::uint32_t>(kind);
    error["kind"] = std::string{errorInfo(kind).name};
    error["message"] = std::string{message};
    return error;
}

} // namespace

leaf::result<job_submission> parseSubmission(std::string_view body)
{
    BOOST_LEAF_AUTO(object, parseObject(body));
    BOOST_LEAF_AUTO(fields,
                    readFields(object, "",
                               {"id", "team", "service", "deadline_ms", "idempotent", "tasks"}));
    job_submission job;
    BOOST_LEAF_AUTO(idText, fields.text("id", idLength));
    const auto id = parseJobId(idText);
    if (!id) {
        return invalidRequest("/id", "not a job id j1.<primary>.<backup>.<session>.<number>");
    }
    job.id = *id;
    BOOST_LEAF_ASSIGN(job.team, fields.text("team", nameLength));
    BOOST_LEAF_ASSIGN(job.service, fields.text("service", nameLength));
    BOOST_LEAF_AUTO(deadline, fields.integerOr("deadline_ms", deadlineMilliseconds, 0));
    job.deadline = std::chrono::milliseconds{deadline};
    BOOST_LEAF_ASSIGN(job.idempotent, fields.booleanOr("idempotent", false));
    BOOST_LEAF_ASSIGN(job.payloads, parseTasks(fields));
    job.hash = hashContent(job);
    return job;
}

leaf::result<parsed_announcement> parseTarget(std::string_view body)
{
    BOOST_LEAF_AUTO(object, parseObject(body));
    BOOST_LEAF_AUTO(fields, readFields(object, "", {"service", "slots", "address", "state"}));
    parsed_announcement request;
    BOOST_LEAF_ASSIGN(request.announcement.service, fields.text("service", nameLength));
    BOOST_LEAF_AUTO(slots, fields.integer("slots", targetSlots));
    request.announcement.slots = static_cast<std::uint32_t>(slots);
    BOOST_LEAF_ASSIGN(request.address, fields.text("address", addressLength));
    if (!isAddress(request.address)) {
        return invalidRequest("/address", "not an address host:port");
    }
    BOOST_LEAF_AUTO(state, fields.text("state", nameLength));
    if (state != "ready" && state != "leaving") {
        return invalidRequest("/state", "value is not allowed; expected ready or leaving");
    }
    request.announcement.state = state == "ready" ? target_state::ready : target_state::leaving;
    return request;
}

std::string toJson(const job_answer &answer)
{
    json::object body;
    body["id"] = toText(answer.id);
    const auto outcome = toText(answer.outcome);
    body["outcome"] = std::string{outcome};
    if (answer.error != error_kind::none) {
        body["error"] = errorObject(answer.error, answer.message);
    }
    // A caller may take false to mean that the job has not run and never will, which only a refused
    // or failed job can guarantee.
    const bool refusedOrFailed =
            answer.outcome == job_outcome::refused || answer.outcome == job_outcome::failed;
    body["may_have_run"] = answer.mayHaveRun || !refusedOrFailed;
    json::array results;
    results.reserve(answer.results.size());
    for (const auto &result : answer.results) {
        results.emplace_back(result);
    }
    body["results"] = std::move(results);
    return json::serialize(body);
}

std::string toJson(const answer_session_request &answer)
{
    json::object body;
    body["session"] = toText(answer.session);
    body["expires_in_ms"] =
            std::chrono::duration_cast<std::chrono::milliseconds>(answer.expiresIn).count();
    return json::serialize(body);
}

std::string toJson(const request_fault &fault)
{
    json::object body;
    const auto &row = errorInfo(fault.kind);
    auto error = errorObject(fault.kind, fault.message.empty() ? row.message : fault.message);
    if (!fault.path.empty()) {
        error["path"] = fault.path;
    }
    const bool mayHaveRun = row.evidence == run_evidence::may_have_run;
    body["outcome"] = mayHaveRun ? "failed" : "refused";
    body["error"] = std::move(error);
    body["may_have_run"] = mayHaveRun;
    return json::serialize(body);
}

int httpStatus(const job_answer &answer)
{
    switch (answer.outcome) {
    case job_outcome::complete:
        return statusOk;
    case job_outcome::pending:
        return statusAccepted;
    case job_outcome::failed:
    case job_outcome::refused:
        break;
    }
    return errorInfo(answer.error).httpStatus;
}

} // namespace bamboohead::detail
