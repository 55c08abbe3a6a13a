#include "bamboohead/clock.hpp"
#include "bamboohead/target_client.hpp"

#include <doctest/doctest.h>
#include <httplib.h>

#include <atomic>
#include <future>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace bamboohead {

namespace {

using namespace std::chrono_literals;

/// Target whose response depends on the payload.
class target_server
{
public:
    target_server()
    {
        m_server.Post("/v1/run", [this](const httplib::Request &request, httplib::Response &out) {
            ++runs;
            answer(request, out);
        });
        m_port = m_server.bind_to_any_port("127.0.0.1");
        m_thread = std::thread{[this] { m_server.listen_after_bind(); }};
        while (!m_server.is_running()) {
            std::this_thread::yield();
        }
    }

    ~target_server()
    {
        m_server.stop();
        m_thread.join();
    }

    target_server(const target_server &) = delete;
    target_server &operator=(const target_server &) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

    std::atomic<int> runs{0};

private:
    static void answer(const httplib::Request &request, httplib::Response &out)
    {
        if (request.body == "refuse" || request.body == "busy") {
            out.status = 503;
            if (request.body == "refuse") {
                out.set_header("X-Not-Started", "1");
            }
        } else if (request.body == "break") {
            out.status = 500;
        } else if (request.body == "binary") {
            out.set_content("\xff", "text/plain");
        } else if (request.body == "long") {
            out.set_content(std::string(maxResultBytes + 1, 'x'), "text/plain");
        } else {
            out.set_content(request.get_header_value("X-Job-Id") + "/" +
                                    request.get_header_value("X-Task"),
                            "text/plain");
        }
    }

    httplib::Server m_server;
    int m_port = 0;
    std::thread m_thread;
};

/// Server that accepts one connection, reads one byte and closes it without a response.
class closing_server
{
public:
    closing_server()
        : m_listener{socket(AF_INET, SOCK_STREAM, 0)}
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        auto *const generic = reinterpret_cast<sockaddr *>(&address);
        REQUIRE(bind(m_listener, generic, size) == 0);
        REQUIRE(listen(m_listener, 1) == 0);
        REQUIRE(getsockname(m_listener, generic, &size) == 0);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread{[this] { closeOne(); }};
    }

    ~closing_server()
    {
        m_thread.join();
        close(m_listener);
    }

    closing_server(const closing_server &) = delete;
    closing_server &operator=(const closing_server &) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
    void closeOne() const
    {
        const int connection = accept(m_listener, nullptr, nullptr);
        char byte = 0;
        [[maybe_unused]] const auto received = read(connection, &byte, 1);
        close(connection);
    }

    int m_listener;
    int m_port = 0;
    std::thread m_thread;
};

/// Runs one task on the target at `address` and waits for its end.
task_end runAt(const std::string &address, const std::string &payload,
               time_point validUntil = time_point::max())
{
    std::promise<task_end> promise;
    auto end = promise.get_future();
    target_client client{[&](task_end ended) { promise.set_value(std::move(ended)); }};
    client.setAddress(address);
    client.ensureThreads(1);
    run_task task;
    task.ref.task = 4;
    task.payload = payload;
    task.timeout = std::chrono::seconds{5};
    task.validUntil = validUntil;
    client.run(std::move(task));
    return end.get();
}

} // namespace

// Guards against a task that runs a second time because a failure was reported as not started.
TEST_CASE("results are reported, and a task is reported as not started only when the target cannot "
          "have started it")
{
    target_server target;
    SUBCASE("the request has the headers of the task, and its result is reported")
    {
        const auto end = runAt(target.address(), "run");
        CHECK_FALSE(end.failed);
        CHECK_FALSE(end.notStarted);
        CHECK(end.result == toText(job_id{}) + "/4");
        CHECK(end.runTime > duration{});
    }
    SUBCASE("status 503 with X-Not-Started is reported as not started")
    {
        const auto end = runAt(target.address(), "refuse");
        CHECK(end.notStarted);
        CHECK_FALSE(end.failed);
    }
    SUBCASE("status 503 without X-Not-Started, other statuses and unusable results are failures")
    {
        for (const auto *const payload : {"busy", "break", "binary", "long"}) {
            CAPTURE(payload);
            const auto end = runAt(target.address(), payload);
            CHECK(end.failed);
            CHECK_FALSE(end.notStarted);
        }
        CHECK(target.runs == 4);
    }
    SUBCASE("a connection that is closed after the request was sent is a failure")
    {
        const closing_server closing;
        const auto end = runAt(closing.address(), "run");
        CHECK(end.failed);
        CHECK_FALSE(end.notStarted);
    }
    SUBCASE("a refused connection and a missing address are reported as not started")
    {
        CHECK(runAt("127.0.0.1:1", "run").notStarted);
        CHECK(runAt("", "run").notStarted);
    }
}

// Guards against an agent that was suspended between its decision to start a task and the sending
// of the request, and that sends it afterwards although the zone was taken out meanwhile.
TEST_CASE("a task whose permission to start has expired is not sent to the target")
{
    target_server target;
    const steady_clock_source clock;
    for (const auto *const payload : {"run", ""}) {
        CAPTURE(payload);
        const auto end = runAt(target.address(), payload, clock.now() - 1ms);
        CHECK(end.notStarted);
        CHECK_FALSE(end.failed);
    }
    CHECK(target.runs == 0);
    CHECK_FALSE(runAt(target.address(), "run", clock.now() + 60s).notStarted);
    CHECK(target.runs == 1);
}

// Guards against tasks that run one after the other although there are threads for all of them, and
// against tasks whose outcome is not reported.
TEST_CASE("as many tasks run concurrently as there are slots")
{
    constexpr int slots = 4;
    std::atomic<int> started{0};
    std::promise<void> allRunning;
    auto released = allRunning.get_future().share();
    httplib::Server server;
    server.Post("/v1/run", [&](const httplib::Request &, httplib::Response &) {
        if (++started == slots) {
            allRunning.set_value();
        }
        released.wait_for(std::chrono::seconds{5});
    });
    const int port = server.bind_to_any_port("127.0.0.1");
    std::thread serving{[&] { server.listen_after_bind(); }};
    std::atomic<int> ended{0};
    {
        target_client client{[&](const task_end &end) { ended += end.failed ? 0 : 1; }};
        client.setAddress("127.0.0.1:" + std::to_string(port));
        client.ensureThreads(slots);
        for (int i = 0; i < slots; ++i) {
            run_task task;
            task.timeout = std::chrono::seconds{10};
            client.run(std::move(task));
        }
    }
    CHECK(started == slots);
    CHECK(ended == slots);
    CHECK(released.wait_for(std::chrono::seconds{0}) == std::future_status::ready);
    server.stop();
    serving.join();
}

} // namespace bamboohead
