#include "bamboohead/async_http_client.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <httplib.h>

#include <atomic>
#include <mutex>
#include <optional>
#include <set>
#include <thread>
#include <vector>

using namespace bamboohead;
using namespace std::chrono_literals;

namespace {

/// Server that counts the connections on which requests arrive. The path `/slow` is answered late.
class counting_server
{
public:
    counting_server()
    {
        m_server.new_task_queue = [] { return new httplib::ThreadPool{16}; };
        m_server.Get("/", [this](const httplib::Request &request, httplib::Response &) {
            const std::lock_guard lock{m_mutex};
            m_ports.insert(request.remote_port);
        });
        m_server.Get("/slow", [](const httplib::Request &, httplib::Response &) {
            std::this_thread::sleep_for(500ms);
        });
        m_port = m_server.bind_to_any_port("127.0.0.1");
        m_thread = std::thread{[this] { m_server.listen_after_bind(); }};
        while (!m_server.is_running()) {
            std::this_thread::yield();
        }
    }

    ~counting_server()
    {
        m_server.stop();
        m_thread.join();
    }

    counting_server(const counting_server &) = delete;
    counting_server &operator=(const counting_server &) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    std::size_t connections()
    {
        const std::lock_guard lock{m_mutex};
        return m_ports.size();
    }

private:
    httplib::Server m_server;
    int m_port = 0;
    std::mutex m_mutex;
    std::set<int> m_ports; ///< ports of the clients
    std::thread m_thread;
};

/// Server that answers its n-th request with the n-th text, as it is, and in parts when several
/// texts are given. It serves one connection at a time.
class scripted_server
{
public:
    struct answer
    {
        std::vector<std::string> parts; ///< 30 ms are between two of them
        bool close = false;             ///< closes the connection after the answer
    };

    explicit scripted_server(std::vector<answer> answers)
        : m_answers{std::move(answers)}
        , m_acceptor{m_context, {boost::asio::ip::address_v4::loopback(), 0}}
        , m_thread{[this] { serve(); }}
    {}

    ~scripted_server()
    {
        m_stopped = true;
        boost::system::error_code ignored;
        // Wakes the thread if it waits for a connection.
        boost::asio::ip::tcp::socket{m_context}.connect(m_acceptor.local_endpoint(), ignored);
        m_thread.join();
    }

    scripted_server(const scripted_server &) = delete;
    scripted_server &operator=(const scripted_server &) = delete;

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }
    int requests() const { return m_requests; }

private:
    void serve()
    {
        while (!m_stopped) {
            auto connection = m_acceptor.accept();
            std::string received;
            boost::system::error_code error;
            while (!m_stopped) {
                const auto size = boost::asio::read_until(
                        connection, boost::asio::dynamic_buffer(received), "\r\n\r\n", error);
                if (error) {
                    break;
                }
                received.erase(0, size);
                const auto number = static_cast<std::size_t>(m_requests++);
                if (number >= m_answers.size()) {
                    break;
                }
                const auto &next = m_answers[number];
                for (std::size_t part = 0; part < next.parts.size(); ++part) {
                    std::this_thread::sleep_for(part == 0 ? 0ms : 30ms);
                    boost::asio::write(connection, boost::asio::buffer(next.parts[part]), error);
                }
                if (next.close) {
                    break;
                }
            }
        }
    }

    std::vector<answer> m_answers;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_stopped = false;
    std::atomic<int> m_requests = 0;
    std::thread m_thread;
};

std::string response(const std::string &status, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// Outcome of a call: its end, and the body of the response.
struct call_result
{
    std::optional<http_call_end> end;
    std::string body;
};

http_client_request get(const std::string &path)
{
    return http_client_request{boost::beast::http::verb::get, path, 11};
}

/// Makes a call, waits for its end, and leaves the connection idle for 100 ms.
call_result callAndWait(boost::asio::io_context &context, async_http_client &client,
                        const std::string &address, duration timeout = 1s)
{
    call_result result;
    client.call(address, get("/"), timeout,
                [&](http_call_end end, const http_client_response &received) {
                    result = {end, received.body()};
                });
    context.restart();
    context.run_for(timeout + 1s);
    std::this_thread::sleep_for(100ms);
    return result;
}

} // namespace

TEST_CASE("a burst of HTTP calls shares a few connections")
{
    counting_server server;
    boost::asio::io_context context;
    async_http_client client{context};
    int answered = 0;
    for (int call = 0; call < 12; ++call) {
        client.call(server.address(), get("/"), 5s,
                    [&](http_call_end end, const http_client_response &) {
                        answered += end == http_call_end::answered ? 1 : 0;
                    });
    }
    context.run_for(5s);
    CHECK(answered == 12);
    // A call may open a connection of its own when the server takes longer than 10 ms to answer.
    CHECK(server.connections() <= 8);
}

TEST_CASE("HTTP calls that get no answer do not delay others for long")
{
    counting_server server;
    boost::asio::io_context context;
    async_http_client client{context};
    for (int call = 0; call < 4; ++call) {
        client.call(server.address(), get("/slow"), 5s,
                    [](http_call_end, const http_client_response &) {});
    }
    const auto begin = std::chrono::steady_clock::now();
    auto taken = 5'000'000us;
    client.call(server.address(), get("/"), 5s,
                [&](http_call_end end, const http_client_response &) {
                    CHECK(end == http_call_end::answered);
                    taken = std::chrono::duration_cast<duration>(std::chrono::steady_clock::now() -
                                                                 begin);
                });
    context.run_for(5s);
    CHECK(taken < 400ms); // the other calls take 500 ms
}

