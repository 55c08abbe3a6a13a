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
    std::vector<std::string> seeds; ///< endpoints of entries to contact for joining
    std::uint64_t randomSeed = 1;   ///< seed of the random number generator for placement
    placement_policy policy = placement_policy::credits;
    /// Number of unfinished jobs of which this entry is the primary, or which it has taken over as
    /// backup, from which on new jobs are refused with `overloaded`.
    std::size_t maxJobs = 20'000;
};

/// @brief Counters of an entry since its start; they never decrease. Jobs are counted by the home's
///        primary, and by its backup from a takeover on.
struct entry_counters
{
    std::uint64_t sessionsOpened = 0;
    /// New jobs of valid sessions, including refused ones, without resubmissions.
    std::uint64_t jobsSubmitted = 0;
    std::uint64_t jobsComplete = 0; ///< ended with all results
    std::uint64_t jobsFailed = 0;   ///< ended without all results; tasks may have run
    /// Refused, or ended by deadline or cancellation before any task ran.
    std::uint64_t jobsRefused = 0;
    std::uint64_t ordersSent = 0;
    std::uint64_t ordersRefused = 0;    ///< only refusals that prove that the task has not started
    std::uint64_t updatesDuplicate = 0; ///< updates of tasks whose result the agent had sent before
    std::uint64_t takeovers = 0;        ///< counted when a takeover begins
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesReceived = 0; ///< includes those dropped later
    std::uint64_t messagesDropped = 0;  ///< received and ignored, or sent to an unknown peer
};

/// @brief State machine of an entry: sessions, jobs, placement, replication and takeover.
///
/// Performs no I/O: inputs are method calls, outputs are the actions of takeActions(). Not
/// thread-safe.
class entry_core
{
public:
    entry_core(entry_options options, const clock &clock);
    ~entry_core();
    entry_core(const entry_core &) = delete;
    entry_core &operator=(const entry_core &) = delete;

    // Inputs from callers

    /// @brief Opens a session with this entry as primary. Answered by an `answer_session_request`,
    ///        with `error_kind::stopping` during shutdown.
    void openSession(caller_request request);
    /// @brief Submits or resubmits a job. Answered by an `answer_caller`. An unset hash is computed
    ///        from the content; a deadline of zero means the default deadline of the service.
    /// @param wait Whether to answer when the job has ended (true) or is accepted (false).
    void submit(caller_request request, job_submission job, bool wait);
    /// @brief Requests the state of a job. An unknown id is answered with `unknown_job`,
    ///        `session_expired` or `outcome_unknown`.
    /// @param wait Whether to answer only when the job has ended.
    void query(caller_request request, const job_id &id, bool wait);
    /// @brief Cancels a job. Answered when the job has ended; unstarted tasks never start. An
    ///        unknown id of a valid session is stored as cancelled, so that a later submission does
    ///        not start it.
    void cancel(caller_request request, const job_id &id);
    /// @brief Drops a request whose caller has disconnected; its job continues.
    void callerDisconnected(caller_request request);

    // Inputs from peers, store and operators

    /// @brief Handles a message from a peer.
    void receive(const wire::Envelope &envelope);
    /// @brief Handles the result of a manifest read from the store. A manifest that is invalid or
    ///        not newer than the local one is not adopted.
    /// @param text The manifest as JSON.
    /// @param sentAt When the read was sent; confirms `version` as current at that time.
    ///        time_point{} for a value from a watch, which confirms nothing.
    void handleStoreRead(config_version version, const std::string &text, time_point sentAt);
    /// @brief Handles a manifest that an operator's tool pushed after the store had accepted it. It
    ///        is ignored when it is invalid or not newer than the local one.
    void manifestPushed(config_version version, const std::string &text);
    /// @brief Replaces the endpoints of `entry_options::seeds`, when the settings are reloaded.
    void setSeeds(std::vector<std::string> endpoints);
    /// @brief Runs timeouts, resends and heartbeats; has to be called about every 10 ms.
    void tick();
    /// @brief Starts a graceful shutdown, whose end is the action `shutdown_complete`.
    void stop();

    // Outputs

    /// @brief Places waiting tasks, and returns and clears the actions that were added since the
    ///        last call, oldest first.
    [[nodiscard]] std::vector<entry_action> takeActions();
    [[nodiscard]] const entry_counters &counters() const noexcept;
    /// @brief Complete state as JSON, for operators. Includes `config_version` and, for each known
    ///        process, the version that it reported.
    [[nodiscard]] boost::json::value dump() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace bamboohead
