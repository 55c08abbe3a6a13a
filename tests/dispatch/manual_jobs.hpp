#pragma once

#include "bamboohead/dispatch/batch_job.hpp"
#include "bamboohead/dispatch/desired_state.hpp"

namespace bamboohead::dispatch_test {

/// @brief A desired state with the route and service `quotes`.
inline desired_state stateWithOneRoute()
{
    desired_state state;
    state.revision = 1;
    state.version = 1;
    state.services = {"quotes"};
    dispatch_route route;
    route.name = "quotes";
    route.host = "desk.example";
    route.prefix = "/quotes/";
    route.service = "quotes";
    route.maxAttempts = 2;
    route.stretch = 30.0; // jobs wait for seconds before they are late
    state.routes = {route};
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
