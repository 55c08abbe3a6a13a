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

/// Messages, or orders, that did no work.
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

bool inTime(const load_run &run, std::size_t job)
{
    const auto &outcome = run.outcomes[job];
    const auto &planned = run.jobs[job];
    return outcome.result == job_result::complete &&
           outcome.answered - planned.at <= run.mix.classes[planned.kind].deadline;
}

/// Response times of the complete jobs, of one service or of all (empty name).
json::object responses(const load_run &run, const run_ideal &ideal, std::string_view service)
{
    std::vector<duration> measured;
    std::vector<duration> queue;
    std::vector<duration> idle;
    std::vector<duration> other;
    for (std::size_t i = 0; i < run.jobs.size(); ++i) {
        const bool counted =
                service.empty() || run.mix.classes[run.jobs[i].kind].service == service;
        if (counted && run.outcomes[i].result == job_result::complete) {
            measured.push_back(run.outcomes[i].answered - run.jobs[i].at);
            queue.push_back(ideal.queueEnds[i] - run.jobs[i].at);
            idle.push_back(ideal.idleTimes[i]);
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

json::object goodput(const load_run &run)
{
    std::size_t jobs = 0;
    double work = 0;
    double workInRun = 0;
    double offered = 0;
    for (std::size_t i = 0; i < run.jobs.size(); ++i) {
        offered += workOf(run.jobs[i]);
        if (inTime(run, i)) {
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

/// Numbers of failures and refusals by kind, and false refusals.
void addUnsuccessful(json::object &report, const load_run &run, const run_ideal &ideal)
{
    std::map<std::string, std::size_t> failed;
    std::map<std::string, std::size_t> refused;
    std::size_t falsely = 0;
    for (std::size_t i = 0; i < run.jobs.size(); ++i) {
        const auto &outcome = run.outcomes[i];
        if (outcome.result == job_result::failed) {
            ++failed[outcome.kind];
        } else if (outcome.result == job_result::refused) {
            ++refused[outcome.kind];
            const auto &job = run.jobs[i];
            const auto response = ideal.queueEnds[i] - job.at;
            falsely += response <= run.mix.classes[job.kind].deadline ? 1 : 0;
        }
    }
    report["failures"] = json::object(failed.begin(), failed.end());
    report["refusals"] = json::object(refused.begin(), refused.end());
    report["false_refusals"] = falsely;
}

double grown(const load_run &run, std::string_view counter)
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

/// Messages by the kind of their payload, over all processes.
json::object messagesByKind(const load_run &run)
{
    constexpr std::string_view family = "bamboohead_kind_messages_sent_total{kind=\"";
    std::map<std::string, double> kinds;
    const auto last = run.samples.empty() ? counter_sample{} : run.samples.back();
    for (const auto &[counter, value] : last.values) {
        const auto at = counter.find(family);
        if (at != std::string::npos) {
            const auto begin = at + family.size();
            kinds[counter.substr(begin, counter.find('"', begin) - begin)] += grown(run, counter);
        }
    }
    return {kinds.begin(), kinds.end()};
}

json::object messages(const load_run &run)
{
    const auto tasks = grown(run, taskCountCounter);
    const auto sent = grown(run, "entry.bamboohead_messages_sent_total") +
                      grown(run, "agent.bamboohead_messages_sent_total");
    json::object wastedKinds;
    double wasted = 0;
    for (const auto &[name, counter] : wastedCounters) {
        wastedKinds[name] = grown(run, counter);
        wasted += grown(run, counter);
    }
    return {{"sent", sent},
            {"tasks_run", tasks},
            {"per_task", ratio(sent, tasks)},
            {"by_kind", messagesByKind(run)},
            {"wasted", std::move(wastedKinds)},
            {"wasted_part", ratio(wasted, sent)}};
}

/// How much longer the stand-in's tasks ran than planned, and how late requests were sent.
json::object noise(const load_run &run)
{
    double work = 0;
    double tasks = 0;
    std::vector<duration> late;
    for (std::size_t i = 0; i < run.jobs.size(); ++i) {
        if (run.outcomes[i].result == job_result::complete) {
            work += workOf(run.jobs[i]);
            tasks += static_cast<double>(run.jobs[i].runTimes.size());
        }
        late.push_back(run.outcomes[i].sent - run.jobs[i].at);
    }
    const auto observed = ratio(grown(run, workCounter), grown(run, taskCountCounter));
    return {{"mean_run_time_over_planned", ratio(observed, ratio(work, tasks))},
            {"sent_late_p99_ms", milliseconds(percentile(late, 0.99))}};
}

double valueAt(const load_run &run, std::string_view counter, duration at)
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

double idealWork(const run_ideal &ideal, duration from, duration to)
{
    double sum = 0;
    for (std::size_t i = 0; i < ideal.taskEnds.size(); ++i) {
        // A task's work is spread over its run time, as the slots do it.
        const auto begin = std::max(from, ideal.taskEnds[i] - ideal.taskWork[i]);
        sum += seconds(std::max(duration::zero(), std::min(to, ideal.taskEnds[i]) - begin));
    }
    return sum;
}

std::string marksBetween(const load_run &run, duration from, duration to)
{
    std::string marks;
    for (const auto &event : run.events) {
        if (event.at >= from && event.at < to) {
            marks += (marks.empty() ? "" : ", ") + std::string{event.out ? "out " : "in "} +
                     event.zone;
        }
    }
    return marks;
}

json::array perSecond(const load_run &run, const run_ideal &ideal)
{
    constexpr duration second = std::chrono::seconds{1};
    json::array rows;
    for (duration at{}; at < run.plan.length; at += second) {
        const auto done = [&](std::string_view counter) {
            return valueAt(run, counter, at + second) - valueAt(run, counter, at);
        };
        const auto ideally = std::ranges::count_if(
                ideal.taskEnds, [&](duration end) { return end > at && end <= at + second; });
        json::object row{{"second", rows.size()},
                         {"tasks_done", std::round(done(finishedCounter))},
                         {"ideal_tasks_done", ideally}};
        if (const auto marks = marksBetween(run, at, at + second); !marks.empty()) {
            row["zones"] = marks;
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

/// Work done from the first zone change to the end of the arrivals, against the replay with the
/// slots that were usable.
json::value zoneWindow(const load_run &run, const run_ideal &ideal)
{
    if (run.events.empty()) {
        return nullptr;
    }
    const auto from = run.events.front().at;
    const auto to = run.plan.length;
    const auto tasks = [&](duration at) { return valueAt(run, finishedCounter, at); };
    const auto done = valueAt(run, workCounter, to) - valueAt(run, workCounter, from);
    const auto possible = idealWork(ideal, from, to);
    json::array events;
    for (const auto &event : run.events) {
        events.push_back(json::object{{"zone", event.zone},
                                      {"change", event.out ? "out" : "in"},
                                      {"at_s", seconds(event.at)},
                                      {"in_force_s", seconds(event.accepted)}});
    }
    return json::object{{"events", std::move(events)},
                        {"tasks_done", std::round(tasks(to) - tasks(from))},
                        {"work_s", done},
                        {"ideal_work_s", possible},
                        {"work_ratio", ratio(done, possible)}};
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
    addUnsuccessful(report, run, ideal);
    report["messages"] = messages(run);
    report["noise"] = noise(run);
    report["zone_window"] = zoneWindow(run, ideal);
    report["seconds"] = perSecond(run, ideal);
    return report;
}

} // namespace bamboohead::detail
