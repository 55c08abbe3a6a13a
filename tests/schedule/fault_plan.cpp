#include "schedule/fault_plan.hpp"

namespace bamboohead::schedule {

namespace {

/// Schedules faults of one run; each kind occurs in a part of the runs only.
class planner
{
public:
    planner(fake_network &network, const fault_window &window)
        : m_network{network}
        , m_window{window}
    {}

    void plan()
    {
        planMessages();
        planTargets();
        repeat(50, 3, [this] { planKill(); });
        repeat(40, 3, [this] { planFreeze(); });
        repeat(40, 3, [this] { planLinkCut(); });
        repeat(30, 2, [this] { planZoneCut(); });
        repeat(40, 2, [this] { planStore(); });
        repeat(50, 4, [this] { planZoneChange(); });
        repeat(30, 2, [this] { planStop(); });
        repeat(30, 2, [this] { planLeaving(); });
    }

private:
    template <typename Plan>
    void repeat(std::uint64_t percent, std::uint64_t most, const Plan &planOne)
    {
        if (random().percent(percent)) {
            for (auto left = 1 + random().below(most); left > 0; --left) {
                planOne();
            }
        }
    }

    random_source &random() { return m_network.random(); }

    time_point anyTime()
    {
        return m_window.begin + random().between(0s, m_window.end - m_window.begin);
    }

    std::string anyProcess()
    {
        auto all = m_network.endpoints(wire::ROLE_ENTRY);
        // Entries hold the evidence of jobs, so they get half of the faults.
        if (random().percent(50)) {
            all = m_network.endpoints(wire::ROLE_AGENT);
        }
        return all[random().below(all.size())];
    }

    std::string anyZone()
    {
        const auto entries = m_network.endpoints(wire::ROLE_ENTRY);
        return m_network.at(entries[random().below(entries.size())]).zone;
    }

    void planMessages()
    {
        auto &faults = m_network.messageFaults;
        const std::uint64_t worst = random().percent(50) ? 5 : 25;
        faults.lost = random().percent(50) ? random().below(worst) : 0;
        faults.duplicated = random().percent(50) ? random().below(worst) : 0;
        faults.delayed = random().percent(50) ? random().below(worst) : 0;
        const duration delays[] = {50ms, 500ms, 3s, 60s, 150s};
        faults.longestDelay = delays[random().below(std::size(delays))];
    }

    void planTargets()
    {
        m_network.targetFaults.failed = random().percent(30) ? 5 : 0;
        m_network.targetFaults.refused = random().percent(40) ? 15 : 0;
    }

    void planKill()
    {
        const auto victim = anyProcess();
        const auto when = anyTime();
        m_network.at(when, [&network = m_network, victim] { network.kill(victim); });
        m_network.at(when + random().between(10ms, 10s),
                     [&network = m_network, victim] { network.restart(victim); });
    }

    void planFreeze()
    {
        const auto victim = anyProcess();
        const auto when = anyTime();
        m_network.at(when, [&network = m_network, victim] { network.freeze(victim); });
        m_network.at(when + random().between(100ms, random().percent(50) ? 4s : 20s),
                     [&network = m_network, victim] { network.thaw(victim); });
    }

    void planLinkCut()
    {
        const auto left = anyProcess();
        const auto right = anyProcess();
        const auto when = anyTime();
        m_network.at(when, [&network = m_network, left, right] { network.cutLink(left, right); });
        m_network.at(when + random().between(100ms, 10s),
                     [&network = m_network] { network.healCuts(); });
    }

    void planZoneCut()
    {
        const auto zone = anyZone();
        const auto when = anyTime();
        m_network.at(when, [&network = m_network, zone] { network.cutZone(zone); });
        m_network.at(when + random().between(100ms, 10s),
                     [&network = m_network] { network.healCuts(); });
    }

    void planStore()
    {
        const auto when = anyTime();
        const bool slow = random().percent(50);
        m_network.at(when, [&network = m_network, slow] {
            (slow ? network.storeSlow : network.storeUp) = slow;
        });
        m_network.at(when + random().between(100ms, 15s), [&network = m_network] {
            network.storeSlow = false;
            network.storeUp = true;
        });
    }

    void planZoneChange()
    {
        const auto zone = anyZone();
        const auto when = anyTime();
        m_network.at(when, [&network = m_network, zone] { network.setZone(zone, false); });
        m_network.at(when + random().between(100ms, 12s),
                     [&network = m_network, zone] { network.setZone(zone, true); });
    }

    void planStop()
    {
        const auto victim = anyProcess();
        m_network.at(anyTime(), [&network = m_network, victim] { network.stop(victim); });
    }

    void planLeaving()
    {
        const auto agents = m_network.endpoints(wire::ROLE_AGENT);
        const auto &agent = agents[random().below(agents.size())];
        const auto when = anyTime();
        m_network.at(when, [&network = m_network, agent] { network.targetLeaves(agent); });
        m_network.at(when + random().between(100ms, 12s),
                     [&network = m_network, agent] { network.targetReturns(agent); });
    }

    fake_network &m_network;
    fault_window m_window;
};

} // namespace

void planMixedFaults(fake_network &network, const fault_window &window)
{
    planner{network, window}.plan();
}

void planZoneOut(fake_network &network, const fault_window &window)
{
    auto &random = network.random();
    const auto agents = network.endpoints(wire::ROLE_AGENT);
    const auto &agent = agents[random.below(agents.size())];
    const auto zone = network.at(agent).zone;
    const auto when = window.begin + random.between(2s, 8s);
    const bool cut = random.percent(50);
    const bool freeze = !cut || random.percent(30);
    const bool storeDown = random.percent(30);
    const auto before = when - random.between(0s, 1500ms);
    network.at(before, [&network, zone, agent, cut, freeze] {
        if (cut) {
            network.cutZone(zone);
        }
        if (freeze) {
            network.freeze(agent);
        }
    });
    network.at(when, [&network, zone, storeDown] {
        network.setZone(zone, false);
        network.storeUp = !storeDown;
    });
    network.at(when + random.between(5s, 9s), [&network, agent] { network.thaw(agent); });
}

void healAll(fake_network &network)
{
    network.messageFaults = {};
    network.targetFaults = {};
    network.storeUp = true;
    network.storeSlow = false;
    network.healCuts();
    for (auto &[endpoint, healed] : network.processes()) {
        network.thaw(endpoint);
        if (healed.stopping && healed.alive()) {
            continue; // restarted when its shutdown is complete
        }
        network.restart(endpoint);
        if (healed.role == wire::ROLE_AGENT) {
            network.targetReturns(endpoint);
        }
        network.setZone(healed.zone, true);
    }
}

} // namespace bamboohead::schedule
