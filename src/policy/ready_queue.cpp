#include "bamboohead/ready_queue.hpp"

#include <boost/intrusive/set.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>
#include <unordered_map>

namespace bamboohead {

namespace {

namespace intrusive = boost::intrusive;

/// Run time assumed for a service before any of its tasks has ended: about the geometric mean of
/// the usual range, 50 ms to 1 s.
constexpr duration initialEstimate = std::chrono::milliseconds{200};

/// Weight of the newest run time in the moving average, which follows a change within about 20
/// tasks.
constexpr double estimateGain = 0.05;

/// Smallest difference of the submission times at which a job is never overtaken by a later job of
/// its team.
constexpr duration maxOvertaking = std::chrono::seconds{4};

/// Remaining work, as run time on one slot, at which the delay in a job's rank (see rankOf()) is
/// half of maxOvertaking: small jobs overtake the job if they are submitted less than that delay
/// later.
constexpr duration halfDelayWork = std::chrono::seconds{4};

/// Smallest run time charged to a team per task, so that services with very short tasks are shared
/// fairly too.
constexpr duration minChargedRunTime = std::chrono::milliseconds{1};

/// Relative change of a run time estimate at which the jobs of the service are ranked again.
constexpr double rerankThreshold = 0.25;

using safe_hook = intrusive::set_member_hook<intrusive::link_mode<intrusive::safe_link>>;

struct team_queue;

struct queued_job
{
    ready_job job;
    team_queue *teamQueue = nullptr;
    std::uint64_t arrival = 0; ///< sequence number of the addition; orders jobs of equal rank
    time_point rank; ///< result of rankOf(); the job of a team with the lowest rank is first
    safe_hook rankHook;
    safe_hook ageHook;
};

struct lower_rank
{
    bool operator()(const queued_job &left, const queued_job &right) const
    {
        return std::tie(left.rank, left.arrival) < std::tie(right.rank, right.arrival);
    }
};

struct submitted_earlier
{
    bool operator()(const queued_job &left, const queued_job &right) const
    {
        return std::tie(left.job.submitted, left.arrival) <
               std::tie(right.job.submitted, right.arrival);
    }
};

template <safe_hook queued_job::*hook, typename order>
using job_set = intrusive::set<queued_job, intrusive::member_hook<queued_job, safe_hook, hook>,
                               intrusive::compare<order>>;

struct service_queue;

/// Waiting jobs of one team at one service.
struct team_queue
{
    std::string team;
    service_queue *service = nullptr;
    std::uint32_t weight = 1;
    std::int64_t startTag = 0; ///< virtual start time of the team's next task
    job_set<&queued_job::rankHook, lower_rank> jobs;
    safe_hook hook;
};

struct lower_start_tag
{
    bool operator()(const team_queue &left, const team_queue &right) const
    {
        return std::tie(left.startTag, left.team) < std::tie(right.startTag, right.team);
    }
};

using team_set =
        intrusive::set<team_queue, intrusive::member_hook<team_queue, safe_hook, &team_queue::hook>,
                       intrusive::compare<lower_start_tag>>;

/// Waiting jobs of one service, scheduled by start-time fair queueing over the teams.
struct service_queue
{
    std::map<std::string, team_queue, std::less<>> teams;
    team_set backlogged; ///< teams with waiting jobs, lowest start tag first
    job_set<&queued_job::ageHook, submitted_earlier> byAge;
    std::uint32_t waiting = 0;    ///< tasks
    std::int64_t virtualTime = 0; ///< largest start tag that was served
    duration estimate = initialEstimate;
    duration rankEstimate = initialEstimate; ///< estimate that the ranks of the jobs are based on
};

/// Submission time plus a delay below maxOvertaking that grows with the remaining work. In this
/// order, jobs submitted at the same time are served smallest remaining work first. The ranks need
/// no update as jobs age, because the difference to the ranks of later jobs stays constant.
time_point rankOf(const ready_job &job, duration estimate)
{
    const auto work = static_cast<double>(estimate.count()) * job.waitingTasks;
    const auto share = work / (work + static_cast<double>(halfDelayWork.count()));
    const auto delay = share * static_cast<double>(maxOvertaking.count());
    return job.submitted + duration{static_cast<duration::rep>(delay)};
}

/// Advance of the team's start tag for one task: the estimated run time in microseconds, divided by
/// the team's weight.
std::int64_t chargeOf(const team_queue &teamQueue)
{
    return std::max(teamQueue.service->estimate, minChargedRunTime).count() / teamQueue.weight;
}

} // namespace

class ready_queue::implementation
{
public:
    void configure(const manifest &manifest);
    void add(const ready_job &job);
    void remove(const job_id &id);
    void taskReturned(const ready_job &job);
    void observe(std::string_view service, duration runTime);
    std::optional<job_id> pop(std::string_view service);
    [[nodiscard]] duration estimate(std::string_view service) const;
    [[nodiscard]] std::vector<service_backlog> backlog(time_point now) const;
    [[nodiscard]] std::uint32_t waiting(std::string_view service) const;
    [[nodiscard]] bool empty() const noexcept { return m_jobs.empty(); }

private:
    team_queue &teamQueueOf(const ready_job &job);
    service_queue &serviceQueueOf(std::string_view name);
    static void link(queued_job &queued);
    static void unlink(queued_job &queued);
    static void setWaiting(queued_job &queued, std::uint32_t waiting);
    static void shiftStartTag(team_queue &teamQueue, std::int64_t by);
    static void rerank(service_queue &service);

