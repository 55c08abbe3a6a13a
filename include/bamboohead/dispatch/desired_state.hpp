#pragma once

#include "bamboohead/types.hpp"
#include "bamboohead/wire.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohead {

/// @brief A queue of jobs: which requests belong to it and how its jobs are run.
struct dispatch_route
{
    std::string name;
    std::string host;
    std::string prefix;
    std::string service;           ///< runs the tasks
    std::uint32_t priority = 0;    ///< lower numbers start first
    std::uint32_t maxAttempts = 1; ///< failed runs of a task after which its job has failed
    double stretch = 1.0;          ///< factor of the response-time objective on the job's work
    duration targetLatency{};      ///< added to the response-time objective
    duration timeout{};            ///< 0: none
};

/// @brief What operators want in force, as of one revision of the store.
struct desired_state
{
    /// Revision of the store at which all of this held; the newer of two states has the higher one.
    std::uint64_t revision = 0;
    std::uint64_t version = 0; ///< the operators' number of the routes and services; 0: none yet
    std::vector<dispatch_route> routes;
    std::vector<std::string> services;
    std::vector<std::string> zonesOut; ///< zones in which no task may start
    std::uint64_t maxBodyBytes = 0;    ///< 0: the product's own limit

    [[nodiscard]] bool zoneOut(std::string_view zone) const;
};

/// @brief A route that a request belongs to, and the part of the path behind its prefix.
struct route_match
{
    const dispatch_route *route = nullptr;
    std::string_view rest;
};

/// @brief Finds the route of the host with the longest prefix of the path.
/// @param path Lives as long as the result.
[[nodiscard]] std::optional<route_match> findRoute(const desired_state &state,
                                                   std::string_view host, std::string_view path);

/// @brief Conversions to and from the form that processes exchange.
/// @{
[[nodiscard]] std::string encode(const desired_state &state);
/// @return Nothing when the bytes are malformed.
[[nodiscard]] std::optional<desired_state> decodeDesiredState(const std::string &bytes);
/// @}

} // namespace bamboohead
