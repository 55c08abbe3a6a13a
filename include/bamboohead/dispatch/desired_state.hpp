#pragma once

#include "bamboohead/types.hpp"
#include "bamboohead/wire.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohead {

/// @brief A route of requests: which requests belong to it, and how their jobs are run.
struct dispatch_route
{
    std::string name;
    std::string host;              ///< host of the requests, without a port; compared exactly
    std::string prefix;            ///< prefix of the requests' paths; empty: any path
    std::string service;           ///< service whose targets run the tasks
    std::uint32_t priority = 0;    ///< tasks with lower numbers start first
    std::uint32_t maxAttempts = 1; ///< number of failed runs of a task at which its job fails
    /// Factor of the critical path's length in the response-time objective, see
    /// responseObjective().
    double stretch = 1.0;
    duration objectiveOffset{}; ///< constant part of the response-time objective
    /// Time limit of a job as configured by the operators; 0: none. Entries do not apply it: a
    /// job's time limit is that of its caller, or else dispatch_entry_limits::defaultCallerTimeout.
    duration timeout{};

    bool operator==(const dispatch_route &) const = default;
};

/// @brief The operators' configuration at one revision of the store.
///
/// It is called `config` in the code and the log lines of entries and agents, and in the names of
/// the messages by which they exchange it; the field of ConfigPush that contains it is `manifest`.
struct desired_state
{
    /// Store revision at which the whole state was valid; newer states have higher revisions.
    std::uint64_t revision = 0;
    std::uint64_t version = 0; ///< operators' version of routes and services; 0: none yet
    std::vector<dispatch_route> routes;
    std::vector<std::string> services;
    std::vector<std::string> zonesOut; ///< zones in which no task may start
    std::uint64_t maxBodyBytes = 0;    ///< limit of a request body; 0: the server's own limit

    /// @brief Whether no task may start in a zone.
    [[nodiscard]] bool zoneOutOfService(std::string_view zone) const;
    /// @brief Whether both states differ at most in their revision.
    [[nodiscard]] bool sameContent(const desired_state &other) const;

    bool operator==(const desired_state &) const = default;
};

/// @brief The route that matches a request, and the path after the route's prefix.
struct route_match
{
    const dispatch_route *route = nullptr;
    std::string_view rest;
};

/// @brief Finds the route of a host with the longest matching prefix of a path.
/// @param state Has to outlive the result, which points to its route.
/// @param path The referenced text has to outlive the result.
/// @return Nothing when no route matches.
[[nodiscard]] std::optional<route_match> findRoute(const desired_state &state,
                                                   std::string_view host, std::string_view path);

/// @brief Conversions to and from the serialized form in which processes exchange the state.
/// @{
[[nodiscard]] std::string encode(const desired_state &state);
/// @return Nothing when the bytes are malformed.
[[nodiscard]] std::optional<desired_state> decodeDesiredState(const std::string &bytes);
/// @}

} // namespace bamboohead
