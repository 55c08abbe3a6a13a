#pragma once

#include "bamboohead/admission.hpp"
#include "bamboohead/config_state.hpp"
#include "bamboohead/detail/entry/agent_table.hpp"
#include "bamboohead/detail/entry/home_table.hpp"
#include "bamboohead/detail/entry/job_table.hpp"
#include "bamboohead/detail/entry/limits.hpp"
#include "bamboohead/detail/entry/outbox.hpp"
#include "bamboohead/ready_queue.hpp"
#include "bamboohead/target_health.hpp"

namespace bamboohead::detail {

class membership;
class job_manager;
class primary_replication;
class takeover;
class forwarder;
class dispatcher;
class order_tracker;

/// @brief Tables of one entry and the components that operate on them. Each component accesses the
///        others through this struct.
struct entry_context
{
    entry_context(entry_options entryOptions, const clock &entryClock)
        : options{std::move(entryOptions)}
        , time{entryClock}
        , links{options.self, entryClock}
        , config{options.self.zone, entryClock}
        , out{links, counters}
        , credits{options.policy, options.self.zone, options.randomSeed}
    {}

    [[nodiscard]] time_point now() const { return time.now(); }
    [[nodiscard]] incarnation_id self() const noexcept { return options.self.incarnation; }
    /// @brief Whether the peer is proven to have been alive within `peerTimeout`.
    [[nodiscard]] bool alive(incarnation_id peer) const { return links.alive(peer, peerTimeout); }
    /// @brief Whether the peer is considered failed, which is not just the opposite of alive(); see
    ///        link_table::silent().
    [[nodiscard]] bool silent(incarnation_id peer) const { return links.silent(peer, peerTimeout); }

    entry_options options;
    const clock &time; ///< clock of now()
    entry_counters counters;
    link_table links;
    config_state config;
    outbox out;
    bool draining = false;
    /// @brief End of the time after a stall of this process in which no peer is considered failed:
    ///        echoes of its timestamps (see peerTimeout) may be missing because of the stall.
    ///        silent() does not check it, so its callers have to.
    time_point suspectPeersAfter;

    job_table jobs;
    home_table homes;
    agent_table agents;
    entry_table entries;

    held_credits credits;
    ready_queue queue;
    admission admit; ///< decides which new jobs are accepted
    target_health health;

    // Components, set by entry_core before the first input
    membership *members = nullptr;
    job_manager *manager = nullptr;
    primary_replication *replication = nullptr;
    takeover *takeovers = nullptr;
    forwarder *forwards = nullptr;
    dispatcher *dispatch = nullptr;
    order_tracker *orders = nullptr;
};

} // namespace bamboohead::detail
