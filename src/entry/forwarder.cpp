#include "bamboohead/detail/entry/forwarder.hpp"

#include "bamboohead/detail/entry/job_manager.hpp"

namespace bamboohead::detail {

namespace {

pending_forward makeForward(const waiter &caller, job_verb verb, const job_id &id)
{
    pending_forward forward;
    forward.caller = caller;
    forward.verb = verb;
    forward.id = id;
    return forward;
}

} // namespace

void forwarder::submit(const waiter &caller, job_submission submission)
{
    auto forward = makeForward(caller, job_verb::submit, submission.id);
    forward.submission = std::move(submission);
    start(std::move(forward));
}

void forwarder::query(const waiter &caller, const job_id &id)
{
    start(makeForward(caller, job_verb::query, id));
}

void forwarder::cancel(const waiter &caller, const job_id &id)
{
    start(makeForward(caller, job_verb::cancel, id));
}

bool forwarder::ownsHome(const job_home &home)
{
    if (home.primary == m_ctx.self()) {
        return !m_ctx.homes.fenced.contains(home);
    }
    return home.backup == m_ctx.self() && m_ctx.homes.takenOver(home);
}

incarnation_id forwarder::receiverOf(const job_home &home) const
{
    if (home.primary != m_ctx.self() && m_ctx.alive(home.primary)) {
        return home.primary;
    }
    const bool backupUsable = home.backup != m_ctx.self() && m_ctx.alive(home.backup);
    return backupUsable ? home.backup : incarnation_id::none;
}

void forwarder::start(pending_forward forward)
{
    const auto *job = m_ctx.jobs.find(forward.id);
    // A fenced primary still has the answers of jobs that ended before the takeover.
    const bool answerHeld = job != nullptr && job->phase == job_phase::ended;
    if (ownsHome(forward.id.session.home) || answerHeld) {
        serve(forward);
        return;
    }
    const auto [position, added] = m_byCaller.try_emplace(forward.caller, m_lastRequest + 1);
    if (!added) {
        return;
    }
    forward.request = ++m_lastRequest;
    auto &stored = m_pending.emplace(forward.request, std::move(forward)).first->second;
    route(stored);
}

void forwarder::serve(pending_forward &forward)
{
    switch (forward.verb) {
    case job_verb::submit:
        m_ctx.manager->submit(forward.caller, std::move(forward.submission));
        break;
    case job_verb::query:
        m_ctx.manager->query(forward.caller, forward.id);
        break;
    case job_verb::cancel:
        m_ctx.manager->cancel(forward.caller, forward.id);
        break;
    }
}

void forwarder::route(pending_forward &forward)
{
    const auto now = m_ctx.now();
    forward.sent = now;
    forward.sentHook.unlink();
    m_sent.push_back(forward);
    const auto receiver = receiverOf(forward.id.session.home);
    if (receiver != incarnation_id::none) {
        forward.unreachableSince.reset();
        send(forward, receiver);
        return;
    }
    if (!forward.unreachableSince) {
        forward.unreachableSince = now;
    } else if (now - *forward.unreachableSince >= homeUnreachableLimit) {
        finish(forward.request, errorAnswer(forward.id, error_kind::outcome_unknown));
    }
}

void forwarder::send(pending_forward &forward, incarnation_id receiver)
{
    const bool sendSubmission = forward.verb == job_verb::submit && !forward.accepted;
    wire::Envelope envelope;
    auto &message = *envelope.mutable_job_forward();
    message.set_request(forward.request);
    const bool asQuery = forward.verb == job_verb::submit && forward.accepted;
    message.set_verb(static_cast<std::uint32_t>(asQuery ? job_verb::query : forward.verb));
    toWire(forward.id, *message.mutable_id());
    message.set_wait(forward.caller.wait);
    if (sendSubmission) {
        toWire(forward.submission, *message.mutable_job());
    }
    m_ctx.out.send(receiver, std::move(envelope));
}

void forwarder::receive(incarnation_id sender, std::optional<duration> age,
                        const wire::JobForward &message)
{
    const waiter caller{sender, message.request(), message.wait()};
    const auto verb = static_cast<job_verb>(message.verb());
    const auto id = fromWire(message.id());
    const bool fresh = age && *age <= forwardAgeLimit;
    if (verb == job_verb::submit && fresh && withinLimits(message.job())) {
        auto submission = fromWire(message.job());
        submission.id = id;
        submit(caller, std::move(submission));
    } else if (verb == job_verb::query) {
        query(caller, id);
    } else if (verb == job_verb::cancel) {
        cancel(caller, id);
    } else {
        ++m_ctx.counters.messagesDropped;
    }
}

void forwarder::receive(const wire::JobReply &reply)
{
    const auto found = m_pending.find(reply.request());
    if (found == m_pending.end()) {
        return;
    }
    auto &forward = found->second;
    auto answer = fromWire(reply.answer());
    const bool accepted = answer.outcome == job_outcome::pending;
    if (accepted && (forward.caller.wait || forward.verb == job_verb::cancel)) {
        forward.accepted = true;
        return;
    }
    finish(forward.request, std::move(answer));
}

void forwarder::finish(std::uint64_t request, job_answer answer)
{
    const auto found = m_pending.find(request);
    const auto caller = found->second.caller;
    m_byCaller.erase(caller);
    m_pending.erase(found);
    m_ctx.manager->answer(caller, std::move(answer));
}

void forwarder::callerDisconnected(caller_request request)
{
    for (const bool wait : {true, false}) {
        const auto found = m_byCaller.find(
                waiter{incarnation_id::none, static_cast<std::uint64_t>(request), wait});
        if (found != m_byCaller.end()) {
            m_pending.erase(found->second);
            m_byCaller.erase(found);
        }
    }
}

void forwarder::homeTakenOver(const job_home &home)
{
    std::vector<std::uint64_t> requests;
    for (const auto &[request, forward] : m_pending) {
        if (forward.id.session.home == home) {
            requests.push_back(request);
        }
    }
    for (const auto request : requests) {
        auto node = m_pending.extract(request);
        m_byCaller.erase(node.mapped().caller);
        serve(node.mapped());
    }
}

void forwarder::failAll()
{
    while (!m_pending.empty()) {
        const auto &forward = m_pending.begin()->second;
        finish(forward.request, errorAnswer(forward.id, error_kind::outcome_unknown));
    }
}

void forwarder::tick()
{
    while (!m_sent.empty() && m_ctx.now() - m_sent.front().sent >= forwardResendInterval) {
        route(m_sent.front());
    }
}

} // namespace bamboohead::detail
