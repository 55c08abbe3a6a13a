#include "bamboohead/runtime.hpp"

#include <cerrno>
#include <csignal>
#include <cstdint>
#include <sys/eventfd.h>
#include <sys/signalfd.h>
#include <system_error>
#include <unistd.h>

namespace bamboohead {

namespace {

/// @throw std::system_error with the current errno when `descriptor` is negative.
int checkedDescriptor(int descriptor, const char *what)
{
    if (descriptor < 0) {
        throw std::system_error{errno, std::generic_category(), what};
    }
    return descriptor;
}

int openSignalDescriptor()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return checkedDescriptor(signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC), "signalfd");
}

} // namespace

wake_event::wake_event()
    : m_descriptor{checkedDescriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC), "eventfd")}
{}

wake_event::~wake_event()
{
    close(m_descriptor);
}

void wake_event::notify() noexcept
{
    if (!m_pending.exchange(true)) {
        const std::uint64_t one = 1;
        // A write fails only when the counter is full; the descriptor is readable then anyway.
        [[maybe_unused]] const auto written = write(m_descriptor, &one, sizeof one);
    }
}

void wake_event::clear() noexcept
{
    std::uint64_t count = 0;
    [[maybe_unused]] const auto taken = read(m_descriptor, &count, sizeof count);
    m_pending.exchange(false); // synchronizes with the exchange in the last notify()
}

process_signals::process_signals()
    : m_descriptor{openSignalDescriptor()}
{}

process_signals::~process_signals()
{
    close(m_descriptor);
}

process_signal process_signals::take() noexcept
{
    // When no signal is pending or the read fails, the number stays 0, and the result is `stop`.
    signalfd_siginfo information{};
    [[maybe_unused]] const auto taken = read(m_descriptor, &information, sizeof information);
    return information.ssi_signo == SIGHUP ? process_signal::reload : process_signal::stop;
}

} // namespace bamboohead
