#include "bamboohead/async_http_client.hpp"

#include <doctest/doctest.h>
#include <httplib.h>

#include <atomic>
#include <mutex>
#include <optional>
#include <set>
#include <thread>

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

http_client_request get(const std::string &path)
{
    return http_client_request{boost::beast::http::verb::get, path, 11};
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
