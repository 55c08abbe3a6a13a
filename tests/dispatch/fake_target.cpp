#include "dispatch/fake_target.hpp"

#include <algorithm>

namespace bamboohead::dispatch_test {

namespace {

constexpr std::int64_t maxLeaseMs = 1'000;
constexpr duration never = std::chrono::hours{24};

} // namespace

fake_target::fake_target(std::string id, resources capacity, plan_source plans, time_point now)
    : m_lifetime{std::move(id), 1}
    , m_capacity{capacity}
    , m_plans{std::move(plans)}
    , m_started{now}
{}

void fake_target::restart(std::string id, std::int64_t startedMs, time_point now)
{
    crash(now);
    m_lifetime = {std::move(id), startedMs};
    m_up = true;
    m_started = now;
    m_sequence = 0;
    m_fence = 0;
    m_leaseEnd = 0;
    m_newestEndedRuns.clear();
    m_ended.clear();
    m_endCount = 0;
    phase = target_phase::serving;
}

void fake_target::crash(time_point now)
{
    advance(now);
    while (!m_runs.empty()) {
        const auto ref = m_runs.begin()->first;
        m_runs.erase(m_runs.begin());
        onRemoved(ref, run_end_kind::lapsed);
    }
    m_up = false;
}

std::int64_t fake_target::clockMs(time_point now) const
{
    const auto sinceStart = std::chrono::duration<double, std::milli>{now - m_started}.count();
    return 1'000 + static_cast<std::int64_t>(sinceStart * clockRate);
}

resources fake_target::used() const
{
    resources sum;
    for (const auto &[ref, ends] : m_runs) {
        sum += m_plans(ref).demand;
    }
    return sum;
}

target_report fake_target::report(time_point now)
{
    target_report made;
    made.lifetime = m_lifetime;
    made.sequence = ++m_sequence;
    made.service = "quotes";
    made.address = "10.0.0.1:80";
    made.zone = "graz";
    made.phase = phase;
    made.capacity = m_capacity;
    made.labels = labels;
    made.clockMs = clockMs(now);
    return made;
}

target_reply fake_target::reply(const call_header &header, time_point now) const
{
    target_reply answer;
    answer.id = header.id;
    answer.status = call_status::accepted;
    answer.clockMs = clockMs(now);
    return answer;
}

target_reply fake_target::call(const target_call &made, time_point now)
{
    advance(now);
    const auto &header =
            std::visit([](const auto &each) -> const call_header & { return each.header; }, made);
    if (!m_up) {
        return {header.id, call_status::unreachable, call_refusal::none, {}, {}};
    }
    if (header.targetId != m_lifetime.id) {
        return {header.id, call_status::wrong_target, call_refusal::none, {}, {}};
    }
    return std::visit([&](const auto &each) { return handle(each, now); }, made);
}

bool fake_target::fenced(std::uint64_t fence, target_reply &answer)
{
    if (fence < m_fence) {
        answer.status = call_status::refused;
        answer.refusal = call_refusal::fenced;
        return true;
    }
    m_fence = fence;
    return false;
}

void fake_target::extend(std::int64_t leaseEndMs, time_point now)
{
    m_leaseEnd = std::max(m_leaseEnd, std::min(leaseEndMs, clockMs(now) + maxLeaseMs));
}

target_reply fake_target::handle(const start_run &call, time_point now)
{
    auto answer = reply(call.header, now);
    // A fenced call is refused; the repeated start of a run that executes is accepted.
    if (fenced(call.fence, answer) || m_runs.contains(call.ref)) {
        return answer;
    }
    answer.status = call_status::refused;
    const auto newestEnded = m_newestEndedRuns.find(call.ref.task);
    if (newestEnded != m_newestEndedRuns.end() && call.ref.run <= newestEnded->second) {
        answer.refusal = call_refusal::old_run;
        extend(call.leaseEndMs, now);
        return answer;
    }
    if (call.leaseEndMs <= clockMs(now)) {
        answer.refusal = call_refusal::late;
        return answer;
    }
    answer.status = call_status::accepted;
    extend(call.leaseEndMs, now);
    const auto plan = m_plans(call.ref);
    const duration time{
            static_cast<duration::rep>(static_cast<double>(plan.runTime.count()) * slowness)};
    m_runs.emplace(call.ref, now + (hangs ? never : time));
    onStart(call.ref);
    return answer;
}

target_reply fake_target::handle(const stop_run &call, time_point now)
{
    auto answer = reply(call.header, now);
    if (fenced(call.fence, answer)) {
        return answer;
    }
    auto &newestEnded = m_newestEndedRuns[call.ref.task];
    newestEnded = std::max(newestEnded, call.ref.run);
    if (m_runs.contains(call.ref)) {
        finish(call.ref, run_end_kind::stopped);
    }
    return answer;
}

target_reply fake_target::handle(const list_runs &call, time_point now)
{
    auto answer = reply(call.header, now);
    if (fenced(call.fence, answer)) {
        return answer;
    }
    if (call.leaseEndMs) {
        extend(*call.leaseEndMs, now);
    }
    std::erase_if(m_ended, [&](const auto &end) { return end.number <= call.endsSeen; });
    run_listing listing;
    listing.startedMs = m_lifetime.startedMs;
    for (const auto &[ref, ends] : m_runs) {
        listing.running.push_back(ref);
    }
    listing.ended = m_ended;
    listing.ended.resize(std::min(m_ended.size(), maxListedEnds));
    listing.endsComplete = m_ended.size() < maxListedEnds;
    answer.listing = std::move(listing);
    return answer;
}

void fake_target::advance(time_point now)
{
    std::vector<run_ref> over;
    for (const auto &[ref, ends] : m_runs) {
        if (ends <= now) {
            over.push_back(ref);
        }
    }
    for (const auto &ref : over) {
        const bool fails = failsAll || m_plans(ref).fails;
        finish(ref, fails ? run_end_kind::failed : run_end_kind::done);
    }
    while (!m_runs.empty() && m_up && clockMs(now) >= m_leaseEnd) {
        finish(run_ref{m_runs.begin()->first}, run_end_kind::lapsed);
    }
}

void fake_target::finish(const run_ref &ref, run_end_kind kind)
{
    m_runs.erase(ref);
    auto &newestEnded = m_newestEndedRuns[ref.task];
    newestEnded = std::max(newestEnded, ref.run);
    m_ended.push_back({++m_endCount, ref, kind});
    onRemoved(ref, kind);
}

} // namespace bamboohead::dispatch_test
