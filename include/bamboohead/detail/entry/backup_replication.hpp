#pragma once

#include "bamboohead/detail/entry/context.hpp"

namespace bamboohead::detail {

/// @brief The backup's side of replication: stores the job records, answers and scopes that other
///        entries send as primaries. Once the home is being taken over, it rejects them with
///        `taken_over`; only an answer that is complete is still applied.
class backup_replication
{
public:
    explicit backup_replication(entry_context &context)
        : m_ctx{context}
    {}

    /// @brief Stores the record of a new job.
    /// @param age Upper bound of the message's age; records and scopes that are older than
    ///        recordAgeLimit, or of unknown age, are dropped without acknowledgement.
    void receive(const wire::Envelope &envelope, std::optional<duration> age,
                 const wire::RecordPut &put);
    /// @brief Stores the answer of a job that has ended at the primary. A later takeover does not
    ///        resume the job. When the takeover has begun, only a complete answer ends the job.
    void receive(const wire::Envelope &envelope, const wire::RecordClose &close);
    /// @brief Applies a change of the agents that a takeover has to fence.
    void receive(const wire::Envelope &envelope, std::optional<duration> age,
                 const wire::ScopeUpdate &update);

private:
    /// @brief Whether the sender is the home's primary and this entry its backup.
    [[nodiscard]] bool isFromPrimary(const wire::Envelope &envelope, const job_home &home) const;
    /// @brief Finds or creates the home, and updates the time of its last use.
    backup_home &openHome(const job_home &home);
    void store(const wire::RecordPut &put, backup_home &home);
    void applyScope(backup_home &home, const wire::ScopeUpdate &update);

    entry_context &m_ctx;
};

} // namespace bamboohead::detail
