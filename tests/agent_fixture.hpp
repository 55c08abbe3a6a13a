#pragma once

#include "bamboohead/agent_core.hpp"
#include "bamboohead/detail/agent/task_table.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bamboohead::test {

using namespace std::chrono_literals;

inline constexpr incarnation_id agentId{900};
inline constexpr incarnation_id primaryId{1};
inline constexpr incarnation_id backupId{2};
inline constexpr job_home home{primaryId, backupId};
inline constexpr auto service = "tray-availability";
inline constexpr auto zoneInText = R"({"zones": {"graz": {"state": "in"}},
    "services": {"tray-availability": {"weight": 1}}, "teams": {}})";
inline constexpr auto zoneOutText = R"({"zones": {"graz": {"state": "out"}},
    "services": {"tray-availability": {"weight": 1}}, "teams": {}})";

inline task_ref refOf(std::uint32_t task, std::uint32_t attempt = 1)
{
    return task_ref{job_id{session_id{home, 7}, 1}, task, attempt};
}

/// An agent with two slots in a zone that is in service, and the entries that exchange messages
/// with it. It may hold two orders in addition to its slots (agent_options::extraOrders), and
/// reserves no credits. Without target, the agent has received its configuration only.
class agent_fixture
{
public:
    explicit agent_fixture(bool withTarget = true)
        : m_core{{{agentId, "tcp://127.0.0.1:9", wire::ROLE_AGENT, "graz"}, {"seed"}, 1, 2, 0},
                 m_clock}
    {
        pushConfig(1, zoneInText);
        exchangeHeartbeats();
        if (!withTarget) {
            return;
        }
        m_core.targetAnnounced({service, 2, target_state::ready});
        exchangeHeartbeats();
        // The first entry received all credits. It returns the idle ones when the agent recalls
        // them, so that both entries hold two afterwards.
        for (int round = 0; round < 2; ++round) {
            pass(510ms);
            exchangeHeartbeats();
        }
    }

    /// Lets both entries send a heartbeat, and the agent answer with their credits.
    void exchangeHeartbeats()
    {
        heartbeat(primaryId);
        heartbeat(backupId);
        tick();
    }

    void tick()
    {
        m_core.tick();
        collect();
    }

    /// Lets the time pass in steps of 10 ms. The agent and its target keep running, the entries
    /// send nothing.
    void pass(duration time)
    {
        for (duration step{}; step < time; step += 10ms) {
            m_clock.advance(10ms);
            m_core.targetAnnounced({service, 2, target_state::ready});
            tick();
        }
    }

    /// An envelope without payload from an entry that echoes the agent's present time.
    wire::Envelope from(incarnation_id entry)
    {
        wire::Envelope envelope;
        envelope.set_sender(static_cast<std::uint64_t>(entry));
        envelope.set_receiver(static_cast<std::uint64_t>(agentId));
        envelope.set_endpoint("tcp://" + toText(entry));
        envelope.set_role(wire::ROLE_ENTRY);
        envelope.set_zone("graz");
        envelope.set_stamp_us(++m_stamp);
        envelope.set_echo_us(toStamp(m_clock.now()));
        return envelope;
    }

    void receive(const wire::Envelope &envelope)
    {
        m_core.receive(envelope);
        collect();
    }

    wire::Envelope heartbeatMessage(incarnation_id entry, std::uint64_t version)
    {
        auto envelope = from(entry);
        auto &heartbeat = *envelope.mutable_entry_heartbeat();
        heartbeat.set_config_version(version);
        heartbeat.set_current(true);
        heartbeat.set_credit_epoch(m_epoch[entry]);
        heartbeat.set_used_total(m_used[entry]);
        return envelope;
    }

    void heartbeat(incarnation_id entry) { receive(heartbeatMessage(entry, m_version)); }

    void pushConfig(std::uint64_t version, const std::string &text)
    {
        auto envelope = from(primaryId);
        envelope.mutable_config_push()->set_version(version);
        envelope.mutable_config_push()->set_manifest(text);
        receive(envelope);
        m_version = version;
    }

    /// A message that orders the start of tasks and uses one credit for each.
    wire::Envelope startMessage(const std::vector<task_ref> &refs,
                                wire::Owner owner = wire::OWNER_PRIMARY)
    {
        const auto entry = owner == wire::OWNER_PRIMARY ? primaryId : backupId;
        auto envelope = from(entry);
        auto &start = *envelope.mutable_start_tasks();
        start.set_owner(owner);
        start.set_credit_epoch(m_epoch[entry]);
        m_used[entry] += refs.size();
        start.set_used_total(m_used[entry]);
        for (const auto &ref : refs) {
            auto &order = *start.add_orders();
            toWire(ref, *order.mutable_ref());
            order.set_service(service);
            order.set_payload("payload");
            order.set_remaining_us(10'000'000);
        }
        return envelope;
    }

