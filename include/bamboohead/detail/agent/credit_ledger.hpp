#pragma once

#include "bamboohead/types.hpp"

#include <cstdint>
#include <map>

namespace bamboohead::detail {

/// @brief Precedence that an entry gives up to another one that is about to get a message anyway,
///        which then carries the credit.
inline constexpr duration companionWindow = std::chrono::milliseconds{250};

/// @brief Work that an entry has waiting for the agent's service.
struct entry_demand
{
    std::uint64_t waiting = 0;
    time_point oldestSince{}; ///< by precedence: age, less for more remaining work; local clock
};

/// @brief Credits of one entry link.
struct credit_line
{
    std::uint64_t epoch = 0;
    std::uint64_t issuedTotal = 0;
    std::uint64_t usedTotal = 0;
    entry_demand demand;
    bool recall = false;       ///< the entry is asked to return what it does not need
    bool recallHelps = false;  ///< another entry waits and a slot is free for its task
    bool recallUrgent = false; ///< the recall was not told yet, and another entry waits for it
    bool changed = false;      ///< the entry has not been told the present totals

    [[nodiscard]] std::uint64_t outstanding() const { return issuedTotal - usedTotal; }
};

/// @brief The agent's side of credits. The sum of outstanding credits, queued and running orders
///        stays within a limit above the slots.
///
/// Only entries that may hold credits have an open line. Totals are cumulative in an epoch; every
/// epoch number is used once, so an order of an earlier epoch can be told apart.
class credit_ledger
{
public:
    /// @brief Sets the limit of outstanding credits and held orders; 0 takes all credits back.
    ///        A limit below the present sum starts new epochs.
    /// @param slots Orders that can run at the same time.
    void setCapacity(std::uint64_t limit, std::uint64_t slots);
    void setCapacity(std::uint64_t limit) { setCapacity(limit, limit); }

    /// @brief Sets how many credits are kept for entries with waiting tasks.
    void setReserve(std::uint64_t credits) { m_reserve = credits; }

    /// @brief Sets the number of queued and running orders.
    void setHeld(std::uint64_t orders);

    /// @brief Makes an entry eligible for credits.
    void open(incarnation_id entry);

    /// @brief Takes an entry's credits back by a new epoch; it gets none until opened again.
    void close(incarnation_id entry);

    /// @brief Forgets an entry.
    void remove(incarnation_id entry);

    void setDemand(incarnation_id entry, const entry_demand &demand);

    /// @brief Takes the entry's counter from a message.
    /// @return How many of the newest uses were not covered by issued credits; the maximum when
    ///         the epoch is not the present one.
    std::uint64_t use(incarnation_id entry, std::uint64_t epoch, std::uint64_t usedTotal);

    /// @brief Whether one more order may be held.
    [[nodiscard]] bool mayHold() const { return m_held + m_outstanding < m_limit; }

    /// @brief An update to the entry is waiting to be sent, which can carry credits.
    void setCompanion(incarnation_id entry) { m_companion = entry; }

    /// @brief Gives free credits to the entry with the oldest unmet demand, or the one with a
    /// waiting
    ///        update when its demand is hardly younger, and idle ones to the open
    ///        entry with the fewest, and marks the lines to be recalled.
    void distribute();

    /// @brief Credits of an entry; a line without credits when there is none.
    credit_line &line(incarnation_id entry);

    [[nodiscard]] bool isOpen(incarnation_id entry) const;
    [[nodiscard]] std::uint64_t outstanding() const noexcept { return m_outstanding; }
    [[nodiscard]] std::uint64_t limit() const noexcept { return m_limit; }
    [[nodiscard]] std::uint64_t held() const noexcept { return m_held; }

private:
    struct entry_account
    {
        credit_line line;
        bool open = false;
    };

    void startEpoch(credit_line &line);
    void startAllEpochs();
    entry_account *oldestUnmet();
    entry_account *companionOr(entry_account *oldest);
    entry_account *fewestCredits();
    void markRecalls();

    std::map<incarnation_id, entry_account> m_accounts;
    std::uint64_t m_limit = 0;
    std::uint64_t m_slots = 0;
    std::uint64_t m_reserve = 0;
    std::uint64_t m_held = 0;
    std::uint64_t m_outstanding = 0;
    std::uint64_t m_lastEpoch = 0;
    incarnation_id m_companion = incarnation_id::none;
};

} // namespace bamboohead::detail
