#include "bamboohead/detail/load/report.hpp"

#include <algorithm>
#include <set>

namespace bamboohead::detail {

namespace {

/// Input of the replay of one service.
struct service_replay
{
    std::vector<std::size_t> indices; ///< index of each job in load_run::jobs
    std::vector<replay_job> jobs;
    std::vector<capacity_step> capacity;
};

std::vector<service_replay> splitByService(const load_run &run)
{
    std::set<std::string> services;
    for (const auto &kind : run.mix.classes) {
        services.insert(kind.service);
    }
    std::vector<service_replay> parts;
    for (const auto &service : services) {
        service_replay part;
        part.capacity = capacityOf(run, service);
        for (std::size_t i = 0; i < run.jobs.size(); ++i) {
            if (run.mix.classes[run.jobs[i].classIndex].service == service) {
                part.indices.push_back(i);
                part.jobs.push_back({run.jobs[i].at, run.jobs[i].runTimes});
            }
        }
        parts.push_back(std::move(part));
    }
    return parts;
}

run_ideal replayAll(const load_run &run, const std::vector<service_replay> &parts,
                    ideal_order order)
{
    run_ideal ideal;
    ideal.order = order;
    ideal.queueEnds.resize(run.jobs.size());
    for (const auto &part : parts) {
        const auto result = replay(part.jobs, part.capacity, order);
        for (std::size_t i = 0; i < part.indices.size(); ++i) {
            ideal.queueEnds[part.indices[i]] = result.jobEnds[i];
        }
        std::ranges::copy(result.taskEnds, std::back_inserter(ideal.taskEnds));
        std::ranges::copy(result.taskWork, std::back_inserter(ideal.taskWork));
    }
    return ideal;
}

/// Mean response time in microseconds.
double meanResponse(const load_run &run, const run_ideal &ideal)
{
    double sum = 0;
    for (std::size_t i = 0; i < run.jobs.size(); ++i) {
        sum += static_cast<double>((ideal.queueEnds[i] - run.jobs[i].at).count());
    }
    return sum / static_cast<double>(std::max<std::size_t>(run.jobs.size(), 1));
}

std::uint32_t slotsIn(const load_run &run, std::string_view service,
                      const std::set<std::string> &zonesOut)
{
    std::uint32_t sum = 0;
    for (const auto &item : run.slots) {
        sum += item.service == service && !zonesOut.contains(item.zone) ? item.slots : 0;
    }
    return sum;
}

} // namespace

service_slots totalSlots(const std::vector<zone_slots> &slots)
{
    service_slots sums;
    for (const auto &item : slots) {
        sums[item.service] += item.slots;
    }
    return sums;
}

std::vector<capacity_step> capacityOf(const load_run &run, std::string_view service)
{
    std::set<std::string> zonesOut;
    std::vector<capacity_step> steps{{duration::zero(), slotsIn(run, service, zonesOut)}};
    for (const auto &event : run.events) {
        if (event.out) {
            zonesOut.insert(event.zone);
        } else {
            zonesOut.erase(event.zone);
        }
        steps.push_back({event.at, slotsIn(run, service, zonesOut)});
    }
    return steps;
}

run_ideal idealOf(const load_run &run)
{
    const auto parts = splitByService(run);
    auto ideal = replayAll(run, parts, ideal_order::first_come);
    auto other = replayAll(run, parts, ideal_order::least_remaining);
    if (meanResponse(run, other) < meanResponse(run, ideal)) {
        std::swap(ideal, other);
    }
    ideal.otherEnds = std::move(other.queueEnds);
    const auto slots = totalSlots(run.slots);
    for (const auto &job : run.jobs) {
        const auto &service = run.mix.classes[job.classIndex].service;
        ideal.idleResponseTimes.push_back(
                idleResponseTime(job.runTimes, slots.find(service)->second));
    }
    return ideal;
}

} // namespace bamboohead::detail
