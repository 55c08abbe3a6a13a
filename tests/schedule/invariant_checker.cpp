#include "schedule/invariant_checker.hpp"

namespace bamboohead::schedule {

namespace {

/// Longest time from the moment when a connected entry can know that a zone is out to the last
/// start of a task there (docs/design.md, R3): 2 s for which a configuration counts as current, 1 s
/// for a store read or push, 1 s for passing it on, 0.5 s for ticks and message delays.
constexpr duration zoneOutLimit = std::chrono::milliseconds{4500};
/// Longest time from the moment when a target begins to leave to the last start of a task there
/// (docs/design.md, R7): 3 s without an announcement after which a target counts as leaving
/// (targetTimeout), 1 s until its next announcement.
constexpr duration leavingLimit = std::chrono::seconds{4};

std::string name(const job_id &job, std::size_t task)
{
    return toText(job) + "/" + std::to_string(task);
}

} // namespace

std::string expectedResult(const job_id &job, std::size_t task)
{
    return "result of " + name(job, task);
}

void invariant_checker::reportViolation(const std::string &rule, const std::string &text)
{
    m_violations.push_back(rule + ": " + text);
}

void invariant_checker::jobSubmitted(const job_id &job, std::size_t tasks)
{
    m_jobs[job] = tasks;
    m_answers.try_emplace(job);
}

void invariant_checker::taskStarted(const task_ref &ref, const std::string &agent,
                                    const std::string &zone, time_point now)
{
    const auto task = name(ref.job, ref.task);
    const auto [position, first] = m_starts.try_emplace(taskKey(ref), agent);
    if (!first) {
        reportViolation("R1", task + " started on " + position->second + " and again on " + agent);
    }
    ++m_startedJobs[ref.job];
    if (const auto refused = m_notRun.find(ref.job); refused != m_notRun.end()) {
        reportViolation(
                "R5", task + " started after its job was answered as not run: " + refused->second);
    }
    const auto out = m_outSince.find(zone);
    if (out != m_outSince.end() && now - out->second > zoneOutLimit) {
        reportViolation("R3", task + " started in " + zone + " " +
                                      std::to_string((now - out->second).count()) +
                                      " us after the zone was known to be out");
    }
    const auto leaving = m_leavingSince.find(agent);
    if (leaving != m_leavingSince.end() && now - leaving->second > leavingLimit) {
        reportViolation("R7", task + " started although the target was leaving, on " + agent);
    }
}

void invariant_checker::answered(const job_id &requested, const job_answer &answer)
{
    if (answer.id != requested) {
        reportViolation("R4", "request for " + toText(requested) + " received the answer for " +
                                      toText(answer.id));
        return;
    }
    if (answer.outcome == job_outcome::pending) {
        return;
    }
    auto &last = m_answers[requested];
    const bool wasComplete = last && last->outcome == job_outcome::complete;
    if (answer.outcome == job_outcome::complete) {
        checkComplete(requested, answer);
    } else if (!answer.results.empty()) {
        reportViolation("R2", toText(requested) + " has results in an answer that is not complete");
    }
    const bool saysNotRun = answer.outcome != job_outcome::complete && !answer.mayHaveRun;
    if (saysNotRun) {
        const std::string error{errorInfo(answer.error).name};
        m_notRun.try_emplace(requested, error);
        if (anyStarted(requested)) {
            reportViolation("R5", toText(requested) + " was answered as not run (" + error +
                                          ") after a task had started");
        }
    }
    if (!wasComplete) {
        last = answer;
    }
}

void invariant_checker::checkComplete(const job_id &job, const job_answer &answer)
{
    if (answer.results.size() != m_jobs[job]) {
        reportViolation("R2", toText(job) + " is complete with " +
                                      std::to_string(answer.results.size()) + " of " +
                                      std::to_string(m_jobs[job]) + " results");
        return;
    }
    for (std::size_t task = 0; task < answer.results.size(); ++task) {
        const task_key key{job, static_cast<std::uint32_t>(task)};
        if (answer.results[task] != expectedResult(job, task)) {
            reportViolation("R4", name(job, task) +
                                          " has a result that its target did not return: " +
                                          answer.results[task]);
        }
        if (!m_starts.contains(key) || m_failedTasks.contains(key)) {
            reportViolation("R2", name(job, task) +
                                          " has a result in a complete answer but did not finish");
        }
    }
}

void invariant_checker::zoneOut(const std::string &zone, time_point now)
{
    m_outSince.try_emplace(zone, now);
}

void invariant_checker::targetLeaving(const std::string &agent, time_point now)
{
    m_leavingSince.try_emplace(agent, now);
}

void invariant_checker::versionSeen(const std::string &process, incarnation_id incarnation,
                                    std::uint64_t version)
{
    auto &newest = m_versions[incarnation];
    if (version < newest) {
        reportViolation("R9", process + " went back from configuration version " +
                                      std::to_string(newest) + " to " + std::to_string(version));
    }
    newest = std::max(newest, version);
}

void invariant_checker::checkEnd(bool answersDue)
{
    for (const auto &[job, answer] : m_answers) {
        if (!answer && answersDue) {
            reportViolation("R4", toText(job) + " has no answer");
        }
    }
}

} // namespace bamboohead::schedule
