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

/// @brief What a run on a fake target does by itself.
struct task_plan
{
    resources demand;
    duration runTime{};
    bool fails = false;
};

/// @brief A target as its protocol describes it: leases by its own clock, fences, runs and ends.
///
/// Performs no I/O; the test delivers calls, late or twice as it likes.
class fake_target
{
public:
    using plan_source = std::function<task_plan(const run_ref &)>;
    using run_listener = std::function<void(const run_ref &)>;

    fake_target(std::string id, resources capacity, plan_source plans, time_point now);

    /// @brief Begins a new lifetime: nothing runs, nothing is known, all counts start anew.
    void restart(std::string id, std::int64_t startedMs, time_point now);
    /// @brief Ends the lifetime without a word.
    void crash(time_point now);

    [[nodiscard]] target_report report(time_point now);
    /// @brief Carries out a call at `now`.
    [[nodiscard]] target_reply call(const target_call &made, time_point now);
    /// @brief Lets runs end and leases lapse up to `now`.
    void advance(time_point now);

    [[nodiscard]] const std::map<run_ref, time_point> &running() const noexcept { return m_runs; }
    [[nodiscard]] bool up() const noexcept { return m_up; }
    [[nodiscard]] resources used() const;
    [[nodiscard]] const resources &capacity() const noexcept { return m_capacity; }

    target_phase phase = target_phase::serving;
    double clockRate = 1.0; ///< of the target's clock
    double slowness = 1.0;  ///< factor of run times
    bool hangs = false;     ///< runs that start now do not end by themselves
    bool failsAll = false;  ///< runs that end now end as failed
    run_listener onStart;   ///< a run begins
    std::function<void(const run_ref &, run_end_kind)> onRemoved; ///< a run no longer works

private:
    target_reply reply(const call_header &header, time_point now) const;
    target_reply handle(const start_run &call, time_point now);
    target_reply handle(const stop_run &call, time_point now);
    target_reply handle(const list_runs &call, time_point now);
    bool fenced(std::uint64_t fence, target_reply &answer);
    void extend(std::int64_t leaseEndMs, time_point now);
    void finish(const run_ref &ref, run_end_kind kind);
    [[nodiscard]] std::int64_t clockMs(time_point now) const;

    target_life m_life;
    resources m_capacity;
    plan_source m_plans;
    bool m_up = true;
    time_point m_started;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_fence = 0;
    std::int64_t m_leaseEnd = 0;
    std::map<run_ref, time_point> m_runs;         ///< with the time at which each ends by itself
    std::map<batch_task, std::uint32_t> m_closed; ///< runs up to this number are rejected
    std::vector<listed_end> m_ended;
    std::uint64_t m_ends = 0;
};

} // namespace bamboohead::dispatch_test
