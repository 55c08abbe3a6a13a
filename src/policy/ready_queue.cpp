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

/// Run time assumed for a service before any of its tasks has ended: the middle of the usual
/// 50 ms to 1 s.
constexpr duration initialEstimate = std::chrono::milliseconds{200};

/// Weight of the newest run time in the mean; the mean follows a change within about 20 tasks.
constexpr double estimateGain = 0.05;

/// A job is never overtaken by a job of its team that was submitted this much later.
constexpr duration maxOvertaking = std::chrono::seconds{4};

/// Remaining work for which a job gives way to jobs submitted half of maxOvertaking later.
constexpr duration halfOvertakingWork = std::chrono::seconds{4};

/// Smallest run time charged to a team, so that a service of tiny tasks is shared fairly too.
constexpr duration minCharge = std::chrono::milliseconds{1};

/// Relative change of an estimate after which the jobs of the service are ordered anew.
constexpr double reorderChange = 0.25;

using safe_hook = intrusive::set_member_hook<intrusive::link_mode<intrusive::safe_link>>;

struct team_line;

struct job_entry
{
    ready_job job;
    team_line *line = nullptr;
    std::uint64_t arrival = 0; ///< number of the addition, for jobs of equal rank
    time_point rank;
    safe_hook rankHook;
    safe_hook ageHook;
};

struct lower_rank
{
    bool operator()(const job_entry &left, const job_entry &right) const
    {
        return std::tie(left.rank, left.arrival) < std::tie(right.rank, right.arrival);
    }
};

struct older
{
    bool operator()(const job_entry &left, const job_entry &right) const
    {
        return std::tie(left.job.submitted, left.arrival) <
               std::tie(right.job.submitted, right.arrival);
    }
};

template <safe_hook job_entry::*hook, typename order>
using job_set = intrusive::set<job_entry, intrusive::member_hook<job_entry, safe_hook, hook>,
                               intrusive::compare<order>>;

struct service_line;

/// Waiting jobs of one team for one service.
struct team_line
{
    std::string team;
    service_line *service = nullptr;
    std::uint32_t weight = 1;
    std::int64_t startTag = 0; ///< virtual time at which the team's next task is due
    job_set<&job_entry::rankHook, lower_rank> jobs;
    safe_hook hook;
};

struct earlier_start
{
    bool operator()(const team_line &left, const team_line &right) const
    {
        return std::tie(left.startTag, left.team) < std::tie(right.startTag, right.team);
    }
};

using team_set =
        intrusive::set<team_line, intrusive::member_hook<team_line, safe_hook, &team_line::hook>,
                       intrusive::compare<earlier_start>>;

/// Start-time fair queueing over the teams of one service.
struct service_line
{
    std::map<std::string, team_line, std::less<>> teams;
    team_set backlogged;
    job_set<&job_entry::ageHook, older> byAge;
    std::uint32_t waiting = 0;
    std::int64_t virtualTime = 0;
    duration estimate = initialEstimate;
    duration rankedWith = initialEstimate; ///< estimate that the ranks of the jobs are based on
};

/// Submission time plus a delay below maxOvertaking that grows with the remaining work. Ordering
/// by it is smallest work first among jobs of one time, and ages without any update: the distance
/// to jobs submitted later is constant.
time_point rankOf(const ready_job &job, duration estimate)
{
    const auto work = static_cast<double>(estimate.count()) * job.waitingTasks;
    const auto share = work / (work + static_cast<double>(halfOvertakingWork.count()));
    const auto delay = share * static_cast<double>(maxOvertaking.count());
    return job.submitted + duration{static_cast<duration::rep>(delay)};
}

std::int64_t chargeOf(const team_line &line)
{
    return std::max(line.service->estimate, minCharge).count() / line.weight;
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
    team_line &lineOf(const ready_job &job);
    service_line &serviceOf(std::string_view name);
    static void link(job_entry &entry);
    static void unlink(job_entry &entry);
    static void setWaiting(job_entry &entry, std::uint32_t waiting);
    static void moveStart(team_line &line, std::int64_t by);
    static void reorder(service_line &service);

    std::map<std::string, std::uint32_t, std::less<>> m_weights;
    std::unordered_map<job_id, job_entry> m_jobs; ///< outlives the sets that link its entries
    std::map<std::string, service_line, std::less<>> m_services;
    std::uint64_t m_arrivals = 0;
};

