#include "bamboohead/http_entry.hpp"

#include <doctest/doctest.h>

#include <boost/json.hpp>

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace bamboohead {

namespace {

constexpr std::uint32_t minConnections = 10; // two waiting callers and the reserved threads
constexpr std::size_t moreThanQueued = 1000;
const job_id testJob{{{incarnation_id{1}, incarnation_id{2}}, 3}, 7};

/// HTTP interface of an entry; the test acts as its control thread.
class http_fixture
{
public:
    http_fixture() { m_server.start(); }

    ~http_fixture() { callers.clear(); }

    http_fixture(const http_fixture &) = delete;
    http_fixture &operator=(const http_fixture &) = delete;

    httplib::Client client() const
    {
        httplib::Client httpClient{"127.0.0.1", m_server.port()};
        httpClient.set_read_timeout(std::chrono::seconds{5});
        return httpClient;
    }

    int port() const { return m_server.port(); }

    /// Waits up to 5 s for the next input, which must be of type Input.
    template <typename Input>
    Input next()
    {
        std::optional<Input> found;
        for (int i = 0; i < 500 && !found; ++i) {
            inputs.drain([&](entry_input input) { found = std::get<Input>(std::move(input)); }, 1);
            if (!found) {
                std::this_thread::sleep_for(std::chrono::milliseconds{10});
            }
        }
        REQUIRE(found.has_value());
        return std::move(*found);
    }

    process_metrics metrics;
    input_queue<entry_input> inputs;
    caller_table callers;
    std::atomic<bool> draining{false};

private:
    http_server m_server{http_settings{}, request_settings{},
                         minConnections,  metrics,
                         draining,        [] { return std::optional<std::string>{"{}"}; }};
    http_entry m_routes{m_server, minConnections, inputs, callers, metrics};
};

std::string submission()
{
    return R"({"id":")" + toText(testJob) +
           R"(","team":"a","service":"b","deadline_ms":5000,)"
           R"("tasks":[{"payload":"x"}]})";
}

httplib::Result post(const http_fixture &fixture, const std::string &path)
{
    return fixture.client().Post(path, submission(), "application/json");
}

} // namespace

// Guards against an answer that is sent to the wrong caller or lacks its results.
TEST_CASE("a waiting caller receives the answer to its own request")
{
    http_fixture fixture;
    auto caller = std::async(std::launch::async, [&] { return post(fixture, "/v1/jobs"); });
    const auto input = fixture.next<submit_input>();
    CHECK(input.wait);
    CHECK(input.job.id == testJob);
    CHECK(input.job.deadline == std::chrono::seconds{5});
    job_answer answer;
    answer.id = testJob;
    answer.outcome = job_outcome::complete;
    answer.results = {"y"};
    fixture.callers.answer(caller_request{999}, errorAnswer(testJob, error_kind::cancelled));
    fixture.callers.answer(input.request, answer);
    const auto result = caller.get();
    REQUIRE(result);
    CHECK(result->status == 200);
    CHECK(boost::json::parse(result->body).at("results").at(0) == "y");
}

// Guards against a refusal that reports the job as not run although the job's home entry has not
// confirmed this. The HTTP interface passes the submission on to the entry's control thread, which
// the test plays, with a deadline that the job cannot meet: an unknown job is then refused at once,
// and a known one is answered from its record.
TEST_CASE("a submission beyond the limit of waiting callers is passed on without waiting")
{
    http_fixture fixture;
    std::vector<caller_table::waiter> waiting; // reach the limit of two waiting callers
    waiting.push_back(fixture.callers.add());
    waiting.push_back(fixture.callers.add());
    auto caller = std::async(std::launch::async, [&] { return post(fixture, "/v1/jobs"); });
    const auto input = fixture.next<submit_input>();
    CHECK_FALSE(input.wait);
    CHECK(input.job.deadline <= std::chrono::milliseconds{1});
    SUBCASE("an unknown job is answered with too_many_waiters")
    {
        fixture.callers.answer(input.request, errorAnswer(testJob, error_kind::overloaded));
        const auto result = caller.get();
        REQUIRE(result);
        CHECK(result->status == 503);
        const auto body = boost::json::parse(result->body);
        CHECK(body.at("error").at("kind") == "too_many_waiters");
        CHECK(body.at("may_have_run") == false);
    }
    SUBCASE("a job that has run is answered with its own outcome")
    {
        fixture.callers.answer(input.request, errorAnswer(testJob, error_kind::task_failed));
        const auto result = caller.get();
        REQUIRE(result);
        CHECK(boost::json::parse(result->body).at("error").at("kind") == "task_failed");
    }
    const auto session = fixture.client().Post("/v1/sessions");
    REQUIRE(session);
    CHECK(session->status == 503);
}

// Guards against callers that are left waiting when the process stops, and against answers that
// report a job as not run without evidence.
TEST_CASE("a caller that still waits at the end of the process receives outcome_unknown")
{
    http_fixture fixture;
    auto caller = std::async(std::launch::async, [&] { return post(fixture, "/v1/jobs"); });
    fixture.next<submit_input>();
    fixture.callers.clear();
    const auto result = caller.get();
    REQUIRE(result);
    CHECK(boost::json::parse(result->body).at("error").at("kind") == "outcome_unknown");
}

