#include "platform/caller_api.hpp"
#include "platform/store_api.hpp"
#include "platform/target_api.hpp"

#include <doctest/doctest.h>

#include <boost/json.hpp>

using namespace bamboohead;
using namespace std::chrono_literals;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr batch_job_id jobId{0x5c0e7a21d94b36f8};

/// A request with an arbitrary path prefix and host. The Host header has a port, which
/// platform::hostOf removes.
http_server_request post(const std::string &body)
{
    http_server_request request{http::verb::post, "/lohu930/5c0e7a21d94b36f8", 11};
    request.set(http::field::host, "nony24.example:80");
    request.body() = body;
    return request;
}

std::string faultMessage(const std::string &body)
{
    const auto result = platform::decodeSubmission(jobId, post(body));
    const auto *const fault = std::get_if<platform::caller_fault>(&result);
    return fault == nullptr ? "" : fault->message;
}

http_client_response answer(unsigned status, const std::string &body)
{
    http_client_response response{http::int_to_status(status), 11};
    response.body() = body;
    return response;
}

} // namespace

TEST_CASE("platform: a job is decoded with its steps")
{
    auto request = post(R"({"taskSpec":"text","bestEffort":true,"steps":[
        {"count":4,"cpu":500,"memMb":256,"estimateMs":900,"affinity":"r1-3"},
        {"count":2,"cpu":2000,"gpu":1,"after":[0],"requirements":"a","antiAffinity":3}]})");
    request.set("X-Bamboohead-Deadline-Ms", "2500");
    const auto result = platform::decodeSubmission(jobId, request);
    const auto *const job = std::get_if<batch_submission>(&result);
    REQUIRE(job != nullptr);
    CHECK(job->id == jobId);
    CHECK(job->spec == "text");
    CHECK(job->bestEffort);
    CHECK_FALSE(job->usesUnsupportedFeature);
    CHECK(job->callerTimeout == 2'500ms);
    REQUIRE(job->steps.size() == 2);
    CHECK(job->steps[0].demand == resources{500, 256, 0});
    CHECK(job->steps[0].estimate == 900ms);
    CHECK(job->steps[0].preferredLabel == "r1-3");
    CHECK(job->steps[1].demand == resources{2'000, 0, 1});
    CHECK(job->steps[1].dependsOn == std::vector<std::uint32_t>{0});
    CHECK(job->steps[1].requiredLabel == "a");
    CHECK(job->steps[1].maxTasksPerTarget == 3);
    CHECK(platform::hostOf(request) == "nony24.example");
}

TEST_CASE("platform: malformed jobs are rejected, and errors in steps name the path")
{
    CHECK(faultMessage("") != "");
    CHECK(faultMessage("[]") != "");
    CHECK(faultMessage("{\"steps\":[{\"count\":1}]}") != "");
    CHECK(faultMessage(R"({"taskSpec":"t"})") != "");
    CHECK(faultMessage(R"({"taskSpec":"t","steps":[]})") != "");
    CHECK(faultMessage(R"({"taskSpec":"t","steps":[7]})") == "steps/0 is not an object");
    CHECK(faultMessage(R"({"taskSpec":"t","steps":[{"count":0}]})").starts_with("steps/0/count"));
    CHECK(faultMessage(R"({"taskSpec":"t","steps":[{"count":1201}]})")
                  .starts_with("steps/0/count"));
    CHECK(faultMessage(R"({"taskSpec":"t","steps":[{"count":-1}]})").starts_with("steps/0/count"));
    CHECK(faultMessage(R"({"taskSpec":"t","steps":[{"count":1,"after":[0]}]})")
                  .starts_with("steps/0/after"));
    CHECK(faultMessage(R"({"taskSpec":"t","steps":[{"count":1,"after":"x"}]})")
                  .starts_with("steps/0/after"));
    CHECK(faultMessage(R"({"taskSpec":"t","steps":[{"count":800},{"count":800}]})") != "");
    CHECK(faultMessage("{\"taskSpec\":\"" + std::string(4'001, 'x') +
                       "\",\"steps\":[{\"count\":1}]}") != "");
}

TEST_CASE("platform: jobs with unsupported members are marked as unsupported")
{
    for (const std::string extra :
         {R"("gang":true)", R"("longRunning":true)", R"("fills":true)", R"("targetMs":50)"}) {
        const auto result = platform::decodeSubmission(
                jobId, post(R"({"taskSpec":"t","steps":[{"count":1,)" + extra + "}]}"));
        CHECK(std::get<batch_submission>(result).usesUnsupportedFeature);
    }
    const auto repeated = platform::decodeSubmission(
            jobId, post(R"({"taskSpec":"t","repeatCount":3,"steps":[{"count":1}]})"));
    CHECK(std::get<batch_submission>(repeated).usesUnsupportedFeature);
}

TEST_CASE("platform: replies to callers contain the state or error, and the time before a retry")
{
    CHECK(platform::encode({{}, batch_job_state::succeeded, error_kind::none, {}, {}}).body() ==
          R"({"state":"succeeded"})");
    const auto refusal =
            platform::encode({{}, batch_job_state::failed, error_kind::overloaded, 1'200ms, {}});
    CHECK(refusal.result_int() == 503);
    CHECK(refusal[http::field::retry_after] == "2");
    CHECK(platform::encodeFault(error_kind::unknown_route).result_int() == 404);
    CHECK(platform::encodeUnknownJob().result_int() == 410);
    CHECK(platform::encodeWaitingJobs(12).body() == R"({"waiting":12})");
}

TEST_CASE("platform: calls to a target carry its id, the run and the lease")
{
    start_run start;
    start.header = {call_id{1}, "10.0.0.1:80", "i-7f3a91c2", 100ms};
    start.ref = {{jobId, 1, 17}, 2};
    start.spec = "text";
    start.leaseEndMs = 486'000;
    start.fence = 7;
    const auto request = platform::encode(target_call{start});
    CHECK(request.target() == "/run-start");
    CHECK(request["X-Bamboohead-Target-Instance"] == "i-7f3a91c2");
    const auto body = json::parse(request.body());
    CHECK(body.at("task").as_string() == "5c0e7a21d94b36f8.0.1.17");
    CHECK(body.at("run").as_int64() == 2);
    CHECK(body.at("untilMs").as_int64() == 486'000);
    CHECK(body.at("fence").to_number<int>() == 7);

    list_runs list;
    list.wait = 250ms;
    list.endsSeen = 57;
    const auto listBody = json::parse(platform::encode(target_call{list}).body());
    CHECK(listBody.at("waitMs").as_int64() == 250);
    CHECK(listBody.at("seenUpto").to_number<int>() == 57);
    CHECK_FALSE(listBody.as_object().contains("untilMs"));
}

TEST_CASE("platform: replies of a target are decoded")
{
    const auto fenced =
            platform::decodeTargetReply(call_id{1}, http_call_end::answered,
                                        answer(409, R"({"clockMs":482113,"reason":"fence"})"));
    CHECK(fenced.status == call_status::refused);
    CHECK(fenced.refusal == call_refusal::fenced);
    CHECK(fenced.clockMs == 482'113);
    CHECK(platform::decodeTargetReply(call_id{1}, http_call_end::answered, answer(421, "{}"))
                  .status == call_status::wrong_target);
    CHECK(platform::decodeTargetReply(call_id{1}, http_call_end::answered, answer(503, "{}"))
                  .status == call_status::unhealthy);
    CHECK(platform::decodeTargetReply(call_id{1}, http_call_end::not_sent, {}).status ==
          call_status::unreachable);
    CHECK(platform::decodeTargetReply(call_id{1}, http_call_end::unanswered, {}).status ==
          call_status::unanswered);
    // A status that the protocol does not define doesn't show whether the call was executed.
    CHECK(platform::decodeTargetReply(call_id{1}, http_call_end::answered, answer(500, "{}"))
                  .status == call_status::unanswered);
}

TEST_CASE("platform: malformed rows of a listing of runs are skipped")
{
    // "alone" is no kind of end that the decoder has; such an end counts as lapsed.
    const auto reply = platform::decodeTargetReply(call_id{1}, http_call_end::answered,
                                                   answer(200, R"({"clockMs":1,"born":99,
                "running":[["5c0e7a21d94b36f8.0.1.17",2,"",41],["x",1,"",0],7],
                "ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],[59,"5c0e7a21d94b36f8.0.1.8",1,"alone",""],[60]]})"));
    REQUIRE(reply.listing);
    CHECK(reply.listing->startedMs == 99);
    REQUIRE(reply.listing->running.size() == 1);
    CHECK(reply.listing->running[0] == run_ref{{jobId, 1, 17}, 2});
    REQUIRE(reply.listing->ended.size() == 2);
    CHECK(reply.listing->ended[0].kind == run_end_kind::done);
    CHECK(reply.listing->ended[1].kind == run_end_kind::lapsed);
    CHECK_FALSE(platform::decodeTargetReply(call_id{1}, http_call_end::answered,
                                            answer(200, R"({"running":7})"))
                        .listing);
}

// Guards against runs that are taken for lost because a target lists at most 500 ends at a time.
TEST_CASE("platform: a listing with as many ends as a target lists at a time is incomplete")
{
    const auto listingWith = [](int ends) {
        std::string rows;
        for (int number = 1; number <= ends; ++number) {
            rows += (rows.empty() ? "" : ",") +
                    ("[" + std::to_string(number) + R"(,"5c0e7a21d94b36f8.0.1.9",1,"done",""])");
        }
        const auto reply = platform::decodeTargetReply(
                call_id{1}, http_call_end::answered,
                answer(200, R"({"clockMs":1,"running":[],"ended":[)" + rows + "]}"));
        REQUIRE(reply.listing);
        return *reply.listing;
    };
    CHECK(listingWith(499).endsComplete);
    CHECK_FALSE(listingWith(500).endsComplete);
}

TEST_CASE("platform: incomplete status reports of a target are rejected")
{
    const std::string good =
            R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":8,"state":"ready",
            "capacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a","r1-3"],
            "clockMs":482113,"seq":4,"born":1700000000000})";
    const auto report = platform::decodeTargetReport("i-1", good);
    REQUIRE(report);
    CHECK(report->lifetime == target_lifetime{"i-1", 1'700'000'000'000});
    CHECK(report->capacity == resources{16'000, 32'768, 0});
    CHECK(report->labels.size() == 2);
    CHECK(report->phase == target_phase::serving);
    for (const std::string part :
         {R"("service":"s")", R"("address":"10.0.0.9:80")", R"("state":"ready")", R"("seq":4)"}) {
        auto broken = good;
        broken.replace(broken.find(part), part.size(), R"("other":1)");
        CHECK_FALSE(platform::decodeTargetReport("i-1", broken));
    }
    CHECK_FALSE(platform::decodeTargetReport("i-1", "\xff\xfe"));
    CHECK_FALSE(platform::decodeTargetReport("i-1", "[]"));
    CHECK(platform::reportedTargetId("/instances/i-1") == "i-1");
    CHECK_FALSE(platform::reportedTargetId("/instances/"));
    CHECK_FALSE(platform::reportedTargetId("/other"));
}

// Guards against a target that counts as received what its agent ignores.
TEST_CASE("only a report that is used is acknowledged")
{
    CHECK(platform::encodeReportReceipt(true).result_int() == 200);
    CHECK(platform::encodeReportReceipt(false).result_int() == 409);
}

TEST_CASE("platform: task names consist of job, occurrence, step and index")
{
    // The occurrence is 0 because repeated jobs are not supported.
    CHECK(platform::parseTaskName("5c0e7a21d94b36f8.0.1.17") == batch_task{jobId, 1, 17});
    CHECK(platform::taskName({jobId, 1, 17}) == "5c0e7a21d94b36f8.0.1.17");
    for (const auto *const name :
         {"", "5c0e7a21d94b36f8", "5c0e7a21d94b36f8.0.1", "5c0e7a21d94b36f8.0.1.x",
          "5C0E7A21D94B36F8.0.1.17", "5c0e7a21d94b36f8.0.1.17.3", "5c0e7a21d94b36f8x0.1.17"}) {
        CHECK_FALSE(platform::parseTaskName(name));
    }
}

TEST_CASE("platform: calls to the store contain the key prefix of the area")
{
    const list_area list{{call_id{1}, 1s}, store_area::configuration, "op/b", true};
    CHECK(platform::encode(store_request{list}).target() ==
          "/kv-range?prefix=op/&after=op/b&serializable=1");
    const watch_area watch{{call_id{2}, 1s}, store_area::members, 41, 1'000ms};
    CHECK(platform::encode(store_request{watch}).target() ==
          "/kv-watch?prefix=bamboohead/entries/&after=41&waitMs=1000");
    const put_member put{{call_id{3}, 1s}, "aa", "tcp://a:1", 5};
    const auto body = json::parse(platform::encode(store_request{put}).body());
    CHECK(body.at("expect").at(0).at("revision").as_int64() == 0);
    CHECK(body.at("writes").at(0).at("key").as_string() == "bamboohead/entries/aa");
    CHECK(body.at("writes").at(0).at("lease").to_number<int>() == 5);
}

TEST_CASE("platform: replies of the store are decoded without malformed items")
{
    const auto reply = platform::decodeStoreReply(
            call_id{1}, http_call_end::answered,
            answer(200, R"({"items":[{"key":"op/config","value":"e30=","revision":4},
                {"key":"op/x","value":"***","revision":5},{"value":"e30="},7],
                "hasMore":true,"currentRev":530})"));
    CHECK(reply.status == store_status::ok);
    CHECK(reply.more);
    CHECK(reply.revision == 530);
    REQUIRE(reply.items.size() == 1);
    CHECK(reply.items[0].value == "{}");
    const auto removed = platform::decodeStoreReply(
            call_id{1}, http_call_end::answered,
            answer(200, R"({"events":[{"key":"k","revision":6,"deleted":true}],"currentRev":6})"));
    CHECK(removed.items.at(0).removed);
    CHECK(platform::decodeStoreReply(call_id{1}, http_call_end::answered, answer(410, "{}"))
                  .status == store_status::gone);
    CHECK(platform::decodeStoreReply(call_id{1}, http_call_end::answered, answer(429, "{}"))
                  .status == store_status::unavailable);
    CHECK(platform::decodeStoreReply(call_id{1}, http_call_end::answered, answer(200, "x"))
                  .status == store_status::unanswered);
}

TEST_CASE("platform: the operators' desired state and zones out of service are decoded")
{
    // The second route is malformed and is skipped; the key op/wave/1 is unknown and is ignored.
    const std::map<std::string, std::string> items{
            {"op/config",
             R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/","service":"s",
                "priority":2,"maxAttempts":3,"stretch":1.6,"targetLatencyMs":60,"timeoutMs":1500},
                {"host":7}],"services":[{"name":"s"}],"limits":{"maxBodyBytes":262144}})"},
            {"op/evacuate/graz", "{}"},
            {"op/wave/1", "{}"}};
    const auto state = platform::decodeConfiguration(items, 40);
    REQUIRE(state);
    CHECK(state->version == 7);
    CHECK(state->revision == 40);
    REQUIRE(state->routes.size() == 1);
    CHECK(state->routes[0].objectiveOffset == 60ms);
    CHECK(state->routes[0].stretch == doctest::Approx(1.6));
    CHECK(state->zoneOutOfService("graz"));
    CHECK(state->maxBodyBytes == 262'144);
    CHECK_FALSE(platform::decodeConfiguration({{"op/config", "x"}}, 1));
    CHECK_FALSE(platform::decodeConfiguration({}, 1));
}

// Guards against a target or a calculation that is replaced by one with a wrong number: one above
// the range of its type was cut to the type's width, and one of another type counted as missing.
TEST_CASE("platform: status reports with numbers out of range are rejected")
{
    const auto reportWith = [](const std::string &name, const std::string &value) {
        auto body = json::parse(R"({"service":"s","address":"10.0.0.9:80","zone":"z",
            "state":"ready","capacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a"],
            "clockMs":482113,"seq":4,"born":1700000000000})")
                            .as_object();
        auto &object = name == "cpu" || name == "memMb" || name == "gpu"
                               ? body.at("capacity").as_object()
                               : body;
        object[name] = json::parse(value);
        return platform::decodeTargetReport("i-1", json::serialize(body));
    };
    for (const std::string name : {"born", "clockMs", "seq", "cpu", "memMb", "gpu"}) {
        CAPTURE(name);
        CHECK(reportWith(name, "1"));
        for (const std::string value : {"18446744073709551615", "9999999999999999", "-1", "1.5",
                                        "1e300", R"("1")", "null", "[]"}) {
            CAPTURE(value);
            CHECK_FALSE(reportWith(name, value));
        }
    }
    for (const std::string value : {R"("a")", R"([1])", R"({"a":1})", "null"}) {
        CAPTURE(value);
        CHECK_FALSE(reportWith("labels", value));
    }
    CHECK_FALSE(reportWith("zone", "1"));
    CHECK_FALSE(reportWith("service", '"' + std::string(100'000, 's') + '"'));
}

// Guards against a row of a listing that is taken for that of another run: its run number was cut
// to 32 bits.
TEST_CASE("platform: rows and clocks out of range are skipped, and the rest of a reply holds")
{
    const auto reply = platform::decodeTargetReply(call_id{1}, http_call_end::answered,
                                                   answer(200, R"({"clockMs":18446744073709551615,
                "running":[["5c0e7a21d94b36f8.0.1.17",4294967298,"",41],
                           ["5c0e7a21d94b36f8.0.1.18",2,"",41]],
                "ended":[[18446744073709551615,"5c0e7a21d94b36f8.0.1.9",1,"done",""],
                         [58,"5c0e7a21d94b36f8.0.1.9",4294967297,"done",""],
                         [59,"5c0e7a21d94b36f8.0.1.8",1,"done",""]]})"));
    CHECK_FALSE(reply.clockMs);
    REQUIRE(reply.listing);
    CHECK(reply.listing->running == std::vector<run_ref>{{{jobId, 1, 18}, 2}});
    REQUIRE(reply.listing->ended.size() == 1);
    CHECK(reply.listing->ended[0].number == 59);
    // The lifetime that replied is not known.
    CHECK_FALSE(platform::decodeTargetReply(
                        call_id{1}, http_call_end::answered,
                        answer(200, R"({"born":18446744073709551615,"running":[],"ended":[]})"))
                        .listing);
}

// Guards against calls to another process than the one that an address names: ports were cut to 16
// bits, and text after the port was ignored.
TEST_CASE("platform: status reports with an unusable address are rejected")
{
    for (const std::string address :
         {"10.0.0.9:70000", "10.0.0.9:0", "10.0.0.9", "10.0.0.9:", ":80", "", "target.example:80",
          "10.0.0.9:80\\r\\nX: y", "10.0.0.9:+80", "10.0.0:80", "10.0.0.256:80"}) {
        CAPTURE(address);
        CHECK_FALSE(
                platform::decodeTargetReport("i-1", R"({"service":"s","address":")" + address +
                                                            R"(","zone":"z","state":"ready","seq":4,
                               "capacity":{"cpu":16000,"memMb":32768}})"));
    }
}

// Guards against a listing of the store that fails at its second page because the last key of the
// first one has characters that end a query or a request line.
TEST_CASE("platform: keys are escaped in the paths of calls to the store")
{
    const list_area list{{call_id{1}, 1s}, store_area::configuration, "op/a b&c#%\r\n\xc3\xa9"};
    CHECK(platform::encode(store_request{list}).target() ==
          "/kv-range?prefix=op/&after=op/a%20b%26c%23%25%0D%0A%C3%A9");
}

// Guards against routes with another priority or number of attempts than the operators': numbers
// were cut to 32 bits, so that a large one became 0.
TEST_CASE("platform: large numbers of a route are limited")
{
    const auto state = platform::decodeConfiguration(
            {{"op/config", R"({"version":7,"routes":[{"host":"h","prefix":"/p/","service":"s",
                "priority":4294967296,"maxAttempts":4294967296}],
                "limits":{"maxBodyBytes":4294967296}})"}},
            40);
    REQUIRE(state);
    REQUIRE(state->routes.size() == 1);
    CHECK(state->routes[0].priority > 1'000'000);
    CHECK(state->routes[0].maxAttempts > 1'000'000);
    const auto copy = decodeDesiredState(encode(*state));
    REQUIRE(copy);
    CHECK(copy->maxBodyBytes >= 4'294'967'295);
}
