#include "bamboohead/detail/http/job_json.hpp"

#include <doctest/doctest.h>

namespace bamboohead::detail {

namespace leaf = boost::leaf;

namespace {

constexpr const char *idText = "j1.0000000000000001.0000000000000002.0000000000000003.7";

template <typename Parse>
request_fault faultOf(Parse parse, const std::string &body)
{
    return leaf::try_handle_all(
            [&]() -> leaf::result<request_fault> {
                BOOST_LEAF_AUTO(parsed, parse(body));
                (void)parsed;
                return request_fault{error_kind::none, "", ""};
            },
            [](const request_fault &fault) { return fault; },
            [] {
                return request_fault{error_kind::internal, "", ""};
            });
}

std::string submission(const std::string &members)
{
    return R"({"id":")" + std::string{idText} + R"(","team":"a","service":"b",)" + members + "}";
}

std::string faultPath(const std::string &body)
{
    const auto fault = faultOf(parseSubmission, body);
    CHECK(fault.kind == error_kind::invalid_request);
    return fault.path;
}

} // namespace

// Guards against fields of a request that are not passed to the core.
TEST_CASE("a submission is parsed with all its fields")
{
    const auto job = parseSubmission(submission(
            R"("deadline_ms":1500,"idempotent":true,"tasks":[{"payload":"x"},{"payload":""}])"));
    REQUIRE(job);
    CHECK(toText(job->id) == idText);
    CHECK(job->team == "a");
    CHECK(job->service == "b");
    CHECK(job->deadline == std::chrono::milliseconds{1500});
    CHECK(job->idempotent);
    CHECK(job->payloads == std::vector<std::string>{"x", ""});
    CHECK(job->hash == hashContent(*job));
}

// Guards against malformed requests that are accepted, and against errors that do not name the
// invalid field.
TEST_CASE("a malformed submission is refused with the path of the fault")
{
    const std::string tasks = R"("tasks":[{"payload":"x"}])";
    CHECK(faultPath("{") == "");
    CHECK(faultPath("[1]") == "");
    CHECK(faultPath(submission(tasks + R"(,"retries":3)")) == "/retries");
    CHECK(faultPath(R"({"id":"j1.1","team":"a","service":"b",)" + tasks + "}") == "/id");
    CHECK(faultPath(R"({"id":")" + std::string{idText} + R"(","team":7,"service":"b",)" + tasks +
                    "}") == "/team");
    CHECK(faultPath(submission(R"("deadline_ms":0,)" + tasks)) == "/deadline_ms");
    CHECK(faultPath(submission(R"("deadline_ms":600001,)" + tasks)) == "/deadline_ms");
    CHECK(faultPath(submission(R"("deadline_ms":1.5,)" + tasks)) == "/deadline_ms");
    CHECK(faultPath(submission(R"("idempotent":1,)" + tasks)) == "/idempotent");
    CHECK(faultPath(submission(R"("tasks":[])")) == "/tasks");
    CHECK(faultPath(submission(R"("tasks":{})")) == "/tasks");
    CHECK(faultPath(submission(R"("tasks":[{"payload":"x"},{}])")) == "/tasks/1/payload");
    CHECK(faultPath(submission(R"("tasks":["x"])")) == "/tasks/0");
    CHECK(faultPath(submission(R"("tasks":[{"payload":"x","cpu":1}])")) == "/tasks/0/cpu");
}

// Guards against jobs larger than the limits that the entries are sized for.
TEST_CASE("a submission that exceeds the task or payload limits is refused")
{
    std::string tasks = R"({"payload":""})";
    for (std::size_t i = 1; i < maxTasksPerJob; ++i) {
        tasks += R"(,{"payload":""})";
    }
    CHECK(parseSubmission(submission(R"("tasks":[)" + tasks + "]")));
    CHECK(faultPath(submission(R"("tasks":[)" + tasks + R"(,{"payload":""}])")) == "/tasks");
    const std::string full(maxPayloadBytes, 'x');
    CHECK(parseSubmission(submission(R"("tasks":[{"payload":")" + full + R"("}])")));
    CHECK(faultPath(submission(R"("tasks":[{"payload":")" + full + R"(x"}])")) ==
          "/tasks/0/payload");
    // More than 8 levels of nesting are a fault of the whole body, whose path is empty.
    CHECK(faultPath(submission(R"("tasks":[[[[[[[[[[1]]]]]]]]]])")) == "");
}

// Guards against announcements that would make an agent call an invalid address or use a wrong
// number of slots.
TEST_CASE("a target's announcement is validated")
{
    const auto path = [](const std::string &body) { return faultOf(parseTarget, body).path; };
    const auto body = [](const std::string &slots, const std::string &address,
                         const std::string &state) {
        return R"({"service":"s","slots":)" + slots + R"(,"address":")" + address +
               R"(","state":")" + state + R"("})";
    };
    const auto target = parseTarget(body("8", "127.0.0.1:9000", "leaving"));
    REQUIRE(target);
    CHECK(target->announcement.slots == 8);
    CHECK(target->announcement.state == target_state::leaving);
    CHECK(path(body("0", "127.0.0.1:9000", "ready")) == "/slots");
    CHECK(path(body("8", "127.0.0.1", "ready")) == "/address");
    CHECK(path(body("8", "127.0.0.1:9000", "gone")) == "/state");
}

// Guards against answers that report a failed job as not run, or have a wrong HTTP status.
TEST_CASE("an answer contains the outcome, error, may_have_run and results")
{
    const auto id = parseJobId(idText).value();
    const auto failed = boost::json::parse(toJson(errorAnswer(id, error_kind::outcome_unknown)));
    CHECK(failed.at("id") == idText);
    CHECK(failed.at("outcome") == "failed");
    CHECK(failed.at("error").at("number") == 302);
    CHECK(failed.at("error").at("kind") == "outcome_unknown");
    CHECK(failed.at("may_have_run") == true);
    CHECK(httpStatus(errorAnswer(id, error_kind::outcome_unknown)) == 502);
    CHECK(httpStatus(errorAnswer(id, error_kind::overloaded)) == 503);
    job_answer complete;
    complete.outcome = job_outcome::complete;
    complete.results = {"one", "two"};
    CHECK(boost::json::parse(toJson(complete)).at("results").as_array().size() == 2);
    CHECK(httpStatus(complete) == 200);
    // may_have_run must not be false when tasks have run or may still run.
    CHECK(boost::json::parse(toJson(complete)).at("may_have_run") == true);
    CHECK(boost::json::parse(toJson(job_answer{})).at("may_have_run") == true);
    CHECK(httpStatus(job_answer{}) == 202);
}

// Guards against task results that would make an answer invalid JSON.
TEST_CASE("malformed UTF-8 is detected")
{
    CHECK(isUtf8("plain"));
    CHECK(isUtf8("\xc3\xa4 \xe2\x82\xac \xf0\x9f\x8e\x8b"));
    CHECK_FALSE(isUtf8("\xff"));
    CHECK_FALSE(isUtf8("\xc3"));
    CHECK_FALSE(isUtf8("\xc0\xaf"));
    CHECK_FALSE(isUtf8("\xe0\x80\x80"));
    CHECK_FALSE(isUtf8("\xed\xa0\x80"));
    CHECK_FALSE(isUtf8("\xf4\x90\x80\x80"));
    CHECK_FALSE(isUtf8("\xe2\x82x"));
}

} // namespace bamboohead::detail
