#pragma once

#include "bamboohead/dispatch/dispatch_entry.hpp"
#include "bamboohead/settings.hpp"
#include "dispatch_loop.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace bamboohead {

/// @brief A dispatch entry with its event loop and its HTTP interface for callers.
class dispatch_entry_process
{
public:
    /// @param clock Must outlive the process.
    /// @throw std::runtime_error when an address cannot be bound.
    dispatch_entry_process(const process_settings &settings, const std::string &settingsFile,
                           const clock &clock);
    ~dispatch_entry_process();
    dispatch_entry_process(const dispatch_entry_process &) = delete;
    dispatch_entry_process &operator=(const dispatch_entry_process &) = delete;

    /// @brief Runs until the graceful shutdown that SIGTERM or SIGINT starts is complete.
    void run();

    [[nodiscard]] dispatch_loop<dispatch_entry> &loop() noexcept;
    [[nodiscard]] dispatch_entry &core() noexcept;
    /// @brief Port that callers connect to.
    [[nodiscard]] std::uint16_t callerPort() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace bamboohead
