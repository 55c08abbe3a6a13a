#include "target_server.hpp"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>

namespace standins {

namespace {

/// Threads in addition to the slots, so that tasks in excess of the slots run too and are seen in
/// mostRunning().
constexpr std::size_t spareThreads = 32;
constexpr int keepAliveRequests = 1'000'000;
constexpr int keepAliveSeconds = 5;
constexpr int notStartedStatus = 503;
constexpr int failedStatus = 500;
constexpr std::string_view failureMarker = "fail=1"; ///< a task whose payload contains it fails
constexpr std::chrono::seconds announceInterval{1};
constexpr std::chrono::milliseconds announceTimeout{500};
constexpr std::chrono::milliseconds startPollInterval{1};
/// Interval at which stop() checks whether tasks are still running. The server keeps responding for
/// at least this long, since the agent may still send tasks that it assigned before it received the
/// announcement that the target leaves.
constexpr std::chrono::milliseconds drainInterval{300};
constexpr std::chrono::seconds drainTimeout{30}; ///< maximum wait for the running tasks

} // namespace

std::chrono::milliseconds statedRunTime(const std::string &payload)
{
    constexpr std::string_view key = "run_ms=";
    const auto at = payload.find(key);
    std::int64_t value = -1;
    if (at != std::string::npos) {
        std::from_chars(payload.data() + at + key.size(), payload.data() + payload.size(), value);
    }
    return std::chrono::milliseconds{value};
}

target_server::target_server(target_options options, target_behaviour behaviour, journal &starts)
    : m_options{std::move(options)}
    , m_journal{starts}
    , m_behaviour{behaviour}
    , m_random{m_options.seed}
{
    m_server.new_task_queue = [this] {
        return new httplib::ThreadPool(m_options.slots + spareThreads);
    };
    m_server.set_tcp_nodelay(true);
    m_server.set_keep_alive_max_count(keepAliveRequests);
    m_server.set_keep_alive_timeout(keepAliveSeconds);
    m_server.Post("/v1/run",
                  [this](const auto &request, auto &response) { run(request, response); });
}

target_server::~target_server()
{
    stop();
}

int target_server::start()
{
    if (m_options.port == 0) {
        m_options.port = std::max(0, m_server.bind_to_any_port("127.0.0.1"));
    } else if (!m_server.bind_to_port("127.0.0.1", m_options.port)) {
        return 0;
    }
    m_serverThread = std::thread{[this] { m_server.listen_after_bind(); }};
    // Server::stop() has no effect until the server is running.
    while (!m_server.is_running()) {
        std::this_thread::sleep_for(startPollInterval);
    }
    m_announceThread = std::thread{[this] { announceLoop(); }};
    return m_options.port;
}

void target_server::stop()
{
    if (!m_serverThread.joinable()) {
        return;
    }
    {
        const std::lock_guard lock{m_mutex};
        m_leaving = true;
    }
    m_changed.notify_all();
    m_announceThread.join();
    const auto limit = std::chrono::steady_clock::now() + drainTimeout;
    do {
        std::this_thread::sleep_for(drainInterval);
    } while (m_running > 0 && std::chrono::steady_clock::now() < limit);
    m_server.stop();
    m_serverThread.join();
}

void target_server::setBehaviour(const target_behaviour &behaviour)
{
    const std::lock_guard lock{m_mutex};
    m_behaviour = behaviour;
}

target_behaviour target_server::behaviour()
{
    const std::lock_guard lock{m_mutex};
    return m_behaviour;
}

void target_server::run(const httplib::Request &request, httplib::Response &response)
{
    const auto current = behaviour();
    bool refused = current.refuseAll;
    {
        const std::lock_guard lock{m_mutex};
        refused = refused || m_leaving;
        if (!refused) {
            const auto running = ++m_running;
            m_mostRunning = std::max(m_mostRunning.load(), running);
        }
    }
    if (refused) {
        response.status = notStartedStatus;
        response.set_header("X-Not-Started", "1");
        return;
    }
    m_journal.recordStart(request.get_header_value("X-Job-Id"), request.get_header_value("X-Task"),
                          m_options.port);
    std::this_thread::sleep_for(runTime(request.body));
    --m_running;
    if (current.failAll || request.body.find(failureMarker) != std::string::npos) {
        response.status = failedStatus;
        return;
    }
    response.set_content(current.echo ? request.body : "ok", "text/plain");
}

std::chrono::microseconds target_server::runTime(const std::string &payload)
{
    const std::lock_guard lock{m_mutex};
    auto time = std::chrono::microseconds{statedRunTime(payload)};
    if (time < std::chrono::microseconds::zero()) {
        std::uniform_int_distribution<std::int64_t> draw{
                std::chrono::microseconds{m_behaviour.shortestRun}.count(),
                std::chrono::microseconds{m_behaviour.longestRun}.count()};
        time = std::chrono::microseconds{draw(m_random)};
    }
    std::bernoulli_distribution straggles{m_behaviour.stragglerProbability};
    const auto factor = straggles(m_random) ? m_behaviour.stragglerFactor : 1.0;
    return std::chrono::duration_cast<std::chrono::microseconds>(time * factor);
}

void target_server::announceLoop()
{
    std::unique_lock lock{m_mutex};
    while (!m_leaving) {
        lock.unlock();
        announce("ready");
        lock.lock();
        m_changed.wait_for(lock, announceInterval, [this] { return m_leaving; });
    }
    lock.unlock();
    announce("leaving");
}

void target_server::announce(const char *state)
{
    httplib::Client client{"http://" + m_options.agent};
    client.set_connection_timeout(announceTimeout);
    client.set_read_timeout(announceTimeout);
    const boost::json::object body{{"service", m_options.service},
                                   {"slots", m_options.slots},
                                   {"address", "127.0.0.1:" + std::to_string(m_options.port)},
                                   {"state", state}};
    client.Put("/v1/target", boost::json::serialize(body), "application/json");
}

} // namespace standins
