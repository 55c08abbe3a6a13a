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

/// @brief Steps that the builders of both roles share.
/// @tparam Derived the builder that each step returns
/// @tparam Options the options that it builds
template <typename Derived, typename Options>
class options_builder
{
public:
    /// @brief Random number that names this run of the process; required, not none.
    Derived &incarnation(incarnation_id id)
    {
        m_options.self.incarnation = id;
        return derived();
    }

    /// @brief ZeroMQ endpoint at which peers reach the process; required.
    Derived &endpoint(std::string text)
    {
        m_options.self.endpoint = std::move(text);
        return derived();
    }

    /// @brief Availability zone of the process; required, a name as in the manifest.
    Derived &zone(std::string name)
    {
        m_options.self.zone = std::move(name);
        return derived();
    }

    /// @brief Endpoints of entries to greet.
    Derived &seeds(std::vector<std::string> endpoints)
    {
        m_options.seeds = std::move(endpoints);
        return derived();
    }

    /// @brief Seed of all random choices.
    Derived &randomSeed(std::uint64_t seed)
    {
        m_options.seed = seed;
        return derived();
    }

    /// @brief Checks and returns the options.
    /// @return `error_kind::settings_invalid` when a required part is missing or malformed.
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

    /// @brief How tasks are placed; credits by default.
    entry_options_builder &policy(placement_policy chosen)
    {
        m_options.policy = chosen;
        return *this;
    }

    /// @brief Most unfinished jobs held as primary.
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
