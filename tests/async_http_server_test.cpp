#include "bamboohead/async_http_server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

using namespace bamboohead;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

const std::string wholeRequest =
        "POST /job HTTP/1.1\r\nHost: desk\r\nContent-Length: 4\r\n\r\nbody";

/// Caller with a raw connection. It reads only when it is told to.
class raw_caller
{
public:
    raw_caller(asio::io_context &context, std::uint16_t port,
               std::optional<int> receiveBufferBytes = std::nullopt)
        : m_socket{context}
    {
        m_socket.open(tcp::v4());
        if (receiveBufferBytes) {
            m_socket.set_option(asio::socket_base::receive_buffer_size{*receiveBufferBytes});
        }
        m_socket.connect({asio::ip::address_v4::loopback(), port});
        m_socket.non_blocking(true);
    }

    void send(const std::string &bytes) { asio::write(m_socket, asio::buffer(bytes)); }

    void finishSending() { m_socket.shutdown(tcp::socket::shutdown_send); }

    /// Reads what has arrived.
    void receive()
    {
        std::vector<char> part(65'536);
        while (!m_end) {
            error_code error;
            const auto bytes = m_socket.read_some(asio::buffer(part), error);
            m_received.append(part.data(), bytes);
            if (error == asio::error::would_block) {
                return;
            }
            if (error) {
                m_end = error;
            }
        }
    }

    const std::string &received() const { return m_received; }
    bool closed() const { return m_end.has_value(); }
    bool reset() const { return m_end && *m_end != asio::error::eof; }
    int status() const { return m_received.size() < 12 ? 0 : std::stoi(m_received.substr(9, 3)); }

private:
    tcp::socket m_socket;
    std::string m_received;
    std::optional<error_code> m_end;
};

/// Server that answers each request with 503, at once or later. By default, a connection is idle at
/// once.
struct server_fixture
{
    explicit server_fixture(async_http_limits serverLimits = lingeringFor(0ms))
        : limits{serverLimits}
    {}

    static async_http_limits lingeringFor(duration time)
    {
        async_http_limits limits;
        limits.lingerTimeout = time;
        return limits;
    }

    void respond(http_exchange exchange)
    {
        http_server_response response{http::status::service_unavailable, 11};
        response.body() = std::string(responseBytes, 'r');
        server.respond(exchange, std::move(response));
    }

    /// Runs all handlers that are ready, and those that become ready within a short time.
    void run(std::chrono::milliseconds time = 20ms) { context.restart(), context.run_for(time); }

    /// Runs until the caller has received a response or its connection has ended.
    void runUntilAnswered(raw_caller &caller)
    {
        const auto limit = std::chrono::steady_clock::now() + 2s;
        while (caller.received().size() < responseBytes && !caller.closed() &&
               std::chrono::steady_clock::now() < limit) {
            run(5ms);
            caller.receive();
        }
    }

    /// Sends a request whose response is too long for the caller's buffer, and more bytes after it.
    void startLongResponse(raw_caller &caller, const std::string &furtherBytes = {})
    {
        responseBytes = 8'000'000;
        caller.send(wholeRequest + furtherBytes);
        run();
        REQUIRE(server.counters().requests == 1);
        REQUIRE(server.counters().responses == 0);
    }

    asio::io_context context;
    async_http_limits limits;
    std::size_t responseBytes = 10;
    bool answersAtOnce = true;
    std::vector<http_exchange> waiting;
    std::vector<http_exchange> disconnected;
    async_http_server server{context, "127.0.0.1:0", limits,
                             [this](http_exchange exchange, const http_server_request &) {
                                 if (answersAtOnce) {
                                     respond(exchange);
                                 } else {
                                     waiting.push_back(exchange);
                                 }
                             },
                             [this](http_exchange exchange) { disconnected.push_back(exchange); }};
};

} // namespace

