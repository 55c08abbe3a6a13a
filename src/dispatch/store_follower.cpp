#include "bamboohead/dispatch/store_follower.hpp"

#include <algorithm>

namespace bamboohead {

namespace {

/// Delay before the next call; doubles with each consecutive failure, up to a maximum.
/// @param failures Number of consecutive failures, at least 1.
duration retryDelayAfter(std::uint32_t failures, const store_follower_limits &limits)
{
    constexpr std::uint32_t maxDoublings = 10;
    const auto doublings = std::min(failures - 1, maxDoublings);
    return std::min(limits.initialRetryDelay * (1U << doublings), limits.maxRetryDelay);
}

} // namespace

// area_follower

area_follower::area_follower(store_area area, const clock &clock, store_follower_limits limits,
                             follow_mode mode)
    : m_area{area}
    , m_clock{clock}
    , m_limits{limits}
    , m_mode{mode}
{}

void area_follower::pollOften(bool often)
{
    if (m_mode == follow_mode::poll && often && !m_pollOften) {
        m_nextCallTime = m_clock.now();
    }
    m_pollOften = often;
}

std::optional<store_request> area_follower::nextCall(call_id id)
{
    if (m_pending || m_clock.now() < m_nextCallTime ||
        (m_mode == follow_mode::on_request && !m_requested)) {
        return std::nullopt;
    }
    m_pending = id;
    m_callSent = m_clock.now();
    if (m_listing) {
        if (m_lastKey.empty()) {
            m_listBegin = m_callSent;
        }
        const bool stale = m_mode == follow_mode::poll;
        const auto timeout =
                m_mode == follow_mode::on_request ? m_limits.requestTimeout : m_limits.callTimeout;
        return list_area{{id, timeout}, m_area, m_lastKey, stale};
    }
    const store_header header{id, m_limits.watchWait + m_limits.callTimeout};
    return watch_area{header, m_area, m_revision, m_limits.watchWait};
}

bool area_follower::handle(const store_reply &reply)
{
    m_pending.reset();
    if (reply.status == store_status::ok) {
        if (m_listing) {
            return handleListReply(reply);
        }
        if (reply.malformed > 0 && reply.items.empty() && reply.unreadable.empty()) {
            m_listing = true; // the store would return the same events again at once
            handleFailure();
            return false;
        }
        return handleWatchReply(reply);
    }
    if (reply.status == store_status::gone && !m_listing) {
        m_listing = true;
        if (m_historyLosses > 0) {
            m_nextCallTime = m_clock.now() + retryDelayAfter(m_historyLosses, m_limits);
        }
        ++m_historyLosses;
        return false;
    }
    handleFailure();
    return false;
}

bool area_follower::handleListReply(const store_reply &reply)
{
    if (m_lastKey.empty()) {
        // Each page is read at a later revision than the one before, and changes in between may be
        // in none of them.
        m_listRevision = reply.revision;
    }
    const auto after = m_lastKey;
    for (const auto &item : reply.items) {
        m_partialItems.insert_or_assign(item.key, item);
        m_lastKey = std::max(m_lastKey, item.key);
    }
    for (const auto &item : reply.unreadable) {
        if (const auto known = m_items.find(item.key); known != m_items.end()) {
            m_partialItems.insert(*known);
        }
        m_lastKey = std::max(m_lastKey, item.key);
    }
    if (reply.more) {
        if (m_lastKey <= after) {
            handleFailure(); // the next page would be this one again
        }
        return false;
    }
    return finishList();
}

/// Replaces the items by those of the complete list, except where the list is older.
bool area_follower::finishList()
{
    if (m_listRevision < m_revision) {
        // The known items are complete up to m_revision, so an older one that is not among them has
        // been removed.
        std::erase_if(m_partialItems, [this](const auto &listed) {
            return listed.second.revision <= m_revision && !m_items.contains(listed.first);
        });
    }
    for (const auto &[key, known] : m_items) {
        const auto listed = m_partialItems.find(key);
        if (listed == m_partialItems.end()) {
            if (known.revision > m_listRevision) {
                m_partialItems.emplace(key, known);
            }
        } else if (known.revision > listed->second.revision) {
            listed->second = known;
        }
    }
    m_failures = 0;
    const bool changed = m_partialItems != m_items || m_revision == 0;
    m_items = std::exchange(m_partialItems, {});
    m_lastKey.clear();
    if (m_mode != follow_mode::poll && m_listRevision >= m_revision) {
        m_proof = {m_listRevision, m_listBegin, true};
    }
    m_requestFailed = m_mode == follow_mode::on_request && m_listRevision < m_revision;
    m_revision = std::max(m_revision, m_listRevision);
    m_listing = m_mode != follow_mode::watch;
    m_requested = false;
    if (m_mode == follow_mode::poll) {
        m_nextCallTime = m_clock.now() + (m_pollOften ? m_limits.disconnectedPollInterval
                                                      : m_limits.connectedPollInterval);
    }
    return changed;
}

bool area_follower::handleWatchReply(const store_reply &reply)
{
    m_failures = 0;
    m_historyLosses = 0;
    // Only the revision of an event proves that all earlier events have been received. The revision
    // of a reply does not: a watch may return before it has received recent events.
    for (const auto &item : reply.unreadable) {
        m_revision = std::max(m_revision, item.revision);
    }
    for (const auto &item : reply.items) {
        m_revision = std::max(m_revision, item.revision);
        const auto known = m_items.find(item.key);
        if (known != m_items.end() && known->second.revision >= item.revision) {
            continue; // a later page of the list has contained a newer change
        }
        if (item.removed) {
            m_items.erase(item.key);
        } else {
            m_items.insert_or_assign(item.key, item);
        }
    }
    // A reply without events that was held back for the whole time was made after that time.
    const auto held = m_clock.now() - m_callSent;
    const bool heldBack =
            reply.items.empty() && reply.unreadable.empty() && held >= m_limits.watchWait;
    const auto at = heldBack ? m_callSent + m_limits.watchWait : m_callSent;
    m_proof = {m_revision, at, m_proof && m_proof->listed};
    return !reply.items.empty();
}

std::map<std::string, std::string> area_follower::values() const
{
    std::map<std::string, std::string> values;
    for (const auto &[key, item] : m_items) {
        values.emplace_hint(values.end(), key, item.value);
    }
    return values;
}

void area_follower::handleFailure()
{
    ++m_failures;
    m_partialItems.clear();
    m_lastKey.clear();
    if (m_mode == follow_mode::on_request) {
        m_requested = false;
        m_requestFailed = true;
        return;
    }
    m_nextCallTime = m_clock.now() + retryDelayAfter(m_failures, m_limits);
}

// member_registration

member_registration::member_registration(std::string name, std::string value, const clock &clock,
                                         store_follower_limits limits)
    : m_clock{clock}
    , m_limits{limits}
    , m_name{std::move(name)}
    , m_value{std::move(value)}
{}

std::optional<store_request> member_registration::nextCall(call_id id)
{
    const bool revokes = m_deregistered && m_step != step::finished;
    if (m_pending || m_step == step::finished || (m_clock.now() < m_nextCallTime && !revokes)) {
        return std::nullopt;
    }
    if (revokes) {
        m_step = step::revoke;
    }
    m_pending = id;
    const store_header header{id, m_limits.callTimeout};
    switch (m_step) {
    case step::grant:
        return grant_lease{header, m_limits.leaseDuration};
    case step::put:
        return put_member{header, m_name, m_value, m_lease};
    case step::renew:
        return renew_lease{header, m_lease};
    default:
        m_step = step::finished;
        return revoke_lease{header, m_lease};
    }
}

void member_registration::handle(const store_reply &reply)
{
    m_pending.reset();
    if (m_step == step::finished) {
        return;
    }
    if (reply.status == store_status::gone) {
        m_step = step::grant;
        m_nextCallTime = m_clock.now();
        return;
    }
    // The key contains the process's incarnation, so a conflict means that an earlier write of this
    // process was executed although its reply was lost.
    const bool done = reply.status == store_status::ok || reply.status == store_status::conflict;
    if (!done) {
        m_nextCallTime = m_clock.now() + retryDelayAfter(++m_failures, m_limits);
        return;
    }
    m_failures = 0;
    if (m_step == step::grant) {
        m_lease = reply.lease;
        m_step = step::put;
        m_nextCallTime = m_clock.now();
    } else {
        m_step = step::renew;
        m_nextCallTime = m_clock.now() + m_limits.leaseRenewalInterval;
    }
}

void member_registration::handleMembers(bool present)
{
    if (present) {
        m_keySeen = true;
    } else if (m_keySeen && m_step == step::renew && !m_pending) {
        m_keySeen = false;
        m_step = step::grant;
        m_nextCallTime = m_clock.now();
    }
}

// store_follower

store_follower::store_follower(store_follower_options options, const clock &clock)
    : m_options{std::move(options)}
    , m_configuration{store_area::configuration, clock, m_options.limits, m_options.configuration}
    , m_members{store_area::members, clock, m_options.limits, m_options.members}
{
    if (!m_options.memberName.empty()) {
        m_registration.emplace(m_options.memberName, m_options.memberValue, clock,
                               m_options.limits);
    }
}

template <typename Component>
void store_follower::collectCall(Component &component)
{
    if (auto call = component.nextCall(call_id{m_lastCall + 1})) {
        ++m_lastCall;
        m_calls.push_back(std::move(*call));
    }
}

void store_follower::tick()
{
    collectCall(m_configuration);
    collectCall(m_members);
    if (m_registration) {
        collectCall(*m_registration);
    }
}

void store_follower::handle(const store_reply &reply)
{
    if (m_configuration.awaits(reply.id)) {
        m_configurationChanged = m_configuration.handle(reply) || m_configurationChanged;
        updateReachability(m_configuration.failing());
    } else if (m_members.awaits(reply.id)) {
        m_membersChanged = m_members.handle(reply) || m_membersChanged;
        updateReachability(m_members.failing());
        const bool readSucceeded = reply.status == store_status::ok;
        if (readSucceeded && m_registration) {
            const bool present = std::ranges::any_of(m_members.items(), [&](const auto &item) {
                return item.second.value == m_options.memberValue;
            });
            m_registration->handleMembers(present);
        }
    } else if (m_registration && m_registration->awaits(reply.id)) {
        m_registration->handle(reply);
    }
    if (!reply.unreadable.empty()) {
        const auto &first = reply.unreadable.front();
        m_events.push_back({"store_values_unreadable",
                            {{"items", std::to_string(reply.unreadable.size())},
                             {"key", first.key},
                             {"revision", std::to_string(first.revision)}}});
    }
    tick();
}

void store_follower::updateReachability(bool failing)
{
    if (failing == m_storeUnreachable) {
        return;
    }
    m_storeUnreachable = failing;
    if (failing) {
        log("store_lost");
    } else {
        log("store_regained");
    }
}

void store_follower::log(std::string name)
{
    m_events.push_back(
            {std::move(name), {{"revision", std::to_string(m_configuration.revision())}}});
}

void store_follower::deregister()
{
    if (m_registration) {
        m_registration->deregister();
        collectCall(*m_registration);
    }
}

std::optional<std::pair<std::map<std::string, std::string>, std::uint64_t>>
store_follower::takeConfiguration()
{
    if (!std::exchange(m_configurationChanged, false)) {
        return std::nullopt;
    }
    return std::pair{m_configuration.values(), m_configuration.revision()};
}

std::optional<store_proof> store_follower::takeProof()
{
    const auto proof = m_configuration.takeProof();
    if (!proof) {
        return std::nullopt;
    }
    store_proof result{proof->revision, proof->at, {}};
    if (proof->listed) {
        result.values = m_configuration.values();
    }
    return result;
}

std::optional<std::vector<std::string>> store_follower::takeMembers()
{
    if (!std::exchange(m_membersChanged, false)) {
        return std::nullopt;
    }
    std::vector<std::string> endpoints;
    for (const auto &[key, item] : m_members.items()) {
        endpoints.push_back(item.value);
    }
    return endpoints;
}

} // namespace bamboohead
