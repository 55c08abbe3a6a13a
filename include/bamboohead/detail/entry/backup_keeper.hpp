#pragma once

#include "bamboohead/detail/entry/context.hpp"

namespace bamboohead::detail {

/// @brief The backup's side of replication: holds records, answers and scopes of other primaries.
class backup_keeper
{
public:
    explicit backup_keeper(entry_context &context)
        : m_ctx{context}
    {}

    void receive(const wire::Envelope &envelope, std::optional<duration> age,
                 const wire::RecordPut &put);
    void receive(const wire::Envelope &envelope, const wire::RecordClose &close);
    void receive(const wire::Envelope &envelope, std::optional<duration> age,
                 const wire::ScopeUpdate &update);

private:
    [[nodiscard]] bool addressed(const wire::Envelope &envelope, const job_home &home) const;
    backup_home &open(const job_home &home);
    void store(const wire::RecordPut &put, backup_home &home);
    void applyScope(backup_home &home, const wire::ScopeUpdate &update);

    entry_context &m_ctx;
};

} // namespace bamboohead::detail
