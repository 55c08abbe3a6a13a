#include "schedule/schedule_run.hpp"

#include "schedule/callers.hpp"
#include "schedule/fault_plan.hpp"

#include <algorithm>
#include <array>

namespace bamboohead::schedule {

namespace {

constexpr duration faultsBegin = 2s;
constexpr duration faultsEnd = 22s;
/// Time after the end of the faults by which all processes hold the newest configuration version
/// (docs/design.md, R9).
constexpr duration convergenceTime = 5s;
/// Time after the end of the faults by which each job has its final answer (docs/design.md, R4).
constexpr duration answersDue = 30s;
/// Simulated time after the last answer, in which late requests arrive: each takes at most 30 s. A
/// resubmission is sent up to 10 s after the answer, so one that is late may be cut off.
constexpr duration lateRequestTime = 31s;

constexpr std::array<std::string_view, 7> kindNames{
        "mixed", "calm", "entry_killed", "lossy", "entry_stopped", "agent_stopped", "zone_out"};

class schedule_run
{
public:
    schedule_run(run_kind kind, std::uint64_t seed, bool trace)
        : m_kind{kind}
        , m_network{seed, m_checker}
    {
        m_network.tracing = trace;
        const std::array<std::string, 3> zones{"graz", "linz", "wien"};
        for (std::size_t number = 0; number < zones.size(); ++number) {
            m_network.addEntry("e" + std::to_string(number + 1), zones[number]);
        }
        const auto agents = 3 + m_network.random().below(2);
        for (std::size_t number = 0; number < agents; ++number) {
            m_network.addAgent("a" + std::to_string(number + 1), zones[number % zones.size()]);
        }
    }

    run_result run()
    {
        plan();
        callers jobCallers{m_network, m_checker, m_callerOptions};
        const auto start = m_network.now();
        m_network.at(start + faultsEnd, [this] {
            endAllFaults(m_network);
            m_restartedIncarnation = m_faultyProcess.empty()
                                             ? m_restartedIncarnation
                                             : m_network.at(m_faultyProcess).incarnation;
        });
        m_network.runUntil(start + faultsEnd + convergenceTime);
        checkVersions();
        const auto due = start + faultsEnd + answersDue;
        while (m_network.now() < due && !jobCallers.allAnswered()) {
            m_network.runUntil(m_network.now() + 500ms);
        }
        // Only late deliveries remain, for which longer tick intervals suffice.
        m_network.tickInterval = 500ms;
        m_network.runUntil(std::max(m_network.now(), start + faultsEnd) + m_drainTime);
        m_checker.checkEnd(true);
        jobCallers.checkStoppedEntries();
        checkOutcomes(jobCallers);
        return result();
    }

private:
    void plan()
    {
        auto &random = m_network.random();
        const auto start = m_network.now();
        const fault_window window{start + faultsBegin, start + faultsEnd};
        const auto when = start + random.between(4s, 14s);
        const auto randomEntry = "e" + std::to_string(1 + random.below(3));
        switch (m_kind) {
        case run_kind::mixed:
            m_callerOptions.cancelPercent = random.percent(30) ? 20 : 0;
            m_callerOptions.resubmitPercent = 30;
            m_callerOptions.lateRequests = random.percent(30);
            m_callerOptions.deadline = random.percent(30) ? 5s : 60s;
            m_callerOptions.jobs = 5 + random.below(15);
            planMixedFaults(m_network, window);
            m_drainTime = m_network.messageFaults.delayed > 0
                                  ? std::max(lateRequestTime, m_network.messageFaults.maxDelay)
                                  : lateRequestTime;
            break;
        case run_kind::zone_out:
            m_callerOptions.jobs = 40;
            m_callerOptions.until = 14s;
            planZoneOut(m_network, window);
            break;
        case run_kind::calm:
            break;
        case run_kind::entry_killed:
            injectFault(when, randomEntry, false);
            break;
        case run_kind::lossy:
            m_network.messageFaults = {5, 5, 20, 200ms};
            break;
        case run_kind::entry_stopped:
            injectFault(when, randomEntry, true);
            break;
        case run_kind::agent_stopped:
            injectFault(when, "a" + std::to_string(1 + random.below(3)), true);
            break;
        }
    }

