#pragma once

#include "bamboohead/agent_core.hpp"
#include "bamboohead/entry_core.hpp"
#include "bamboohead/error_kind.hpp"
#include "bamboohead/link_table.hpp"
#include "bamboohead/placement.hpp"

#include <boost/leaf/result.hpp>

#include <string>
#include <vector>

namespace bamboohead {

/// @brief Setters that the builders of both roles, entry and agent, have in common.
/// @tparam Derived The derived builder, which each setter returns.
/// @tparam Options The type of the options built.
template <typename Derived, typename Options>
class options_builder
{
public:
    /// @brief Random id of this run of the process; required, other than `none`.
    Derived &incarnation(incarnation_id id)
    {
        m_options.self.incarnation = id;
        return derived();
    }

    /// @brief ZeroMQ endpoint at which peers connect to the process; required.
    Derived &endpoint(std::string text)
    {
        m_options.self.endpoint = std::move(text);
        return derived();
    }

    /// @brief Availability zone of the process; required, a valid manifest name.
    Derived &zone(std::string name)
    {
        m_options.self.zone = std::move(name);
        return derived();
    }

    /// @brief Endpoints of entries that the process contacts first to join the system; empty by
    ///        default.
    Derived &seeds(std::vector<std::string> endpoints)
    {
        m_options.seeds = std::move(endpoints);
        return derived();
    }

    /// @brief Seed of the random number generator for all random choices; 1 by default. An agent
    ///        makes none and does not use it.
    Derived &randomSeed(std::uint64_t seed)
    {
        m_options.randomSeed = seed;
        return derived();
    }

    /// @brief Validates and returns the options.
    /// @return The options, or `error_kind::settings_invalid` when the incarnation, the endpoint or
    ///         the zone is missing or invalid.
    [[nodiscard]] boost::leaf::result<Options> build() const
    {
        const auto &self = m_options.self;
        const bool valid = self.incarnation != incarnation_id::none && !self.endpoint.empty() &&
                           isManifestName(self.zone);
        if (!valid) {
            return boost::leaf::new_error(error_kind::settings_invalid);
        }
        return m_options;
    }

protected:
    explicit options_builder(wire::Role role) { m_options.self.role = role; }

    Options m_options;

private:
    Derived &derived() { return static_cast<Derived &>(*this); }
};

/// @brief Builds the options of an entry_core.
class entry_options_builder final : public options_builder<entry_options_builder, entry_options>
{
public:
    entry_options_builder()
        : options_builder{wire::ROLE_ENTRY}
    {}

    /// @brief Policy by which agents are chosen for tasks; `credits` by default.
    entry_options_builder &policy(placement_policy chosen)
    {
        m_options.policy = chosen;
        return *this;
    }

    /// @brief Number of unfinished jobs of which the entry is the primary, or which it has taken
    ///        over as backup (see job_home), from which on new jobs are refused with `overloaded`;
    ///        20,000 by default.
    entry_options_builder &maxJobs(std::size_t jobs)
    {
        m_options.maxJobs = jobs;
        return *this;
    }
};

/// @brief Builds the options of an agent_core.
class agent_options_builder final : public options_builder<agent_options_builder, agent_options>
{
public:
    agent_options_builder()
        : options_builder{wire::ROLE_AGENT}
    {}
};

} // namespace bamboohead
