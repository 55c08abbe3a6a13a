#pragma once

#include "bamboohead/action.hpp"
#include "bamboohead/clock.hpp"
#include "bamboohead/link_table.hpp"
#include "bamboohead/placement.hpp"
#include "bamboohead/types.hpp"

#include <boost/json/value.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace bamboohead {

/// @brief Construction options of an entry_core.
struct entry_options
{
    process_identity self;
    std::vector<std::string> seeds; ///< endpoints of entries
    std::uint64_t seed = 1;         ///< of all random choices
    placement_policy policy = placement_policy::credits;
    std::size_t maxJobs = 20'000; ///< unfinished jobs held as primary
};

/// @brief Counters of an entry, monotonic.
struct entry_counters
{
    std::uint64_t sessionsOpened = 0;
    std::uint64_t jobsSubmitted = 0;
    std::uint64_t jobsComplete = 0;
    std::uint64_t jobsFailed = 0;
    std::uint64_t jobsRefused = 0;
    std::uint64_t ordersSent = 0;
    std::uint64_t ordersRefused = 0;
    std::uint64_t updatesDuplicate = 0; ///< ends of tasks that had been told before
    std::uint64_t takeovers = 0;
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t messagesDropped = 0;
};

/// @brief Decisions of an entry: sessions, jobs, placement, records, takeover. Performs no I/O.
class entry_core
{
public:
    entry_core(entry_options options, const clock &clock);
    ~entry_core();
    entry_core(const entry_core &) = delete;
    entry_core &operator=(const entry_core &) = delete;

    // Inputs from callers

    /// @brief Opens a session with this entry as primary.
    void openSession(caller_request request);
    /// @brief Submits or resubmits a job.
    /// @param wait Whether to answer when the job has ended (true) or is accepted (false).
    void submit(caller_request request, job_submission job, bool wait);
    /// @brief Asks for the state of a job, or waits for its answer.
    void query(caller_request request, const job_id &id, bool wait);
    /// @brief Cancels a job.
    void cancel(caller_request request, const job_id &id);
    /// @brief The caller hung up; its job goes on.
    void callerGone(caller_request request);

    // Inputs from peers, store and operators

    /// @brief Handles a message from a peer.
    void receive(const wire::Envelope &envelope);
    /// @brief A read of the manifest that was sent at `sentAt` returned.
    void storeRead(config_version version, const std::string &text, time_point sentAt);
    /// @brief An operator's tool pushed an accepted manifest.
    void manifestPushed(config_version version, const std::string &text);
    /// @brief The settings name other endpoints of entries from now on.
    void setSeeds(std::vector<std::string> endpoints);
    /// @brief Runs the periodic systems; called each 10 ms or so.
    void tick();
    /// @brief Starts a graceful shutdown.
    void stop();

    // Outputs

    /// @brief Takes the actions decided since the last call.
    [[nodiscard]] std::vector<entry_action> takeActions();
    [[nodiscard]] const entry_counters &counters() const noexcept;
    /// @brief Whole state, for operators; includes `config_version` and, for each known process,
    /// the
    ///        version it reported.
    [[nodiscard]] boost::json::value dump() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace bamboohead
