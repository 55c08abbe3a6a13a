#pragma once

#include "bamboohead/dispatch/desired_state.hpp"
#include "bamboohead/dispatch/store_calls.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bamboohead::dispatch_test {

/// @brief The store of a simulated fleet: the area of the configuration, with a linearizable
/// history.
class simulated_store
{
public:
    using reply_handler = std::function<void(const store_reply &)>;

    /// @brief Writes a key, or removes it when there is no value, and answers waiting watches.
    void write(const std::string &key, std::optional<std::string> value);
    /// @brief Makes a call. A watch without events waits for the next write or tick().
    /// @param process Name of the caller, for counts() and dropWatches().
    void call(const std::string &process, const store_request &request, time_point now,
              reply_handler reply);
    /// @brief Answers the watches whose time is over.
    void tick(time_point now);
    /// @brief Forgets the watches of a process, which get no reply.
    void dropWatches(const std::string &process);

    /// @brief Number of lists that a process has read.
    [[nodiscard]] std::size_t lists(const std::string &process) const;
    [[nodiscard]] std::uint64_t revision() const noexcept { return m_revision; }

private:
    struct waiting_watch
    {
        std::string process;
        watch_area call;
        time_point end;
        reply_handler reply;
    };

    [[nodiscard]] store_reply eventsSince(const watch_area &watch) const;

    std::uint64_t m_revision = 1;
    std::map<std::string, store_item> m_items;
    std::vector<store_item> m_history;
    std::vector<waiting_watch> m_watches;
    std::map<std::string, std::size_t> m_lists; ///< by process
};

/// @brief Key whose presence takes a zone out of service in a simulated store.
[[nodiscard]] std::string zoneOutKey(const std::string &zone);

/// @brief The desired state of a simulated store: `base` with the zones out of service.
[[nodiscard]] desired_state decodeItems(const desired_state &base,
                                        const std::map<std::string, std::string> &items,
                                        std::uint64_t revision);

} // namespace bamboohead::dispatch_test
