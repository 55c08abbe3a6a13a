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

/// Period over which completions are counted to measure the completion rate.
constexpr duration rateWindow = std::chrono::seconds{2};

/// Relative change of the number of slots at which the measurement of the rate restarts.
constexpr double maxSlotChange = 0.1;

/// Largest factor by which the observed completion rate may raise or lower the nominal one, which
/// is the number of slots divided by the mean run time.
constexpr double maxCorrection = 4.0;

/// Safety factor on the expected wait, for errors of its estimate.
constexpr double waitMargin = 1.1;

/// Lower bound of the mean run time in rate calculations, which keeps the rates finite.
constexpr duration minRunTime = std::chrono::milliseconds{1};

/// Fraction of its deadline by which a job has to be expected to end. The fraction is smaller for
/// teams above their fair share, so that their jobs are refused first under load.
constexpr double overShareDeadlineFraction = 0.5;
constexpr double deadlineFraction = 0.8;

/// Expected wait for all queued work, as a multiple of the job's deadline, above which jobs of all
/// teams are refused.
constexpr double maxWaitInDeadlines = 2.0;

/// Measures the rate at which tasks of one service end.
class completion_rate
{
public:
    void addCompletion(time_point now)
    {
        m_completionTimes.push_back(now);
        expire(now);
    }

    /// @brief Records whether at `now` the queue is long enough to keep all `slots`, the share of
    ///        the service's slots that this entry can expect, busy.
    void updateSaturation(bool saturated, double slots, time_point now)
    {
        expire(now);
        if (!saturated) {
            m_saturatedSince.reset();
        } else if (!m_saturatedSince || std::abs(slots - m_slots) > maxSlotChange * m_slots) {
            // The completion rate from before a zone was taken out or returned doesn't apply to
            // the new number of slots.
            m_saturatedSince = now;
            m_slots = slots;
        }
    }

    /// @return Tasks per second, or nothing unless the queue kept all slots busy for
    ///         the whole window.
    [[nodiscard]] std::optional<double> measuredRate(time_point now) const
    {
        if (!m_saturatedSince || now - *m_saturatedSince < rateWindow) {
            return std::nullopt;
        }
        return static_cast<double>(m_completionTimes.size()) / seconds_f{rateWindow}.count();
    }

private:
    void expire(time_point now)
    {
        while (!m_completionTimes.empty() && now - m_completionTimes.front() > rateWindow) {
            m_completionTimes.pop_front();
        }
    }

    std::deque<time_point> m_completionTimes;
    std::optional<time_point> m_saturatedSince;
    double m_slots = 0; ///< number of slots at m_saturatedSince
};

using team_usage = std::map<std::string, std::uint32_t, std::less<>>;

/// Weight, quota and usage (tasks in flight) of a team, at this entry and at its peers.
struct team_state
{
    bool inManifest = false; ///< the manifest lists the team
    std::uint32_t weight = 1;
    std::uint32_t maxRunning = 0; ///< quota of tasks in flight over all entries; 0 means no limit
    std::uint64_t localTasks = 0;
    std::uint64_t peerTasks = 0;

    [[nodiscard]] std::uint64_t inFlight() const { return localTasks + peerTasks; }
};

/// Adds a signed change to a count; the result is at least zero.
std::uint64_t addClamped(std::uint64_t count, std::int64_t delta)
{
    const auto sum = static_cast<std::int64_t>(count) + delta;
    return static_cast<std::uint64_t>(std::max<std::int64_t>(sum, 0));
}

/// Share of a service's capacity that this entry can expect.
struct capacity_forecast
{
    double slots = 0;          ///< slots available to this entry
    double tasksPerSecond = 0; ///< tasks that end per second on these slots
};

} // namespace

class admission::implementation
{
public:
    void configure(const manifest &manifest);
    std::optional<error_kind> check(const admission_request &request, time_point now);
    void addUsage(std::string_view team, std::int64_t delta);
    void taskEnded(std::string_view service, time_point now);
    void setPeerUsage(incarnation_id peer, team_usage usage);
    void removePeer(incarnation_id peer);
    [[nodiscard]] std::vector<std::pair<std::string, std::uint32_t>> usage() const;

private:
    team_state &stateOf(std::string_view team);
    completion_rate &rateOf(std::string_view service);
    void addPeerUsage(const team_usage &usage, std::int64_t sign);
    [[nodiscard]] double fairShare(const team_state &team) const;
    [[nodiscard]] capacity_forecast forecastCapacity(const admission_request &request,
                                                     time_point now);
    [[nodiscard]] bool meetsDeadline(const admission_request &request, const team_state &team,
                                     const capacity_forecast &capacity) const;

    manifest m_manifest;
    std::map<std::string, team_state, std::less<>> m_teams;
    std::unordered_map<incarnation_id, team_usage> m_peers;
    std::map<std::string, completion_rate, std::less<>> m_rates;
    std::uint64_t m_localTasks = 0; ///< tasks in flight of all teams at this entry
    std::uint64_t m_peerTasks = 0;  ///< tasks in flight of all teams at the other entries
};

