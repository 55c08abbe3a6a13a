#include "bamboohead/detail/entry/job_manager.hpp"

#include "bamboohead/detail/entry/dispatcher.hpp"
#include "bamboohead/detail/entry/forwarder.hpp"
#include "bamboohead/detail/entry/membership.hpp"
#include "bamboohead/detail/entry/primary_replication.hpp"

namespace bamboohead::detail {

namespace {

job_answer pendingAnswer(const job_id &id)
{
    job_answer answer;
    answer.id = id;
    return answer;
}

} // namespace

incarnation_id job_manager::chooseBackup() const
{
    // An entry in another zone is preferred even to one with fewer sessions, because the loss of a
    // zone must not take both entries of a home.
    std::optional<std::tuple<bool, std::uint64_t, incarnation_id>> best;
    for (const auto *peer : m_ctx.members->liveEntries()) {
        const auto state = m_ctx.entries.find(peer->incarnation);
        const job_home home{m_ctx.self(), peer->incarnation};
        const bool draining = state != m_ctx.entries.end() && state->second.draining;
        if (draining || m_ctx.homes.fenced.contains(home)) {
            continue;
        }
        const auto *existing = m_ctx.homes.findPrimary(home);
        const bool sameZone = peer->zone == m_ctx.options.self.zone;
        const std::tuple candidate{sameZone, existing == nullptr ? 0 : existing->sessions,
                                   peer->incarnation};
        best = best ? std::min(*best, candidate) : candidate;
    }
    return best ? std::get<incarnation_id>(*best) : incarnation_id::none;
}

primary_home &job_manager::chooseHome()
{
    const job_home id{m_ctx.self(), chooseBackup()};
    const auto [position, added] = m_ctx.homes.primary.try_emplace(id);
    auto &home = position->second;
    if (added) {
        home.home = id;
        m_ctx.replication->homeOpened(home);
    }
    home.lastUsed = m_ctx.now();
    return home;
}

void job_manager::openSession(caller_request request)
{
    if (m_ctx.draining) {
        m_ctx.out.push(answer_session_request{request, {}, {}, error_kind::stopping});
        return;
    }
    auto &home = chooseHome();
    ++home.sessions;
    const session_id id{home.home, ++m_lastSession};
    m_ctx.jobs.openSession(id, m_ctx.now());
    ++m_ctx.counters.sessionsOpened;
    m_ctx.out.push(answer_session_request{request, id, sessionValidity, error_kind::none});
}

bool job_manager::sessionValid(const job_id &id)
{
    const auto *session = m_ctx.jobs.findSession(id.session);
    return session != nullptr && m_ctx.now() - session->opened <= sessionValidity;
}

bool job_manager::answerKnownJob(const waiter &caller, const job_id &id, const content_hash *hash)
{
    auto *job = m_ctx.jobs.find(id);
    const auto *session = m_ctx.jobs.findSession(id.session);
    std::optional<content_hash> knownHash;
    if (job != nullptr) {
        knownHash = job->submission.hash;
    } else if (session != nullptr && session->ends.contains(id.number)) {
        knownHash = session->ends.at(id.number).hash;
    } else {
        return false;
    }
    // A job that was cancelled before its submission has no hash.
    const bool compare = hash != nullptr && *knownHash != content_hash{};
    if (compare && *hash != *knownHash) {
        answer(caller, errorAnswer(id, error_kind::content_mismatch));
    } else if (auto ended = m_ctx.jobs.storedAnswer(id)) {
        answer(caller, *std::move(ended));
    } else if (caller.wait || job->phase == job_phase::recording) {
        addWaiter(*job, caller);
    } else {
        answer(caller, pendingAnswer(id));
    }
    return true;
}

void job_manager::answerUnknownJob(const waiter &caller, const job_id &id,
                                   error_kind errorIfSessionValid)
{
    auto kind = error_kind::outcome_unknown;
    if (id.session.home.primary == m_ctx.self() && m_ctx.jobs.findSession(id.session) != nullptr) {
        kind = sessionValid(id) ? errorIfSessionValid : error_kind::session_expired;
    }
    answer(caller, errorAnswer(id, kind));
}

void job_manager::submit(const waiter &caller, job_submission submission)
{
    const auto id = submission.id;
    if (answerKnownJob(caller, id, &submission.hash)) {
        return;
    }
    auto *home = m_ctx.homes.findPrimary(id.session.home);
    if (home == nullptr || !sessionValid(id)) {
        // A backup never starts a job whose record it doesn't have.
        const auto *session = m_ctx.jobs.findSession(id.session);
        if (session != nullptr && session->handedOver) {
            refuse(caller, submission, error_kind::stopping);
        } else {
            answerUnknownJob(caller, id, error_kind::outcome_unknown);
        }
        return;
    }
    ++m_ctx.counters.jobsSubmitted;
    if (const auto refusal = checkNew(submission, *home)) {
        refuse(caller, submission, *refusal);
        return;
    }
    accept(caller, std::move(submission), *home);
}

bool job_manager::hasAgentOf(std::string_view service) const
{
    return std::ranges::any_of(m_ctx.agents, [service](const auto &item) {
        return item.second.load.service == service;
    });
}

std::uint32_t job_manager::usableSlots(const std::string &service)
{
    // Counting slots visits all agents, so the count is cached for a short time.
    constexpr duration cacheTime = std::chrono::milliseconds{50};
    auto &cached = m_slots[service];
    if (m_ctx.now() >= cached.until) {
        cached.until = m_ctx.now() + cacheTime;
        cached.slots = m_ctx.credits.slots(service, [this](incarnation_id id) {
            const auto agent = m_ctx.agents.find(id);
            return agent != m_ctx.agents.end() && m_ctx.dispatch->usable(agent->second);
        });
    }
    return cached.slots;
}

std::optional<error_kind> job_manager::checkNew(const job_submission &submission,
                                                const primary_home &home)
{
    if (m_ctx.draining) {
        return error_kind::stopping;
    }
    if (submission.payloads.empty() || submission.payloads.size() > maxTasksPerJob) {
        return error_kind::invalid_request;
    }
    if (!m_ctx.config.entryCurrent()) {
        return error_kind::not_current;
    }
    const auto &manifest = m_ctx.config.heldManifest();
    const auto service = manifest.services.find(submission.service);
    if (service == manifest.services.end()) {
        return error_kind::unknown_service;
    }
    if (!manifest.teams.contains(submission.team)) {
        return error_kind::unknown_team;
    }
    if (!hasAgentOf(submission.service) || unschedulable(home)) {
        return error_kind::no_target;
    }
    if (m_ctx.jobs.unfinished() >= m_ctx.options.maxJobs) {
        return error_kind::overloaded;
    }
    const bool hasDeadline = submission.deadline > duration{};
    admission_request request;
    request.team = submission.team;
    request.service = submission.service;
    request.tasks = static_cast<std::uint32_t>(submission.payloads.size());
    request.deadline = hasDeadline ? submission.deadline : service->second.defaultDeadline;
    request.slots = usableSlots(submission.service);
    request.waitingTasks = m_ctx.queue.waiting(submission.service);
    request.entries = m_ctx.members->liveEntryCount() + 1;
    request.meanRunTime = m_ctx.queue.estimate(submission.service);
    return m_ctx.admit.check(request, m_ctx.now());
}

void job_manager::refuse(const waiter &caller, const job_submission &submission, error_kind kind)
{
    // The refusal is final for this job id: a late copy of the request must not start the job.
    m_ctx.jobs.recordEnd(submission.id, job_end{submission.hash, kind, job_outcome::refused, false},
                         m_ctx.now());
    const auto refusal = errorAnswer(submission.id, kind);
    countOutcome(refusal);
    answer(caller, refusal);
}

void job_manager::accept(const waiter &caller, job_submission submission, primary_home &home)
{
    const auto &settings = m_ctx.config.heldManifest().services.find(submission.service)->second;
    const bool hasDeadline = submission.deadline > duration{};
    const auto now = m_ctx.now();
    const auto timeLeft = hasDeadline ? submission.deadline : settings.defaultDeadline;
    const auto deadline = now + std::min(timeLeft, maxDeadline);
    auto &job = m_ctx.jobs.add(std::move(submission), home_owner::primary, now, deadline);
    home.jobs.push_back(job);
    job.homeSequence = ++home.lastJob;
    job.usage = static_cast<std::uint32_t>(job.tasks.size());
    m_ctx.admit.addUsage(job.submission.team, job.usage);
    addWaiter(job, caller);
    if (m_ctx.replication->put(job, home)) {
        m_ctx.jobs.setPhase(job, job_phase::recording, now);
    } else {
        run(job);
    }
}

void job_manager::query(const waiter &caller, const job_id &id)
{
    if (!answerKnownJob(caller, id, nullptr)) {
        answerUnknownJob(caller, id, error_kind::unknown_job);
    }
}

void job_manager::cancel(const waiter &caller, const job_id &id)
{
    auto waiting = caller;
    waiting.wait = true;
    const auto *known = m_ctx.homes.findPrimary(id.session.home);
    auto *job = m_ctx.jobs.find(id);
    if (job == nullptr && known != nullptr && sessionValid(id) &&
        !m_ctx.jobs.findSession(id.session)->ends.contains(id.number)) {
        // The submission may arrive later, and must not start the job then.
        m_ctx.jobs.recordEnd(id, job_end{{}, error_kind::cancelled, job_outcome::refused, false},
                             m_ctx.now());
    }
    if (!answerKnownJob(waiting, id, nullptr)) {
        answerUnknownJob(caller, id, error_kind::unknown_job);
        return;
    }
    if (job != nullptr && job->phase != job_phase::ended && job->phase != job_phase::closing) {
        abandon(*job, error_kind::cancelled);
    }
}

void job_manager::callerDisconnected(caller_request request)
{
    const auto number = static_cast<std::uint64_t>(request);
    const auto found = m_localWaiters.find(number);
    if (found == m_localWaiters.end()) {
        return;
    }
    if (auto *job = m_ctx.jobs.find(found->second)) {
        std::erase_if(job->waiters, [number](const waiter &caller) {
            return caller.entry == incarnation_id::none && caller.request == number;
        });
    }
    m_localWaiters.erase(found);
}

void job_manager::addWaiter(job_record &job, const waiter &caller)
{
    if (std::ranges::find(job.waiters, caller) == job.waiters.end()) {
        job.waiters.push_back(caller);
    }
    if (caller.entry == incarnation_id::none) {
        m_localWaiters[caller.request] = job.id();
    } else if (caller.wait) {
        // After this answer (accepted, not ended) the forwarding entry resends only a short query
        // and not the whole submission.
        answer(caller, pendingAnswer(job.id()));
    }
}

void job_manager::answer(const waiter &caller, job_answer answer)
{
    if (caller.entry == incarnation_id::none) {
        m_localWaiters.erase(caller.request);
        m_ctx.out.push(answer_caller{caller_request{caller.request}, std::move(answer)});
        return;
    }
    wire::Envelope envelope;
    auto &reply = *envelope.mutable_job_reply();
    reply.set_request(caller.request);
    toWire(answer, *reply.mutable_answer());
    m_ctx.out.send(caller.entry, std::move(envelope));
}

void job_manager::answerAccepted(job_record &job)
{
    auto waiters = std::exchange(job.waiters, {});
    for (const auto &caller : waiters) {
        if (caller.wait) {
            job.waiters.push_back(caller);
        } else {
            answer(caller, pendingAnswer(job.id()));
        }
    }
}

void job_manager::run(job_record &job)
{
    m_ctx.jobs.setPhase(job, job_phase::running, m_ctx.now());
    answerAccepted(job);
    m_ctx.dispatch->enqueue(job);
}

} // namespace bamboohead::detail
