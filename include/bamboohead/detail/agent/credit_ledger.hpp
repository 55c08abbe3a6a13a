#pragma once

#include "bamboohead/types.hpp"

#include <cstdint>
#include <map>

namespace bamboohead::detail {

/// @brief Maximum difference between the priority times of two demands at which a free credit
///        goes to the later one because a message to its entry is pending. The credit is sent with
///        that message, which saves a separate one.
inline constexpr duration piggybackWindow = std::chrono::milliseconds{250};

/// @brief Tasks of the agent's service that wait at an entry.
struct entry_demand
{
    std::uint64_t waiting = 0; ///< number of tasks
    /// Ordering key of the demand: earlier means served first. It is the local time minus the
    /// precedence that the entry reported for the job that it serves next
    /// (service_backlog::precedence), so it is earlier for an older job and later for a job with
    /// more remaining work.
    time_point priorityTime{};
};

/// @brief Credits of one entry. An epoch is the period between two invalidations of its credits.
///        The totals count from the start of the epoch.
struct entry_credits
{
    std::uint64_t epoch = 0; ///< 0 before the account was first opened
    std::uint64_t issuedTotal = 0;
    std::uint64_t usedTotal = 0; ///< used for orders or returned by the entry
    entry_demand demand;
    bool recall = false; ///< heartbeats request the return of credits that the entry doesn't need
    /// The recall lets a task start sooner: another entry has waiting tasks and a slot is free.
    bool recallUnblocksTask = false;
    bool recallUrgent = false; ///< `recallUnblocksTask` is set and the recall was not sent yet
    bool changed = false;      ///< epoch or issued total has changed since it was last sent

    [[nodiscard]] std::uint64_t outstanding() const { return issuedTotal - usedTotal; }
};

/// @brief Issues and recalls the credits of an agent. A credit entitles an entry to send one order.
///        No credit is issued while the sum of outstanding credits and of queued and running
///        orders is at the limit. Orders that are held already when the limit falls, or that were
///        sent without a credit, may exceed it.
///
/// Each entry has an account, which is open while the entry may hold credits. Invalidating the
/// credits of an account starts a new epoch. Totals are cumulative within an epoch, so that the
/// next message makes up for a lost one. Every epoch number is used only once, so that a use from
/// an earlier epoch is recognized.
class credit_ledger
{
public:
    /// @brief Sets the limit for the sum of outstanding credits and held orders. A limit below the
    ///        present sum invalidates all outstanding credits by new epochs.
    /// @param limit 0 withdraws all credits.
    /// @param slots Number of orders that can run concurrently.
    void setCapacity(std::uint64_t limit, std::uint64_t slots);
    void setCapacity(std::uint64_t limit) { setCapacity(limit, limit); }

    /// @brief Sets the number of credits that are reserved for entries with waiting tasks.
    void setReserve(std::uint64_t credits) { m_reserve = credits; }

    /// @brief Sets the number of held orders, which are the queued and running ones.
    void setHeld(std::uint64_t orders);

    /// @brief Opens the account of an entry in a new epoch, which makes it eligible for credits.
    ///        Does nothing when it is open.
    void open(incarnation_id entry);

    /// @brief Closes the account of an entry. Its credits are invalidated by a new epoch, and none
    ///        are issued until the account is opened again.
    void close(incarnation_id entry);

    /// @brief Removes the account of an entry.
    void remove(incarnation_id entry);

    void setDemand(incarnation_id entry, const entry_demand &demand);

    /// @brief Records the total number of used credits that an entry reported. A total below the
    ///        recorded one, from a delayed message, changes nothing.
    /// @return Number of reported uses in excess of the issued credits; the maximum value when
    ///         `epoch` is not the present one.
    std::uint64_t recordUse(incarnation_id entry, std::uint64_t epoch, std::uint64_t usedTotal);

    /// @brief Whether the limit allows one more credit or held order.
    [[nodiscard]] bool mayHold() const { return m_held + m_outstanding < m_limit; }

    /// @brief Names an entry with a pending message that can carry credits, for the next call of
    ///        distribute().
    void setPiggybackEntry(incarnation_id entry) { m_piggybackEntry = entry; }

    /// @brief Issues the free credits and marks the accounts whose credits are recalled.
    ///
    /// A demand is unmet while an entry has more waiting tasks than credits. A credit goes to the
    /// entry whose unmet demand has the earliest priority time, or to the piggyback entry when
    /// its unmet demand is at most `piggybackWindow` later. Without unmet demand, the credits above
    /// the reserve go to the open account with the fewest credits.
    void distribute();

    /// @brief Returns the credits of an entry. Adds a closed account when there is none.
    entry_credits &creditsOf(incarnation_id entry);

    [[nodiscard]] bool isOpen(incarnation_id entry) const;
    [[nodiscard]] std::uint64_t outstanding() const noexcept { return m_outstanding; }
    [[nodiscard]] std::uint64_t limit() const noexcept { return m_limit; }
    [[nodiscard]] std::uint64_t held() const noexcept { return m_held; }

private:
    struct entry_account
    {
        entry_credits credits;
        bool open = false;
    };

    void startEpoch(entry_credits &credits);
    void startAllEpochs();
    /// Open account whose unmet demand has the earliest priority time; null when there is none.
    entry_account *earliestUnmetDemand();
    /// Account of the piggyback entry if its unmet demand is at most `piggybackWindow` later than
    /// that of `earliest`, else `earliest`.
    entry_account *piggybackEntryOr(entry_account *earliest);
    /// Open account with the fewest credits; null when no account is open.
    entry_account *fewestCredits();
    void markRecalls();

    std::map<incarnation_id, entry_account> m_accounts;
    std::uint64_t m_limit = 0;
    std::uint64_t m_slots = 0;
    std::uint64_t m_reserve = 0;
    std::uint64_t m_held = 0;
    std::uint64_t m_outstanding = 0;
    std::uint64_t m_lastEpoch = 0;
    incarnation_id m_piggybackEntry = incarnation_id::none;
};

} // namespace bamboohead::detail
