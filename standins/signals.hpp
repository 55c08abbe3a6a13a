#pragma once

#include <csignal>
#include <pthread.h>

namespace standins {

/// @brief Blocks SIGTERM and SIGINT in this thread and in those it starts, so that
///        waitForStopSignal() gets them.
inline sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

/// @brief Waits for one of the blocked signals.
inline void waitForStopSignal(const sigset_t &signals)
{
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace standins
