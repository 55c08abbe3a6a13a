#include "bamboohead/placement.hpp"

#include <boost/intrusive/set.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <map>
#include <random>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace bamboohead {

namespace {

namespace intrusive = boost::intrusive;

struct policy_name
{
    placement_policy policy;
    std::string_view name;
};

constexpr std::array policyNames{
        policy_name{placement_policy::credits, "credits"},
        policy_name{placement_policy::random, "random"},
        policy_name{placement_policy::two_choices, "two_choices"},
};

/// Result of availableOrders() for a baseline, which is not limited by credits.
constexpr std::uint64_t unlimitedOrders = std::numeric_limits<std::uint32_t>::max();

/// Number of random draws after which all agents of the service are searched for a usable one.
constexpr int maxDraws = 8;

struct agent_record
{
    incarnation_id agent = incarnation_id::none;
    agent_load load;
    std::uint64_t usedTotal = 0;
    /// Orders sent since the last load report arrived. Orders that were on the way when the agent
    /// sent that report are neither in this number nor in the reported load.
    std::uint32_t ordersSinceReport = 0;
    /// Random, so that different entries do not all choose the same one of several equally ranked
    /// agents.
    std::uint64_t tieBreak = 0;
    bool otherZone = false;   ///< the agent is not in the entry's zone
    std::size_t position = 0; ///< index in service_agents::all
    intrusive::set_member_hook<intrusive::link_mode<intrusive::safe_link>> hook;

    [[nodiscard]] std::uint64_t unused() const
    {
        return load.issuedTotal > usedTotal ? load.issuedTotal - usedTotal : 0;
    }
    [[nodiscard]] std::int64_t assignedTasks() const
    {
        return std::int64_t{load.running} + load.queued + ordersSinceReport;
    }
    [[nodiscard]] auto rank() const
    {
        return std::tuple{assignedTasks() - load.slots, otherZone, tieBreak, agent};
    }
};

struct lower_rank
{
    bool operator()(const agent_record &left, const agent_record &right) const
    {
        return left.rank() < right.rank();
    }
};

using ranked_agents = intrusive::set<
        agent_record,
        intrusive::member_hook<agent_record, decltype(agent_record::hook), &agent_record::hook>,
        intrusive::compare<lower_rank>>;

using usable_check = std::function<bool(incarnation_id)>;

struct service_agents
{
    std::vector<agent_record *> all;
    ranked_agents ranked;     ///< agents that are not leaving and have unused credits, best first
    std::uint64_t unused = 0; ///< unused credits of the ranked agents
};

} // namespace

std::string_view toText(placement_policy policy) noexcept
{
    const auto *const found = std::ranges::find(policyNames, policy, &policy_name::policy);
    return found == policyNames.end() ? std::string_view{} : found->name;
}

std::optional<placement_policy> parsePlacementPolicy(std::string_view name) noexcept
{
    const auto *const found = std::ranges::find(policyNames, name, &policy_name::name);
    if (found == policyNames.end()) {
        return std::nullopt;
    }
    return found->policy;
}

class held_credits::implementation
{
public:
    implementation(placement_policy policy, std::string zone, std::uint64_t seed)
        : m_policy{policy}
        , m_zone{std::move(zone)}
        , m_random{seed}
    {}

    void report(incarnation_id agent, const agent_load &load);
    void remove(incarnation_id agent);
    std::optional<incarnation_id> take(std::string_view service, const usable_check &usable);
    std::uint64_t returnUnused(incarnation_id agent);
    [[nodiscard]] usage usageOf(incarnation_id agent) const;
    [[nodiscard]] std::uint64_t availableOrders(std::string_view service) const;
    [[nodiscard]] std::uint32_t slots(std::string_view service, const usable_check &usable) const;
    [[nodiscard]] std::vector<std::pair<incarnation_id, agent_load>> agents() const;

private:
    void addToService(agent_record &record);
    void removeFromService(agent_record &record);
    void insertRanked(service_agents &service, agent_record &record);
    static void eraseRanked(service_agents &service, agent_record &record);
    void useCredit(service_agents &service, agent_record &record);
    agent_record *bestWithCredit(service_agents &service, const usable_check &usable) const;
    agent_record *drawUsable(service_agents &service, const usable_check &usable);
    agent_record *lessLoadedOfTwo(service_agents &service, const usable_check &usable);
    [[nodiscard]] const service_agents *find(std::string_view service) const;