    /// Checks that all running processes hold the newest configuration version (docs/design.md,
    /// R9).
    void checkVersions()
    {
        for (const auto &[endpoint, subject] : m_network.processes()) {
            if (!subject.alive() || subject.stopping) {
                continue;
            }
            const auto dump = subject.entry ? subject.entry->dump() : subject.agent->dump();
            const auto held = dump.at("config_version").to_number<std::uint64_t>();
            if (held != m_network.version()) {
                m_checker.reportViolation("R9", endpoint + " holds configuration version " +
                                                        std::to_string(held) +
                                                        " while the newest is " +
                                                        std::to_string(m_network.version()));
            }
        }
    }

    /// Checks that each answered job is complete, except for those that the kind of run permits to
    /// end otherwise.
    void checkOutcomes(const callers &jobCallers)
    {
        if (m_kind == run_kind::mixed || m_kind == run_kind::zone_out) {
            return;
        }
        for (const auto &[job, answer] : m_checker.answers()) {
            if (!answer || answer->outcome == job_outcome::complete) {
                continue;
            }
            const std::string error{errorInfo(answer->error).name};
            if (!mayEndWithoutResults(*answer, jobCallers.submittedAt().at(job))) {
                m_checker.reportViolation(m_kind == run_kind::calm ? "R4" : "R8",
                                          toText(job) + " ended with the error " + error);
            }
        }
    }

    /// Whether a job may end without results in a run of the present kind. Submissions up to 100 ms
    /// before the fault count as affected by it.
    [[nodiscard]] bool mayEndWithoutResults(const job_answer &answer, time_point submitted) const
    {
        switch (m_kind) {
        case run_kind::entry_killed: {
            // A record that was being sent may be lost, and a backup never starts a job without its
            // record; in both cases no task has started.
            const bool unstarted = answer.outcome == job_outcome::refused ||
                                   answer.error == error_kind::outcome_unknown;
            return unstarted && !m_checker.anyStarted(answer.id) && homeIncludesFaulty(answer.id) &&
                   submitted > m_faultTime - 100ms;
        }
        case run_kind::entry_stopped: {
            // An entry that has just started has no manifest yet and refuses jobs (docs/design.md,
            // 2.3).
            if (answer.error == error_kind::not_current) {
                return m_restartedIncarnation == answer.id.session.home.primary;
            }
            // Jobs that are submitted after the stop in a session of the stopped entry are refused
            // as not run, by the entry itself or by its backup (docs/design.md, 2.1).
            return answer.error == error_kind::stopping && !m_checker.anyStarted(answer.id) &&
                   answer.id.session.home.primary == m_faultyIncarnation &&
                   submitted > m_faultTime - 100ms;
        }
        default:
            return false;
        }
    }

    /// Whether the killed process is the primary or backup of the job's home.
    [[nodiscard]] bool homeIncludesFaulty(const job_id &job) const
    {
        return job.session.home.primary == m_faultyIncarnation ||
               job.session.home.backup == m_faultyIncarnation;
    }

    /// Schedules that a process is stopped gracefully or killed.
    void injectFault(time_point when, const std::string &name, bool gracefully)
    {
        m_faultyProcess = name;
        m_faultTime = when;
        m_network.at(when, [this, name, gracefully] {
            m_faultyIncarnation = m_network.at(name).incarnation;
            gracefully ? m_network.stop(name) : m_network.kill(name);
        });
    }

    run_result result()
    {
        run_result found;
        found.violations = m_checker.violations();
        found.starts = m_checker.starts();
        for (const auto &[job, answer] : m_checker.answers()) {
            ++found.jobs;
            if (answer) {
                found.complete += answer->outcome == job_outcome::complete ? 1 : 0;
                found.refused += answer->outcome == job_outcome::refused ? 1 : 0;
                found.unknown += answer->error == error_kind::outcome_unknown ? 1 : 0;
            }
        }
        return found;
    }

    run_kind m_kind;
    invariant_checker m_checker;
    fake_network m_network;
    caller_options m_callerOptions;
    duration m_drainTime = 1s;   ///< simulated after the last answer, for late deliveries
    std::string m_faultyProcess; ///< process that is killed or stopped; empty if none is
    incarnation_id m_faultyIncarnation = incarnation_id::none;
    /// Incarnation of m_faultyProcess after the end of the faults.
    incarnation_id m_restartedIncarnation = incarnation_id::none;
    time_point m_faultTime;
};

} // namespace

std::string_view toText(run_kind kind) noexcept
{
    return kindNames[static_cast<std::size_t>(kind)];
}

run_result runSchedule(run_kind kind, std::uint64_t seed, bool trace)
{
    return schedule_run{kind, seed, trace}.run();
}

} // namespace bamboohead::schedule
