#include "schedule/fault_plan.hpp"

namespace bamboohead::schedule {

namespace {

/// Schedules the faults of one run. Each kind of fault occurs in some of the runs only.
class fault_planner
{
public:
    fault_planner(fake_network &network, const fault_window &window)
        : m_network{network}
        , m_window{window}
    {}

    void plan()
    {
        planMessageFaults();
        planTargetFaults();
        planRepeatedly(50, 3, [this] { planKill(); });
        planRepeatedly(40, 3, [this] { planSuspension(); });
        planRepeatedly(40, 3, [this] { planPartition(); });
        planRepeatedly(30, 2, [this] { planZoneIsolation(); });
        planRepeatedly(40, 2, [this] { planStoreFault(); });
        planRepeatedly(50, 4, [this] { planZoneChange(); });
        planRepeatedly(30, 2, [this] { planGracefulStop(); });
        planRepeatedly(30, 2, [this] { planTargetLeaving(); });
    }

private:
    /// In `percent` of the runs, schedules a kind of fault 1 to `maxCount` times.
    template <typename Plan>
    void planRepeatedly(std::uint64_t percent, std::uint64_t maxCount, const Plan &planFault)
    {
        if (random().percent(percent)) {
            for (auto left = 1 + random().below(maxCount); left > 0; --left) {
                planFault();
            }
        }
    }

    random_source &random() { return m_network.random(); }

    time_point randomTime()
    {
        return m_window.begin + random().between(0s, m_window.end - m_window.begin);
    }

    std::string randomProcess()
    {
        auto all = m_network.endpoints(wire::ROLE_ENTRY);
        // Half of the faults affect entries, as these hold the records of jobs.
        if (random().percent(50)) {
            all = m_network.endpoints(wire::ROLE_AGENT);
        }
        return all[random().below(all.size())];
    }

    std::string randomZone()
    {
        const auto entries = m_network.endpoints(wire::ROLE_ENTRY);
        return m_network.at(entries[random().below(entries.size())]).zone;
    }

    void planMessageFaults()
    {
        auto &faults = m_network.messageFaults;
        const std::uint64_t percentLimit = random().percent(50) ? 5 : 25;
        faults.lost = random().percent(50) ? random().below(percentLimit) : 0;
        faults.duplicated = random().percent(50) ? random().below(percentLimit) : 0;
        faults.delayed = random().percent(50) ? random().below(percentLimit) : 0;
        const duration delays[] = {50ms, 500ms, 3s, 60s, 150s};
        faults.maxDelay = delays[random().below(std::size(delays))];
    }

    void planTargetFaults()
    {
        m_network.targetFaults.failed = random().percent(30) ? 5 : 0;
        m_network.targetFaults.refused = random().percent(40) ? 15 : 0;
    }

    void planKill()
    {
        const auto victim = randomProcess();
        const auto when = randomTime();
        m_network.at(when, [&network = m_network, victim] { network.kill(victim); });
        m_network.at(when + random().between(10ms, 10s),
                     [&network = m_network, victim] { network.restart(victim); });
    }

    void planSuspension()
    {
        const auto victim = randomProcess();
        const auto when = randomTime();
        m_network.at(when, [&network = m_network, victim] { network.suspend(victim); });
        m_network.at(when + random().between(100ms, random().percent(50) ? 4s : 20s),
                     [&network = m_network, victim] { network.resume(victim); });
    }

    void planPartition()
    {
        const auto left = randomProcess();
        const auto right = randomProcess();
        const auto when = randomTime();
        m_network.at(when, [&network = m_network, left, right] { network.partition(left, right); });
        m_network.at(when + random().between(100ms, 10s),
                     [&network = m_network] { network.reconnectAll(); });
    }

    void planZoneIsolation()
    {
        const auto zone = randomZone();
        const auto when = randomTime();
        m_network.at(when, [&network = m_network, zone] { network.isolateZone(zone); });
        m_network.at(when + random().between(100ms, 10s),
                     [&network = m_network] { network.reconnectAll(); });
    }

    void planStoreFault()
    {
        const auto when = randomTime();
        const bool slow = random().percent(50);
        m_network.at(when, [&network = m_network, slow] {
            // Sets storeSlow to true, or storeAvailable to false.
            (slow ? network.storeSlow : network.storeAvailable) = slow;
        });
        m_network.at(when + random().between(100ms, 15s), [&network = m_network] {
            network.storeSlow = false;
            network.storeAvailable = true;
        });
    }

    void planZoneChange()
    {
        const auto zone = randomZone();
        const auto when = randomTime();
        m_network.at(when, [&network = m_network, zone] { network.setZone(zone, false); });
        m_network.at(when + random().between(100ms, 12s),
                     [&network = m_network, zone] { network.setZone(zone, true); });
    }

    void planGracefulStop()
    {
        const auto victim = randomProcess();
        m_network.at(randomTime(), [&network = m_network, victim] { network.stop(victim); });
    }

    void planTargetLeaving()
    {
        const auto agents = m_network.endpoints(wire::ROLE_AGENT);
        const auto &agent = agents[random().below(agents.size())];
        const auto when = randomTime();
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
    fault_planner{network, window}.plan();
}

void planZoneOut(fake_network &network, const fault_window &window)
{
    auto &random = network.random();
    const auto agents = network.endpoints(wire::ROLE_AGENT);
    const auto &agent = agents[random.below(agents.size())];
    const auto zone = network.at(agent).zone;
    const auto when = window.begin + random.between(2s, 8s);
    const bool isolate = random.percent(50);
    const bool suspend = !isolate || random.percent(30);
    const bool storeUnavailable = random.percent(30);
    const auto before = when - random.between(0s, 1500ms);
    network.at(before, [&network, zone, agent, isolate, suspend] {
        if (isolate) {
            network.isolateZone(zone);
        }
        if (suspend) {
            network.suspend(agent);
        }
    });
    network.at(when, [&network, zone, storeUnavailable] {
        network.setZone(zone, false);
        network.storeAvailable = !storeUnavailable;
    });
    network.at(when + random.between(5s, 9s), [&network, agent] { network.resume(agent); });
}

void endAllFaults(fake_network &network)
{
    network.messageFaults = {};
    network.targetFaults = {};
    network.storeAvailable = true;
    network.storeSlow = false;
    network.reconnectAll();
    for (auto &[endpoint, restored] : network.processes()) {
        network.resume(endpoint);
        if (restored.stopping && restored.alive()) {
            continue; // completes its shutdown and is not restarted here
        }
        network.restart(endpoint);
        if (restored.role == wire::ROLE_AGENT) {
            network.targetReturns(endpoint);
        }
        network.setZone(restored.zone, true);
    }
}

} // namespace bamboohead::schedule
