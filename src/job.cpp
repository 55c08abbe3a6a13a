#include "bamboohead/job.hpp"

#include <algorithm>
#include <array>

#include <xxhash.h>

namespace bamboohead {

namespace {

constexpr std::array<std::string_view, 4> outcomeNames{"pending", "complete", "failed", "refused"};

/// Appends a field with its length, so that different fields never give the same text.
void appendField(std::string &text, std::string_view field)
{
    text += std::to_string(field.size());
    text += ':';
    text += field;
}

} // namespace

std::string_view toText(job_outcome outcome) noexcept
{
    return outcomeNames.at(static_cast<std::size_t>(outcome));
}

content_hash hashContent(const job_submission &job)
{
    std::string text;
    appendField(text, job.team);
    appendField(text, job.service);
    appendField(text, std::to_string(job.deadline.count()));
    appendField(text, job.idempotent ? "1" : "0");
    for (const auto &payload : job.payloads) {
        appendField(text, payload);
    }
    const auto hash = XXH3_128bits(text.data(), text.size());
    return content_hash{hash.low64, hash.high64};
}

job_answer errorAnswer(const job_id &id, error_kind kind)
{
    const auto &row = errorInfo(kind);
    job_answer answer;
    answer.id = id;
    answer.error = kind;
    answer.message = row.message;
    answer.mayHaveRun = row.evidence == run_evidence::may_have_run;
    answer.outcome = answer.mayHaveRun ? job_outcome::failed : job_outcome::refused;
    return answer;
}

bool withinLimits(const wire::JobSubmission &job)
{
    const auto tasks = static_cast<std::size_t>(job.tasks_size());
    return tasks >= 1 && tasks <= maxTasksPerJob &&
           std::ranges::all_of(job.tasks(), [](const wire::TaskSpec &task) {
               return task.payload().size() <= maxPayloadBytes;
           });
}

void toWire(const job_submission &job, wire::JobSubmission &out)
{
    toWire(job.id, *out.mutable_id());
    out.set_team(job.team);
    out.set_service(job.service);
    out.set_deadline_us(static_cast<std::uint64_t>(job.deadline.count()));
    out.set_idempotent(job.idempotent);
    out.set_hash_low(job.hash.low);
    out.set_hash_high(job.hash.high);
    for (const auto &payload : job.payloads) {
        out.add_tasks()->set_payload(payload);
    }
}

job_submission fromWire(const wire::JobSubmission &job)
{
    job_submission result;
    result.id = fromWire(job.id());
    result.team = job.team();
    result.service = job.service();
    result.deadline = duration{static_cast<duration::rep>(job.deadline_us())};
    result.idempotent = job.idempotent();
    result.hash = content_hash{job.hash_low(), job.hash_high()};
    result.payloads.reserve(static_cast<std::size_t>(job.tasks_size()));
    for (const auto &task : job.tasks()) {
        result.payloads.push_back(task.payload());
    }
    return result;
}

void toWire(const job_answer &answer, wire::JobAnswer &out)
{
    toWire(answer.id, *out.mutable_id());
    out.set_outcome(static_cast<std::uint32_t>(answer.outcome));
    out.set_error(toWire(answer.error));
    out.set_message(answer.message);
    out.set_may_have_run(answer.mayHaveRun);
    for (const auto &result : answer.results) {
        out.add_results(result);
    }
}

job_answer fromWire(const wire::JobAnswer &answer)
{
    job_answer result;
    result.id = fromWire(answer.id());
    const auto known = answer.outcome() < outcomeNames.size();
    result.outcome = known ? static_cast<job_outcome>(answer.outcome()) : job_outcome::failed;
    result.error = errorFromWire(answer.error());
    result.message = answer.message();
    result.mayHaveRun = answer.may_have_run();
    if (result.outcome == job_outcome::refused && result.mayHaveRun) {
        result.outcome = job_outcome::failed;
    }
    if (result.outcome == job_outcome::complete) {
        result.results.assign(answer.results().begin(), answer.results().end());
    }
    return result;
}

} // namespace bamboohead
