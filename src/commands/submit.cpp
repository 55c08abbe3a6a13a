#include "bamboohead/commands.hpp"
#include "bamboohead/detail/http/job_json.hpp"
#include "bamboohead/types.hpp"
#include "command_line.hpp"

#include <boost/json.hpp>
#include <httplib.h>

#include <algorithm>
#include <iostream>
#include <optional>
#include <stdexcept>
#include <thread>

namespace bamboohead {

namespace json = boost::json;

namespace {

using steady = std::chrono::steady_clock;

/// A job is resubmitted until this long after its deadline. Also the time-out of reading and of
/// writing when a session is opened.
constexpr std::chrono::seconds resubmitGrace{10};
/// Deadline that is assumed for jobs without their own. The default of the service is not known
/// here.
constexpr std::chrono::seconds assumedDeadline{60};
constexpr std::chrono::milliseconds retryInterval{200};
constexpr std::chrono::seconds connectLimit{2};
constexpr int statusOk = 200;

/// Content of a job file.
struct job_file
{
    json::object body;
    std::chrono::milliseconds deadline{assumedDeadline};
};

job_file readJob(const std::string &name)
{
    json::parse_options options;
    options.allow_comments = true;
    json::error_code error;
    auto value = json::parse(readFile(name), error, {}, options);
    if (error || !value.is_object()) {
        throw std::runtime_error{name + ": not a JSON object"};
    }
    job_file job{std::move(value.get_object())};
    const auto *const deadline = job.body.if_contains("deadline_ms");
    if (deadline != nullptr && deadline->is_int64()) {
        const auto stated = std::chrono::milliseconds{deadline->get_int64()};
        job.deadline = std::clamp(stated, std::chrono::milliseconds{1}, detail::maxDeadline);
    }
    return job;
}

httplib::Client makeClient(const std::string &address, std::chrono::milliseconds limit)
{
    httplib::Client client{"http://" + address};
    client.set_connection_timeout(connectLimit);
    client.set_read_timeout(limit);
    client.set_write_timeout(limit);
    return client;
}

/// Opens a session, in which job ids are numbered, at the first entry that responds with one.
session_id openSession(const std::vector<std::string> &entries)
{
    std::string reason;
    for (const auto &address : entries) {
        auto client = makeClient(address, resubmitGrace);
        const auto response = client.Post("/v1/sessions");
        if (!response) {
            reason = address + ": " + httplib::to_string(response.error());
            continue;
        }
        json::error_code error;
        const auto body = json::parse(response->body, error);
        const auto *const object = body.if_object();
        const auto *const text = object != nullptr ? object->if_contains("session") : nullptr;
        if (response->status == statusOk && text != nullptr && text->is_string()) {
            if (const auto session = parseSessionId(text->get_string().c_str())) {
                return *session;
            }
        }
        reason = address + ": status " + std::to_string(response->status) + " " + response->body;
    }
    throw std::runtime_error{"no entry opened a session, so nothing was run: " + reason};
}

/// Submits a job with the same id to the entries in turn until one responds.
/// @return The answer, or nothing when the time limit has passed.
std::optional<std::string> submitUntil(const std::vector<std::string> &entries,
                                       const std::string &body, steady::time_point limit)
{
    for (std::size_t i = 0; steady::now() < limit; ++i) {
        const auto &address = entries[i % entries.size()];
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(limit - steady::now());
        auto client = makeClient(address, left);
        const auto response = client.Post("/v1/jobs", body, "application/json");
        if (response) {
            return response->body;
        }
        std::cerr << "entry=" << address << " error=\"" << httplib::to_string(response.error())
                  << "\" resubmitting=true\n";
        std::this_thread::sleep_for(retryInterval);
    }
    return std::nullopt;
}

/// Derives the exit_code from the body of an answer. A body without an outcome gives exit_unknown,
/// and the outcome pending gives exit_failed.
int exitCodeOf(const std::string &body)
{
    json::error_code error;
    const auto value = json::parse(body, error);
    const auto *const answer = value.if_object();
    const auto *const outcome = answer != nullptr ? answer->if_contains("outcome") : nullptr;
    if (outcome == nullptr) {
        return exit_unknown;
    }
    if (*outcome == "complete") {
        return exit_ok;
    }
    const auto *const cause = answer->if_contains("error");
    const auto *const object = cause != nullptr ? cause->if_object() : nullptr;
    const auto *const kind = object != nullptr ? object->if_contains("kind") : nullptr;
    if (kind != nullptr && *kind == "outcome_unknown") {
        return exit_unknown;
    }
    if (kind != nullptr && *kind == "content_mismatch") {
        return exit_conflict;
    }
    return *outcome == "refused" ? exit_refused : exit_failed;
}

int submitFile(const std::vector<std::string> &entries, const std::string &file)
{
    auto job = readJob(file);
    session_id session;
    try {
        session = openSession(entries);
    } catch (const std::runtime_error &fault) {
        std::cerr << "bamboohead submit: " << fault.what() << "\n";
        return exit_refused;
    }
    const job_id id{session, 1};
    job.body["id"] = toText(id);
    const auto limit = steady::now() + job.deadline + resubmitGrace;
    const auto answer =
            submitUntil(entries, json::serialize(job.body), limit)
                    .value_or(detail::toJson(errorAnswer(id, error_kind::outcome_unknown)));
    std::cout << answer << "\n";
    return exitCodeOf(answer);
}

} // namespace

int submitCommand(int argc, char **argv)
{
    return runCommand(
            argc, argv, "Submits a job and prints its answer.",
            [](TCLAP::CmdLine &line, int count, char **values) {
                TCLAP::ValueArg<std::string> entry{
                        "",   "entry", "HTTP addresses of entries, tried in turn.",
                        true, "",      "HOST:PORT[,HOST:PORT]",
                        line};
                TCLAP::ValueArg<std::string> job{
                        "",   "job", "JSON file with the body of the submission, without its id.",
                        true, "",    "FILE",
                        line};
                line.parse(count, values);
                return submitFile(parseAddresses(entry.getValue()), job.getValue());
            });
}

} // namespace bamboohead
