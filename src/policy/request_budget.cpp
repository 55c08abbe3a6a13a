#include "bamboohead/request_budget.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace bamboohead {

namespace {

/// Part of the budget that is free after requests had to end.
constexpr std::size_t freedDivisor = 8;

} // namespace

void request_budget::hold(std::uint64_t request, std::size_t bytes, bool removable, time_point now)
{
    const auto [position, added] = m_holdings.try_emplace(request, holding{0, removable, now});
    auto &held = position->second;
    m_held += bytes;
    m_held -= held.bytes;
    held.bytes = bytes;
    held.removable = removable;
}

void request_budget::release(std::uint64_t request)
{
    const auto found = m_holdings.find(request);
    if (found != m_holdings.end()) {
        m_held -= found->second.bytes;
        m_holdings.erase(found);
    }
}

std::vector<std::uint64_t> request_budget::chooseExcess(std::size_t bytes, time_point now) const
{
    if (m_held + bytes <= m_maxBytes) {
        return {};
    }
    std::vector<std::pair<double, std::uint64_t>> ranked;
    for (const auto &[request, held] : m_holdings) {
        if (held.removable) {
            const auto age = static_cast<double>((now - held.begin).count()) + 1;
            ranked.emplace_back(static_cast<double>(held.bytes) * age, request);
        }
    }
    std::ranges::sort(ranked, std::greater{});
    const auto goal = m_maxBytes - m_maxBytes / freedDivisor;
    auto left = m_held + bytes;
    std::vector<std::uint64_t> chosen;
    for (const auto &[cost, request] : ranked) {
        if (left <= goal) {
            break;
        }
        left -= m_holdings.at(request).bytes;
        chosen.push_back(request);
    }
    return chosen;
}

} // namespace bamboohead
