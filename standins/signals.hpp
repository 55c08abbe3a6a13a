#pragma once

#include <csignal>
#include <pthread.h>

namespace standins {

/// @brief Blocks SIGTERM and SIGINT in this thread and in the threads that it starts afterwards, so
///        that waitForStopSignal() receives them.
/// @return The blocked signals.
inline sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

/// @brief Waits until the process receives one of the signals, which have to be blocked.
inline void waitForStopSignal(const sigset_t &signals)
{
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace standins
