#include "load_client.hpp"

#include "bamboohead/types.hpp"

#include <boost/json.hpp>
#include <httplib.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <thread>

namespace bamboohead {

namespace json = boost::json;

using detail::job_measurement;
using detail::job_result;
using steady = std::chrono::steady_clock;

namespace {

constexpr std::chrono::seconds connectLimit{1};
constexpr std::chrono::seconds sessionLimit{5};
/// A job is resubmitted until this long after its deadline.
constexpr std::chrono::seconds resubmitGrace{10};
constexpr std::chrono::milliseconds retryInterval{200};
/// Time for which an entry receives no new jobs after a failed request.
constexpr std::chrono::seconds avoidanceTime{2};

/// Runs each function immediately, on an idle thread or on a new one when none is idle.
class thread_group
{
public:
    ~thread_group()
    {
        {
            const std::lock_guard lock{m_mutex};
            m_stopping = true;
        }
        m_changed.notify_all();
        for (auto &thread : m_threads) {
            thread.join();
        }
    }

    void run(std::function<void()> function)
    {
        const std::lock_guard lock{m_mutex};
        m_queue.push_back(std::move(function));
        if (m_idle < m_queue.size()) {
            m_threads.emplace_back([this] { processQueue(); });
        } else {
            m_changed.notify_one();
        }
    }

private:
    void processQueue()
    {
        std::unique_lock lock{m_mutex};
        while (true) {
            ++m_idle;
            m_changed.wait(lock, [this] { return m_stopping || !m_queue.empty(); });
            --m_idle;
            if (m_queue.empty()) {
                return;
            }
            const auto function = std::move(m_queue.front());
            m_queue.pop_front();
            lock.unlock();
            function();
            lock.lock();
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::function<void()>> m_queue;
    std::size_t m_idle = 0;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

/// Session and idle connections of one entry.
class entry_client
{
public:
    explicit entry_client(std::string address)
        : m_address{std::move(address)}
    {}

    bool openSession()
    {
        const auto client = acquire();
        client->set_read_timeout(sessionLimit);
        const auto response = client->Post("/v1/sessions");
        json::error_code error;
        const auto body = response ? json::parse(response->body, error) : json::value{};
        const auto *const object = error ? nullptr : body.if_object();
        const auto *const text = object != nullptr ? object->if_contains("session") : nullptr;
        if (text != nullptr && text->is_string()) {
            m_session = parseSessionId(text->get_string().c_str());
        }
        return m_session.has_value();
    }

    [[nodiscard]] bool hasSession() const { return m_session.has_value(); }

    [[nodiscard]] bool usable() const { return m_session && steady::now() >= m_avoidUntil.load(); }

    void markFailed() { m_avoidUntil = steady::now() + avoidanceTime; }

    std::string nextJobId() { return toText(job_id{*m_session, ++m_lastJob}); }

    std::unique_ptr<httplib::Client> acquire()
    {
        {
            const std::lock_guard lock{m_mutex};
            if (!m_clients.empty()) {
                auto client = std::move(m_clients.back());
                m_clients.pop_back();
                return client;
            }
        }
        auto client = std::make_unique<httplib::Client>("http://" + m_address);
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        client->set_connection_timeout(connectLimit);
        return client;
    }

    void release(std::unique_ptr<httplib::Client> client)
    {
        const std::lock_guard lock{m_mutex};
        m_clients.push_back(std::move(client));
    }

private:
    std::string m_address;
    std::optional<session_id> m_session;
    std::atomic<std::uint64_t> m_lastJob = 0;
    std::atomic<steady::time_point> m_avoidUntil{steady::time_point{}};
    std::mutex m_mutex;
    std::vector<std::unique_ptr<httplib::Client>> m_clients;
};

std::string submissionBody(const detail::job_class &jobClass, const detail::planned_job &job,
                           const std::string &id)
{
    json::array tasks;
    for (const auto runTime : job.runTimes) {
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(runTime).count();
        tasks.push_back(json::object{{"payload", "run_ms=" + std::to_string(ms)}});
    }
    const auto deadline = std::chrono::duration_cast<std::chrono::milliseconds>(jobClass.deadline);
    return json::serialize(json::object{{"id", id},
                                        {"team", jobClass.team},
                                        {"service", jobClass.service},
                                        {"deadline_ms", deadline.count()},
                                        {"idempotent", jobClass.idempotent},
                                        {"tasks", std::move(tasks)}});
}

/// Parses the body of an answer. An answer with outcome `complete` must have one result for each
/// task; otherwise the job counts as failed.
job_measurement parseAnswer(const std::string &body, std::size_t tasks)
{
    job_measurement measurement;
    measurement.kind = "malformed_answer";
    json::error_code error;
    const auto value = json::parse(body, error);
    const auto *const answer = error ? nullptr : value.if_object();
    const auto *const text = answer != nullptr ? answer->if_contains("outcome") : nullptr;
    if (text != nullptr && *text == "complete") {
        const auto *const results = answer->if_contains("results");
        const bool allResults =
                results != nullptr && results->is_array() && results->get_array().size() == tasks;
        measurement.result = allResults ? job_result::complete : job_result::failed;
        measurement.kind = allResults ? "" : "partial_answer";
        return measurement;
    }
    const auto *const cause = answer != nullptr ? answer->if_contains("error") : nullptr;
    const auto *const object = cause != nullptr ? cause->if_object() : nullptr;
    const auto *const kind = object != nullptr ? object->if_contains("kind") : nullptr;
    if (kind != nullptr && kind->is_string()) {
        measurement.kind = kind->get_string();
    }
    const bool refused = text != nullptr && *text == "refused";
    measurement.result = refused ? job_result::refused : job_result::failed;
    return measurement;
}

} // namespace

class load_client::implementation
{
public:
    explicit implementation(const std::vector<std::string> &entries)
    {
        bool hasAnySession = false;
        for (const auto &address : entries) {
            m_entries.push_back(std::make_unique<entry_client>(address));
            hasAnySession = m_entries.back()->openSession() || hasAnySession;
        }
        if (!hasAnySession) {
            throw std::runtime_error{"no entry opened a session"};
        }
    }

    job_measurement submit(const detail::job_class &jobClass, const detail::planned_job &job,
                           std::size_t number, steady::time_point start)
    {
        const auto sent = steady::now() - start;
        const auto first = chooseEntry(number);
        const auto body = submissionBody(jobClass, job, m_entries[first]->nextJobId());
        const auto limit = steady::now() + jobClass.deadline + resubmitGrace;
        job_measurement measurement;
        measurement.kind = "no_answer";
        for (auto index = first; steady::now() < limit; index = (index + 1) % m_entries.size()) {
            if (const auto answer = post(*m_entries[index], body, limit)) {
                measurement = parseAnswer(*answer, job.runTimes.size());
                break;
            }
            std::this_thread::sleep_for(retryInterval);
        }
        measurement.sent = std::chrono::duration_cast<duration>(sent);
        measurement.answered = std::chrono::duration_cast<duration>(steady::now() - start);
        return measurement;
    }

private:
    std::size_t chooseEntry(std::size_t number)
    {
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            const auto index = (number + i) % m_entries.size();
            if (m_entries[index]->usable()) {
                return index;
            }
        }
        // Requests to all entries failed recently: use any entry with a session.
        auto index = number % m_entries.size();
        while (!m_entries[index]->hasSession()) {
            index = (index + 1) % m_entries.size();
        }
        return index;
    }

    static std::optional<std::string> post(entry_client &entry, const std::string &body,
                                           steady::time_point limit)
    {
        auto client = entry.acquire();
        client->set_read_timeout(
                std::chrono::ceil<std::chrono::milliseconds>(limit - steady::now()));
        const auto response = client->Post("/v1/jobs", body, "application/json");
        if (!response) {
            entry.markFailed();
            return std::nullopt;
        }
        entry.release(std::move(client));
        return response->body;
    }

    std::vector<std::unique_ptr<entry_client>> m_entries;
};

load_client::load_client(std::vector<std::string> entries)
    : m_impl{std::make_unique<implementation>(entries)}
{}

load_client::~load_client() = default;

std::vector<job_measurement> load_client::run(const detail::job_mix &mix,
                                              const std::vector<detail::planned_job> &jobs,
                                              steady::time_point start)
{
    std::vector<job_measurement> measurements(jobs.size());
    {
        thread_group threads; // the destructor waits for all answers
        for (std::size_t i = 0; i < jobs.size(); ++i) {
            std::this_thread::sleep_until(start + jobs[i].at);
            threads.run([this, i, start, &mix, &jobs, &measurements] {
                measurements[i] =
                        m_impl->submit(mix.classes[jobs[i].classIndex], jobs[i], i, start);
            });
        }
    }
    return measurements;
}

} // namespace bamboohead
