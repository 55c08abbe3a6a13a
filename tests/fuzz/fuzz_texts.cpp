#include "fuzz_targets.hpp"

#include "bamboohead/detail/http/job_json.hpp"
#include "bamboohead/manifest.hpp"
#include "bamboohead/settings.hpp"
#include "etcd_messages.hpp"
#include "platform/caller_api.hpp"
#include "platform/store_api.hpp"
#include "platform/target_api.hpp"

#include <algorithm>

namespace bamboohead::fuzz {

namespace {

constexpr std::uint32_t mostSlots = 256;
constexpr std::uint32_t mostWeight = 1'000;

bool acceptsLikeItsOriginal(std::string_view text, const manifest &original)
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

void checkJob(const job_submission &job)
{
    require(!job.payloads.empty() && job.payloads.size() <= maxTasksPerJob, "tasks");
    require(std::ranges::all_of(
                    job.payloads,
                    [](const auto &payload) { return payload.size() <= maxPayloadBytes; }),
            "payload");
    require(!job.team.empty() && !job.service.empty(), "names");
    require(job.deadline >= duration{} && job.deadline <= detail::maxDeadline, "deadline");
    require(parseJobId(toText(job.id)) == job.id, "id");
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
                require(!detail::toJson(fault).empty(), "fault text");
            },
            [] { require(false, "error without a request_fault"); });
    leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(target, detail::parseTarget(textOf(bytes)));
                const auto slots = target.announcement.slots;
                require(slots >= 1 && slots <= mostSlots, "slots");
                require(isAddress(target.address), "address");
                return {};
            },
            [](const detail::request_fault &) {}, [] { require(false, "no request_fault"); });
}

void fuzzManifest(input_bytes bytes)
{
    const auto text = textOf(bytes);
    const auto parsed = parseManifest(text);
    const auto *const accepted = std::get_if<manifest>(&parsed);
    if (accepted == nullptr) {
        require(!std::get<std::vector<config_error>>(parsed).empty(), "faults");
        return;
    }
    require(!accepted->zones.empty() && !accepted->services.empty(), "tables");
    for (const auto &[name, service] : accepted->services) {
        require(service.weight >= 1 && service.weight <= mostWeight, "service weight");
        require(service.defaultDeadline > duration{} &&
                        service.defaultDeadline <= detail::maxDeadline,
                "default deadline");
    }
    for (const auto &[name, team] : accepted->teams) {
        require(team.weight >= 1 && team.weight <= mostWeight, "team weight");
    }
    require(acceptsLikeItsOriginal(text, *accepted), "zone change");
}

void fuzzSettings(input_bytes bytes)
{
    const auto parsed = parseSettings(textOf(bytes));
    const auto *const accepted = std::get_if<process_settings>(&parsed);
    if (accepted == nullptr) {
        require(!std::get<std::vector<config_error>>(parsed).empty(), "faults");
        return;
    }
    require(!accepted->zone.empty(), "zone");
    require(accepted->endpoint.starts_with("tcp://"), "endpoint");
    require(accepted->http.port != 0, "port");
    require(accepted->http.maxConnections >= 16 && accepted->http.maxConnections <= 4096,
            "max_connections");
    require(std::ranges::all_of(accepted->entry.store, isAddress), "store");
    require(accepted->agent.target.empty() || isAddress(accepted->agent.target), "target");
}

void fuzzStoreAnswer(input_bytes bytes)
{
    const auto body = textOf(bytes);
    const auto known = [](const store_value &value) {
        return value.modified != store_revision::none || value.text.empty();
    };
    if (const auto value = detail::parseRangeResponse(body)) {
        require(known(*value), "absent key with a value");
    }
    if (const auto swap = detail::parseSwapResponse(body)) {
        require(swap->revision != store_revision::none, "revision");
    }
    if (const auto line = detail::parseWatchLine(body)) {
        require(std::ranges::all_of(line->values, known), "deleted key with a value");
    }
}

void fuzzPlatformBody(input_bytes bytes)
{
    namespace http = boost::beast::http;
    const std::string body{textOf(bytes)};
    http_server_request request{http::verb::post, "/p/0000000000000001", 11};
    request.body() = body;
    const auto result = platform::decodeSubmission(batch_job_id{1}, request);
    if (const auto *const job = std::get_if<batch_submission>(&result)) {
        require(!job->steps.empty(), "steps");
        require(criticalPathLength(*job) >= duration{}, "chain");
    }
    if (const auto report = platform::decodeTargetReport("i-1", body)) {
        require(!report->lifetime.id.empty(), "target id");
    }
    http_client_response response{http::status::ok, 11};
    response.body() = body;
    (void)platform::decodeTargetReply(call_id{1}, http_call_end::answered, response);
    const auto reply = platform::decodeStoreReply(call_id{1}, http_call_end::answered, response);
    require(reply.status == store_status::ok || reply.status == store_status::unanswered, "status");
    if (const auto state = platform::decodeConfiguration({{"op/config", body}}, 1)) {
        const auto copy = decodeDesiredState(encode(*state));
        require(copy && copy->routes.size() == state->routes.size(), "routes");
    }
    if (const auto task = platform::parseTaskName(body)) {
        require(platform::parseTaskName(platform::taskName(*task)) == task, "task name");
    }
}

} // namespace bamboohead::fuzz
