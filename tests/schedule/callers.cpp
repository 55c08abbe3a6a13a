#include "schedule/callers.hpp"

#include <algorithm>

namespace bamboohead::schedule {

namespace {

/// Time after which a caller repeats a request without an answer.
constexpr duration answerTimeout = 4s;
constexpr std::uint64_t maxTasks = 6;
/// A caller that is told that the outcome is unknown submits its job again, up to this number of
/// submissions; after that it accepts the unknown outcome.
constexpr std::uint64_t maxUnknownAttempts = 4;

} // namespace

callers::callers(fake_network &network, invariant_checker &checker, const caller_options &options)
    : m_network{network}
    , m_checker{checker}
    , m_options{options}
    , m_callers(options.jobs)
{
    network.onAnswer([this](const answer_caller &answer) { answered(answer); });
    network.onSession([this](const answer_session_request &answer) { handleSession(answer); });
    for (std::size_t index = 0; index < m_callers.size(); ++index) {
        m_callers[index].tasks = 1 + network.random().below(maxTasks);
        network.after(network.random().between(options.from, options.until),
                      [this, index] { requestSession(index); });
    }
}

bool callers::allAnswered() const
{
    return std::ranges::all_of(m_callers, &caller::done);
}

void callers::checkStoppedEntries() const
{
    for (const auto &sent : m_requests) {
        if (!sent.answered && m_network.exits().contains(sent.receivingEntry)) {
            m_checker.reportViolation(
                    "R8", "an entry completed its shutdown without answering a request for " +
                                  toText(sent.job) + " that it had received");
        }
    }
}

std::string callers::randomEntry()
{
    const auto entries = m_network.endpoints(wire::ROLE_ENTRY);
    return entries[m_network.random().below(entries.size())];
}

duration callers::requestDelay()
{
    const bool late = m_options.lateRequests && m_network.random().percent(5);
    return m_network.random().between(1ms, late ? 30s : 3ms);
}

caller_request callers::addRequest(std::size_t index)
{
    m_requests.push_back({index, m_callers[index].job ? m_callers[index].job->id : job_id{}});
    return caller_request{m_requests.size() - 1};
}

void callers::requestSession(std::size_t index)
{
    auto &subject = m_callers[index];
    if (subject.job) {
        return;
    }
    if (m_sharedSession && subject.attempts == 0 && m_network.random().percent(50)) {
        m_requests.push_back({index, {}});
        handleSession(
                {caller_request{m_requests.size() - 1}, *m_sharedSession, 1s, error_kind::none});
        return;
    }
    ++subject.attempts;
    const auto request = addRequest(index);
    // Drawn in separate statements: the order of evaluation of arguments is unspecified.
    const auto delay = requestDelay();
    const auto entry = randomEntry();
    m_network.input(entry, delay, [request](process &to) { to.entry->openSession(request); });
    m_network.after(answerTimeout, [this, index] { requestSession(index); });
}

void callers::handleSession(const answer_session_request &answer)
{
    const auto index = m_requests.at(static_cast<std::uint64_t>(answer.request)).caller;
    auto &subject = m_callers[index];
    if (subject.job || answer.error != error_kind::none) {
        return; // refused: the next request follows after answerTimeout
    }
    job_submission job;
    job.id = job_id{answer.session, ++m_lastJobNumber};
    job.team = "growers";
    job.service = "quote";
    job.deadline = m_options.deadline;
    job.idempotent = m_network.random().percent(50);
    for (std::size_t task = 0; task < subject.tasks; ++task) {
        job.payloads.push_back("payload " + std::to_string(task));
    }
    m_sharedSession = answer.session;
    subject.job = job;
    subject.attempts = 0;
    m_checker.jobSubmitted(job.id, subject.tasks);
    m_submittedAt[job.id] = m_network.now();
    submit(index);
    if (m_network.random().percent(m_options.cancelPercent)) {
        m_network.after(m_network.random().between(0ms, 3s), [this, index] { cancel(index); });
    }
}

void callers::submit(std::size_t index)
{
    auto &subject = m_callers[index];
    const auto attempts = ++subject.attempts;
    const auto request = addRequest(index);
    const auto entry = randomEntry();
    m_network.trace("caller submits " + toText(subject.job->id) + " to " + entry);
    m_network.input(entry, requestDelay(), [this, request, job = *subject.job](process &to) {
        m_requests[static_cast<std::uint64_t>(request)].receivingEntry = to.incarnation;
        to.entry->submit(request, job, true);
    });
    m_network.after(answerTimeout,
                    [this, index, attempts] { resubmitIfUnanswered(index, attempts); });
}

void callers::resubmitIfUnanswered(std::size_t index, std::uint64_t attempts)
{
    const auto &subject = m_callers[index];
    if (!subject.done && subject.attempts == attempts) {
        submit(index);
    }
}

void callers::cancel(std::size_t index)
{
    const auto request = addRequest(index);
    const auto delay = requestDelay();
    const auto entry = randomEntry();
    m_network.input(entry, delay, [request, id = m_callers[index].job->id](process &to) {
        to.entry->cancel(request, id);
    });
}

void callers::answered(const answer_caller &answer)
{
    auto &requested = m_requests.at(static_cast<std::uint64_t>(answer.request));
    requested.answered = true;
    auto &subject = m_callers[requested.caller];
    m_network.trace("caller receives " + toText(requested.job) + " " +
                    std::string{toText(answer.answer.outcome)} + " " +
                    std::string{errorInfo(answer.answer.error).name});
    m_checker.answered(requested.job, answer.answer);
    if (answer.answer.outcome == job_outcome::pending) {
        return;
    }
    const bool unknown = answer.answer.error == error_kind::outcome_unknown;
    if (unknown && !subject.done && subject.attempts < maxUnknownAttempts) {
        m_network.after(1s, [this, index = requested.caller, attempts = subject.attempts] {
            resubmitIfUnanswered(index, attempts);
        });
        return;
    }
    subject.done = true;
    maybeResubmit(requested.caller);
}

void callers::maybeResubmit(std::size_t index)
{
    auto &subject = m_callers[index];
    if (subject.resubmitted || !m_network.random().percent(m_options.resubmitPercent)) {
        return;
    }
    subject.resubmitted = true;
    m_network.after(m_network.random().between(0ms, 10s), [this, index] { submit(index); });
}

} // namespace bamboohead::schedule
