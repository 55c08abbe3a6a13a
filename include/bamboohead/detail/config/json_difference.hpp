#pragma once

#include <boost/json/value.hpp>

#include <string>
#include <vector>

namespace bamboohead::detail {

/// @brief One difference between two JSON values.
struct json_difference
{
    std::string path; ///< JSON pointer into the new value; that of the parent when removed
    std::string message;
};

/// @brief Finds what differs between two JSON values.
///
/// Objects are compared by key. The elements of two arrays of objects with a member `name` are
/// compared by this name, whatever their order; other arrays are compared as a whole.
[[nodiscard]] std::vector<json_difference> findDifferences(const boost::json::value &before,
                                                           const boost::json::value &after);

/// @brief A value as JSON text, shortened to 60 characters.
[[nodiscard]] std::string quoted(const boost::json::value &value);

} // namespace bamboohead::detail
