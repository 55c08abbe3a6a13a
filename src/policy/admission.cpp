#include "bamboohead/admission.hpp"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <unordered_map>
#include <utility>

namespace bamboohead {

namespace {

using seconds_f = std::chrono::duration<double>;

/// Period over which completions are counted for the observed rate.
constexpr duration rateWindow = std::chrono::seconds{2};

/// The observed rate corrects the nominal one by at most this factor, both ways.
constexpr double maxCorrection = 4.0;

/// Error of the expected wait that is allowed for.
constexpr double waitMargin = 1.1;

/// Share of the deadline that a job may be expected to use. Above the first value the service is
/// under pressure and refuses teams above their fair share.
constexpr double pressureLimit = 0.5;
constexpr double deadlineLimit = 0.8;

/// Wait for all queued work, in deadlines, from which on no team is accepted.
constexpr double hopelessWait = 2.0;

/// Completions of one service.
class completion_rate
{
public:
    void ended(time_point now)
    {
        m_ends.push_back(now);
        expire(now);
    }

    /// @brief Notes whether all slots were busy at `now`.
    void sample(bool saturated, time_point now)
    {
        expire(now);
        if (!saturated) {
            m_saturatedSince.reset();
        } else if (!m_saturatedSince) {
            m_saturatedSince = now;
        }
    }

    /// @return Tasks a second, or nothing unless all slots were busy for the whole window.
    [[nodiscard]] std::optional<double> capacity(time_point now) const
    {
        if (!m_saturatedSince || now - *m_saturatedSince < rateWindow) {
            return std::nullopt;
        }
        return static_cast<double>(m_ends.size()) / seconds_f{rateWindow}.count();
    }

private:
    void expire(time_point now)
    {
        while (!m_ends.empty() && now - m_ends.front() > rateWindow) {
            m_ends.pop_front();
        }
    }

    std::deque<time_point> m_ends;
    std::optional<time_point> m_saturatedSince;
};

using team_usage = std::map<std::string, std::uint32_t, std::less<>>;

} // namespace

class admission::implementation
{
public:
    void configure(const manifest &manifest);
    std::optional<error_kind> check(const admission_request &request, time_point now);
    void usageChanged(std::string_view team, std::int64_t delta);
    void taskEnded(std::string_view service, time_point now);
    void peerUsage(incarnation_id peer, team_usage usage);
    void peerGone(incarnation_id peer);
    [[nodiscard]] std::vector<std::pair<std::string, std::uint32_t>> usage() const;

private:
    [[nodiscard]] std::uint64_t ownUsage(std::string_view team) const;
    [[nodiscard]] std::uint64_t usageOf(std::string_view team) const;
    [[nodiscard]] double fairShare(std::string_view team) const;
    [[nodiscard]] double usedShare(const admission_request &request) const;
    [[nodiscard]] bool overQuota(const admission_request &request) const;
    double rate(const admission_request &request, time_point now);
    [[nodiscard]] bool endsInTime(const admission_request &request, double rate) const;
    completion_rate &rateOf(std::string_view service);

