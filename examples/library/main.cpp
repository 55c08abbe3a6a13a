// Runs an entry and an agent in one thread without any I/O: the program delivers the messages,
// advances the clock and simulates the target. It prints the start of each task and the result of
// the job; the output is the same in every run.

#include "bamboohead/agent_core.hpp"
#include "bamboohead/entry_core.hpp"

#include <iostream>
#include <variant>

namespace {

using namespace bamboohead;

constexpr auto manifestText = R"({
    "zones": {"graz": {"state": "in"}},
    "services": {"price-quote": {"weight": 1, "default_deadline_ms": 5000}},
    "teams": {"growers": {"weight": 1, "max_running": 100}}})";
constexpr duration tick = std::chrono::milliseconds{10};
constexpr std::uint32_t targetSlots = 2;
constexpr int warmUpTicks = 100;
constexpr int jobTicks = 100;

/// One entry, one agent, the network between them and the target of the agent.
class simulation
{
public:
    void run(int ticks)
    {
        for (int i = 0; i < ticks; ++i) {
            m_clock.advance(tick);
            // An entry starts tasks only while its newest confirmation by the store is recent.
            m_entry.handleStoreRead(config_version{1}, manifestText, m_clock.now());
            m_agent.targetAnnounced({"price-quote", targetSlots, target_state::ready});
            m_entry.tick();
            m_agent.tick();
            deliver();
        }
    }

    session_id openSession()
    {
        m_entry.openSession(caller_request{1});
        deliver();
        return m_session;
    }

    void submit(job_submission job)
    {
        job.hash = hashContent(job);
        m_entry.submit(caller_request{2}, std::move(job), true);
    }

    bool complete() const { return m_complete; }

private:
    void deliver()
    {
        for (const auto &action : m_entry.takeActions()) {
            if (const auto *const message = std::get_if<send_message>(&action)) {
                m_agent.receive(message->envelope);
            } else if (const auto *const session = std::get_if<answer_session_request>(&action)) {
                m_session = session->session;
            } else if (const auto *const answer = std::get_if<answer_caller>(&action)) {
                print(answer->answer);
            }
        }
        for (const auto &action : m_agent.takeActions()) {
            if (const auto *const message = std::get_if<send_message>(&action)) {
                m_entry.receive(message->envelope);
            } else if (const auto *const task = std::get_if<run_task>(&action)) {
                runTask(*task);
            }
        }
    }

    void runTask(const run_task &task)
    {
        std::cout << "task " << task.ref.task << " starts: " << task.payload << "\n";
        task_end end;
        end.ref = task.ref;
        end.result = "quote for " + task.payload;
        m_agent.taskEnded(end);
    }

    void print(const job_answer &answer)
    {
        m_complete = answer.outcome == job_outcome::complete;
        std::cout << toText(answer.id) << " is " << toText(answer.outcome) << "\n";
        for (const auto &result : answer.results) {
            std::cout << "result: " << result << "\n";
        }
    }

    manual_clock m_clock;
    entry_core m_entry{{{incarnation_id{1}, "entry", wire::ROLE_ENTRY, "graz"}, {}}, m_clock};
    agent_core m_agent{{{incarnation_id{2}, "agent", wire::ROLE_AGENT, "graz"}, {"entry"}},
                       m_clock};
    session_id m_session;
    bool m_complete = false;
};

} // namespace

int main()
{
    simulation simulated;
    // The processes connect, the agent receives the manifest, and the entry receives credits, which
    // entitle it to send tasks.
    simulated.run(warmUpTicks);
    job_submission job;
    job.id = job_id{simulated.openSession(), 1};
    job.team = "growers";
    job.service = "price-quote";
    job.payloads = {"basil", "leek", "chard"};
    simulated.submit(std::move(job));
    simulated.run(jobTicks);
    return simulated.complete() ? 0 : 1;
}
