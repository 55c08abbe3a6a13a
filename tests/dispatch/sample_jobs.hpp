#pragma once

#include "bamboohead/dispatch/batch_job.hpp"
#include "bamboohead/dispatch/desired_state.hpp"

namespace bamboohead::dispatch_test {

/// @brief The route `quotes`, with a target latency of 5 s, which lets jobs wait for seconds.
inline dispatch_route quoteRoute()
{
    dispatch_route route;
    route.name = "quotes";
    route.host = "desk.example";
    route.prefix = "/quotes/";
    route.service = "quotes";
    route.maxAttempts = 3;
    route.stretch = 10;
    route.objectiveOffset = std::chrono::seconds{5};
    return route;
}

/// @brief A desired state with the route and service `quotes`.
inline desired_state stateWithOneRoute()
{
    desired_state state;
    state.revision = 1;
    state.version = 1;
    state.services = {"quotes"};
    state.routes = {quoteRoute()};
    return state;
}

/// @brief A best-effort job of one task.
inline batch_submission smallJob(std::uint64_t number)
{
    batch_submission job;
    job.id = batch_job_id{number};
    job.spec = "spec";
    job.bestEffort = true;
    batch_step step;
    step.count = 1;
    step.demand = {1'000, 64, 0};
    step.estimate = std::chrono::milliseconds{100};
    job.steps.push_back(step);
    return job;
}

} // namespace bamboohead::dispatch_test