// Guards against routes that pass malformed input to the core.
TEST_CASE("malformed requests are answered 400 with the path of the fault")
{
    const http_fixture fixture;
    auto client = fixture.client();
    const auto check = [](const httplib::Result &result, const char *path) {
        REQUIRE(result);
        CHECK(result->status == 400);
        CHECK(boost::json::parse(result->body).at("error").at("path") == path);
    };
    check(client.Post("/v1/jobs?wait=maybe", submission(), "application/json"), "wait");
    check(client.Post("/v1/jobs", R"({"id":1})", "application/json"), "/id");
    check(client.Get("/v1/jobs/j1.x"), "id");
    check(client.Delete("/v1/jobs/j1.x"), "id");
    check(client.Put("/v1/manifest", "{}", "application/json"), "X-Config-Version");
    const auto wrong = client.Put("/v1/manifest", httplib::Headers{{"X-Config-Version", "5"}},
                                  R"({"nonsense":1})", "application/json");
    REQUIRE(wrong);
    CHECK(wrong->status == 400);
    CHECK(boost::json::parse(wrong->body).at("error").at("kind") == "manifest_invalid");
    const auto absent = client.Get("/v1/none");
    REQUIRE(absent);
    CHECK(absent->status == 404);
}

/// Sends a raw request to the port on the loopback address and returns at most 200 bytes of the
/// response.
std::string exchange(int port, const std::string &request)
{
    const int connection = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(connection, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0);
    REQUIRE(send(connection, request.data(), request.size(), 0) > 0);
    std::string answer(200, '\0');
    const auto size = recv(connection, answer.data(), answer.size(), 0);
    close(connection);
    answer.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return answer;
}

// Guards against requests without a body that block a server thread until the read timeout.
TEST_CASE("a request without Content-Length is answered without waiting for a body")
{
    http_fixture fixture;
    auto answer = std::async(std::launch::async, [&] {
        return exchange(fixture.port(), "POST /v1/sessions HTTP/1.1\r\nHost: a\r\n\r\n");
    });
    const auto input = fixture.next<open_session_input>();
    fixture.callers.answer(input.request,
                           answer_session_request{input.request, testJob.session, duration{1000}});
    CHECK(answer.get().starts_with("HTTP/1.1 200"));
    const auto refused = exchange(fixture.port(), "POST /v1/jobs HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(refused.starts_with("HTTP/1.1 400"));
}

// Guards against a request body that exhausts the memory before it is validated.
TEST_CASE("a body beyond 8 MB is refused with body_too_large")
{
    const http_fixture fixture;
    const std::string body(maxBodyBytes + 1, ' ');
    const auto result = fixture.client().Post("/v1/jobs", body, "application/json");
    REQUIRE(result);
    CHECK(result->status == 413);
    CHECK(boost::json::parse(result->body).at("error").at("kind") == "body_too_large");
}

// Guards against load balancers that route callers to an entry that is stopping.
TEST_CASE("/healthz returns 503 while the process drains; metrics and state stay available")
{
    http_fixture fixture;
    auto client = fixture.client();
    CHECK(client.Get("/healthz")->status == 200);
    fixture.draining = true;
    CHECK(client.Get("/healthz")->status == 503);
    fixture.metrics.update(entry_counters{.jobsSubmitted = 3});
    const auto metrics = client.Get("/metrics");
    REQUIRE(metrics);
    CHECK(metrics->body.find("bamboohead_jobs_submitted_total 3") != std::string::npos);
    CHECK(client.Get("/v1/state")->body == "{}");
}

// Guards against inputs that are lost when more are queued than one pass handles.
TEST_CASE("inputs beyond the limit of one pass stay queued and keep the descriptor readable")
{
    input_queue<int> queue;
    for (int i = 0; i < 5; ++i) {
        queue.push(i);
    }
    std::vector<int> taken;
    queue.drain([&](int input) { taken.push_back(input); }, 3);
    pollfd waiting{queue.descriptor(), POLLIN, 0};
    CHECK(poll(&waiting, 1, 0) == 1);
    queue.drain([&](int input) { taken.push_back(input); }, moreThanQueued);
    CHECK(taken == std::vector<int>{0, 1, 2, 3, 4});
    CHECK(poll(&waiting, 1, 0) == 0);
}

// Guards against a second process that silently receives part of the requests of the first one.
TEST_CASE("a server fails to start on a port that another one listens on")
{
    const http_fixture fixture;
    http_settings settings;
    settings.port = static_cast<std::uint16_t>(fixture.port());
    const process_metrics metrics;
    const std::atomic<bool> draining{false};
    http_server second{settings,       request_settings{},
                       minConnections, metrics,
                       draining,       [] { return std::optional<std::string>{"{}"}; }};
    CHECK_THROWS_AS(second.start(), std::runtime_error);
}

} // namespace bamboohead