    placement_policy m_policy;
    std::string m_zone;
    std::mt19937_64 m_random;
    std::unordered_map<incarnation_id, agent_record> m_agents; ///< outlives the ranked sets
    std::map<std::string, service_agents, std::less<>> m_services;
};

void held_credits::implementation::insertRanked(service_agents &service, agent_record &record)
{
    if (record.load.leaving || record.unused() == 0) {
        return;
    }
    record.tieBreak = m_random();
    service.unused += record.unused();
    service.ranked.insert(record);
}

void held_credits::implementation::eraseRanked(service_agents &service, agent_record &record)
{
    if (!record.hook.is_linked()) {
        return;
    }
    service.unused -= record.unused();
    service.ranked.erase(service.ranked.iterator_to(record));
}

void held_credits::implementation::addToService(agent_record &record)
{
    auto &service = m_services[record.load.service];
    record.position = service.all.size();
    service.all.push_back(&record);
    insertRanked(service, record);
}

void held_credits::implementation::removeFromService(agent_record &record)
{
    const auto found = m_services.find(record.load.service);
    auto &service = found->second;
    eraseRanked(service, record);
    service.all[record.position] = service.all.back();
    service.all[record.position]->position = record.position;
    service.all.pop_back();
    if (service.all.empty()) {
        m_services.erase(found);
    }
}

void held_credits::implementation::report(incarnation_id agent, const agent_load &load)
{
    const auto found = m_agents.find(agent);
    const bool known = found != m_agents.end();
    if (known) {
        const auto &existing = found->second.load;
        if (std::tie(load.creditEpoch, load.issuedTotal) <
            std::tie(existing.creditEpoch, existing.issuedTotal)) {
            return;
        }
        removeFromService(found->second);
    }
    auto &record = known ? found->second : m_agents[agent];
    if (record.load.creditEpoch != load.creditEpoch) {
        record.usedTotal = 0;
    }
    record.agent = agent;
    record.load = load;
    record.ordersSinceReport = 0;
    record.otherZone = load.zone != m_zone;
    addToService(record);
}

void held_credits::implementation::remove(incarnation_id agent)
{
    const auto found = m_agents.find(agent);
    if (found != m_agents.end()) {
        removeFromService(found->second);
        m_agents.erase(found);
    }
}

void held_credits::implementation::useCredit(service_agents &service, agent_record &record)
{
    eraseRanked(service, record);
    ++record.usedTotal;
    ++record.ordersSinceReport;
    insertRanked(service, record);
}

agent_record *held_credits::implementation::bestWithCredit(service_agents &service,
                                                           const usable_check &usable) const
{
    const auto found = std::ranges::find_if(
            service.ranked, [&](const agent_record &record) { return usable(record.agent); });
    return found == service.ranked.end() ? nullptr : &*found;
}

agent_record *held_credits::implementation::drawUsable(service_agents &service,
                                                       const usable_check &usable)
{
    const auto isEligible = [&](const agent_record *record) {
        return !record->load.leaving && usable(record->agent);
    };
    const auto pick = [&](const std::vector<agent_record *> &from) {
        std::uniform_int_distribution<std::size_t> index{0, from.size() - 1};
        return from[index(m_random)];
    };
    for (int attempt = 0; attempt < maxDraws; ++attempt) {
        auto *const record = pick(service.all);
        if (isEligible(record)) {
            return record;
        }
    }
    std::vector<agent_record *> eligibleAgents;
    std::ranges::copy_if(service.all, std::back_inserter(eligibleAgents), isEligible);
    return eligibleAgents.empty() ? nullptr : pick(eligibleAgents);
}