void admission::implementation::configure(const manifest &manifest)
{
    m_manifest = manifest;
    for (auto &[name, state] : m_teams) {
        state.inManifest = false;
        state.weight = 1;
        state.maxRunning = 0;
    }
    for (const auto &[name, settings] : manifest.teams) {
        auto &state = stateOf(name);
        state.inManifest = true;
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

capacity_forecast admission::implementation::forecastCapacity(const admission_request &request,
                                                              time_point now)
{
    // An equal share of the slots, or the slots that the other entries don't use if that is more.
    // The reported usage of the other entries covers all services and includes waiting tasks, so
    // unusedByPeers is a lower bound of the slots that they leave free.
    const auto equalShare = static_cast<double>(request.slots) / std::max(request.entries, 1U);
    const auto unusedByPeers =
            static_cast<double>(request.slots) - static_cast<double>(m_peerTasks);
    const auto slots = std::max(equalShare, unusedByPeers);
    const auto runTime = std::max(seconds_f{request.meanRunTime}, seconds_f{minRunTime});
    const auto nominal = slots / runTime.count();
    auto &completions = rateOf(request.service);
    completions.updateSaturation(request.waitingTasks >= slots, slots, now);
    const auto observed = completions.measuredRate(now).value_or(nominal);
    return {slots, std::clamp(observed, nominal / maxCorrection, nominal * maxCorrection)};
}

bool admission::implementation::meetsDeadline(const admission_request &request,
                                              const team_state &team,
                                              const capacity_forecast &capacity) const
{
    const auto deadline = seconds_f{request.deadline}.count();
    const auto runTime = seconds_f{request.meanRunTime}.count();
    // If no task waits, the job's first tasks start immediately on the free slots. m_localTasks
    // counts the tasks of all services, so the number of free slots may be too low.
    const auto free = std::max(capacity.slots - static_cast<double>(m_localTasks), 0.0);
    const auto immediateStarts = request.waitingTasks == 0 ? free : 0.0;
    // Tasks to start from the queue until the last task of the job starts, its own included.
    const auto tasksToStart =
            static_cast<double>(request.waitingTasks) + request.tasks - immediateStarts;
    auto wait = waitMargin * std::max(tasksToStart, 0.0) / capacity.tasksPerSecond;
    if (wait > maxWaitInDeadlines * deadline) {
        return false;
    }
    const auto share = fairShare(team);
    const auto usedShare = static_cast<double>(team.inFlight() + request.tasks) /
                           static_cast<double>(m_localTasks + m_peerTasks + request.tasks);
    const bool overShare = usedShare > share;
    if (share < 1.0 && !overShare) {
        // The ready queue serves the team at its fair share, independent of the backlog of the
        // other teams.
        const auto teamWork = static_cast<double>(team.localTasks + request.tasks);
        wait = std::min(wait, waitMargin * teamWork / (capacity.tasksPerSecond * share));
    }
    // Run time of the job's last task: the mean, plus an allowance equal to the expected wait, but
    // at most the mean, because the mean may have changed by the time the task starts.
    const auto run = runTime + std::min(runTime, wait);
    return wait + run <= (overShare ? overShareDeadlineFraction : deadlineFraction) * deadline;
}

std::optional<error_kind> admission::implementation::check(const admission_request &request,
                                                           time_point now)
{
    if (!m_manifest.services.contains(request.service)) {
        return error_kind::unknown_service;
    }
    const auto found = m_teams.find(request.team);
    if (found == m_teams.end() || !found->second.inManifest) {
        return error_kind::unknown_team;
    }
    if (request.slots == 0) {
        return error_kind::no_target;
    }
    const auto &team = found->second;
    if (team.maxRunning != 0 && team.inFlight() + request.tasks > team.maxRunning) {
        return error_kind::quota_exceeded;
    }
    if (!meetsDeadline(request, team, forecastCapacity(request, now))) {
        return error_kind::overloaded;
    }
    return std::nullopt;
}

void admission::implementation::addUsage(std::string_view team, std::int64_t delta)
{
    auto &state = stateOf(team);
    m_localTasks -= state.localTasks;
    state.localTasks = addClamped(state.localTasks, delta);
    m_localTasks += state.localTasks;
}

void admission::implementation::taskEnded(std::string_view service, time_point now)
{
    rateOf(service).addCompletion(now);
}

void admission::implementation::addPeerUsage(const team_usage &usage, std::int64_t sign)
{
    for (const auto &[team, tasks] : usage) {
        auto &state = stateOf(team);
        state.peerTasks = addClamped(state.peerTasks, sign * tasks);
        m_peerTasks = addClamped(m_peerTasks, sign * tasks);
    }
}

void admission::implementation::setPeerUsage(incarnation_id peer, team_usage usage)
{
    removePeer(peer);
    addPeerUsage(usage, 1);
    m_peers[peer] = std::move(usage);
}

void admission::implementation::removePeer(incarnation_id peer)
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
        if (state.localTasks > 0) {
            all.emplace_back(team, static_cast<std::uint32_t>(state.localTasks));
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

void admission::addUsage(std::string_view team, std::int64_t delta)
{
    m_impl->addUsage(team, delta);
}

void admission::taskEnded(std::string_view service, time_point now)
{
    m_impl->taskEnded(service, now);
}

void admission::setPeerUsage(incarnation_id peer,
                             std::map<std::string, std::uint32_t, std::less<>> usage)
{
    m_impl->setPeerUsage(peer, std::move(usage));
}

void admission::removePeer(incarnation_id peer)
{
    m_impl->removePeer(peer);
}

std::vector<std::pair<std::string, std::uint32_t>> admission::usage() const
{
    return m_impl->usage();
}

} // namespace bamboohead
