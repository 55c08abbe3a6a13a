#include "bamboohead/target_client.hpp"

#include "bamboohead/clock.hpp"
#include "bamboohead/detail/http/json_reader.hpp"

#include <httplib.h>
#include <tbb/concurrent_queue.h>

#include <algorithm>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace bamboohead {

namespace {

/// Time-out of connecting to the target. The target runs beside the agent, so a connection takes
/// well under 1 ms. When the target's backlog overflows, TCP retries only after 1 s; running the
/// task on another target is faster.
constexpr duration connectLimit = std::chrono::milliseconds{250};
/// Idle time after which a connection isn't reused. A server may close an idle connection while the
/// next request is in transit, and then it is unknown whether the task started. Servers commonly
/// close idle connections after 5 s or more.
constexpr duration reuseLimit = std::chrono::seconds{1};
constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;
constexpr const char *notStartedHeader = "X-Not-Started";

/// Connection of one thread to the target, kept between tasks.
struct connection
{
    std::string address;
    std::unique_ptr<httplib::Client> client;
    time_point lastUsed;
};

bool notConnected(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout ||
           error == httplib::Error::BindIPAddress;
}

task_end failure(const task_ref &ref, bool notStarted, std::string reason)
{
    task_end end;
    end.ref = ref;
    end.notStarted = notStarted;
    end.failed = !notStarted;
    end.result = std::move(reason);
    return end;
}

/// Converts the response of the target to the outcome of the task.
task_end toTaskEnd(const task_ref &ref, const httplib::Response &response, std::string body)
{
    if (response.status == statusUnavailable &&
        response.get_header_value(notStartedHeader) == "1") {
        return failure(ref, true, "the target rejected the task");
    }
    if (response.status != statusOk) {
        return failure(ref, false,
                       "the target responded with status " + std::to_string(response.status));
    }
    if (!detail::isUtf8(body)) {
        return failure(ref, false, "the result of the target is not valid UTF-8");
    }
    task_end end;
    end.ref = ref;
    end.result = std::move(body);
    return end;
}

/// HTTP request that runs a task. Whether the task may still start is checked immediately before
/// the body is written, because the target starts no task before it has the whole body. The result
/// is limited to maxResultBytes and must arrive by the time `limit`; both are checked only when
/// data of the body arrives. Connecting, writing and each read have the time-outs of the client in
/// addition.
class run_request
{
public:
    run_request(const run_task &task, time_point limit, const clock &clock)
        : m_payload{task.payload}
        , m_validUntil{task.validUntil}
        , m_limit{limit}
        , m_clock{clock}
    {
        m_request.method = "POST";
        m_request.path = "/v1/run";
        m_request.content_length_ = m_payload.size();
        m_request.content_provider_ = [this](std::size_t offset, std::size_t length,
                                             httplib::DataSink &sink) {
            m_expired = m_expired || m_clock.now() > m_validUntil;
            return !m_expired && sink.write(m_payload.data() + offset, length);
        };
        m_request.set_header("Content-Type", "text/plain");
        m_request.set_header("X-Job-Id", toText(task.ref.job));
        m_request.set_header("X-Task", std::to_string(task.ref.task));
        m_request.content_receiver = [this](const char *data, std::size_t size, std::uint64_t,
                                            std::uint64_t) { return appendBody(data, size); };
    }

    task_end send(const task_ref &ref, httplib::Client &client)
    {
        httplib::Response response;
        auto error = httplib::Error::Success;
        // Covers tasks without payload, whose request has no body.
        if (m_clock.now() > m_validUntil) {
            return expired(ref);
        }
        if (client.send(m_request, response, error)) {
            return toTaskEnd(ref, response, std::move(m_body));
        }
        if (m_expired) {
            return expired(ref);
        }
        if (m_resultTooLong) {
            return failure(ref, false, "the result of the target is too long");
        }
        return failure(ref, notConnected(error), "target: " + httplib::to_string(error));
    }

private:
    static task_end expired(const task_ref &ref)
    {
        return failure(ref, true, "the permission to start the task expired before it was sent");
    }

    bool appendBody(const char *data, std::size_t size)
    {
        m_resultTooLong = m_body.size() + size > maxResultBytes;
        if (m_resultTooLong || m_clock.now() > m_limit) {
            return false;
        }
        m_body.append(data, size);
        return true;
    }

    const std::string &m_payload;
    time_point m_validUntil;
    time_point m_limit;
    const clock &m_clock;
    httplib::Request m_request;
    std::string m_body;
    bool m_expired = false;
    bool m_resultTooLong = false;
};

} // namespace

class target_client::implementation
{
public:
    explicit implementation(end_handler handler)
        : m_handler{std::move(handler)}
    {}

    ~implementation()
    {
        for (std::size_t i = 0; i < m_threads.size(); ++i) {
            m_queue.push(std::nullopt);
        }
        for (auto &thread : m_threads) {
            thread.join();
        }
    }

    implementation(const implementation &) = delete;
    implementation &operator=(const implementation &) = delete;

    void setAddress(const std::string &address)
    {
        const std::lock_guard lock{m_mutex};
        m_address = address;
    }

    void ensureThreads(std::uint32_t slots)
    {
        const std::lock_guard lock{m_mutex};
        while (m_threads.size() < slots) {
            m_threads.emplace_back([this] { processQueue(); });
        }
    }

    void run(run_task task) { m_queue.push(std::move(task)); }

private:
    void processQueue()
    {
        connection cached;
        std::optional<run_task> task;
        while (true) {
            m_queue.pop(task);
            if (!task) {
                return;
            }
            const auto begin = m_clock.now();
            auto end = runTask(*task, cached);
            cached.lastUsed = m_clock.now();
            end.runTime = cached.lastUsed - begin;
            m_handler(std::move(end));
        }
    }

    task_end runTask(const run_task &task, connection &cached)
    {
        const auto address = currentAddress();
        if (address.empty()) {
            return failure(task.ref, true, "the address of the target is not known");
        }
        const auto now = m_clock.now();
        if (cached.client == nullptr || cached.address != address ||
            now - cached.lastUsed > reuseLimit) {
            cached.client = std::make_unique<httplib::Client>("http://" + address);
            cached.address = address;
        }
        const auto limit = std::max(task.timeout, duration{}) + targetGrace;
        cached.client->set_keep_alive(true);
        cached.client->set_tcp_nodelay(true);
        cached.client->set_connection_timeout(std::min(limit, connectLimit));
        cached.client->set_read_timeout(limit);
        cached.client->set_write_timeout(limit);
        return run_request{task, now + limit, m_clock}.send(task.ref, *cached.client);
    }

    std::string currentAddress()
    {
        const std::lock_guard lock{m_mutex};
        return m_address;
    }

    end_handler m_handler;
    steady_clock_source m_clock;
    std::mutex m_mutex;
    std::string m_address;
    tbb::concurrent_bounded_queue<std::optional<run_task>> m_queue;
    std::vector<std::thread> m_threads;
};

target_client::target_client(end_handler handler)
    : m_impl{std::make_unique<implementation>(std::move(handler))}
{}

target_client::~target_client() = default;

void target_client::setAddress(const std::string &address)
{
    m_impl->setAddress(address);
}

void target_client::ensureThreads(std::uint32_t slots)
{
    m_impl->ensureThreads(slots);
}

void target_client::run(run_task task)
{
    m_impl->run(std::move(task));
}

} // namespace bamboohead
