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
    startEpoch(found.line);
}

void credit_ledger::close(incarnation_id entry)
{
    const auto found = m_accounts.find(entry);
    if (found == m_accounts.end() || !found->second.open) {
        return;
    }
    found->second.open = false;
    found->second.line.demand = {};
    startEpoch(found->second.line);
}

void credit_ledger::remove(incarnation_id entry)
{
    const auto found = m_accounts.find(entry);
    if (found == m_accounts.end()) {
        return;
    }
    m_outstanding -= found->second.line.outstanding();
    m_accounts.erase(found);
}

void credit_ledger::setDemand(incarnation_id entry, const entry_demand &demand)
{
    m_accounts[entry].line.demand = demand;
}

std::uint64_t credit_ledger::use(incarnation_id entry, std::uint64_t epoch, std::uint64_t usedTotal)
{
    auto &found = line(entry);
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
        auto *receiver = companionOr(oldestUnmet());
        if (receiver == nullptr && m_held + m_outstanding + m_reserve < m_limit) {
            receiver = fewestCredits();
        }
        if (receiver == nullptr) {
            break;
        }
        ++receiver->line.issuedTotal;
        receiver->line.changed = true;
        ++m_outstanding;
    }
    m_companion = incarnation_id::none;
    markRecalls();
}

credit_line &credit_ledger::line(incarnation_id entry)
{
    return m_accounts[entry].line;
}

bool credit_ledger::isOpen(incarnation_id entry) const
{
    const auto found = m_accounts.find(entry);
    return found != m_accounts.end() && found->second.open;
}

void credit_ledger::startEpoch(credit_line &line)
{
    m_outstanding -= line.outstanding();
    line.epoch = ++m_lastEpoch;
    line.issuedTotal = 0;
    line.usedTotal = 0;
    line.recall = false;
    line.recallHelps = false;
    line.recallUrgent = false;
    line.changed = true;
}

void credit_ledger::startAllEpochs()
{
    for (auto &[entry, account] : m_accounts) {
        if (account.line.outstanding() > 0) {
            startEpoch(account.line);
        }
    }
}

credit_ledger::entry_account *credit_ledger::oldestUnmet()
{
    entry_account *oldest = nullptr;
    for (auto &[entry, account] : m_accounts) {
        if (!account.open || account.line.demand.waiting <= account.line.outstanding()) {
            continue;
        }
        const auto since = account.line.demand.oldestSince;
        if (oldest == nullptr || since < oldest->line.demand.oldestSince) {
            oldest = &account;
        }
    }
    return oldest;
}

credit_ledger::entry_account *credit_ledger::companionOr(entry_account *oldest)
{
    const auto found = m_accounts.find(m_companion);
    if (oldest == nullptr || found == m_accounts.end() || !found->second.open) {
        return oldest;
    }
    auto &line = found->second.line;
    const bool unmet = line.demand.waiting > line.outstanding();
    const auto latest = oldest->line.demand.oldestSince + companionWindow;
    return unmet && line.demand.oldestSince <= latest ? &found->second : oldest;
}

credit_ledger::entry_account *credit_ledger::fewestCredits()
{
    entry_account *fewest = nullptr;
    for (auto &[entry, account] : m_accounts) {
        const auto credits = account.line.outstanding();
        if (account.open && (fewest == nullptr || credits < fewest->line.outstanding())) {
            fewest = &account;
        }
    }
    return fewest;
}

void credit_ledger::markRecalls()
{
    const bool othersWait = oldestUnmet() != nullptr;
    // With all slots busy another entry's task could not start sooner by a recalled credit.
    const bool slotFree = m_held < m_slots;
    const auto *fewest = fewestCredits();
    for (auto &[entry, account] : m_accounts) {
        auto &line = account.line;
        const bool idle = line.demand.waiting == 0 && line.outstanding() > 0;
        // Credits spread evenly differ by one at most.
        const bool uneven =
                fewest != nullptr && line.outstanding() > fewest->line.outstanding() + 1;
        const bool recall = idle && (othersWait || uneven);
        const bool helps = recall && othersWait && slotFree;
        line.recallUrgent = helps && (!line.recallHelps || line.recallUrgent);
        line.recallHelps = helps;
        line.recall = recall;
    }
}

} // namespace bamboohead::detail