    std::map<std::string, std::uint32_t, std::less<>> m_weights;
    std::unordered_map<job_id, queued_job> m_jobs; ///< outlives the sets that link its entries
    std::map<std::string, service_queue, std::less<>> m_services;
    std::uint64_t m_arrivals = 0;
};

void ready_queue::implementation::configure(const manifest &manifest)
{
    m_weights.clear();
    for (const auto &[name, settings] : manifest.teams) {
        m_weights.emplace(name, std::max<std::uint32_t>(settings.weight, 1));
    }
    for (auto &[name, service] : m_services) {
        for (auto &[team, teamQueue] : service.teams) {
            const auto found = m_weights.find(team);
            teamQueue.weight = found == m_weights.end() ? 1 : found->second;
        }
    }
}

service_queue &ready_queue::implementation::serviceQueueOf(std::string_view name)
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? m_services[std::string{name}] : found->second;
}

team_queue &ready_queue::implementation::teamQueueOf(const ready_job &job)
{
    auto &service = serviceQueueOf(job.service);
    const auto [found, added] = service.teams.try_emplace(job.team);
    auto &teamQueue = found->second;
    if (added) {
        const auto weight = m_weights.find(job.team);
        teamQueue.team = job.team;
        teamQueue.service = &service;
        teamQueue.weight = weight == m_weights.end() ? 1 : weight->second;
    }
    return teamQueue;
}

void ready_queue::implementation::link(queued_job &queued)
{
    auto &teamQueue = *queued.teamQueue;
    auto &service = *teamQueue.service;
    queued.rank = rankOf(queued.job, service.rankEstimate);
    teamQueue.jobs.insert(queued);
    service.byAge.insert(queued);
    service.waiting += queued.job.waitingTasks;
    if (!teamQueue.hook.is_linked()) {
        teamQueue.startTag = std::max(teamQueue.startTag, service.virtualTime);
        service.backlogged.insert(teamQueue);
    }
}

void ready_queue::implementation::unlink(queued_job &queued)
{
    auto &teamQueue = *queued.teamQueue;
    auto &service = *teamQueue.service;
    teamQueue.jobs.erase(teamQueue.jobs.iterator_to(queued));
    service.byAge.erase(service.byAge.iterator_to(queued));
    service.waiting -= queued.job.waitingTasks;
    if (teamQueue.jobs.empty()) {
        service.backlogged.erase(service.backlogged.iterator_to(teamQueue));
    }
}

void ready_queue::implementation::setWaiting(queued_job &queued, std::uint32_t waiting)
{
    auto &teamQueue = *queued.teamQueue;
    teamQueue.jobs.erase(teamQueue.jobs.iterator_to(queued));
    teamQueue.service->waiting += waiting;
    teamQueue.service->waiting -= queued.job.waitingTasks;
    queued.job.waitingTasks = waiting;
    queued.rank = rankOf(queued.job, teamQueue.service->rankEstimate);
    teamQueue.jobs.insert(queued);
}

void ready_queue::implementation::shiftStartTag(team_queue &teamQueue, std::int64_t by)
{
    auto &backlogged = teamQueue.service->backlogged;
    const bool linked = teamQueue.hook.is_linked();
    if (linked) {
        backlogged.erase(backlogged.iterator_to(teamQueue));
    }
    teamQueue.startTag += by;
    if (linked) {
        backlogged.insert(teamQueue);
    }
}

