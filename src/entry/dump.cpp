#include "bamboohead/detail/entry/dump.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace bamboohead::detail {

namespace {

namespace json = boost::json;

json::object homeName(const job_home &home)
{
    return {{"primary", toText(home.primary)}, {"backup", toText(home.backup)}};
}

std::uint64_t number(config_version version)
{
    return static_cast<std::uint64_t>(version);
}

json::array dumpEntries(const entry_context &context)
{
    json::array entries;
    for (const auto &[incarnation, state] : context.entries) {
        const auto *peer = context.links.find(incarnation);
        entries.push_back({{"incarnation", toText(incarnation)},
                           {"endpoint", peer->endpoint},
                           {"zone", peer->zone},
                           {"alive", context.alive(incarnation)},
                           {"draining", state.draining},
                           {"current", state.current},
                           {"config_version", number(state.version)}});
    }
    return entries;
}

json::array dumpAgents(const entry_context &context)
{
    json::array agents;
    for (const auto &[incarnation, agent] : context.agents) {
        const auto usage = context.credits.usageOf(incarnation);
        agents.push_back({{"incarnation", toText(incarnation)},
                          {"endpoint", agent.endpoint},
                          {"zone", agent.load.zone},
                          {"alive", context.alive(incarnation)},
                          {"service", agent.load.service},
                          {"slots", agent.load.slots},
                          {"running", agent.load.running},
                          {"queued", agent.load.queued},
                          {"leaving", agent.load.leaving},
                          {"healthy", context.health.usable(incarnation, context.now())},
                          {"config_version", number(agent.version)},
                          {"credit_epoch", usage.epoch},
                          {"issued_total", agent.load.issuedTotal},
                          {"used_total", usage.usedTotal}});
    }
    return agents;
}

json::object dumpJobs(const entry_context &context)
{
    std::map<std::string_view, std::uint64_t> counts;
    for (const auto &[id, job] : context.jobs.jobs()) {
        ++counts[toText(job->phase)];
    }
    json::object jobs;
    for (const auto &[phase, count] : counts) {
        jobs[phase] = count;
    }
    return jobs;
}

json::array dumpHomes(const entry_context &context)
{
    json::array homes;
    for (const auto &[id, home] : context.homes.primary) {
        auto item = homeName(id);
        item["part"] = "primary";
        item["sessions"] = home.sessions;
        item["scope_agents"] = home.scope.size();
        item["scope_version"] = home.scopeVersion;
        item["scope_acknowledged"] = home.ackedVersion;
        homes.push_back(std::move(item));
    }
    for (const auto &[id, home] : context.homes.backup) {
        constexpr std::array<std::string_view, 3> phases{"standby", "fencing", "taken"};
        auto item = homeName(id);
        item["part"] = "backup";
        item["takeover"] = phases.at(static_cast<std::size_t>(home.phase));
        item["scope_agents"] = home.scope.size();
        item["scope_version"] = home.scopeVersion;
        item["reported"] = home.reported.size();
        homes.push_back(std::move(item));
    }
    for (const auto &id : context.homes.fenced) {
        auto item = homeName(id);
        item["part"] = "fenced";
        homes.push_back(std::move(item));
    }
    return homes;
}

json::array dumpBacklog(const entry_context &context)
{
    json::array services;
    for (const auto &backlog : context.queue.backlog(context.now())) {
        services.push_back({{"service", backlog.service},
                            {"waiting", backlog.waitingTasks},
                            {"oldest_age_us", backlog.oldestAge.count()},
                            {"credits", context.credits.availableOrders(backlog.service)}});
    }
    return services;
}

} // namespace

json::value dumpState(const entry_context &context)
{
    json::object state;
    state["role"] = "entry";
    state["incarnation"] = toText(context.self());
    state["zone"] = context.options.self.zone;
    state["config_version"] = number(context.config.version());
    state["current"] = context.config.entryCurrent();
    state["draining"] = context.draining;
    state["entries"] = dumpEntries(context);
    state["agents"] = dumpAgents(context);
    state["sessions"] = context.jobs.sessionCount();
    state["unfinished_jobs"] = context.jobs.unfinished();
    state["jobs"] = dumpJobs(context);
    state["homes"] = dumpHomes(context);
    state["takeovers"] = context.counters.takeovers;
    state["backlog"] = dumpBacklog(context);
    return state;
}

} // namespace bamboohead::detail
