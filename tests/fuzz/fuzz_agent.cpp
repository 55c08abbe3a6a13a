#include "message_feed.hpp"

#include "bamboohead/agent_core.hpp"

#include <boost/json.hpp>

#include <set>

namespace bamboohead::fuzz {

namespace {

constexpr std::uint32_t ownSlots = 2;
/// Orders beyond its slots that the test permits an agent to hold. Below the limits of the agent
/// under test: agent_options::extraOrders, 6, and for uncredited orders a queue of 1,000.
constexpr std::uint64_t maxExcessOrders = 2;
constexpr duration maxTimeout = std::chrono::hours{24};
/// Simulated time without messages. Longer than the 2 s after which a silent peer counts as failed.
constexpr duration silenceTime = std::chrono::seconds{3};

/// An agent with a ready target in a zone that is in. The heartbeat of one entry has confirmed that
/// its configuration is current.
class agent_under_test
{
public:
    agent_under_test()
        : m_core{options(), m_clock}
    {
        wire::Envelope push;
        push.mutable_config_push()->set_version(1);
        push.mutable_config_push()->set_manifest(testManifest);
        address(push, false, true, m_clock.now());
        m_core.receive(push);
        wire::Envelope peer;
        peer.mutable_entry_heartbeat()->set_config_version(1);
        peer.mutable_entry_heartbeat()->set_current(true);
        address(peer, false, true, m_clock.now());
        m_core.receive(peer);
        m_core.targetAnnounced(target_announcement{"quote", ownSlots, target_state::ready});
        step();
    }

    /// Delivers a message and checks the tasks that the agent starts.
    void handleMessage(const feed_message &message)
    {
        m_clock.advance(message.advance);
        if ((message.flags & flag_stop) != 0) {
            m_core.stop();
        } else if ((message.flags & flag_dump_or_announce) != 0) {
            m_core.targetAnnounced(target_announcement{"quote", ownSlots, target_state::ready});
        }
        m_core.receive(message.envelope);
        step();
    }

    /// Without messages for silenceTime, the agent must not count itself as current or an entry as
    /// alive, whatever the earlier messages contained.
    void finish()
    {
        endTasks();
        step();
        m_clock.advance(silenceTime);
        step();
        const auto state = m_core.dump();
        require(!state.at("current").as_bool(),
                "agent counts as current without confirmation by an entry");
        for (const auto &entry : state.at("entries").as_array()) {
            require(!entry.at("alive").as_bool(), "entry counts as alive without messages");
        }
    }

private:
    static agent_options options()
    {
        agent_options result;
        result.self = process_identity{incarnation_id{selfIncarnation}, "tcp://127.0.0.1:1",
                                       wire::ROLE_AGENT, "graz"};
        return result;
    }

    void step()
    {
        m_core.tick();
        for (const auto &action : m_core.takeActions()) {
            if (const auto *const task = std::get_if<run_task>(&action)) {
                checkTask(*task);
            }
        }
        const auto state = m_core.dump();
        const auto number = [&state](const char *key) {
            return state.at(key).to_number<std::uint64_t>();
        };
        require(number("running") <= ownSlots, "more running tasks than slots");
        require(number("queued") + number("running") <= ownSlots + maxExcessOrders,
                "more orders than slots and excess orders");
        if (number("running") == ownSlots) {
            endTasks();
        }
    }

    void checkTask(const run_task &task)
    {
        require(task.service == "quote", "task started for an unknown service");
        require(task.payload.size() <= maxPayloadBytes,
                "task started with a payload above the limit");
        require(task.ref.task < maxTasksPerJob, "task started with a task number above the limit");
        require(task.timeout > duration{} && task.timeout <= maxTimeout,
                "task started with a timeout out of range");
        const auto name = toText(task.ref.job) + "/" + std::to_string(task.ref.task);
        require(m_started.insert(name).second, "task started twice");
        m_running.push_back(task.ref);
    }

    void endTasks()
    {
        for (const auto &ref : std::exchange(m_running, {})) {
            task_end end;
            end.ref = ref;
            end.result = "ok";
            m_core.taskEnded(end);
        }
    }

    manual_clock m_clock;
    agent_core m_core;
    std::set<std::string> m_started; ///< "job/task" of each started task
    std::vector<task_ref> m_running;
};

} // namespace

void fuzzAgentMessages(input_bytes bytes)
{
    manual_clock clock;
    agent_under_test agent;
    message_feed feed{bytes};
    while (auto message = feed.next(clock)) {
        clock.advance(message->advance);
        agent.handleMessage(*message);
    }
    agent.finish();
}

} // namespace bamboohead::fuzz
