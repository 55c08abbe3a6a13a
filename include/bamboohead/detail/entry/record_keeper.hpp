#pragma once

#include "bamboohead/detail/entry/context.hpp"

namespace bamboohead::detail {

/// @brief The primary's side of replication: records, closes and scopes of its homes.
class record_keeper
{
public:
    explicit record_keeper(entry_context &context)
        : m_ctx{context}
    {}

    /// @brief Sends the record of a new job to the backup when it is alive.
    /// @return Whether the job has to wait for the acknowledgement.
    bool put(job_record &job, primary_home &home);
    /// @brief Sends the job's answer to the backup, again until it is acknowledged.
    void close(job_record &job);

    /// @brief Sends the scope of a new home.
    void homeOpened(primary_home &home);
    void agentAdded(incarnation_id agent, const std::string &endpoint);
    void agentRemoved(incarnation_id agent);

    void receive(incarnation_id sender, const wire::RecordAck &ack);
    void receive(incarnation_id sender, const wire::RecordCloseAck &ack);
    void receive(incarnation_id sender, const wire::ScopeAck &ack);

    /// @brief Ack timeouts and resends.
    void tick();

private:
    [[nodiscard]] primary_home *homeOf(incarnation_id sender, const job_home &home);
    void startUnreplicated(job_record &job);
    void sendClose(job_record &job);
    void sendFullScope(primary_home &home);
    void sendScopeChange(primary_home &home, wire::Envelope envelope);
    /// @brief Removes agents held dead from the scope once the closes of their jobs are
    ///        acknowledged.
    void removeDead(primary_home &home);
    void forgetHomes();
    void timeOutRecords();
    void resendCloses();
    void resendScopes();

    entry_context &m_ctx;
    time_point m_nextSweep;
};

} // namespace bamboohead::detail