    manifest m_manifest;
    std::map<std::string, std::int64_t, std::less<>> m_own;
    std::unordered_map<incarnation_id, team_usage> m_peers;
    std::map<std::string, completion_rate, std::less<>> m_rates;
};

void admission::implementation::configure(const manifest &manifest)
{
    m_manifest = manifest;
}

std::uint64_t admission::implementation::ownUsage(std::string_view team) const
{
    const auto found = m_own.find(team);
    return found == m_own.end() ? 0 : static_cast<std::uint64_t>(found->second);
}

std::uint64_t admission::implementation::usageOf(std::string_view team) const
{
    auto sum = ownUsage(team);
    for (const auto &[peer, usage] : m_peers) {
        const auto found = usage.find(team);
        sum += found == usage.end() ? 0 : found->second;
    }
    return sum;
}

bool admission::implementation::overQuota(const admission_request &request) const
{
    const auto limit = m_manifest.teams.find(request.team)->second.maxRunning;
    return limit != 0 && usageOf(request.team) + request.tasks > limit;
}

double admission::implementation::fairShare(std::string_view team) const
{
    double active = 0;
    double own = 0;
    for (const auto &[name, settings] : m_manifest.teams) {
        if (name == team) {
            own = settings.weight;
            active += settings.weight;
        } else if (usageOf(name) > 0) {
            active += settings.weight;
        }
    }
    return own / std::max(active, 1.0);
}

double admission::implementation::usedShare(const admission_request &request) const
{
    double all = request.tasks;
    for (const auto &[name, settings] : m_manifest.teams) {
        all += static_cast<double>(usageOf(name));
    }
    const auto own = static_cast<double>(usageOf(request.team) + request.tasks);
    return own / std::max(all, 1.0);
}

completion_rate &admission::implementation::rateOf(std::string_view service)
{
    const auto found = m_rates.find(service);
    return found == m_rates.end() ? m_rates[std::string{service}] : found->second;
}

double admission::implementation::rate(const admission_request &request, time_point now)
{
    const auto slots = static_cast<double>(request.slots) / std::max(request.entries, 1U);
    const auto runTime = std::max(seconds_f{request.meanRunTime}, seconds_f{0.001});
    const auto nominal = slots / runTime.count();
    auto &completions = rateOf(request.service);
    completions.sample(request.waitingTasks >= slots, now);
    const auto observed = completions.capacity(now).value_or(nominal);
    return std::clamp(observed, nominal / maxCorrection, nominal * maxCorrection);
}

bool admission::implementation::endsInTime(const admission_request &request, double rate) const
{
    const auto runTime = seconds_f{request.meanRunTime}.count();
    const auto deadline = seconds_f{request.deadline}.count();
    // Without waiting tasks a round of tasks starts at once.
    const auto startsAtOnce = request.waitingTasks == 0 ? rate * runTime : 0.0;
    const auto ahead = static_cast<double>(request.waitingTasks) + request.tasks - startsAtOnce;
    const auto wait = waitMargin * std::max(ahead, 0.0) / rate;
    // The longer a job waits, the more its last task's run time may differ from the mean.
    const auto run = runTime + std::min(runTime, wait);
    if (wait + run <= pressureLimit * deadline) {
        return true;
    }
    const auto share = fairShare(request.team);
    if (usedShare(request) > share || wait > hopelessWait * deadline) {
        // A team alone has the whole share and may use the deadline up to its limit.
        return share >= 1.0 && wait + run <= deadlineLimit * deadline;
    }
    const auto ownWork = static_cast<double>(ownUsage(request.team)) + request.tasks;
    const auto fairWait = waitMargin * ownWork / (rate * share);
    return std::min(wait, fairWait) + run <= deadlineLimit * deadline;
}

std::optional<error_kind> admission::implementation::check(const admission_request &request,
                                                           time_point now)
{
    if (!m_manifest.services.contains(request.service)) {
        return error_kind::unknown_service;
    }
    if (!m_manifest.teams.contains(request.team)) {
        return error_kind::unknown_team;
    }
    if (request.slots == 0) {
        return error_kind::no_target;
    }
    if (overQuota(request)) {
        return error_kind::quota_exceeded;
    }
    if (!endsInTime(request, rate(request, now))) {
        return error_kind::overloaded;
    }
    return std::nullopt;
}

void admission::implementation::usageChanged(std::string_view team, std::int64_t delta)
{
    auto found = m_own.find(team);
    if (found == m_own.end()) {
        found = m_own.emplace(team, 0).first;
    }
    found->second = std::max<std::int64_t>(found->second + delta, 0);
    if (found->second == 0) {
        m_own.erase(found);
    }
}

void admission::implementation::taskEnded(std::string_view service, time_point now)
{
    rateOf(service).ended(now);
}

void admission::implementation::peerUsage(incarnation_id peer, team_usage usage)
{
    m_peers[peer] = std::move(usage);
}

void admission::implementation::peerGone(incarnation_id peer)
{
    m_peers.erase(peer);
}

std::vector<std::pair<std::string, std::uint32_t>> admission::implementation::usage() const
{
    std::vector<std::pair<std::string, std::uint32_t>> all;
    all.reserve(m_own.size());
    for (const auto &[team, tasks] : m_own) {
        all.emplace_back(team, static_cast<std::uint32_t>(tasks));
    }
    return all;
}

admission::admission()
    : m_impl{std::make_unique<implementation>()}
{}

admission::~admission() = default;
admission::admission(admission &&) noexcept = default;

void admission::configure(const manifest &manifest)
{
    m_impl->configure(manifest);
}

std::optional<error_kind> admission::check(const admission_request &request, time_point now)
{
    return m_impl->check(request, now);
}

void admission::usageChanged(std::string_view team, std::int64_t delta)
{
    m_impl->usageChanged(team, delta);
}

void admission::taskEnded(std::string_view service, time_point now)
{
    m_impl->taskEnded(service, now);
}

void admission::peerUsage(incarnation_id peer,
                          std::map<std::string, std::uint32_t, std::less<>> usage)
{
    m_impl->peerUsage(peer, std::move(usage));
}

void admission::peerGone(incarnation_id peer)
{
    m_impl->peerGone(peer);
}

std::vector<std::pair<std::string, std::uint32_t>> admission::usage() const
{
    return m_impl->usage();
}

} // namespace bamboohead
