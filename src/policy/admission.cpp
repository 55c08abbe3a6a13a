#include "bamboohead/admission.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <deque>
#include <unordered_map>
#include <utility>

namespace bamboohead {

namespace {

using seconds_f = std::chrono::duration<double>;

/// Period over which completions are counted for the observed rate.
constexpr duration rateWindow = std::chrono::seconds{2};

/// Relative change of the slots after which the observation starts anew.
constexpr double maxSlotChange = 0.1;

/// The observed rate corrects the nominal one by at most this factor, both ways.
constexpr double maxCorrection = 4.0;

/// Error of the expected wait that is allowed for.
constexpr double waitMargin = 1.1;

/// Run time taken for shorter means, so that rates stay finite.
constexpr duration minRunTime = std::chrono::milliseconds{1};

/// Part of its deadline that a job may be expected to use. The part is smaller for teams above
/// their fair share, so that they are refused first under pressure.
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

    /// @brief Notes whether all of the entry's `slots` were busy at `now`.
    void sample(bool saturated, double slots, time_point now)
    {
        expire(now);
        if (!saturated) {
            m_saturatedSince.reset();
        } else if (!m_saturatedSince || std::abs(slots - m_slots) > maxSlotChange * m_slots) {
            // Ends from before a zone left or returned say nothing about the new slots.
            m_saturatedSince = now;
            m_slots = slots;
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
    double m_slots = 0; ///< at m_saturatedSince
};

using team_usage = std::map<std::string, std::uint32_t, std::less<>>;

/// Weight, quota and tasks in flight of a team.
struct team_state
{
    bool known = false; ///< listed in the manifest
    std::uint32_t weight = 1;
    std::uint32_t maxRunning = 0;
    std::uint64_t own = 0;
    std::uint64_t peers = 0;

    [[nodiscard]] std::uint64_t inFlight() const { return own + peers; }
};

/// Adds a signed change to a count that never falls below zero.
std::uint64_t changed(std::uint64_t count, std::int64_t delta)
{
    const auto sum = static_cast<std::int64_t>(count) + delta;
    return static_cast<std::uint64_t>(std::max<std::int64_t>(sum, 0));
}

/// What the forecast of a job is based on.
struct capacity
{
    double slots = 0;     ///< that this entry can expect to get
    double perSecond = 0; ///< tasks that end
};

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
    team_state &stateOf(std::string_view team);
    completion_rate &rateOf(std::string_view service);
    void addPeerUsage(const team_usage &usage, std::int64_t sign);
    [[nodiscard]] double fairShare(const team_state &team) const;
    [[nodiscard]] capacity forecast(const admission_request &request, time_point now);
    [[nodiscard]] bool endsInTime(const admission_request &request, const team_state &team,
                                  const capacity &capacity) const;

    manifest m_manifest;
    std::map<std::string, team_state, std::less<>> m_teams;
    std::unordered_map<incarnation_id, team_usage> m_peers;
    std::map<std::string, completion_rate, std::less<>> m_rates;
    std::uint64_t m_own = 0;    ///< tasks in flight of all teams at this entry
    std::uint64_t m_others = 0; ///< the same at the other entries
};

void admission::implementation::configure(const manifest &manifest)
{
    m_manifest = manifest;
    for (auto &[name, state] : m_teams) {
        state.known = false;
        state.weight = 1;
        state.maxRunning = 0;
    }
    for (const auto &[name, settings] : manifest.teams) {
        auto &state = stateOf(name);
        state.known = true;
        state.weight = settings.weight;
        state.maxRunning = settings.maxRunning;
    }
}

team_state &admission::implementation::stateOf(std::string_view team)
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? m_teams[std::string{team}] : found->second;
}

completion_rate &admission::implementation::rateOf(std::string_view service)
{
    const auto found = m_rates.find(service);
    return found == m_rates.end() ? m_rates[std::string{service}] : found->second;
}

double admission::implementation::fairShare(const team_state &team) const
{
    double active = team.inFlight() == 0 ? team.weight : 0;
    for (const auto &[name, state] : m_teams) {
        active += state.inFlight() > 0 ? state.weight : 0;
    }
    return team.weight / active;
}

capacity admission::implementation::forecast(const admission_request &request, time_point now)
{
    // An equal part of the slots, or all that the other entries leave free. Their usage counts
    // all services, so this is a lower bound.
    const auto equalPart = static_cast<double>(request.slots) / std::max(request.entries, 1U);
    const auto leftFree = static_cast<double>(request.slots) - static_cast<double>(m_others);
    const auto slots = std::max(equalPart, leftFree);
    const auto runTime = std::max(seconds_f{request.meanRunTime}, seconds_f{minRunTime});
    const auto nominal = slots / runTime.count();
    auto &completions = rateOf(request.service);
    completions.sample(request.waitingTasks >= slots, slots, now);
    const auto observed = completions.capacity(now).value_or(nominal);
    return {slots, std::clamp(observed, nominal / maxCorrection, nominal * maxCorrection)};
}

bool admission::implementation::endsInTime(const admission_request &request, const team_state &team,
                                           const capacity &capacity) const
{
    const auto deadline = seconds_f{request.deadline}.count();
    const auto runTime = seconds_f{request.meanRunTime}.count();
    // Without waiting tasks the free slots start tasks at once.
    const auto free = std::max(capacity.slots - static_cast<double>(m_own), 0.0);
    const auto startsAtOnce = request.waitingTasks == 0 ? free : 0.0;
    const auto ahead = static_cast<double>(request.waitingTasks) + request.tasks - startsAtOnce;
    auto wait = waitMargin * std::max(ahead, 0.0) / capacity.perSecond;
    if (wait > hopelessWait * deadline) {
        return false;
    }
    const auto share = fairShare(team);
    const auto used = static_cast<double>(team.inFlight() + request.tasks) /
                      static_cast<double>(m_own + m_others + request.tasks);
    const bool overShare = used > share;
    if (share < 1.0 && !overShare) {
        // The ready queue serves the team at its fair share, past the backlog of the others.
        const auto ownWork = static_cast<double>(team.own + request.tasks);
        wait = std::min(wait, waitMargin * ownWork / (capacity.perSecond * share));
    }
    // The longer a job waits, the more its last task's run time may differ from the mean.
    const auto run = runTime + std::min(runTime, wait);
    return wait + run <= (overShare ? pressureLimit : deadlineLimit) * deadline;
}

std::optional<error_kind> admission::implementation::check(const admission_request &request,
                                                           time_point now)
{
    if (!m_manifest.services.contains(request.service)) {
        return error_kind::unknown_service;
    }
    const auto found = m_teams.find(request.team);
    if (found == m_teams.end() || !found->second.known) {
        return error_kind::unknown_team;
    }
    if (request.slots == 0) {
        return error_kind::no_target;
    }
    const auto &team = found->second;
    if (team.maxRunning != 0 && team.inFlight() + request.tasks > team.maxRunning) {
        return error_kind::quota_exceeded;
    }
    if (!endsInTime(request, team, forecast(request, now))) {
        return error_kind::overloaded;
    }
    return std::nullopt;
}

void admission::implementation::usageChanged(std::string_view team, std::int64_t delta)
{
    auto &state = stateOf(team);
    m_own -= state.own;
    state.own = changed(state.own, delta);
    m_own += state.own;
}

void admission::implementation::taskEnded(std::string_view service, time_point now)
{
    rateOf(service).ended(now);
}

void admission::implementation::addPeerUsage(const team_usage &usage, std::int64_t sign)
{
    for (const auto &[team, tasks] : usage) {
        auto &state = stateOf(team);
        state.peers = changed(state.peers, sign * tasks);
        m_others = changed(m_others, sign * tasks);
    }
}

void admission::implementation::peerUsage(incarnation_id peer, team_usage usage)
{
    peerGone(peer);
    addPeerUsage(usage, 1);
    m_peers[peer] = std::move(usage);
}

void admission::implementation::peerGone(incarnation_id peer)
{
    const auto found = m_peers.find(peer);
    if (found != m_peers.end()) {
        addPeerUsage(found->second, -1);
        m_peers.erase(found);
    }
}

std::vector<std::pair<std::string, std::uint32_t>> admission::implementation::usage() const
{
    std::vector<std::pair<std::string, std::uint32_t>> all;
    for (const auto &[team, state] : m_teams) {
        if (state.own > 0) {
            all.emplace_back(team, static_cast<std::uint32_t>(state.own));
        }
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