void ready_queue::implementation::configure(const manifest &manifest)
{
    m_weights.clear();
    for (const auto &[name, settings] : manifest.teams) {
        m_weights.emplace(name, std::max<std::uint32_t>(settings.weight, 1));
    }
    for (auto &[name, service] : m_services) {
        for (auto &[team, line] : service.teams) {
            const auto found = m_weights.find(team);
            line.weight = found == m_weights.end() ? 1 : found->second;
        }
    }
}

service_line &ready_queue::implementation::serviceOf(std::string_view name)
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? m_services[std::string{name}] : found->second;
}

team_line &ready_queue::implementation::lineOf(const ready_job &job)
{
    auto &service = serviceOf(job.service);
    const auto [found, added] = service.teams.try_emplace(job.team);
    auto &line = found->second;
    if (added) {
        const auto weight = m_weights.find(job.team);
        line.team = job.team;
        line.service = &service;
        line.weight = weight == m_weights.end() ? 1 : weight->second;
    }
    return line;
}

void ready_queue::implementation::link(job_entry &entry)
{
    auto &line = *entry.line;
    auto &service = *line.service;
    entry.rank = rankOf(entry.job, service.rankedWith);
    line.jobs.insert(entry);
    service.byAge.insert(entry);
    service.waiting += entry.job.waitingTasks;
    if (!line.hook.is_linked()) {
        line.startTag = std::max(line.startTag, service.virtualTime);
        service.backlogged.insert(line);
    }
}

void ready_queue::implementation::unlink(job_entry &entry)
{
    auto &line = *entry.line;
    auto &service = *line.service;
    line.jobs.erase(line.jobs.iterator_to(entry));
    service.byAge.erase(service.byAge.iterator_to(entry));
    service.waiting -= entry.job.waitingTasks;
    if (line.jobs.empty()) {
        service.backlogged.erase(service.backlogged.iterator_to(line));
    }
}

void ready_queue::implementation::setWaiting(job_entry &entry, std::uint32_t waiting)
{
    auto &line = *entry.line;
    line.jobs.erase(line.jobs.iterator_to(entry));
    line.service->waiting += waiting;
    line.service->waiting -= entry.job.waitingTasks;
    entry.job.waitingTasks = waiting;
    entry.rank = rankOf(entry.job, line.service->rankedWith);
    line.jobs.insert(entry);
}

void ready_queue::implementation::moveStart(team_line &line, std::int64_t by)
{
    auto &backlogged = line.service->backlogged;
    const bool linked = line.hook.is_linked();
    if (linked) {
        backlogged.erase(backlogged.iterator_to(line));
    }
    line.startTag += by;
    if (linked) {
        backlogged.insert(line);
    }
}

void ready_queue::implementation::add(const ready_job &job)
{
    remove(job.id);
    if (job.waitingTasks == 0) {
        return;
    }
    auto &entry = m_jobs[job.id];
    entry.job = job;
    entry.line = &lineOf(job);
    entry.arrival = ++m_arrivals;
    link(entry);
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
    // The team was charged for a task that did not run.
    auto &line = lineOf(job);
    moveStart(line, -chargeOf(line));
}

void ready_queue::implementation::reorder(service_line &service)
{
    service.rankedWith = service.estimate;
    for (auto &entry : service.byAge) {
        setWaiting(entry, entry.job.waitingTasks);
    }
}

void ready_queue::implementation::observe(std::string_view name, duration runTime)
{
    auto &service = serviceOf(name);
    const auto change = estimateGain * static_cast<double>((runTime - service.estimate).count());
    service.estimate += duration{static_cast<duration::rep>(change)};
    const auto drift = static_cast<double>((service.estimate - service.rankedWith).count());
    if (std::abs(drift) > reorderChange * static_cast<double>(service.rankedWith.count())) {
        reorder(service);
    }
}

std::optional<job_id> ready_queue::implementation::pop(std::string_view name)
{
    const auto found = m_services.find(name);
    if (found == m_services.end() || found->second.backlogged.empty()) {
        return std::nullopt;
    }
    auto &service = found->second;
    auto &line = *service.backlogged.begin();
    service.virtualTime = std::max(service.virtualTime, line.startTag);
    moveStart(line, chargeOf(line));
    auto &entry = *line.jobs.begin();
    const auto id = entry.job.id;
    if (entry.job.waitingTasks == 1) {
        remove(id);
    } else {
        setWaiting(entry, entry.job.waitingTasks - 1);
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
