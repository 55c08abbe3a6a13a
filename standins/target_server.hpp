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

/// @brief How targets treat tasks; may change at run time.
struct target_behaviour
{
    std::chrono::milliseconds shortestRun{50}; ///< for payloads that state no run time
    std::chrono::milliseconds longestRun{200};
    double stragglerFactor = 1.0;      ///< on the run time of a straggling task
    double stragglerProbability = 0.0; ///< 0 to 1
    bool failAll = false;              ///< answers 500 after the run time
    bool refuseAll = false;            ///< answers 503 with X-Not-Started: 1
    bool echo = false;                 ///< the result is the payload
};

/// @brief Addresses of one target.
struct target_options
{
    int port = 0; ///< on 127.0.0.1; 0 chooses a free one
    std::string service;
    unsigned slots = 0;
    std::string agent; ///< host:port of the agent's HTTP server
    std::uint64_t seed = 1;
};

/// @brief Server that runs tasks by sleeping, and announces itself to its agent each second.
class target_server
{
public:
    target_server(target_options options, target_behaviour behaviour, journal &starts);
    ~target_server();
    target_server(const target_server &) = delete;
    target_server &operator=(const target_server &) = delete;

    /// @return The port, or 0 when it cannot be bound.
    int start();
    /// @brief Announces that the target leaves, ends running tasks and stops.
    void stop();

    void setBehaviour(const target_behaviour &behaviour);
    [[nodiscard]] target_behaviour behaviour();
    [[nodiscard]] int port() const noexcept { return m_options.port; }
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
    std::thread m_serving;
    std::thread m_announcing;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    target_behaviour m_behaviour;
    std::mt19937_64 m_random;
    bool m_leaving = false;
    std::atomic<unsigned> m_running = 0;
    std::atomic<unsigned> m_mostRunning = 0;
};

/// @brief Run time that a payload states, as in `run_ms=120;...`.
/// @return Negative when it states none.
[[nodiscard]] std::chrono::milliseconds statedRunTime(const std::string &payload);

} // namespace standins
