#include "bamboohead/detail/load/report.hpp"

#include <boost/json/array.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace bamboohead::detail {

namespace json = boost::json;

namespace {

struct named_fraction
{
    const char *name;
    double fraction;
};

constexpr std::array reportedFractions{named_fraction{"p50", 0.5}, named_fraction{"p99", 0.99},
                                       named_fraction{"p99.9", 0.999}};

constexpr const char *finishedCounter = "agent.bamboohead_tasks_finished_total";
constexpr const char *workCounter = "agent.bamboohead_task_run_seconds_sum";
constexpr const char *taskCountCounter = "agent.bamboohead_task_run_seconds_count";

struct named_counter
{
    const char *name;
    const char *counter;
};

/// Counters of messages and orders that advance no task: refused, repeated and dropped ones, and
/// recalls (requests to return credits).
constexpr std::array wastedCounters{
        named_counter{"refused_orders", "entry.bamboohead_orders_refused_total"},
        named_counter{"duplicate_updates", "entry.bamboohead_updates_duplicate_total"},
        named_counter{"repeated_reports", "agent.bamboohead_reports_repeated_total"},
        named_counter{"recalls", "agent.bamboohead_recalls_total"},
        named_counter{"dropped_by_entries", "entry.bamboohead_core_messages_dropped_total"},
        named_counter{"dropped_by_agents", "agent.bamboohead_core_messages_dropped_total"},
        named_counter{"not_sent_by_entries", "entry.bamboohead_messages_dropped_total"},
        named_counter{"not_sent_by_agents", "agent.bamboohead_messages_dropped_total"},
};

double seconds(duration time)
{
    return std::chrono::duration<double>{time}.count();
}

double milliseconds(duration time)
{
    return std::chrono::duration<double, std::milli>{time}.count();
}

double ratio(double value, double base)
{
    return base > 0 ? value / base : 0;
}

double workOf(const planned_job &job)
{
    return seconds(std::accumulate(job.runTimes.begin(), job.runTimes.end(), duration::zero()));
}

bool metDeadline(const load_run &run, std::size_t job)
{
    const auto &outcome = run.outcomes[job];
    const auto &planned = run.jobs[job];
    return outcome.result == job_result::complete &&
           outcome.answered - planned.at <= run.mix.classes[planned.classIndex].deadline;
}

/// Response times of the complete jobs, in ms and relative to the reference times.
/// @param service Service whose jobs are counted; empty for all.
json::object responses(const load_run &run, const run_ideal &ideal, std::string_view service)
{
    std::vector<duration> measured;
    std::vector<duration> queue;
    std::vector<duration> idle;
    std::vector<duration> other;
    for (std::size_t i = 0; i < run.jobs.size(); ++i) {
        const bool counted =
                service.empty() || run.mix.classes[run.jobs[i].classIndex].service == service;
        if (counted && run.outcomes[i].result == job_result::complete) {
            measured.push_back(run.outcomes[i].answered - run.jobs[i].at);
            queue.push_back(ideal.queueEnds[i] - run.jobs[i].at);
            idle.push_back(ideal.idleResponseTimes[i]);
            other.push_back(ideal.otherEnds[i] - run.jobs[i].at);
        }
    }
    json::object result{{"jobs", measured.size()}};
    for (const auto &[name, fraction] : reportedFractions) {
        const auto value = milliseconds(percentile(measured, fraction));
        const auto queueValue = milliseconds(percentile(queue, fraction));
        const auto idleValue = milliseconds(percentile(idle, fraction));
        result[name] = json::object{{"ms", value},
                                    {"queue_ideal_ms", queueValue},
                                    {"idle_ideal_ms", idleValue},
                                    {"other_order_ms", milliseconds(percentile(other, fraction))},
                                    {"over_queue_ideal", ratio(value, queueValue)},
                                    {"over_idle_ideal", ratio(value, idleValue)}};
    }
    return result;
}

/// Jobs and work that were complete by their deadlines.
json::object goodput(const load_run &run)
{
    std::size_t jobs = 0;
    double work = 0;
    double workInRun = 0;
    double offered = 0;
    for (std::size_t i = 0; i < run.jobs.size(); ++i) {
        offered += workOf(run.jobs[i]);
        if (metDeadline(run, i)) {
            ++jobs;
            work += workOf(run.jobs[i]);
            workInRun += run.outcomes[i].answered <= run.plan.length ? workOf(run.jobs[i]) : 0;
        }
    }
    double slots = 0;
    for (const auto &item : run.slots) {
        slots += item.slots;
    }
    const auto length = seconds(run.plan.length);
    return {{"jobs", jobs},
            {"jobs_per_s", static_cast<double>(jobs) / length},
            {"job_part", ratio(static_cast<double>(jobs), static_cast<double>(run.jobs.size()))},
            {"work_part", ratio(work, offered)},
            {"slot_use", ratio(workInRun, slots * length)}};
}

/// Adds the numbers of failures and refusals by error kind, and the number of false refusals: jobs
/// that were refused although the ideal queue would have met their deadline.
void addFailuresAndRefusals(json::object &report, const load_run &run, const run_ideal &ideal)
{
    std::map<std::string, std::size_t> failed;
    std::map<std::string, std::size_t> refused;
    std::size_t falseRefusals = 0;
    for (std::size_t i = 0; i < run.jobs.size(); ++i) {
        const auto &outcome = run.outcomes[i];
        if (outcome.result == job_result::failed) {
            ++failed[outcome.kind];
        } else if (outcome.result == job_result::refused) {
            ++refused[outcome.kind];
            const auto &job = run.jobs[i];
            const auto response = ideal.queueEnds[i] - job.at;
            falseRefusals += response <= run.mix.classes[job.classIndex].deadline ? 1 : 0;
        }
    }
    report["failures"] = json::object(failed.begin(), failed.end());
    report["refusals"] = json::object(refused.begin(), refused.end());
    report["false_refusals"] = falseRefusals;
}

/// Increase of a counter from the first to the last sample.
double counterIncrease(const load_run &run, std::string_view counter)
{
    if (run.samples.empty()) {
        return 0;
    }
    const auto read = [counter](const counter_sample &sample) {
        const auto found = sample.values.find(counter);
        return found == sample.values.end() ? 0 : found->second;
    };
    return read(run.samples.back()) - read(run.samples.front());
}

/// Number of messages sent by kind of payload, over all processes.
json::object messagesByKind(const load_run &run)
{
    constexpr std::string_view family = "bamboohead_kind_messages_sent_total{kind=\"";
    std::map<std::string, double> kinds;
    const auto last = run.samples.empty() ? counter_sample{} : run.samples.back();
    for (const auto &[counter, value] : last.values) {
        const auto at = counter.find(family);
        if (at != std::string::npos) {
            const auto begin = at + family.size();
            kinds[counter.substr(begin, counter.find('"', begin) - begin)] +=
                    counterIncrease(run, counter);
        }
    }
    return {kinds.begin(), kinds.end()};
}

json::object messages(const load_run &run)
{
    const auto tasks = counterIncrease(run, taskCountCounter);
    const auto sent = counterIncrease(run, "entry.bamboohead_messages_sent_total") +
                      counterIncrease(run, "agent.bamboohead_messages_sent_total");
    json::object wastedKinds;
    double wasted = 0;
    for (const auto &[name, counter] : wastedCounters) {
        wastedKinds[name] = counterIncrease(run, counter);
        wasted += counterIncrease(run, counter);
    }
    return {{"sent", sent},
            {"tasks_run", tasks},
            {"per_task", ratio(sent, tasks)},
            {"by_kind", messagesByKind(run)},
            {"wasted", std::move(wastedKinds)},
            {"wasted_part", ratio(wasted, sent)}};
}

/// Deviations of the test environment: run time of the tasks at the simulated target relative to
/// the plan, and the delay with which requests were sent.
json::object noise(const load_run &run)
{
    double work = 0;
    double tasks = 0;
    std::vector<duration> sendDelays;
    for (std::size_t i = 0; i < run.jobs.size(); ++i) {
        if (run.outcomes[i].result == job_result::complete) {
            work += workOf(run.jobs[i]);
            tasks += static_cast<double>(run.jobs[i].runTimes.size());
        }
        sendDelays.push_back(run.outcomes[i].sent - run.jobs[i].at);
    }
    const auto observed =
            ratio(counterIncrease(run, workCounter), counterIncrease(run, taskCountCounter));
    return {{"mean_run_time_over_planned", ratio(observed, ratio(work, tasks))},
            {"sent_late_p99_ms", milliseconds(percentile(sendDelays, 0.99))}};
}

/// Value of a counter at a time, interpolated linearly between the samples.
double interpolatedValue(const load_run &run, std::string_view counter, duration at)
{
    double before = 0;
    duration beforeAt{};
    for (const auto &sample : run.samples) {
        const auto found = sample.values.find(counter);
        const auto value = found == sample.values.end() ? before : found->second;
        if (sample.at >= at) {
            const auto span = seconds(sample.at - beforeAt);
            return span > 0 ? before + (value - before) * seconds(at - beforeAt) / span : value;
        }
        before = value;
        beforeAt = sample.at;
    }
    return before;
}

/// Work in seconds that the ideal queue does in a period.
double idealWork(const run_ideal &ideal, duration from, duration to)
{
    double sum = 0;
    for (std::size_t i = 0; i < ideal.taskEnds.size(); ++i) {
        // Counts the part of the task's run time that lies in the period.
        const auto begin = std::max(from, ideal.taskEnds[i] - ideal.taskWork[i]);
        sum += seconds(std::max(duration::zero(), std::min(to, ideal.taskEnds[i]) - begin));
    }
    return sum;
}

/// Zone changes requested in a period, for example "out graz, in linz".
std::string zoneChangesBetween(const load_run &run, duration from, duration to)
{
    std::string zoneChanges;
    for (const auto &event : run.events) {
        if (event.at >= from && event.at < to) {
            zoneChanges += (zoneChanges.empty() ? "" : ", ") +
                           std::string{event.out ? "out " : "in "} + event.zone;
        }
    }
    return zoneChanges;
}

/// Tasks done in each second of the run, and the number that the ideal queue does.
json::array perSecond(const load_run &run, const run_ideal &ideal)
{
    constexpr duration second = std::chrono::seconds{1};
    json::array rows;
    for (duration at{}; at < run.plan.length; at += second) {
        const auto done = [&](std::string_view counter) {
            return interpolatedValue(run, counter, at + second) -
                   interpolatedValue(run, counter, at);
        };
        const auto idealTaskCount = std::ranges::count_if(
                ideal.taskEnds, [&](duration end) { return end > at && end <= at + second; });
        json::object row{{"second", rows.size()},
                         {"tasks_done", std::round(done(finishedCounter))},
                         {"ideal_tasks_done", idealTaskCount}};
        if (const auto zoneChanges = zoneChangesBetween(run, at, at + second);
            !zoneChanges.empty()) {
            row["zones"] = zoneChanges;
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

/// Work done from the first zone change to the end of the arrivals, compared with the ideal queue
/// on the slots that were usable. Null if no zone changed.
json::value zoneWindow(const load_run &run, const run_ideal &ideal)
{
    if (run.events.empty()) {
        return nullptr;
    }
    const auto from = run.events.front().at;
    const auto to = run.plan.length;
    const auto tasks = [&](duration at) { return interpolatedValue(run, finishedCounter, at); };
    const auto done =
            interpolatedValue(run, workCounter, to) - interpolatedValue(run, workCounter, from);
    const auto idealSeconds = idealWork(ideal, from, to);
    json::array events;
    for (const auto &event : run.events) {
        events.push_back(json::object{{"zone", event.zone},
                                      {"change", event.out ? "out" : "in"},
                                      {"at_s", seconds(event.at)},
                                      {"in_force_s", seconds(event.changeEnded)}});
    }
    return json::object{{"events", std::move(events)},
                        {"tasks_done", std::round(tasks(to) - tasks(from))},
                        {"work_s", done},
                        {"ideal_work_s", idealSeconds},
                        {"work_ratio", ratio(done, idealSeconds)}};
}

} // namespace

duration percentile(std::vector<duration> values, double fraction)
{
    if (values.empty()) {
        return duration::zero();
    }
    const auto rank = std::ceil(fraction * static_cast<double>(values.size()));
    const auto index = std::min(values.size(), static_cast<std::size_t>(std::max(rank, 1.0))) - 1;
    std::ranges::nth_element(values, values.begin() + static_cast<std::ptrdiff_t>(index));
    return values[index];
}

json::object makeReport(const load_run &run)
{
    const auto ideal = idealOf(run);
    json::object report;
    report["load"] = run.plan.load;
    report["duration_s"] = seconds(run.plan.length);
    report["seed"] = run.plan.seed;
    report["jobs"] = run.jobs.size();
    report["ideal_order"] = ideal.order == ideal_order::first_come ? "first come, first served"
                                                                   : "least remaining work first";
    report["response"] = responses(run, ideal, "");
    json::object services;
    for (const auto &[service, slots] : totalSlots(run.slots)) {
        auto row = responses(run, ideal, service);
        row["slots"] = slots;
        services[service] = std::move(row);
    }
    report["services"] = std::move(services);
    report["goodput"] = goodput(run);
    addFailuresAndRefusals(report, run, ideal);
    report["messages"] = messages(run);
    report["noise"] = noise(run);
    report["zone_window"] = zoneWindow(run, ideal);
    report["seconds"] = perSecond(run, ideal);
    return report;
}

} // namespace bamboohead::detail
