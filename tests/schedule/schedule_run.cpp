#include "schedule/schedule_run.hpp"

#include "schedule/callers.hpp"
#include "schedule/fault_plan.hpp"

#include <algorithm>
#include <array>

namespace bamboohead::schedule {

namespace {

constexpr duration faultsBegin = 2s;
constexpr duration faultsEnd = 22s;
constexpr duration configSpread = 5s; ///< R9, after the end of faults
constexpr duration answersDue = 30s;  ///< R4, after the end of faults
/// Copies of jobs and other late requests come within this time after the last answer.
constexpr duration lastRequest = 31s;

constexpr std::array<std::string_view, 7> kindNames{
        "mixed", "calm", "entry_killed", "lossy", "entry_stopped", "agent_stopped", "zone_out"};

class schedule_run
{
public:
    schedule_run(run_kind kind, std::uint64_t seed, bool trace)
        : m_kind{kind}
        , m_network{seed, m_evidence}
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
        callers subjects{m_network, m_evidence, m_callerOptions};
        const auto start = m_network.now();
        m_network.at(start + faultsEnd, [this] {
            healAll(m_network);
            m_restarted = m_disturbed.empty() ? m_restarted : m_network.at(m_disturbed).incarnation;
        });
        m_network.runUntil(start + faultsEnd + configSpread);
        checkVersions();
        const auto due = start + faultsEnd + answersDue;
        while (m_network.now() < due && !subjects.allAnswered()) {
            m_network.runUntil(m_network.now() + 500ms);
        }
        // Nothing is left but deliveries that come late.
        m_network.tickInterval = 500ms;
        m_network.runUntil(std::max(m_network.now(), start + faultsEnd) + m_lateTime);
        m_evidence.checkEnd(true);
        subjects.checkStopped();
        checkKind(subjects);
        return result();
    }

private:
    void plan()
    {
        auto &random = m_network.random();
        const auto start = m_network.now();
        const fault_window window{start + faultsBegin, start + faultsEnd};
        const auto when = start + random.between(4s, 14s);
        const auto anyEntry = "e" + std::to_string(1 + random.below(3));
        switch (m_kind) {
        case run_kind::mixed:
            m_callerOptions.cancelPercent = random.percent(30) ? 20 : 0;
            m_callerOptions.lateCopyPercent = 30;
            m_callerOptions.lateRequests = random.percent(30);
            m_callerOptions.deadline = random.percent(30) ? 5s : 60s;
            m_callerOptions.jobs = 5 + random.below(15);
            planMixedFaults(m_network, window);
            m_lateTime = m_network.messageFaults.delayed > 0
                                 ? std::max(lastRequest, m_network.messageFaults.longestDelay)
                                 : lastRequest;
            break;
        case run_kind::zone_out:
            m_callerOptions.jobs = 40;
            m_callerOptions.until = 14s;
            planZoneOut(m_network, window);
            break;
        case run_kind::calm:
            break;
        case run_kind::entry_killed:
            disturb(when, anyEntry, false);
            break;
        case run_kind::lossy:
            m_network.messageFaults = {5, 5, 20, 200ms};
            break;
        case run_kind::entry_stopped:
            disturb(when, anyEntry, true);
            break;
        case run_kind::agent_stopped:
            disturb(when, "a" + std::to_string(1 + random.below(3)), true);
            break;
        }
    }

    /// R9: all processes hold the newest version soon after the faults ended.
    void checkVersions()
    {
        for (const auto &[endpoint, subject] : m_network.processes()) {
            if (!subject.alive() || subject.stopping) {
                continue;
            }
            const auto dump = subject.entry ? subject.entry->dump() : subject.agent->dump();
            const auto held = dump.at("config_version").to_number<std::uint64_t>();
            if (held != m_network.version()) {
                m_evidence.violated("R9", endpoint + " holds version " + std::to_string(held) +
                                                  " of " + std::to_string(m_network.version()));
            }
        }
    }

    void checkKind(const callers &subjects)
    {
        if (m_kind == run_kind::mixed || m_kind == run_kind::zone_out) {
            return;
        }
        for (const auto &[job, answer] : m_evidence.answers()) {
            if (!answer || answer->outcome == job_outcome::complete) {
                continue;
            }
            const std::string error{errorInfo(answer->error).name};
            if (!allowed(*answer, subjects.submittedAt().at(job))) {
                m_evidence.violated(m_kind == run_kind::calm ? "R4" : "R8",
                                    toText(job) + " ended with " + error);
            }
        }
    }

    /// Whether a job may end without results in a run with a single kind of fault.
    [[nodiscard]] bool allowed(const job_answer &answer, time_point submitted) const
    {
        switch (m_kind) {
        case run_kind::entry_killed: {
            // A record that was on its way may be lost, and a backup never starts a job without
            // one; in both cases nothing ran.
            const bool unstarted = answer.outcome == job_outcome::refused ||
                                   answer.error == error_kind::outcome_unknown;
            return unstarted && !m_evidence.anyStarted(answer.id) && ofDisturbed(answer.id) &&
                   submitted > m_disturbedAt - 100ms;
        }
        case run_kind::entry_stopped: {
            // An entry that has just started has no manifest yet and refuses jobs (design 2.3).
            if (answer.error == error_kind::not_current) {
                return m_restarted == answer.id.session.home.primary;
            }
            // Jobs that are submitted after the stop in a session of the stopped entry are
            // refused as not run, by the entry itself or by its backup (design 2.1).
            return answer.error == error_kind::stopping && !m_evidence.anyStarted(answer.id) &&
                   answer.id.session.home.primary == m_disturbedIncarnation &&
                   submitted > m_disturbedAt - 100ms;
        }
        default:
            return false;
        }
    }

    /// Whether the home of the job names the killed process.
    [[nodiscard]] bool ofDisturbed(const job_id &job) const
    {
        return job.session.home.primary == m_disturbedIncarnation ||
               job.session.home.backup == m_disturbedIncarnation;
    }

    void disturb(time_point when, const std::string &name, bool gracefully)
    {
        m_disturbed = name;
        m_disturbedAt = when;
        m_network.at(when, [this, name, gracefully] {
            m_disturbedIncarnation = m_network.at(name).incarnation;
            gracefully ? m_network.stop(name) : m_network.kill(name);
        });
    }

    run_result result()
    {
        run_result found;
        found.violations = m_evidence.violations();
        found.starts = m_evidence.starts();
        for (const auto &[job, answer] : m_evidence.answers()) {
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
    evidence m_evidence;
    fake_network m_network;
    caller_options m_callerOptions;
    duration m_lateTime = 1s; ///< for deliveries that come after the last answer
    std::string m_disturbed;  ///< process that is killed or stopped in a quiet run
    incarnation_id m_disturbedIncarnation = incarnation_id::none;
    incarnation_id m_restarted = incarnation_id::none;
    time_point m_disturbedAt;
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