// Guards against requests that were read but dropped, because the connection was closed as idle
// before the handler of the read ran.
TEST_CASE_FIXTURE(server_fixture,
                  "a request that arrives while idle connections are closed is answered")
{
    raw_caller caller{context, server.port()};
    caller.send(wholeRequest);
    // Idle connections are closed between each two handlers.
    const auto limit = std::chrono::steady_clock::now() + 1s;
    while (caller.received().empty() && !caller.closed() &&
           std::chrono::steady_clock::now() < limit) {
        context.restart();
        context.poll_one();
        server.closeIdleConnections();
        caller.receive();
    }
    CHECK(caller.status() == 503);
}

// Guards against requests on open connections that have arrived but were not read before a stop.
TEST_CASE_FIXTURE(server_fixture, "a request that was not read before a stop is answered")
{
    raw_caller caller{context, server.port()};
    run();
    caller.send(wholeRequest);
    server.finish();
    runUntilAnswered(caller);
    CHECK(caller.status() == 503);
}

// Guards against answers that are cut off because a connection counts as idle while its response is
// being sent.
TEST_CASE_FIXTURE(server_fixture, "a response that is being sent is not cut off by a stop")
{
    raw_caller caller{context, server.port(), 4'096};
    startLongResponse(caller);
    server.finish();
    run();
    server.finish();
    CHECK(!server.finished());
    runUntilAnswered(caller);
    CHECK(caller.received().size() > responseBytes);
}

// Guards against requests of which a stopping server has read only the beginning.
TEST_CASE_FIXTURE(server_fixture, "a request that is partly received at a stop is answered")
{
    raw_caller caller{context, server.port()};
    caller.send(wholeRequest.substr(0, wholeRequest.size() - 2));
    run();
    server.finish();
    run();
    caller.receive();
    REQUIRE(!caller.closed());
    caller.send(wholeRequest.substr(wholeRequest.size() - 2));
    runUntilAnswered(caller);
    CHECK(caller.status() == 503);
}

// Guards against answers that are cut off when the caller shuts down its sending side meanwhile.
TEST_CASE_FIXTURE(server_fixture, "a response is sent as a whole to a caller that sends no more")
{
    raw_caller caller{context, server.port(), 4'096};
    startLongResponse(caller);
    caller.finishSending();
    run();
    runUntilAnswered(caller);
    CHECK(caller.received().size() > responseBytes);
    CHECK(server.connections() == 0);
}

// Guards against callers whose connection was established but not accepted before a stop.
TEST_CASE_FIXTURE(server_fixture, "a connection that was not accepted before a stop is answered")
{
    raw_caller caller{context, server.port()};
    caller.send(wholeRequest);
    server.finish();
    CHECK(!server.finished());
    runUntilAnswered(caller);
    CHECK(caller.status() == 503);
}

// Guards against pipelined requests that have been read but are dropped with the connection.
TEST_CASE_FIXTURE(server_fixture, "a request behind the one that is answered at a stop is answered")
{
    answersAtOnce = false;
    raw_caller caller{context, server.port()};
    caller.send(wholeRequest + wholeRequest);
    run();
    REQUIRE(waiting.size() == 1);
    server.closeAfterResponses();
    respond(waiting[0]);
    run();
    REQUIRE(waiting.size() == 2);
    respond(waiting[1]);
    run();
    caller.receive();
    CHECK(caller.received().find("HTTP/1.1 503", 1) != std::string::npos);
    CHECK(caller.closed());
    CHECK(!caller.reset());
}

// Guards against an exit that resets connections before their callers have read the response.
TEST_CASE("a stopped server waits until its callers have closed their connections")
{
    server_fixture fixture{server_fixture::lingeringFor(200ms)};
    std::optional<raw_caller> caller;
    caller.emplace(fixture.context, fixture.server.port());
    caller->send(wholeRequest);
    fixture.server.finish();
    fixture.run(50ms);
    fixture.server.finish();
    CHECK(fixture.server.counters().responses == 1);
    CHECK(!fixture.server.finished());

    SUBCASE("the caller closes its connection")
    {
        caller.reset();
    }
    SUBCASE("the caller keeps its connection open")
    {
        fixture.run(250ms);
    }
    fixture.run();
    CHECK(fixture.server.finished());
}

// Guards against connections that are closed between their acceptance and their first request.
TEST_CASE("a connection is idle only after the linger timeout")
{
    server_fixture fixture{server_fixture::lingeringFor(100ms)};
    raw_caller caller{fixture.context, fixture.server.port()};
    fixture.run();
    fixture.server.closeIdleConnections();
    CHECK(fixture.server.connections() == 1);
    fixture.run(120ms);
    fixture.server.closeIdleConnections();
    CHECK(fixture.server.connections() == 0);
}

// Guards against requests that are delivered although their connection was dropped.
TEST_CASE("a dropped connection delivers no further request")
{
    async_http_limits limits;
    limits.maxRequestBodyBytes = 16;
    limits.maxRequestHeaderBytes = 200;
    server_fixture fixture{limits};
    fixture.answersAtOnce = false;
    raw_caller caller{fixture.context, fixture.server.port()};
    caller.send(wholeRequest + wholeRequest);
    fixture.run();
    REQUIRE(fixture.waiting.size() == 1);
    caller.send(std::string(400, 'x'));
    // The excess is noticed between the end of the write and its handler.
    asio::post(fixture.context, [&] { fixture.respond(fixture.waiting[0]); });
    fixture.context.restart();
    fixture.context.poll();
    CHECK(fixture.server.counters().responses == 1);
    CHECK(fixture.waiting.size() == 1);
    CHECK(fixture.server.connections() == 0);
}

// Guards against requests that are delivered to the owner of a server that was destroyed.
TEST_CASE("a destroyed server delivers no further request")
{
    asio::io_context context;
    std::vector<http_exchange> waiting;
    std::optional<async_http_server> server;
    server.emplace(
            context, "127.0.0.1:0", async_http_limits{},
            [&](http_exchange exchange, const http_server_request &) {
                waiting.push_back(exchange);
            },
            [](http_exchange) {});
    raw_caller caller{context, server->port()};
    caller.send(wholeRequest + wholeRequest);
    context.run_for(20ms);
    REQUIRE(waiting.size() == 1);
    server->respond(waiting[0], {http::status::service_unavailable, 11});
    server.reset();
    context.restart();
    context.poll();
    CHECK(waiting.size() == 1);
}

// Guards against requests that have arrived but were not read when the previous one is answered.
TEST_CASE_FIXTURE(server_fixture,
                  "a request that was not read when the previous one is answered is answered")
{
    answersAtOnce = false;
    raw_caller caller{context, server.port()};
    caller.send(wholeRequest);
    run();
    REQUIRE(waiting.size() == 1);
    server.closeAfterResponses();
    caller.send(wholeRequest);
    respond(waiting[0]);
    run();
    REQUIRE(waiting.size() == 2);
    respond(waiting[1]);
    run();
    caller.receive();
    CHECK(caller.received().find("HTTP/1.1 503", 1) != std::string::npos);
}

// Guards against pipelined requests that are dropped because the caller has shut down its sending
// side while the response to the previous request was being sent.
TEST_CASE_FIXTURE(server_fixture, "a caller that sends no more gets all its responses")
{
    raw_caller caller{context, server.port(), 4'096};
    startLongResponse(caller, wholeRequest);
    caller.finishSending();
    run();
    const auto limit = std::chrono::steady_clock::now() + 5s;
    while (!caller.closed() && std::chrono::steady_clock::now() < limit) {
        run(5ms);
        caller.receive();
    }
    CHECK(server.counters().requests == 2);
    CHECK(caller.received().size() > 2 * responseBytes);
}

// Guards against an exit that a peer delays by sending after the last response.
TEST_CASE("a peer that goes on sending does not delay the end of a stop")
{
    server_fixture fixture{server_fixture::lingeringFor(100ms)};
    raw_caller caller{fixture.context, fixture.server.port()};
    caller.send(wholeRequest);
    fixture.server.finish();
    bool finished = false;
    for (int part = 0; part < 50 && !finished; ++part) {
        fixture.run(10ms);
        caller.send("x");
        fixture.server.finish();
        finished = fixture.server.finished();
    }
    REQUIRE(fixture.server.counters().responses == 1);
    CHECK(finished);
}

// Guards against counters that do not add up after malformed requests.
TEST_CASE_FIXTURE(server_fixture, "a rejected request does not hide an unanswered one")
{
    raw_caller caller{context, server.port()};
    caller.send("nonsense\r\n\r\n");
    run();
    caller.receive();
    REQUIRE(caller.status() == 400);
    const auto &counters = server.counters();
    CHECK(counters.requests == counters.responses + counters.disconnects + counters.cutSending);
}

// Guards against callers that get a reset at the connection limit.
TEST_CASE("a request on a connection over the limit is answered")
{
    async_http_limits limits;
    limits.maxConnections = 1;
    server_fixture fixture{limits};
    fixture.answersAtOnce = false;
    std::optional<raw_caller> first;
    first.emplace(fixture.context, fixture.server.port());
    raw_caller second{fixture.context, fixture.server.port()};
    second.send(wholeRequest);
    fixture.run(50ms);
    first.reset();
    fixture.run(100ms);
    second.receive();
    CHECK(second.status() == 503);
    CHECK(fixture.waiting.empty()); // not delivered
}

// Guards against ends of connections that are detected only after the request before them was
// handled, or after all bytes in between were read.
TEST_CASE_FIXTURE(server_fixture, "the end of a connection is known when its request is delivered")
{
    std::vector<bool> ended;
    async_http_server observed{context, "127.0.0.1:0", limits,
                               [&](http_exchange exchange, const http_server_request &) {
                                   ended.push_back(observed.disconnected(exchange));
                               },
                               [](http_exchange) {}};
    std::optional<raw_caller> caller;
    caller.emplace(context, observed.port());
    SUBCASE("the caller waits")
    {
        caller->send(wholeRequest);
        run();
        CHECK(ended == std::vector{false});
        CHECK(observed.counters().earlyDisconnects == 0);
    }
    SUBCASE("the caller has closed its connection")
    {
        caller->send(wholeRequest);
        caller.reset();
        run();
        CHECK(ended == std::vector{true});
        CHECK(observed.counters().earlyDisconnects == 1);
    }
    SUBCASE("the caller has sent more bytes than one read takes and sends no more")
    {
        caller->send(wholeRequest + std::string(40'000, 'x'));
        caller->finishSending();
        run();
        CHECK(ended == std::vector{true});
    }
}

// Guards against connections that stay open without a request that could be answered.
TEST_CASE_FIXTURE(server_fixture, "an abandoned request is counted and closes its connection")
{
    answersAtOnce = false;
    raw_caller caller{context, server.port()};
    caller.send(wholeRequest);
    run();
    REQUIRE(waiting.size() == 1);
    server.abandon(waiting[0]);
    run();
    caller.receive();
    CHECK(caller.closed());
    CHECK(server.connections() == 0);
    CHECK(server.counters().disconnects == 1);
    CHECK(disconnected.empty());
}

// Guards against disconnects that are reported only when the event loop gets to their connection.
TEST_CASE_FIXTURE(server_fixture, "disconnects are reported without the event loop")
{
    answersAtOnce = false;
    std::vector<std::optional<raw_caller>> callers(100); // more than one system call reports
    for (auto &caller : callers) {
        caller.emplace(context, server.port());
        caller->send(wholeRequest);
    }
    run(100ms);
    REQUIRE(waiting.size() == callers.size());
    server.reportDisconnects();
    CHECK(disconnected.empty());
    for (std::size_t index = 1; index < callers.size(); ++index) {
        callers[index].reset();
    }
    server.reportDisconnects();
    CHECK(disconnected.size() == callers.size() - 1);
    CHECK(server.connections() == 1);
    respond(waiting[0]);
    run();
    callers[0]->receive();
    CHECK(callers[0]->status() == 503);
}

// Guards against trailers and chunk headers without an end, which the parser leaves in the buffer.
TEST_CASE("trailers and chunk headers over the header limit are rejected")
{
    const std::string chunked = "POST /job HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const auto &start : {chunked + "0\r\n", chunked + "1;"}) {
        CAPTURE(start);
        server_fixture fixture;
        raw_caller caller{fixture.context, fixture.server.port()};
        caller.send(start);
        const std::string line =
                "name: " + std::string(1'000, 't') + (start.ends_with(';') ? "" : "\r\n");
        for (int count = 0; count < 40; ++count) {
            caller.send(line);
            fixture.run(2ms);
        }
        caller.receive();
        CHECK(caller.status() == 413);
        CHECK(fixture.server.counters().responses == 1);
    }
}

// Guards against bodies within the limit of one request that together exceed the memory.
TEST_CASE("unfinished requests that exceed the memory limit are refused, the largest and oldest "
          "first")
{
    async_http_limits limits;
    limits.maxUnfinishedBytes = 300'000;
    server_fixture fixture{limits};
    const std::string part =
            "POST /job HTTP/1.1\r\nContent-Length: 200000\r\n\r\n" + std::string(150'000, 'x');
    raw_caller first{fixture.context, fixture.server.port()};
    first.send(part);
    fixture.run(50ms);
    raw_caller second{fixture.context, fixture.server.port()};
    second.send(part);
    fixture.run(50ms);
    first.receive();
    CHECK(first.status() == 503);
    CHECK(first.received().find("Retry-After: 1") != std::string::npos);
    CHECK(fixture.server.counters().overBudget == 1);
    second.send(std::string(50'000, 'x'));
    fixture.run(50ms);
    second.receive();
    CHECK(second.status() == 503); // the answer of the fixture
    CHECK(fixture.server.counters().requests == 2);
    CHECK(fixture.server.counters().overBudget == 1);
}

// Guards against clients that keep a request open by sending single bytes.
TEST_CASE("a request that is not received in time is rejected")
{
    async_http_limits limits;
    limits.receiveTimeout = 500ms;
    server_fixture fixture{limits};
    raw_caller caller{fixture.context, fixture.server.port()};
    caller.send("POST /job HTTP/1.1\r\nContent-Length: 4000\r\n\r\n");
    for (int count = 0; count < 150 && caller.status() == 0; ++count) {
        caller.send("x");
        fixture.run(20ms);
        caller.receive();
    }
    CHECK(caller.status() == 408);
    CHECK(fixture.server.counters().receiveTimeouts == 1);
}

// Guards against bytes behind an unanswered request that are read although nobody needs them yet.
TEST_CASE_FIXTURE(server_fixture, "pipelined requests beyond the buffer are answered in turn")
{
    raw_caller caller{context, server.port()};
    constexpr int requests = 1'000;
    std::string all;
    for (int count = 0; count < requests; ++count) {
        all += wholeRequest;
    }
    answersAtOnce = false;
    caller.send(all);
    for (int round = 0; round < 5'000 && server.counters().responses < requests; ++round) {
        run(1ms);
        for (const auto exchange : std::exchange(waiting, {})) {
            respond(exchange);
        }
        caller.receive();
    }
    CHECK(server.counters().responses == requests);
    CHECK(server.connections() == 1);
}

// Guards against ordinary callers that find no connection because stalled clients hold them all.
TEST_CASE("a stalled connection is closed to make room for a new one")
{
    async_http_limits limits;
    limits.maxConnections = 1;
    server_fixture fixture{limits};
    raw_caller stalled{fixture.context, fixture.server.port()};
    stalled.send("POST /job HTTP/1.1\r\n");
    fixture.run(1'100ms);
    raw_caller caller{fixture.context, fixture.server.port()};
    caller.send(wholeRequest);
    fixture.run(50ms);
    stalled.receive();
    CHECK(stalled.closed());
    CHECK(fixture.server.counters().displaced == 1);
    CHECK(fixture.server.counters().requests == 1);
}
