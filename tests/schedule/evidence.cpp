#include "schedule/evidence.hpp"

namespace bamboohead::schedule {

namespace {

/// R3: 2 s currency, 1 s store read or push, 1 s passing on, 0.5 s for ticks and delays.
constexpr duration zoneOutLimit = std::chrono::milliseconds{4500};
/// R7: 3 s silence limit of a target and 1 s for its announcement.
constexpr duration leavingLimit = std::chrono::seconds{4};

std::string name(const job_id &job, std::size_t task)
{
    return toText(job) + "/" + std::to_string(task);
}

} // namespace

std::string resultOf(const job_id &job, std::size_t task)
{
    return "result of " + name(job, task);
}

void evidence::violated(const std::string &rule, const std::string &text)
{
    m_violations.push_back(rule + ": " + text);
}

void evidence::jobSubmitted(const job_id &job, std::size_t tasks)
{
    m_jobs[job] = tasks;
    m_answers.try_emplace(job);
}

void evidence::taskStarted(const task_ref &ref, const std::string &agent, const std::string &zone,
                           time_point now)
{
    const auto task = name(ref.job, ref.task);
    const auto [position, first] = m_starts.try_emplace(taskKey(ref), agent);
    if (!first) {
        violated("R1", task + " started on " + position->second + " and again on " + agent);
    }
    ++m_startedJobs[ref.job];
    if (const auto refused = m_notRun.find(ref.job); refused != m_notRun.end()) {
        violated("R5", task + " started after the answer " + refused->second);
    }
    const auto out = m_outSince.find(zone);
    if (out != m_outSince.end() && now - out->second > zoneOutLimit) {
        violated("R3", task + " started in " + zone + " " +
                               std::to_string((now - out->second).count()) +
                               " us after it was out");
    }
    const auto leaving = m_leavingSince.find(agent);
    if (leaving != m_leavingSince.end() && now - leaving->second > leavingLimit) {
        violated("R7", task + " started on leaving " + agent);
    }
}

void evidence::answered(const job_id &asked, const job_answer &answer)
{
    if (answer.id != asked) {
        violated("R4", "asked for " + toText(asked) + ", answered for " + toText(answer.id));
        return;
    }
    if (answer.outcome == job_outcome::pending) {
        return;
    }
    auto &last = m_answers[asked];
    const bool wasComplete = last && last->outcome == job_outcome::complete;
    if (answer.outcome == job_outcome::complete) {
        checkComplete(asked, answer);
    } else if (!answer.results.empty()) {
        violated("R2", toText(asked) + " failed with results");
    }
    const bool saysNotRun = answer.outcome != job_outcome::complete && !answer.mayHaveRun;
    if (saysNotRun) {
        const std::string error{errorInfo(answer.error).name};
        m_notRun.try_emplace(asked, error);
        if (anyStarted(asked)) {
            violated("R5", toText(asked) + " answered " + error + " after a task started");
        }
    }
    if (!wasComplete) {
        last = answer;
    }
}

void evidence::checkComplete(const job_id &job, const job_answer &answer)
{
    if (answer.results.size() != m_jobs[job]) {
        violated("R2", toText(job) + " complete with " + std::to_string(answer.results.size()) +
                               " of " + std::to_string(m_jobs[job]) + " results");
        return;
    }
    for (std::size_t task = 0; task < answer.results.size(); ++task) {
        const task_key key{job, static_cast<std::uint32_t>(task)};
        if (answer.results[task] != resultOf(job, task)) {
            violated("R4", name(job, task) + " answered with: " + answer.results[task]);
        }
        if (!m_starts.contains(key) || m_failedTasks.contains(key)) {
            violated("R2", name(job, task) + " is in a complete answer but did not finish");
        }
    }
}

void evidence::zoneOut(const std::string &zone, time_point now)
{
    m_outSince.try_emplace(zone, now);
}

void evidence::targetLeaving(const std::string &agent, time_point now)
{
    m_leavingSince.try_emplace(agent, now);
}

void evidence::versionSeen(const std::string &process, incarnation_id incarnation,
                           std::uint64_t version)
{
    auto &newest = m_versions[incarnation];
    if (version < newest) {
        violated("R9", process + " went from version " + std::to_string(newest) + " to " +
                               std::to_string(version));
    }
    newest = std::max(newest, version);
}

void evidence::checkEnd(bool answersDue)
{
    for (const auto &[job, answer] : m_answers) {
        if (!answer && answersDue) {
            violated("R4", toText(job) + " has no answer");
        }
    }
}

} // namespace bamboohead::schedule
