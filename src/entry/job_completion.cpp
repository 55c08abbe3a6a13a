#include "bamboohead/detail/entry/dispatcher.hpp"
#include "bamboohead/detail/entry/forwarder.hpp"
#include "bamboohead/detail/entry/job_manager.hpp"
#include "bamboohead/detail/entry/primary_replication.hpp"

namespace bamboohead::detail {

namespace {

job_answer notRunAnswer(const job_id &id, error_kind kind)
{
    auto answer = errorAnswer(id, kind);
    answer.outcome = job_outcome::refused;
    answer.mayHaveRun = false;
    return answer;
}

} // namespace

void job_manager::releaseUsage(job_record &job)
{
    if (job.usage > 0) {
        m_ctx.admit.addUsage(job.submission.team, -static_cast<std::int64_t>(job.usage));
        job.usage = 0;
    }
}

void job_manager::fail(job_record &job, error_kind kind, std::string detail)
{
    auto failure = errorAnswer(job.id(), kind);
    if (!detail.empty()) {
        failure.message += ": " + detail;
    }
    end(job, std::move(failure));
}

void job_manager::complete(job_record &job)
{
    job_answer result;
    result.id = job.id();
    result.outcome = job_outcome::complete;
    result.results.reserve(job.tasks.size());
    for (auto &task : job.tasks) {
        result.results.push_back(std::move(task.result));
    }
    end(job, std::move(result));
}

void job_manager::abandon(job_record &job, error_kind kind)
{
    const bool provenNotOrdered = job.owner == home_owner::primary && !job.orderSent;
    if (!provenNotOrdered) {
        fail(job, kind);
    } else if (!job.recordSent) {
        end(job, notRunAnswer(job.id(), kind));
    } else {
        startClosing(job, kind);
    }
}

void job_manager::startClosing(job_record &job, error_kind kind)
{
    // It is proven that the job has not run only once the backup has acknowledged the close, since
    // it won't resume the job after that.
    m_ctx.dispatch->dequeue(job);
    releaseUsage(job);
    m_ctx.jobs.setPhase(job, job_phase::closing, m_ctx.now());
    job.answer = notRunAnswer(job.id(), kind);
    m_ctx.replication->close(job);
}

void job_manager::closeConfirmed(job_record &job)
{
    if (job.phase == job_phase::closing) {
        auto confirmed = std::move(job.answer);
        end(job, std::move(confirmed));
    }
}

void job_manager::countOutcome(const job_answer &answer)
{
    if (answer.outcome == job_outcome::complete) {
        ++m_ctx.counters.jobsComplete;
    } else if (answer.outcome == job_outcome::failed) {
        ++m_ctx.counters.jobsFailed;
    } else {
        ++m_ctx.counters.jobsRefused;
    }
}

void job_manager::end(job_record &job, job_answer answer)
{
    m_ctx.dispatch->dequeue(job);
    releaseUsage(job);
    countOutcome(answer);
    if (answer.outcome != job_outcome::complete) {
        m_ctx.out.log("job_failed", {{"job", toText(job.id())},
                                     {"outcome", std::string{toText(answer.outcome)}},
                                     {"error", std::string{errorInfo(answer.error).name}}});
    }
    const auto waiters = std::move(job.waiters);
    m_ctx.jobs.end(job, std::move(answer), m_ctx.now());
    for (const auto &caller : waiters) {
        this->answer(caller, job.answer);
    }
    if (job.recordSent && job.closeSequence == 0) {
        m_ctx.replication->close(job);
    }
}

void job_manager::homeFenced(const job_home &home)
{
    auto *fencedHome = m_ctx.homes.findPrimary(home);
    if (fencedHome == nullptr) {
        return;
    }
    m_ctx.out.log("home_fenced",
                  {{"primary", toText(home.primary)}, {"backup", toText(home.backup)}});
    m_ctx.homes.fenced.insert(home);
    std::vector<std::pair<job_id, std::vector<waiter>>> dropped;
    while (!fencedHome->jobs.empty()) {
        auto &job = fencedHome->jobs.front();
        m_ctx.dispatch->dequeue(job);
        releaseUsage(job);
        dropped.emplace_back(job.id(), std::move(job.waiters));
        m_ctx.jobs.erase(dropped.back().first);
    }
    m_ctx.homes.primary.erase(home);
    for (const auto &[id, waiters] : dropped) {
        for (const auto &caller : waiters) {
            // Only requests of local callers are in `m_localWaiters`. Their numbers start at 1, so
            // erasing 0 has no effect.
            m_localWaiters.erase(caller.entry == incarnation_id::none ? caller.request : 0);
            m_ctx.forwards->query(caller, id);
        }
    }
}

bool job_manager::unschedulable(const primary_home &home) const
{
    return home.hasBackup() && !m_ctx.alive(home.home.backup) && !home.anyUsable();
}

void job_manager::endUnschedulableJobs(primary_home &home)
{
    if (!unschedulable(home)) {
        home.unschedulableSince.reset();
        return;
    }
    home.unschedulableSince = home.unschedulableSince.value_or(m_ctx.now());
    if (m_ctx.now() - *home.unschedulableSince < unschedulableTimeout) {
        return;
    }
    std::vector<job_id> waiting;
    for (const auto &job : home.jobs) {
        if (job.phase == job_phase::running && !job.waiting.empty()) {
            waiting.push_back(job.id());
        }
    }
    for (const auto &id : waiting) {
        auto *job = m_ctx.jobs.find(id);
        if (job->orderSent || job->recordSent) {
            fail(*job, error_kind::outcome_unknown);
        } else {
            end(*job, notRunAnswer(id, error_kind::no_target));
        }
    }
}

void job_manager::tick()
{
    const auto now = m_ctx.now();
    for (auto &[id, home] : m_ctx.homes.primary) {
        endUnschedulableJobs(home);
    }
    auto &jobs = m_ctx.jobs;
    while (!jobs.deadlines.empty() && jobs.deadlines.begin()->deadline <= now) {
        abandon(*jobs.deadlines.begin(), error_kind::deadline_exceeded);
    }
    while (!jobs.closing.empty() && now - jobs.closing.front().phaseSince >= closeConfirmTimeout) {
        auto &job = jobs.closing.front();
        fail(job, job.answer.error);
    }
    jobs.expire(now);
}

} // namespace bamboohead::detail
