#include "bamboohead/detail/entry/job_table.hpp"

#include "bamboohead/detail/entry/limits.hpp"

#include <array>

namespace bamboohead::detail {

namespace {

constexpr std::array<std::string_view, 6> phaseNames{"recording", "running", "closing",
                                                     "record",    "fencing", "ended"};

bool isUnfinished(job_phase phase)
{
    return phase != job_phase::record && phase != job_phase::ended;
}

std::vector<task_record> makeTasks(job_record &job)
{
    std::vector<task_record> tasks(job.submission.payloads.size());
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        tasks[index].job = &job;
        tasks[index].index = static_cast<std::uint32_t>(index);
    }
    return tasks;
}

} // namespace

std::string_view toText(job_phase phase) noexcept
{
    return phaseNames.at(static_cast<std::size_t>(phase));
}

session_record &job_table::openSession(const session_id &id, time_point now)
{
    const auto [position, added] = m_sessions.try_emplace(id);
    if (added) {
        position->second.id = id;
        position->second.opened = now;
        m_sessionsByTime.emplace_back(now, id);
    }
    return position->second;
}

session_record *job_table::findSession(const session_id &id)
{
    const auto found = m_sessions.find(id);
    return found == m_sessions.end() ? nullptr : &found->second;
}

std::vector<std::uint64_t> job_table::sessionsOf(const job_home &home, time_point since) const
{
    std::vector<std::uint64_t> found;
    for (const auto &[id, session] : m_sessions) {
        if (id.home == home && session.opened >= since) {
            found.push_back(id.value);
        }
    }
    return found;
}

job_record &job_table::add(job_submission submission, home_owner owner, time_point now,
                           time_point deadline)
{
    const auto id = submission.id;
    auto &slot = m_jobs[id];
    slot = std::make_unique<job_record>();
    auto &job = *slot;
    job.submission = std::move(submission);
    job.owner = owner;
    job.submitted = now;
    job.deadline = deadline;
    job.phase = owner == home_owner::primary ? job_phase::recording : job_phase::record;
    job.phaseSince = now;
    job.tasks = makeTasks(job);
    for (auto index = static_cast<std::uint32_t>(job.tasks.size()); index > 0; --index) {
        job.waiting.push_back(index - 1);
    }
    if (isUnfinished(job.phase)) {
        ++m_unfinished;
        deadlines.insert(job);
    }
    return job;
}

job_record *job_table::find(const job_id &id)
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : found->second.get();
}

void job_table::countUnfinished(job_phase before, job_phase after)
{
    m_unfinished += isUnfinished(after) ? 1U : 0U;
    m_unfinished -= isUnfinished(before) ? 1U : 0U;
}

void job_table::setPhase(job_record &job, job_phase phase, time_point now)
{
    countUnfinished(job.phase, phase);
    job.phase = phase;
    job.phaseSince = now;
    job.phaseHook.unlink();
    if (phase == job_phase::recording) {
        recording.push_back(job);
    } else if (phase == job_phase::closing) {
        closing.push_back(job);
    } else if (phase == job_phase::ended) {
        m_ended.push_back(job);
    }
    const bool endsAtDeadline = isUnfinished(phase) && phase != job_phase::closing;
    if (!endsAtDeadline) {
        job.deadlineHook.unlink();
    } else if (!job.deadlineHook.is_linked()) {
        deadlines.insert(job);
    }
}

void job_table::end(job_record &job, job_answer answer, time_point now)
{
    recordEnd(job.id(),
              job_end{job.submission.hash, answer.error, answer.outcome, answer.mayHaveRun}, now);
    job.answer = std::move(answer);
    job.homeHook.unlink();
    job.tasks = {};
    job.waiting = {};
    job.waiters = {};
    job.submission.payloads = {};
    setPhase(job, job_phase::ended, now);
}

void job_table::recordEnd(const job_id &id, const job_end &end, time_point now)
{
    openSession(id.session, now).ends.insert_or_assign(id.number, end);
}

void job_table::erase(const job_id &id)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
        return;
    }
    countUnfinished(found->second->phase, job_phase::ended);
    m_jobs.erase(found);
}

std::optional<job_answer> job_table::storedAnswer(const job_id &id)
{
    const auto *job = find(id);
    if (job != nullptr) {
        return job->phase == job_phase::ended ? std::optional{job->answer} : std::nullopt;
    }
    const auto *session = findSession(id.session);
    if (session == nullptr) {
        return std::nullopt;
    }
    const auto found = session->ends.find(id.number);
    if (found == session->ends.end()) {
        return std::nullopt;
    }
    const auto &end = found->second;
    const bool complete = end.outcome == job_outcome::complete;
    auto answer = errorAnswer(id, complete ? error_kind::answer_expired : end.error);
    if (!complete) {
        answer.outcome = end.outcome;
        answer.mayHaveRun = end.mayHaveRun;
    }
    return answer;
}

void job_table::expireSession(const session_id &id)
{
    const auto found = m_sessions.find(id);
    for (const auto number : found->second.records) {
        const job_id record{id, number};
        const auto *job = find(record);
        if (job != nullptr && job->phase == job_phase::record) {
            erase(record);
        }
    }
    m_sessions.erase(found);
}

void job_table::expire(time_point now)
{
    while (!m_ended.empty() && now - m_ended.front().phaseSince > answerRetention) {
        const auto id = m_ended.front().id();
        if (m_ended.front().homeCloseHook.is_linked()) {
            expiredCloses.push_back(id.session.home);
        }
        erase(id);
    }
    while (!m_sessionsByTime.empty() && now - m_sessionsByTime.front().first > outcomeRetention) {
        expireSession(m_sessionsByTime.front().second);
        m_sessionsByTime.pop_front();
    }
}

} // namespace bamboohead::detail