    void start(const std::vector<task_ref> &refs, wire::Owner owner = wire::OWNER_PRIMARY)
    {
        receive(startMessage(refs, owner));
    }

    void endTask(const task_ref &ref, const std::string &result = "result")
    {
        m_core.taskEnded({ref, false, false, result, 50ms});
        collect();
    }

    void query(const task_ref &ref, incarnation_id sender = primaryId)
    {
        auto envelope = from(sender);
        toWire(ref, *envelope.mutable_task_query()->add_refs());
        receive(envelope);
    }

    void fence(incarnation_id sender = backupId)
    {
        auto envelope = from(sender);
        toWire(home, *envelope.mutable_fence_request()->mutable_home());
        receive(envelope);
    }

    void acknowledge(incarnation_id entry, const task_ref &ref)
    {
        auto envelope = from(entry);
        toWire(ref, *envelope.mutable_update_ack()->add_refs());
        receive(envelope);
    }

    /// The newest update for an order that the entry received; none without update.
    std::optional<wire::TaskUpdate> update(const task_ref &ref, incarnation_id entry = primaryId)
    {
        const auto found = m_updates[entry].find(ref);
        return found == m_updates[entry].end() ? std::nullopt : std::optional{found->second.back()};
    }

    std::size_t updateCount(const task_ref &ref, incarnation_id entry = primaryId)
    {
        return m_updates[entry][ref].size();
    }

    /// The error of the newest update for an order if that is a refusal, else `none`.
    error_kind refusal(const task_ref &ref, incarnation_id entry = primaryId)
    {
        const auto newest = update(ref, entry);
        const bool refused = newest && newest->state() == wire::TASK_STATE_REFUSED;
        return refused ? errorFromWire(newest->error()) : error_kind::none;
    }

    /// Number of times that the agent started the order.
    std::size_t startCount(const task_ref &ref)
    {
        return static_cast<std::size_t>(std::ranges::count(m_started, ref));
    }

    agent_core &core() { return m_core; }
    manual_clock &time() { return m_clock; }
    /// Credits that the entry holds according to the messages it received.
    std::uint64_t credits(incarnation_id entry) { return m_issued[entry] - m_used[entry]; }

    std::vector<wire::Envelope> sent; ///< messages of the agent that were delivered
    std::vector<wire::FenceReport> fenceReports;
    bool stopped = false;
    bool dropMessages = false; ///< loses the messages of the agent

private:
    using update_map =
            std::unordered_map<task_ref, std::vector<wire::TaskUpdate>, detail::task_ref_hash>;

    void collect()
    {
        for (auto &action : m_core.takeActions()) {
            if (const auto *run = std::get_if<run_task>(&action)) {
                m_started.push_back(run->ref);
            }
            stopped = stopped || std::holds_alternative<shutdown_complete>(action);
            const auto *message = std::get_if<send_message>(&action);
            if (message != nullptr && !dropMessages) {
                recordMessage(message->envelope);
            }
        }
    }

    void recordMessage(const wire::Envelope &envelope)
    {
        sent.push_back(envelope);
        const incarnation_id entry{envelope.receiver()};
        for (const auto &update : envelope.task_updates().updates()) {
            m_updates[entry][fromWire(update.ref())].push_back(update);
        }
        if (envelope.has_task_updates()) {
            recordCredits(entry, envelope.task_updates().credit_epoch(),
                          envelope.task_updates().issued_total());
        }
        if (envelope.has_agent_heartbeat()) {
            recordCredits(entry, envelope.agent_heartbeat().credit_epoch(),
                          envelope.agent_heartbeat().issued_total());
            if (envelope.agent_heartbeat().recall()) {
                m_used[entry] = m_issued[entry];
            }
        }
        if (envelope.has_fence_report()) {
            fenceReports.push_back(envelope.fence_report());
        }
    }

    void recordCredits(incarnation_id entry, std::uint64_t epoch, std::uint64_t issued)
    {
        if (m_epoch[entry] != epoch) {
            m_epoch[entry] = epoch;
            m_used[entry] = 0;
        }
        m_issued[entry] = issued;
    }

    manual_clock m_clock;
    agent_core m_core;
    std::uint64_t m_stamp = 0;
    std::uint64_t m_version = 1;
    std::map<incarnation_id, std::uint64_t> m_epoch;
    std::map<incarnation_id, std::uint64_t> m_issued;
    std::map<incarnation_id, std::uint64_t> m_used;
    std::map<incarnation_id, update_map> m_updates;
    std::vector<task_ref> m_started;
};

} // namespace bamboohead::test
