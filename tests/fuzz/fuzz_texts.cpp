#include "fuzz_targets.hpp"

#include "bamboohead/config_review.hpp"
#include "bamboohead/detail/http/job_json.hpp"
#include "bamboohead/manifest.hpp"
#include "bamboohead/settings.hpp"
#include "etcd_messages.hpp"
#include "platform/caller_api.hpp"
#include "platform/configuration_review.hpp"
#include "platform/store_api.hpp"
#include "platform/target_api.hpp"

#include <algorithm>

namespace bamboohead::fuzz {

namespace {

constexpr std::uint32_t maxSlots = 256;
constexpr std::uint32_t maxWeight = 1'000;

/// Whether the text of a valid manifest is valid after its first zone was changed to out, with this
/// zone out and the same number of zones.
bool acceptsZoneChange(std::string_view text, const manifest &original)
{
    const auto &zone = original.zones.begin()->first;
    const auto changed = changeZoneState(text, zone, zone_state::out);
    const auto *const result = std::get_if<std::string>(&changed);
    if (result == nullptr) {
        return false;
    }
    const auto parsed = parseManifest(*result);
    const auto *const after = std::get_if<manifest>(&parsed);
    return after != nullptr && after->zones.at(zone) == zone_state::out &&
           after->zones.size() == original.zones.size();
}

/// Checks the review of a configuration against itself.
void checkReview(const std::vector<config_finding> &findings, bool valid)
{
    require(isValid(findings) == valid, "review that does not agree with the parser");
    require(std::ranges::find(findings, finding_kind::change, &config_finding::kind) ==
                    findings.end(),
            "change between a configuration and itself");
    require(std::ranges::all_of(
                    findings,
                    [](const auto &finding) { return finding.line > 0 && finding.column > 0; }),
            "finding without a position");
}

void checkJob(const job_submission &job)
{
    require(!job.payloads.empty() && job.payloads.size() <= maxTasksPerJob,
            "job with a number of tasks out of range");
    require(std::ranges::all_of(
                    job.payloads,
                    [](const auto &payload) { return payload.size() <= maxPayloadBytes; }),
            "job with a payload above the limit");
    require(!job.team.empty() && !job.service.empty(), "job without team or service");
    require(job.deadline >= duration{} && job.deadline <= detail::maxDeadline,
            "job with a deadline out of range");
    require(parseJobId(toText(job.id)) == job.id, "job id that changes when written and parsed");
}

} // namespace

void fuzzJobBody(input_bytes bytes)
{
    namespace leaf = boost::leaf;
    leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(job, detail::parseSubmission(textOf(bytes)));
                checkJob(job);
                return {};
            },
            [](const detail::request_fault &fault) {
                require(!detail::toJson(fault).empty(), "request_fault without text");
            },
            [] { require(false, "job rejected without a request_fault"); });
    leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(target, detail::parseTarget(textOf(bytes)));
                const auto slots = target.announcement.slots;
                require(slots >= 1 && slots <= maxSlots,
                        "target with a number of slots out of range");
                require(isAddress(target.address), "target with an invalid address");
                return {};
            },
            [](const detail::request_fault &) {},
            [] { require(false, "target rejected without a request_fault"); });
}

void fuzzManifest(input_bytes bytes)
{
    const auto text = textOf(bytes);
    const auto parsed = parseManifest(text);
    const auto *const accepted = std::get_if<manifest>(&parsed);
    checkReview(reviewManifest(text, text), accepted != nullptr);
    if (accepted == nullptr) {
        require(!std::get<std::vector<config_error>>(parsed).empty(),
                "manifest rejected without an error");
        return;
    }
    require(!accepted->zones.empty() && !accepted->services.empty(),
            "manifest without zones or services");
    for (const auto &[name, service] : accepted->services) {
        require(service.weight >= 1 && service.weight <= maxWeight,
                "service with a weight out of range");
        require(service.defaultDeadline > duration{} &&
                        service.defaultDeadline <= detail::maxDeadline,
                "service with a default deadline out of range");
    }
    for (const auto &[name, team] : accepted->teams) {
        require(team.weight >= 1 && team.weight <= maxWeight, "team with a weight out of range");
    }
    require(acceptsZoneChange(text, *accepted),
            "manifest that is invalid after the change of a zone");
}

void fuzzSettings(input_bytes bytes)
{
    const auto parsed = parseSettings(textOf(bytes));
    const auto *const accepted = std::get_if<process_settings>(&parsed);
    if (accepted == nullptr) {
        require(!std::get<std::vector<config_error>>(parsed).empty(),
                "settings rejected without an error");
        return;
    }
    require(!accepted->zone.empty(), "settings without zone");
    require(accepted->endpoint.starts_with("tcp://"),
            "settings with an endpoint that does not begin with tcp://");
    require(accepted->http.port != 0, "settings with port 0");
    require(accepted->http.maxConnections >= 16 && accepted->http.maxConnections <= 4096,
            "settings with max_connections out of range");
    require(std::ranges::all_of(accepted->entry.store, isAddress),
            "settings with an invalid store address");
    require(accepted->agent.target.empty() || isAddress(accepted->agent.target),
            "settings with an invalid target address");
}

void fuzzStoreAnswer(input_bytes bytes)
{
    const auto body = textOf(bytes);
    const auto isConsistent = [](const store_value &value) {
        return value.modified != store_revision::none || value.text.empty();
    };
    if (const auto value = detail::parseRangeResponse(body)) {
        require(isConsistent(*value), "range response with a value for an absent key");
    }
    if (const auto swap = detail::parseSwapResponse(body)) {
        require(swap->revision != store_revision::none, "swap response without revision");
    }
    if (const auto line = detail::parseWatchLine(body)) {
        require(std::ranges::all_of(line->values, isConsistent),
                "watch response with a value for a deleted key");
    }
}

void fuzzPlatformBody(input_bytes bytes)
{
    namespace http = boost::beast::http;
    const std::string body{textOf(bytes)};
    const auto findings = platform::reviewConfiguration(body, std::nullopt);
    checkReview(findings, isValid(findings));
    http_server_request request{http::verb::post, "/p/0000000000000001", 11};
    request.body() = body;
    const auto result = platform::decodeSubmission(batch_job_id{1}, request);
    if (const auto *const job = std::get_if<batch_submission>(&result)) {
        require(!job->steps.empty(), "job without steps");
        require(criticalPathLength(*job) >= duration{}, "job with a negative critical path length");
    }
    if (const auto report = platform::decodeTargetReport("i-1", body)) {
        require(!report->lifetime.id.empty(), "target report without id");
    }
    http_client_response response{http::status::ok, 11};
    response.body() = body;
    (void)platform::decodeTargetReply(call_id{1}, http_call_end::answered, response);
    const auto reply = platform::decodeStoreReply(call_id{1}, http_call_end::answered, response);
    require(reply.status == store_status::ok || reply.status == store_status::unanswered,
            "store reply with an unexpected status");
    if (const auto state = platform::decodeConfiguration({{"op/config", body}}, 1)) {
        const auto copy = decodeDesiredState(encode(*state));
        require(copy && copy->routes.size() == state->routes.size(),
                "desired state that changes when encoded and decoded");
    }
    if (const auto task = platform::parseTaskName(body)) {
        require(platform::parseTaskName(platform::taskName(*task)) == task,
                "task name that changes when parsed and written");
    }
}

} // namespace bamboohead::fuzz