void ready_queue::implementation::add(const ready_job &job)
{
    remove(job.id);
    if (job.waitingTasks == 0) {
        return;
    }
    auto &queued = m_jobs[job.id];
    queued.job = job;
    queued.teamQueue = &teamQueueOf(job);
    queued.arrival = ++m_arrivals;
    link(queued);
}

void ready_queue::implementation::remove(const job_id &id)
{
    const auto found = m_jobs.find(id);
    if (found != m_jobs.end()) {
        unlink(found->second);
        m_jobs.erase(found);
    }
}

void ready_queue::implementation::taskReturned(const ready_job &job)
{
    const auto found = m_jobs.find(job.id);
    if (found == m_jobs.end()) {
        auto returned = job;
        returned.waitingTasks = 1;
        add(returned);
    } else {
        setWaiting(found->second, found->second.job.waitingTasks + 1);
    }
    // Takes back the charge to the team, because the task didn't run.
    auto &teamQueue = teamQueueOf(job);
    shiftStartTag(teamQueue, -chargeOf(teamQueue));
}

void ready_queue::implementation::rerank(service_queue &service)
{
    service.rankEstimate = service.estimate;
    for (auto &queued : service.byAge) {
        setWaiting(queued, queued.job.waitingTasks);
    }
}

void ready_queue::implementation::observe(std::string_view name, duration runTime)
{
    auto &service = serviceQueueOf(name);
    const auto change = estimateGain * static_cast<double>((runTime - service.estimate).count());
    service.estimate += duration{static_cast<duration::rep>(change)};
    const auto drift = static_cast<double>((service.estimate - service.rankEstimate).count());
    if (std::abs(drift) > rerankThreshold * static_cast<double>(service.rankEstimate.count())) {
        rerank(service);
    }
}

std::optional<job_id> ready_queue::implementation::pop(std::string_view name)
{
    const auto found = m_services.find(name);
    if (found == m_services.end() || found->second.backlogged.empty()) {
        return std::nullopt;
    }
    auto &service = found->second;
    auto &teamQueue = *service.backlogged.begin();
    service.virtualTime = std::max(service.virtualTime, teamQueue.startTag);
    shiftStartTag(teamQueue, chargeOf(teamQueue));
    auto &queued = *teamQueue.jobs.begin();
    const auto id = queued.job.id;
    if (queued.job.waitingTasks == 1) {
        remove(id);
    } else {
        setWaiting(queued, queued.job.waitingTasks - 1);
    }
    return id;
}

duration ready_queue::implementation::estimate(std::string_view service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? initialEstimate : found->second.estimate;
}

std::vector<service_backlog> ready_queue::implementation::backlog(time_point now) const
{
    std::vector<service_backlog> all;
    for (const auto &[name, service] : m_services) {
        if (service.waiting > 0) {
            const auto age = now - service.byAge.begin()->job.submitted;
            const auto &next = *service.backlogged.begin()->jobs.begin();
            const auto precedence = now - next.rank + maxOvertaking;
            all.push_back(service_backlog{name, service.waiting, std::max(age, duration{}),
                                          std::max(precedence, duration{})});
        }
    }
    return all;
}

std::uint32_t ready_queue::implementation::waiting(std::string_view service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second.waiting;
}

ready_queue::ready_queue()
    : m_impl{std::make_unique<implementation>()}
{}

ready_queue::~ready_queue() = default;
ready_queue::ready_queue(ready_queue &&) noexcept = default;

void ready_queue::configure(const manifest &manifest)
{
    m_impl->configure(manifest);
}

void ready_queue::add(const ready_job &job)
{
    m_impl->add(job);
}

void ready_queue::remove(const job_id &id)
{
    m_impl->remove(id);
}

void ready_queue::taskReturned(const ready_job &job)
{
    m_impl->taskReturned(job);
}

void ready_queue::observe(std::string_view service, duration runTime)
{
    m_impl->observe(service, runTime);
}

std::optional<job_id> ready_queue::pop(std::string_view service, time_point /*now*/)
{
    return m_impl->pop(service);
}

duration ready_queue::estimate(std::string_view service) const
{
    return m_impl->estimate(service);
}

std::vector<service_backlog> ready_queue::backlog(time_point now) const
{
    return m_impl->backlog(now);
}

std::uint32_t ready_queue::waiting(std::string_view service) const
{
    return m_impl->waiting(service);
}

bool ready_queue::empty() const noexcept
{
    return m_impl->empty();
}

} // namespace bamboohead
