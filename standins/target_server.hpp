#pragma once

#include "journal.hpp"

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <random>
#include <string>
#include <thread>

namespace standins {

/// @brief How targets respond to tasks. Tests may change it while the targets run.
struct target_behaviour
{
    /// Range of the random run times of tasks whose payload does not state one.
    std::chrono::milliseconds shortestRun{50};
    std::chrono::milliseconds longestRun{200};
    double stragglerFactor = 1.0;      ///< multiplies the run time of a straggling task
    double stragglerProbability = 0.0; ///< of each task; 0 to 1
    bool failAll = false;              ///< responds with status 500 after the run time
    bool refuseAll = false;            ///< responds with status 503 and X-Not-Started: 1
    bool echo = false;                 ///< responds with the payload instead of `ok`
};

/// @brief Settings of one target.
struct target_options
{
    int port = 0; ///< on 127.0.0.1; 0 chooses a free one
    std::string service;
    unsigned slots = 0;     ///< tasks that may run at a time; not enforced
    std::string agent;      ///< host:port of the agent's HTTP server
    std::uint64_t seed = 1; ///< of the random run times
};

/// @brief Stand-in of a target, for `bamboohead agent`. It serves POST /v1/run, runs tasks by
///        sleeping, and announces itself to its agent each second with PUT /v1/target. It does not
///        serve the calls of platform/target_api.hpp, which `bamboohead dispatch-agent` sends.
class target_server
{
public:
    target_server(target_options options, target_behaviour behaviour, journal &starts);
    ~target_server();
    target_server(const target_server &) = delete;
    target_server &operator=(const target_server &) = delete;

    /// @brief Starts to serve on 127.0.0.1.
    /// @return The bound port, or 0 when it cannot be bound.
    int start();
    /// @brief Announces that the target leaves, waits up to 30 s for running tasks and stops the
    ///        server. New tasks are refused meanwhile.
    void stop();

    void setBehaviour(const target_behaviour &behaviour);
    [[nodiscard]] target_behaviour behaviour();
    [[nodiscard]] int port() const noexcept { return m_options.port; }
    /// @brief Highest number of tasks that have run at the same time.
    [[nodiscard]] unsigned mostRunning() const noexcept { return m_mostRunning; }
    [[nodiscard]] unsigned slots() const noexcept { return m_options.slots; }

private:
    void run(const httplib::Request &request, httplib::Response &response);
    [[nodiscard]] std::chrono::microseconds runTime(const std::string &payload);
    void announceLoop();
    void announce(const char *state);

    target_options m_options;
    journal &m_journal;
    httplib::Server m_server;
    std::thread m_serverThread;
    std::thread m_announceThread;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    target_behaviour m_behaviour;
    std::mt19937_64 m_random;
    bool m_leaving = false;
    std::atomic<unsigned> m_running = 0;
    std::atomic<unsigned> m_mostRunning = 0;
};

/// @brief Run time that a payload states in the form `run_ms=120;...`.
/// @return The run time, or -1 ms when the payload states none.
[[nodiscard]] std::chrono::milliseconds statedRunTime(const std::string &payload);

} // namespace standins