// Guards against calls to another process than the one that an address names: ports were cut to 16
// bits, and text after the port was ignored.
TEST_CASE("HTTP calls to a malformed address are not sent")
{
    counting_server server;
    boost::asio::io_context context;
    async_http_client client{context};
    const auto port = server.address().substr(server.address().rfind(':') + 1);
    for (const auto &address :
         {"127.0.0.1:" + std::to_string(std::stoul(port) + 65'536), "127.0.0.1:" + port + "x",
          "127.0.0.1:" + port + "\r\nX: y", std::string{"127.0.0.1"}, std::string{}}) {
        CAPTURE(address);
        std::optional<http_call_end> result;
        client.call(address, get("/"), 1s,
                    [&](http_call_end end, const http_client_response &) { result = end; });
        context.restart();
        context.run_for(2s);
        CHECK(result == http_call_end::not_sent);
    }
    CHECK(server.connections() == 0);
}

// Guards against a start that is taken for refused, and repeated elsewhere, because the response to
// an earlier call on its connection was taken for its own.
TEST_CASE("bytes that follow an HTTP response are not taken for the response to the next call")
{
    const auto first = response("200 OK", "first");
    const auto stray = response("409 Conflict", "stray");
    scripted_server::answer answer;
    SUBCASE("in the same segment")
    {
        answer = {{first + stray}};
    }
    SUBCASE("later")
    {
        answer = {{first, stray}};
    }
    SUBCASE("after an interim response")
    {
        answer = {{"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", first}};
    }
    SUBCASE("after an interim response in the same segment")
    {
        answer = {{"HTTP/1.1 100 Continue\r\n\r\n" + first}};
    }
    scripted_server server{{answer, {{response("200 OK", "second")}}}};
    boost::asio::io_context context;
    async_http_client client{context};
    const auto one = callAndWait(context, client, server.address());
    CHECK(one.end == http_call_end::answered);
    CHECK(one.body == "first");
    const auto two = callAndWait(context, client, server.address());
    CHECK(two.end == http_call_end::answered);
    CHECK(two.body == "second");
}

// Guards against a start whose outcome is unknown only because the target had closed the connection
// before the call was made.
TEST_CASE("an HTTP connection that the peer has closed is not used for another call")
{
    scripted_server server{
            {{{response("200 OK", "first")}, true}, {{response("200 OK", "second")}}}};
    boost::asio::io_context context;
    async_http_client client{context};
    CHECK(callAndWait(context, client, server.address()).body == "first");
    const auto two = callAndWait(context, client, server.address());
    CHECK(two.end == http_call_end::answered);
    CHECK(two.body == "second");
    CHECK(server.requests() == 2);
}

// Guards against a task that runs twice because its start was repeated, or counted as not sent,
// after its bytes had left.
TEST_CASE("an HTTP request that was sent is sent once, and without a response it is unanswered")
{
    scripted_server::answer answer;
    SUBCASE("closed without a response")
    {
        answer = {{}, true};
    }
    SUBCASE("closed within the body")
    {
        answer = {{"HTTP/1.1 409 Conflict\r\nContent-Length: 10\r\n\r\nab"}, true};
    }
    SUBCASE("closed within the header")
    {
        answer = {{"HTTP/1.1 503 Service Unav"}, true};
    }
    SUBCASE("no response before the deadline")
    {
        answer = {};
    }
    SUBCASE("an interim response only")
    {
        answer = {{"HTTP/1.1 100 Continue\r\n\r\n"}, true};
    }
    const scripted_server::answer complete{{response("200 OK", "")}};
    for (const bool kept : {false, true}) {
        CAPTURE(kept); // whether the connection was used before
        auto answers = std::vector{answer};
        if (kept) {
            answers.insert(answers.begin(), complete);
        }
        scripted_server server{answers};
        boost::asio::io_context context;
        async_http_client client{context};
        if (kept) {
            CHECK(callAndWait(context, client, server.address()).end == http_call_end::answered);
        }
        CHECK(callAndWait(context, client, server.address(), 200ms).end ==
              http_call_end::unanswered);
        CHECK(server.requests() == (kept ? 2 : 1));
    }
}

// Guards against a start that stays in doubt although no connection was established.
TEST_CASE("an HTTP call to a port on which nothing listens is not sent")
{
    boost::asio::io_context context;
    async_http_client client{context};
    CHECK(callAndWait(context, client, "127.0.0.1:1").end == http_call_end::not_sent);
}

// Guards against a start that leaves long after its agent has decided on it, since the agent was
// suspended while the call waited for a connection.
TEST_CASE("an HTTP call that waits for a connection is not sent after its deadline")
{
    counting_server server;
    boost::asio::io_context context;
    async_http_client client{context};
    int slowAnswered = 0;
    for (int call = 0; call < 4; ++call) {
        client.call(server.address(), get("/slow"), 5s,
                    [&](http_call_end end, const http_client_response &) {
                        slowAnswered += end == http_call_end::answered ? 1 : 0;
                    });
    }
    context.run_for(5ms);
    std::optional<http_call_end> result;
    client.call(server.address(), get("/"), 50ms,
                [&](http_call_end end, const http_client_response &) { result = end; });
    std::this_thread::sleep_for(700ms); // the process is suspended
    context.restart();
    context.run_for(1s);
    CHECK(slowAnswered == 4);
    CHECK(result == http_call_end::not_sent);
    CHECK(server.connections() == 0);
}
