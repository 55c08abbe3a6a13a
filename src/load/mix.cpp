#include "bamboohead/detail/load/mix.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <numeric>
#include <set>
#include <stdexcept>

namespace bamboohead::detail {

namespace json = boost::json;

namespace {

constexpr double millisecondsPerSecond = 1000;

double numberOr(const json::object &object, const char *key, double absent)
{
    const auto *const value = object.if_contains(key);
    return value == nullptr ? absent : value->to_number<double>();
}

distribution::part readPart(const json::object &object)
{
    distribution::part part;
    part.share = numberOr(object, "share", 1);
    part.min = object.at("min").to_number<std::uint32_t>();
    part.max = object.at("max").to_number<std::uint32_t>();
    if (part.min == 0 || part.max < part.min || part.share <= 0) {
        throw std::runtime_error{"a distribution needs 0 < min <= max and share > 0"};
    }
    return part;
}

distribution readDistribution(const json::value &value)
{
    if (value.is_object()) {
        return distribution{{readPart(value.get_object())}};
    }
    std::vector<distribution::part> parts;
    for (const auto &part : value.as_array()) {
        parts.push_back(readPart(part.as_object()));
    }
    if (parts.empty()) {
        throw std::runtime_error{"a distribution needs at least one part"};
    }
    return distribution{std::move(parts)};
}

job_class readClass(const json::object &object)
{
    job_class result;
    result.name = object.at("name").as_string();
    result.service = object.at("service").as_string();
    result.team = object.at("team").as_string();
    result.share = numberOr(object, "share", 1);
    result.tasks = readDistribution(object.at("tasks"));
    result.runMs = readDistribution(object.at("run_ms"));
    result.deadline = std::chrono::milliseconds{object.at("deadline_ms").to_number<std::int64_t>()};
    result.idempotent = object.at("idempotent").as_bool();
    if (result.share <= 0 || result.deadline <= duration::zero()) {
        throw std::runtime_error{"class " + result.name +
                                 ": share and deadline_ms must be above 0"};
    }
    return result;
}

duration secondsOr(const json::object &object, const char *key, duration absent)
{
    const std::chrono::duration<double> value{
            numberOr(object, key, std::chrono::duration<double>{absent}.count())};
    return std::chrono::duration_cast<duration>(value);
}

burst_pattern readBursts(const json::object &object)
{
    burst_pattern bursts;
    bursts.factor = numberOr(object, "factor", bursts.factor);
    bursts.period = secondsOr(object, "period_s", bursts.period);
    bursts.length = secondsOr(object, "length_s", bursts.length);
    if (bursts.factor < 1 || bursts.length <= duration::zero() || bursts.period < bursts.length) {
        throw std::runtime_error{"bursts need factor >= 1 and 0 < length_s <= period_s"};
    }
    return bursts;
}

double shareOf(const job_mix &mix, std::string_view service)
{
    double sum = 0;
    for (const auto &kind : mix.classes) {
        sum += kind.service == service ? kind.share : 0;
    }
    return sum;
}

std::size_t drawClass(const job_mix &mix, std::string_view service, load_random &random)
{
    auto left = std::uniform_real_distribution<>{0, shareOf(mix, service)}(random);
    std::size_t last = 0;
    for (std::size_t i = 0; i < mix.classes.size(); ++i) {
        if (mix.classes[i].service != service) {
            continue;
        }
        last = i;
        left -= mix.classes[i].share;
        if (left < 0) {
            break;
        }
    }
    return last;
}

bool inBurst(const burst_pattern &bursts, duration at)
{
    return at % bursts.period < bursts.length;
}

planned_job drawJob(const job_mix &mix, std::string_view service, duration at, load_random &random)
{
    planned_job job;
    job.at = at;
    job.classIndex = drawClass(mix, service, random);
    const auto &kind = mix.classes[job.classIndex];
    job.runTimes.resize(kind.tasks.draw(random));
    for (auto &runTime : job.runTimes) {
        runTime = std::chrono::milliseconds{kind.runMs.draw(random)};
    }
    return job;
}

/// Appends the arrivals of one service. Generates a Poisson process at the rate of the bursts and
/// drops arrivals at random outside of the bursts (thinning).
/// @param jobsPerSecond Mean rate over the whole run.
void planService(const job_mix &mix, std::string_view service, double jobsPerSecond,
                 const load_plan &plan, load_random &random, std::vector<planned_job> &jobs)
{
    const auto &bursts = mix.bursts;
    const auto burstFraction = std::chrono::duration<double>{bursts.length} / bursts.period;
    const auto rateOutsideBursts = jobsPerSecond / (1 + (bursts.factor - 1) * burstFraction);
    std::exponential_distribution<> gap{rateOutsideBursts * bursts.factor};
    std::bernoulli_distribution keptOutsideBursts{1 / bursts.factor};
    std::chrono::duration<double> at{gap(random)};
    for (; at < plan.length; at += std::chrono::duration<double>{gap(random)}) {
        const auto when = std::chrono::duration_cast<duration>(at);
        if (inBurst(bursts, when) || keptOutsideBursts(random)) {
            jobs.push_back(drawJob(mix, service, when, random));
        }
    }
}

} // namespace

std::uint32_t distribution::draw(load_random &random) const
{
    double sum = 0;
    for (const auto &component : m_parts) {
        sum += component.share;
    }
    auto left = std::uniform_real_distribution<>{0, sum}(random);
    const auto *chosen = &m_parts.back();
    for (const auto &component : m_parts) {
        left -= component.share;
        if (left < 0) {
            chosen = &component;
            break;
        }
    }
    return std::uniform_int_distribution<std::uint32_t>{chosen->min, chosen->max}(random);
}

double distribution::mean() const
{
    double sum = 0;
    double shares = 0;
    for (const auto &component : m_parts) {
        sum += component.share * (static_cast<double>(component.min) + component.max) / 2;
        shares += component.share;
    }
    return sum / shares;
}

job_mix parseMix(std::string_view text)
{
    json::parse_options options;
    options.allow_comments = true;
    const auto value = json::parse(json::string_view{text.data(), text.size()}, {}, options);
    job_mix mix;
    for (const auto &item : value.as_object().at("classes").as_array()) {
        mix.classes.push_back(readClass(item.as_object()));
    }
    if (mix.classes.empty()) {
        throw std::runtime_error{"a mix needs at least one class"};
    }
    if (const auto *bursts = value.as_object().if_contains("bursts")) {
        mix.bursts = readBursts(bursts->as_object());
    }
    return mix;
}

double meanWork(const job_mix &mix, std::string_view service)
{
    double sum = 0;
    for (const auto &kind : mix.classes) {
        if (kind.service == service) {
            sum += kind.share * kind.tasks.mean() * kind.runMs.mean() / millisecondsPerSecond;
        }
    }
    return sum / shareOf(mix, service);
}

std::vector<planned_job> planArrivals(const job_mix &mix, const service_slots &slots,
                                      const load_plan &plan)
{
    load_random random{plan.seed};
    std::vector<planned_job> jobs;
    std::set<std::string> services;
    for (const auto &kind : mix.classes) {
        services.insert(kind.service);
    }
    for (const auto &service : services) {
        const auto found = slots.find(service);
        if (found == slots.end() || found->second == 0) {
            throw std::runtime_error{"service " + service + " has no slots"};
        }
        const auto rate = plan.load * found->second / meanWork(mix, service);
        planService(mix, service, rate, plan, random, jobs);
    }
    std::ranges::stable_sort(jobs, {}, &planned_job::at);
    return jobs;
}

} // namespace bamboohead::detail
