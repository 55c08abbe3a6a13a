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

constexpr std::uint32_t fewestConnections = 10; // two waiting callers beside the free threads
constexpr std::size_t anyNumber = 1000;
const job_id someJob{{{incarnation_id{1}, incarnation_id{2}}, 3}, 7};

/// Entry's HTTP side with the test in place of the control thread.
class http_fixture
{
public:
    http_fixture() { m_server.start(); }

    ~http_fixture() { callers.clear(); }

    http_fixture(const http_fixture &) = delete;
    http_fixture &operator=(const http_fixture &) = delete;

    httplib::Client client() const
    {
        httplib::Client made{"127.0.0.1", m_server.port()};
        made.set_read_timeout(std::chrono::seconds{5});
        return made;
    }

    int port() const { return m_server.port(); }

    /// Waits for the next input of one type.
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
    http_server m_server{http_settings{}, fewestConnections, metrics, draining,
                         [] { return std::optional<std::string>{"{}"}; }};
    http_entry m_routes{m_server, fewestConnections, inputs, callers, metrics};
};

std::string submission()
{
    return R"({"id":")" + toText(someJob) +
           R"(","team":"a","service":"b","deadline_ms":5000,)"
           R"("tasks":[{"payload":"x"}]})";
}

httplib::Result post(const http_fixture &fixture, const std::string &path)
{
    return fixture.client().Post(path, submission(), "application/json");
}

} // namespace

// Guards against answers that reach another caller or lose their results.
TEST_CASE("a waiting caller gets the answer given to its request")
{
    http_fixture fixture;
    auto caller = std::async(std::launch::async, [&] { return post(fixture, "/v1/jobs"); });
    const auto input = fixture.next<submit_input>();
    CHECK(input.wait);
    CHECK(input.job.id == someJob);
    CHECK(input.job.deadline == std::chrono::seconds{5});
    job_answer answer;
    answer.id = someJob;
    answer.outcome = job_outcome::complete;
    answer.results = {"y"};
    fixture.callers.answer(caller_request{999}, errorAnswer(someJob, error_kind::cancelled));
    fixture.callers.answer(input.request, answer);
    const auto result = caller.get();
    REQUIRE(result);
    CHECK(result->status == 200);
    CHECK(boost::json::parse(result->body).at("results").at(0) == "y");
}

// Guards against a refusal "not run" that the home of the job has not confirmed.
TEST_CASE("a submission beyond the limit of waiting callers is refused by the core")
{
    http_fixture fixture;
    std::vector<caller_table::waiter> waiting;
    waiting.push_back(fixture.callers.add());
    waiting.push_back(fixture.callers.add());
    auto caller = std::async(std::launch::async, [&] { return post(fixture, "/v1/jobs"); });
    const auto input = fixture.next<submit_input>();
    CHECK_FALSE(input.wait);
    CHECK(input.job.deadline <= std::chrono::milliseconds{1});
    SUBCASE("an unknown job gets too_many_waiters")
    {
        fixture.callers.answer(input.request, errorAnswer(someJob, error_kind::overloaded));
        const auto result = caller.get();
        REQUIRE(result);
        CHECK(result->status == 503);
        const auto body = boost::json::parse(result->body);
        CHECK(body.at("error").at("kind") == "too_many_waiters");
        CHECK(body.at("may_have_run") == false);
    }
    SUBCASE("a job that has run gets its own answer")
    {
        fixture.callers.answer(input.request, errorAnswer(someJob, error_kind::task_failed));
        const auto result = caller.get();
        REQUIRE(result);
        CHECK(boost::json::parse(result->body).at("error").at("kind") == "task_failed");
    }
    const auto session = fixture.client().Post("/v1/sessions");
    REQUIRE(session);
    CHECK(session->status == 503);
}

// Guards against waits that nobody ends when the process stops, and "not run" without evidence.
TEST_CASE("a caller that still waits at the end of the process gets outcome_unknown")
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
TEST_CASE("malformed requests are answered 400 with the place of the fault")
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

/// Sends raw bytes and returns the first bytes of the answer.
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

// Guards against server threads that are held until the read timeout by requests without a body.
TEST_CASE("a request without Content-Length is answered without waiting for a body")
{
    http_fixture fixture;
    auto answer = std::async(std::launch::async, [&] {
        return exchange(fixture.port(), "POST /v1/sessions HTTP/1.1\r\nHost: a\r\n\r\n");
    });
    const auto input = fixture.next<open_session_input>();
    fixture.callers.answer(input.request,
                           session_answer{input.request, someJob.session, duration{1000}});
    CHECK(answer.get().starts_with("HTTP/1.1 200"));
    const auto refused = exchange(fixture.port(), "POST /v1/jobs HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(refused.starts_with("HTTP/1.1 400"));
}

// Guards against a body that exhausts memory before it is checked.
TEST_CASE("a body beyond 8 MB is refused with body_too_large")
{
    const http_fixture fixture;
    const std::string body(maxBodyBytes + 1, ' ');
    const auto result = fixture.client().Post("/v1/jobs", body, "application/json");
    REQUIRE(result);
    CHECK(result->status == 413);
    CHECK(boost::json::parse(result->body).at("error").at("kind") == "body_too_large");
}

// Guards against balancers that send callers to an entry that is stopping.
TEST_CASE("health turns to 503 while the process drains, metrics and state stay readable")
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

// Guards against inputs that are lost when more arrive than one pass takes.
TEST_CASE("inputs beyond one pass stay queued and keep the wake-up set")
{
    input_queue<int> queue;
    for (int i = 0; i < 5; ++i) {
        queue.push(i);
    }
    std::vector<int> taken;
    queue.drain([&](int input) { taken.push_back(input); }, 3);
    pollfd waiting{queue.descriptor(), POLLIN, 0};
    CHECK(poll(&waiting, 1, 0) == 1);
    queue.drain([&](int input) { taken.push_back(input); }, anyNumber);
    CHECK(taken == std::vector<int>{0, 1, 2, 3, 4});
    CHECK(poll(&waiting, 1, 0) == 0);
}

// Guards against a second process that takes a part of the first one's requests unnoticed.
TEST_CASE("a server refuses to start on a port that another one serves")
{
    const http_fixture fixture;
    http_settings settings;
    settings.port = static_cast<std::uint16_t>(fixture.port());
    const process_metrics metrics;
    const std::atomic<bool> draining{false};
    http_server second{settings, fewestConnections, metrics, draining,
                       [] { return std::optional<std::string>{"{}"}; }};
    CHECK_THROWS_AS(second.start(), std::runtime_error);
}

} // namespace bamboohead