agent_record *held_credits::implementation::lessLoadedOfTwo(service_agents &service,
                                                            const usable_check &usable)
{
    auto *const first = drawUsable(service, usable);
    auto *const second = drawUsable(service, usable);
    if (first == nullptr || second == nullptr) {
        return first;
    }
    return second->assignedTasks() < first->assignedTasks() ? second : first;
}

std::optional<incarnation_id> held_credits::implementation::take(std::string_view service,
                                                                 const usable_check &usable)
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return std::nullopt;
    }
    agent_record *chosen = nullptr;
    switch (m_policy) {
    case placement_policy::credits:
        chosen = bestWithCredit(found->second, usable);
        break;
    case placement_policy::random:
        chosen = drawUsable(found->second, usable);
        break;
    case placement_policy::two_choices:
        chosen = lessLoadedOfTwo(found->second, usable);
        break;
    }
    if (chosen == nullptr) {
        return std::nullopt;
    }
    useCredit(found->second, *chosen);
    return chosen->agent;
}

std::uint64_t held_credits::implementation::returnUnused(incarnation_id agent)
{
    const auto found = m_agents.find(agent);
    if (found == m_agents.end()) {
        return 0;
    }
    auto &record = found->second;
    const auto returned = record.unused();
    eraseRanked(m_services.find(record.load.service)->second, record);
    record.usedTotal += returned;
    return returned;
}

held_credits::usage held_credits::implementation::usageOf(incarnation_id agent) const
{
    const auto found = m_agents.find(agent);
    if (found == m_agents.end()) {
        return {};
    }
    return usage{found->second.load.creditEpoch, found->second.usedTotal};
}

const service_agents *held_credits::implementation::find(std::string_view service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second;
}

std::uint64_t held_credits::implementation::availableOrders(std::string_view service) const
{
    const auto *const existing = find(service);
    if (existing == nullptr) {
        return 0;
    }
    if (m_policy == placement_policy::credits) {
        return existing->unused;
    }
    const bool any = std::ranges::any_of(
            existing->all, [](const agent_record *record) { return !record->load.leaving; });
    return any ? unlimitedOrders : 0;
}

std::uint32_t held_credits::implementation::slots(std::string_view service,
                                                  const usable_check &usable) const
{
    const auto *const existing = find(service);
    std::uint32_t sum = 0;
    if (existing != nullptr) {
        for (const auto *record : existing->all) {
            sum += !record->load.leaving && usable(record->agent) ? record->load.slots : 0;
        }
    }
    return sum;
}

std::vector<std::pair<incarnation_id, agent_load>> held_credits::implementation::agents() const
{
    std::vector<std::pair<incarnation_id, agent_load>> all;
    all.reserve(m_agents.size());
    for (const auto &[agent, record] : m_agents) {
        all.emplace_back(agent, record.load);
    }
    std::ranges::sort(all, {}, &std::pair<incarnation_id, agent_load>::first);
    return all;
}

held_credits::held_credits(placement_policy policy, std::string zone, std::uint64_t seed)
    : m_impl{std::make_unique<implementation>(policy, std::move(zone), seed)}
{}

held_credits::~held_credits() = default;
held_credits::held_credits(held_credits &&) noexcept = default;

void held_credits::report(incarnation_id agent, const agent_load &load)
{
    m_impl->report(agent, load);
}

void held_credits::remove(incarnation_id agent)
{
    m_impl->remove(agent);
}

std::optional<incarnation_id> held_credits::take(std::string_view service,
                                                 const usable_check &usable)
{
    return m_impl->take(service, usable);
}

std::uint64_t held_credits::returnUnused(incarnation_id agent)
{
    return m_impl->returnUnused(agent);
}

held_credits::usage held_credits::usageOf(incarnation_id agent) const
{
    return m_impl->usageOf(agent);
}

std::uint64_t held_credits::availableOrders(std::string_view service) const
{
    return m_impl->availableOrders(service);
}

std::uint32_t held_credits::slots(std::string_view service, const usable_check &usable) const
{
    return m_impl->slots(service, usable);
}

std::vector<std::pair<incarnation_id, agent_load>> held_credits::agents() const
{
    return m_impl->agents();
}

} // namespace bamboohead
