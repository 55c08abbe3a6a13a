#include "bamboohead/detail/agent/credit_ledger.hpp"

#include <algorithm>
#include <limits>

namespace bamboohead::detail {

void credit_ledger::setCapacity(std::uint64_t limit, std::uint64_t slots)
{
    m_limit = limit;
    m_slots = slots;
    if (m_held + m_outstanding > m_limit) {
        startAllEpochs();
    }
}

void credit_ledger::setHeld(std::uint64_t orders)
{
    m_held = orders;
}

void credit_ledger::open(incarnation_id entry)
{
    auto &found = m_accounts[entry];
    if (found.open) {
        return;
    }
    found.open = true;
    startEpoch(found.credits);
}

void credit_ledger::close(incarnation_id entry)
{
    const auto found = m_accounts.find(entry);
    if (found == m_accounts.end() || !found->second.open) {
        return;
    }
    found->second.open = false;
    found->second.credits.demand = {};
    startEpoch(found->second.credits);
}

void credit_ledger::remove(incarnation_id entry)
{
    const auto found = m_accounts.find(entry);
    if (found == m_accounts.end()) {
        return;
    }
    m_outstanding -= found->second.credits.outstanding();
    m_accounts.erase(found);
}

void credit_ledger::setDemand(incarnation_id entry, const entry_demand &demand)
{
    m_accounts[entry].credits.demand = demand;
}

std::uint64_t credit_ledger::recordUse(incarnation_id entry, std::uint64_t epoch,
                                       std::uint64_t usedTotal)
{
    auto &found = creditsOf(entry);
    if (epoch == 0 || epoch != found.epoch) {
        return std::numeric_limits<std::uint64_t>::max();
    }
    const auto covered = std::min(usedTotal, found.issuedTotal);
    if (covered > found.usedTotal) {
        m_outstanding -= covered - found.usedTotal;
        found.usedTotal = covered;
    }
    return usedTotal - covered;
}

void credit_ledger::distribute()
{
    while (mayHold()) {
        auto *receiver = piggybackEntryOr(earliestUnmetDemand());
        if (receiver == nullptr && m_held + m_outstanding + m_reserve < m_limit) {
            receiver = fewestCredits();
        }
        if (receiver == nullptr) {
            break;
        }
        ++receiver->credits.issuedTotal;
        receiver->credits.changed = true;
        ++m_outstanding;
    }
    m_piggybackEntry = incarnation_id::none;
    markRecalls();
}

entry_credits &credit_ledger::creditsOf(incarnation_id entry)
{
    return m_accounts[entry].credits;
}

bool credit_ledger::isOpen(incarnation_id entry) const
{
    const auto found = m_accounts.find(entry);
    return found != m_accounts.end() && found->second.open;
}

void credit_ledger::startEpoch(entry_credits &credits)
{
    m_outstanding -= credits.outstanding();
    credits.epoch = ++m_lastEpoch;
    credits.issuedTotal = 0;
    credits.usedTotal = 0;
    credits.recall = false;
    credits.recallUnblocksTask = false;
    credits.recallUrgent = false;
    credits.changed = true;
}

void credit_ledger::startAllEpochs()
{
    for (auto &[entry, account] : m_accounts) {
        if (account.credits.outstanding() > 0) {
            startEpoch(account.credits);
        }
    }
}

credit_ledger::entry_account *credit_ledger::earliestUnmetDemand()
{
    entry_account *earliest = nullptr;
    for (auto &[entry, account] : m_accounts) {
        if (!account.open || account.credits.demand.waiting <= account.credits.outstanding()) {
            continue;
        }
        const auto since = account.credits.demand.priorityTime;
        if (earliest == nullptr || since < earliest->credits.demand.priorityTime) {
            earliest = &account;
        }
    }
    return earliest;
}

credit_ledger::entry_account *credit_ledger::piggybackEntryOr(entry_account *earliest)
{
    const auto found = m_accounts.find(m_piggybackEntry);
    if (earliest == nullptr || found == m_accounts.end() || !found->second.open) {
        return earliest;
    }
    auto &credits = found->second.credits;
    const bool unmet = credits.demand.waiting > credits.outstanding();
    const auto latest = earliest->credits.demand.priorityTime + piggybackWindow;
    return unmet && credits.demand.priorityTime <= latest ? &found->second : earliest;
}

credit_ledger::entry_account *credit_ledger::fewestCredits()
{
    entry_account *fewest = nullptr;
    for (auto &[entry, account] : m_accounts) {
        const auto count = account.credits.outstanding();
        if (account.open && (fewest == nullptr || count < fewest->credits.outstanding())) {
            fewest = &account;
        }
    }
    return fewest;
}

void credit_ledger::markRecalls()
{
    const bool othersWait = earliestUnmetDemand() != nullptr;
    // While all slots are busy, a recalled credit cannot let another entry's task start sooner.
    const bool slotFree = m_held < m_slots;
    const auto *fewest = fewestCredits();
    for (auto &[entry, account] : m_accounts) {
        auto &credits = account.credits;
        const bool idle = credits.demand.waiting == 0 && credits.outstanding() > 0;
        // Evenly distributed credits differ by at most one between accounts.
        const bool uneven =
                fewest != nullptr && credits.outstanding() > fewest->credits.outstanding() + 1;
        const bool recall = idle && (othersWait || uneven);
        const bool unblocksTask = recall && othersWait && slotFree;
        credits.recallUrgent =
                unblocksTask && (!credits.recallUnblocksTask || credits.recallUrgent);
        credits.recallUnblocksTask = unblocksTask;
        credits.recall = recall;
    }
}

} // namespace bamboohead::detail
