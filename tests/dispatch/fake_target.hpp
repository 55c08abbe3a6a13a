#pragma once

#include "bamboohead/dispatch/target_calls.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bamboohead::dispatch_test {

using namespace std::chrono_literals;

/// @brief Behaviour of a run on a fake_target.
struct task_plan
{
    resources demand;
    duration runTime{}; ///< multiplied by the target's slowness
    bool fails = false; ///< whether the run ends as failed
};

/// @brief Simulated target that implements the target protocol: leases by its own clock, fences,
///        runs and their ends.
///
/// Performs no I/O. The test delivers the calls and may delay or repeat them.
class fake_target
{
public:
    using plan_source = std::function<task_plan(const run_ref &)>;
    using run_listener = std::function<void(const run_ref &)>;

    fake_target(std::string id, resources capacity, plan_source plans, time_point now);

    /// @brief Crashes if necessary and begins a new lifetime: no runs, no history, all counters
    ///        reset.
    void restart(std::string id, std::int64_t startedMs, time_point now);
    /// @brief Ends the lifetime and all runs without an announcement.
    void crash(time_point now);
    /// @brief Changes the capacity that later status reports contain.
    void resize(const resources &capacity) { m_capacity = capacity; }

    /// @brief Makes the next status report.
    [[nodiscard]] target_report report(time_point now);
    /// @brief Executes a call at `now`. A long poll is answered at once.
    [[nodiscard]] target_reply call(const target_call &made, time_point now);
    /// @brief Ends the runs whose run time has passed or whose lease has expired by `now`.
    void advance(time_point now);

    /// @brief Executing runs, each with the time at which it ends by itself.
    [[nodiscard]] const std::map<run_ref, time_point> &running() const noexcept { return m_runs; }
    [[nodiscard]] bool up() const noexcept { return m_up; }
    /// @brief Total demand of the executing runs.
    [[nodiscard]] resources used() const;
    [[nodiscard]] const resources &capacity() const noexcept { return m_capacity; }

    target_phase phase = target_phase::serving;
    double clockRate = 1.0;          ///< speed of the target's clock relative to the test's
    std::vector<std::string> labels; ///< of later status reports
    double slowness = 1.0;           ///< factor by which run times are multiplied
    bool hangs = false;              ///< whether newly started runs never end by themselves
    bool failsAll = false; ///< whether all runs that end by themselves from now on end as failed
    std::size_t maxListedEnds = 500; ///< ends in a listing; later listings contain the others
    run_listener onStart;            ///< called when a run starts
    std::function<void(const run_ref &, run_end_kind)> onRemoved; ///< called when a run ends

private:
    target_reply reply(const call_header &header, time_point now) const;
    target_reply handle(const start_run &call, time_point now);
    target_reply handle(const stop_run &call, time_point now);
    target_reply handle(const list_runs &call, time_point now);
    bool fenced(std::uint64_t fence, target_reply &answer);
    void extend(std::int64_t leaseEndMs, time_point now);
    void finish(const run_ref &ref, run_end_kind kind);
    [[nodiscard]] std::int64_t clockMs(time_point now) const;

    target_lifetime m_lifetime;
    resources m_capacity;
    plan_source m_plans;
    bool m_up = true;
    time_point m_started;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_fence = 0;
    std::int64_t m_leaseEnd = 0;
    std::map<run_ref, time_point> m_runs; ///< see running()
    /// Highest number of an ended or stopped run of each task; starts up to it are refused.
    std::map<batch_task, std::uint32_t> m_newestEndedRuns;
    std::vector<listed_end> m_ended; ///< ends that no list call has acknowledged yet
    std::uint64_t m_endCount = 0;    ///< number of the last end
};

} // namespace bamboohead::dispatch_test
