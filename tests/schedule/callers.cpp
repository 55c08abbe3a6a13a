#include "schedule/callers.hpp"

#include <algorithm>

namespace bamboohead::schedule {

namespace {

constexpr duration answerTimeout = 4s;
constexpr std::uint64_t maxTasks = 6;
/// An unknown outcome is asked for so many times before the caller takes it.
constexpr std::uint64_t unknownTries = 4;

} // namespace

callers::callers(fake_network &network, evidence &facts, const caller_options &options)
    : m_network{network}
    , m_evidence{facts}
    , m_options{options}
    , m_callers(options.jobs)
{
    network.onAnswer([this](const answer_caller &answer) { answered(answer); });
    network.onSession([this](const session_answer &answer) { opened(answer); });
    for (std::size_t index = 0; index < m_callers.size(); ++index) {
        m_callers[index].tasks = 1 + network.random().below(maxTasks);
        network.after(network.random().between(options.from, options.until),
                      [this, index] { open(index); });
    }
}

bool callers::allAnswered() const
{
    return std::ranges::all_of(m_callers, &caller::done);
}

void callers::checkStopped() const
{
    for (const auto &sent : m_requests) {
        if (!sent.answered && m_network.exits().contains(sent.taker)) {
            m_evidence.violated("R8", "a stopped entry left a request for " + toText(sent.job) +
                                              " unanswered");
        }
    }
}

std::string callers::anyEntry()
{
    const auto entries = m_network.endpoints(wire::ROLE_ENTRY);
    return entries[m_network.random().below(entries.size())];
}

duration callers::requestDelay()
{
    const bool late = m_options.lateRequests && m_network.random().percent(5);
    return m_network.random().between(1ms, late ? 30s : 3ms);
}

caller_request callers::add(std::size_t index)
{
    m_requests.push_back({index, m_callers[index].job ? m_callers[index].job->id : job_id{}});
    return caller_request{m_requests.size() - 1};
}

void callers::open(std::size_t index)
{
    auto &subject = m_callers[index];
    if (subject.job) {
        return;
    }
    if (m_shared && subject.tries == 0 && m_network.random().percent(50)) {
        m_requests.push_back({index, {}});
        opened({caller_request{m_requests.size() - 1}, *m_shared, 1s, error_kind::none});
        return;
    }
    ++subject.tries;
    const auto request = add(index);
    m_network.input(anyEntry(), requestDelay(),
                    [request](process &entry) { entry.entry->openSession(request); });
    m_network.after(answerTimeout, [this, index] { open(index); });
}

void callers::opened(const session_answer &answer)
{
    const auto index = m_requests.at(static_cast<std::uint64_t>(answer.request)).caller;
    auto &subject = m_callers[index];
    if (subject.job || answer.error != error_kind::none) {
        return; // refused: the timeout asks another entry
    }
    job_submission job;
    job.id = job_id{answer.session, ++m_lastNumber};
    job.team = "growers";
    job.service = "quote";
    job.deadline = m_options.deadline;
    job.idempotent = m_network.random().percent(50);
    for (std::size_t task = 0; task < subject.tasks; ++task) {
        job.payloads.push_back("payload " + std::to_string(task));
    }
    m_shared = answer.session;
    subject.job = job;
    subject.tries = 0;
    m_evidence.jobSubmitted(job.id, subject.tasks);
    m_submittedAt[job.id] = m_network.now();
    submit(index);
    if (m_network.random().percent(m_options.cancelPercent)) {
        m_network.after(m_network.random().between(0ms, 3s), [this, index] { cancel(index); });
    }
}

void callers::submit(std::size_t index)
{
    auto &subject = m_callers[index];
    const auto tries = ++subject.tries;
    const auto request = add(index);
    const auto entry = anyEntry();
    m_network.trace("caller submits " + toText(subject.job->id) + " to " + entry);
    m_network.input(entry, requestDelay(), [this, request, job = *subject.job](process &to) {
        m_requests[static_cast<std::uint64_t>(request)].taker = to.incarnation;
        to.entry->submit(request, job, true);
    });
    m_network.after(answerTimeout, [this, index, tries] { checkTimeout(index, tries); });
}

void callers::checkTimeout(std::size_t index, std::uint64_t tries)
{
    const auto &subject = m_callers[index];
    if (!subject.done && subject.tries == tries) {
        submit(index);
    }
}

void callers::cancel(std::size_t index)
{
    const auto request = add(index);
    m_network.input(anyEntry(), requestDelay(),
                    [request, id = m_callers[index].job->id](process &entry) {
                        entry.entry->cancel(request, id);
                    });
}

void callers::answered(const answer_caller &answer)
{
    auto &asked = m_requests.at(static_cast<std::uint64_t>(answer.request));
    asked.answered = true;
    auto &subject = m_callers[asked.caller];
    m_network.trace("caller gets " + toText(asked.job) + " " +
                    std::string{toText(answer.answer.outcome)} + " " +
                    std::string{errorInfo(answer.answer.error).name});
    m_evidence.answered(asked.job, answer.answer);
    if (answer.answer.outcome == job_outcome::pending) {
        return;
    }
    const bool unknown = answer.answer.error == error_kind::outcome_unknown;
    if (unknown && !subject.done && subject.tries < unknownTries) {
        m_network.after(1s, [this, index = asked.caller, tries = subject.tries] {
            checkTimeout(index, tries);
        });
        return;
    }
    subject.done = true;
    maybeCopy(asked.caller);
}

void callers::maybeCopy(std::size_t index)
{
    auto &subject = m_callers[index];
    if (subject.copied || !m_network.random().percent(m_options.lateCopyPercent)) {
        return;
    }
    subject.copied = true;
    m_network.after(m_network.random().between(0ms, 10s), [this, index] { submit(index); });
}

} // namespace bamboohead::schedule
