#pragma once

#include "bamboohead/detail/entry/context.hpp"

namespace bamboohead::detail {

/// @brief The primary's side of replication: sends the job records, answers and scopes of its homes
///        to their backups.
///
/// The message that reports a job's answer to the backup is called a close.
class primary_replication
{
public:
    explicit primary_replication(entry_context &context)
        : m_ctx{context}
    {}

    /// @brief Sends the record of a new job to the backup if the backup is alive.
    /// @return Whether the job has to wait for the acknowledgement.
    bool put(job_record &job, primary_home &home);
    /// @brief Sends the job's answer to the backup, and resends it until it is acknowledged. Does
    ///        not end the job.
    void close(job_record &job);

    /// @brief Sends the scope of a new home, which contains all known agents.
    void homeOpened(primary_home &home);
    /// @brief Adds the agent to the scopes of all homes.
    void agentAdded(incarnation_id agent, const std::string &endpoint);
    /// @brief Stops the use of a failed agent, and removes it from each scope once no takeover
    ///        needs to fence it; see removeFailedAgents().
    void agentRemoved(incarnation_id agent);

    void receive(incarnation_id sender, const wire::RecordAck &ack);
    void receive(incarnation_id sender, const wire::RecordCloseAck &ack);
    void receive(incarnation_id sender, const wire::ScopeAck &ack);

    /// @brief Handles acknowledgement timeouts, resends and the expiry of homes.
    void tick();

private:
    /// @brief The home, if this entry is its primary and the sender its backup, else null.
    [[nodiscard]] primary_home *homeOf(incarnation_id sender, const job_home &home);
    /// @brief Starts a job whose record was not acknowledged in time.
    void startUnreplicated(job_record &job);
    void sendClose(job_record &job);
    void sendFullScope(primary_home &home);
    void sendScopeChange(primary_home &home, wire::Envelope envelope);
    /// @brief Removes failed agents from the scope once the closes of their jobs are acknowledged.
    ///        Also marks all homes with an expired close, which keep their failed agents.
    void removeFailedAgents(primary_home &home);
    void removeUnusedHomes();
    void timeOutRecords();
    void resendCloses();
    void resendScopes();

    entry_context &m_ctx;
    time_point m_nextSweep;
};

} // namespace bamboohead::detail
