#include "dispatch_entry_process.hpp"

#include "bamboohead/clock.hpp"
#include "bamboohead/dispatch/fleet_member.hpp"
#include "bamboohead/transport.hpp"
#include "dispatch/sample_jobs.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <optional>
#include <string>
#include <thread>

using namespace bamboohead;
using namespace bamboohead::dispatch_test;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

std::string freeAddress()
{
    asio::io_context context;
    const tcp::acceptor acceptor{context, {asio::ip::address_v4::loopback(), 0}};
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

/// Agent that reports to an entry over the network and counts the orders that it receives.
class reporting_agent
{
public:
    reporting_agent(const std::string &entryEndpoint, const bamboohead::clock &clock)
        : m_transport{"tcp://127.0.0.1:*", clock}
        , m_member{{incarnation_id{7}, m_transport.endpoint(), wire::ROLE_AGENT, "graz"}, clock}
    {
        m_member.addContacts({entryEndpoint});
    }

    /// Receives what has arrived, and reports a target with free capacity.
    /// @param ready Whether the agent accepts orders.
    void exchange(bool ready)
    {
        m_transport.receiveAll(
                [this](const wire::Envelope &envelope) {
                    (void)m_member.receive(envelope);
                    if (envelope.dispatch_orders().orders_size() > 0) {
                        m_newestOrders = envelope.dispatch_orders();
                        m_orders += m_newestOrders.orders_size();
                    }
                },
                100);
        m_member.tick();
        for (const auto *const entry : m_member.links().peers(wire::ROLE_ENTRY)) {
            wire::Envelope envelope;
            auto &report = *envelope.mutable_dispatch_report();
            report.set_epoch(1);
            report.set_ready(ready);
            report.set_cleared(true);
            report.set_reconcile(true);
            report.set_service("quotes");
            report.set_target("i-1");
            toWire(resources{32'000, 65'536, 0}, *report.mutable_capacity());
            if (m_done) {
                report.set_peer_epoch(m_newestOrders.epoch());
                report.set_orders_handled(m_newestOrders.number());
                *report.add_ends() = *m_done;
            }
            m_member.send(entry->incarnation, std::move(envelope));
        }
        for (const auto &action : m_member.takeActions()) {
            if (const auto *const message = std::get_if<send_message>(&action)) {
                m_transport.send(message->endpoint, message->envelope);
            }
        }
        m_transport.maintain();
    }

    int orders() const { return m_orders; }

    /// The run of the newest order is done; all later reports contain its end.
    void finishRun()
    {
        const auto &order = m_newestOrders.orders(0);
        m_done.emplace();
        m_done->set_number(1);
        toWire(run_ref{{batch_job_id{order.job()}, order.step(), order.tasks(0).index()},
                       order.tasks(0).run()},
               *m_done->mutable_run());
        m_done->set_outcome(wire::RUN_OUTCOME_DONE);
        m_done->set_order(m_newestOrders.number());
    }

private:
    transport m_transport;
    fleet_member m_member;
    int m_orders = 0;
    wire::DispatchOrders m_newestOrders;
    std::optional<wire::RunEnd> m_done;
};

/// Entry process and one agent. The entry does nothing while its event loop is not run, like a
/// suspended process.
struct entry_process_fixture
{
    entry_process_fixture()
    {
        process.core().handleConfig(stateWithOneRoute());
        process.loop().start();
    }

    static process_settings makeSettings()
    {
        process_settings settings;
        settings.zone = "graz";
        settings.endpoint = "tcp://" + freeAddress();
        settings.dispatch.callers = "127.0.0.1:0";
        settings.dispatch.readiness = "127.0.0.1:0";
        return settings;
    }

    /// Runs the entry and the agent until the condition holds, at most for 5 s.
    /// @return Whether the condition holds.
    template <typename Condition>
    bool runUntil(Condition condition)
    {
        const auto limit = std::chrono::steady_clock::now() + 5s;
        while (!condition() && std::chrono::steady_clock::now() < limit) {
            process.loop().context().run_for(10ms);
            agent.exchange(agentReady);
        }
        return condition();
    }

    void run(std::chrono::milliseconds length)
    {
        const auto end = std::chrono::steady_clock::now() + length;
        (void)runUntil([&] { return std::chrono::steady_clock::now() >= end; });
    }

    /// Makes the agent ready, or not ready, and runs until the entry knows it.
    void connectAgent(bool ready)
    {
        agentReady = ready;
        REQUIRE(runUntil([&] {
            const auto state = process.core().dump();
            const auto &agents = state.at("agents").as_array();
            return !agents.empty() && agents[0].at("usable").as_bool() == ready;
        }));
    }

    /// Connects a caller and sends a job of one task. The entry need not run for it.
    /// @param header Further header lines, each with its end.
    tcp::socket submitJob(const std::string &header = {})
    {
        tcp::socket caller{callerContext};
        caller.connect({asio::ip::address_v4::loopback(), process.callerPort()});
        const std::string body = R"({"taskSpec":"s","bestEffort":true,)"
                                 R"("steps":[{"count":1,"cpu":1000,"memMb":64,"estimateMs":100}]})";
        asio::write(caller, asio::buffer("POST /quotes/0000000000000001 HTTP/1.1\r\n"
                                         "Host: desk.example\r\n" +
                                         header + "Content-Length: " + std::to_string(body.size()) +
                                         "\r\n\r\n" + body));
        return caller;
    }

    /// Sends a request without a body on a connection of its own.
    /// @return The response with its header.
    std::string request(const std::string &method, const std::string &path)
    {
        tcp::socket caller{callerContext};
        caller.connect({asio::ip::address_v4::loopback(), process.callerPort()});
        asio::write(caller,
                    asio::buffer(method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\n\r\n"));
        caller.non_blocking(true);
        REQUIRE(runUntil([&] { return caller.available() > 0; }));
        std::string response(caller.available(), ' ');
        caller.read_some(asio::buffer(response));
        return response;
    }

    const suspend_aware_clock time;
    process_settings settings = makeSettings();
    dispatch_entry_process process{settings, "", time};
    reporting_agent agent{settings.endpoint, time};
    bool agentReady = true;
    asio::io_context callerContext;
};

} // namespace

TEST_CASE_FIXTURE(entry_process_fixture, "a job is ordered while its caller waits")
{
    connectAgent(true);
    const auto caller = submitJob();
    CHECK(runUntil([&] { return agent.orders() == 1; }));
}

// Guards against late runs of jobs that their callers have submitted to another entry meanwhile.
TEST_CASE_FIXTURE(entry_process_fixture,
                  "a job whose caller disconnected before its request was read is not submitted")
{
    connectAgent(true);
    submitJob().close();
    run(200ms);
    CHECK(process.core().counters().submitted == 0);
    CHECK(agent.orders() == 0);
}

// Guards against orders of a process that was suspended, for a job whose caller disconnected
// meanwhile. The pass that was due at the suspension runs before the events of the connections.
TEST_CASE_FIXTURE(
        entry_process_fixture,
        "a waiting job is not ordered after a suspension in which its caller disconnected")
{
    connectAgent(false);
    auto caller = submitJob();
    REQUIRE(runUntil([&] { return process.core().counters().submitted == 1; }));
    run(50ms);
    REQUIRE(agent.orders() == 0);
    process.loop().schedulePass();
    caller.close();
    agentReady = true;
    agent.exchange(agentReady);
    std::this_thread::sleep_for(100ms);
    run(200ms);
    CHECK(process.core().counters().abandoned == 1);
    CHECK(agent.orders() == 0);
}

// Guards against jobs that run longer than their callers wait, since the time limit begins only
// when a late process reads the request.
TEST_CASE_FIXTURE(entry_process_fixture,
                  "the time limit of a job includes the time before its request was read")
{
    connectAgent(false);
    const auto caller = submitJob("X-Bamboohead-Deadline-Ms: 1000\r\n");
    std::this_thread::sleep_for(700ms);
    REQUIRE(runUntil([&] { return process.core().counters().submitted == 1; }));
    run(600ms);
    CHECK(process.core().counters().expired == 1);
}

// Guards against jobs that start although their callers' timeout passed before they were read.
TEST_CASE_FIXTURE(entry_process_fixture,
                  "a job whose time limit passed before its request was read is refused")
{
    connectAgent(true);
    auto caller = submitJob("X-Bamboohead-Deadline-Ms: 200\r\n");
    std::this_thread::sleep_for(400ms);
    caller.non_blocking(true);
    std::string response(1'000, ' ');
    REQUIRE(runUntil([&] { return caller.available() > 0; }));
    caller.read_some(asio::buffer(response));
    CHECK(response.starts_with("HTTP/1.1 503"));
    CHECK(process.core().counters().submitted == 0);
}

// Guards against tasks that have ended as done and run again, because a process that was suspended
// judges the silence of its agents before it has read the messages that wait.
TEST_CASE_FIXTURE(entry_process_fixture,
                  "after a suspension the messages that wait are read before an agent is silent")
{
    connectAgent(true);
    const auto caller = submitJob();
    REQUIRE(runUntil([&] { return agent.orders() == 1; }));
    agent.finishRun();
    agent.exchange(agentReady);
    std::this_thread::sleep_for(dispatch_entry_limits{}.runLossTimeout + 200ms);
    REQUIRE(runUntil([&] { return process.core().counters().succeeded == 1; }));
    CHECK(process.core().counters().runsLost == 0);
    CHECK(agent.orders() == 1);
}

// Guards against jobs that cannot be cancelled and run to their end, because their route was
// dropped after they were submitted.
TEST_CASE_FIXTURE(entry_process_fixture,
                  "a job is asked for and cancelled after its route was dropped")
{
    connectAgent(true);
    const auto caller = submitJob();
    REQUIRE(runUntil([&] { return agent.orders() == 1; }));
    auto state = stateWithOneRoute();
    state.revision = 2;
    state.version = 2;
    state.routes.front().name = "orders";
    state.routes.front().prefix = "/orders/";
    process.core().handleConfig(state);
    CHECK(request("GET", "/quotes/0000000000000001").find(R"({"state":"running"})") !=
          std::string::npos);
    CHECK(request("GET", "/quotes/0000000000000002").starts_with("HTTP/1.1 410"));
    CHECK(request("GET", "/quotes/").starts_with("HTTP/1.1 404"));
    CHECK(request("POST", "/quotes/0000000000000002").starts_with("HTTP/1.1 404"));
    CHECK(request("DELETE", "/never/0000000000000001").starts_with("HTTP/1.1 404"));
    CHECK(process.core().stateOf(batch_job_id{1}) == batch_job_state::running);
    CHECK(request("DELETE", "/quotes/0000000000000001").starts_with("HTTP/1.1 200"));
    CHECK(process.core().stateOf(batch_job_id{1}) == batch_job_state::cancelled);
}
