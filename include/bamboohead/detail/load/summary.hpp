#pragma once

#include <boost/json/object.hpp>

#include <string>
#include <vector>

namespace bamboohead::detail {

/// @brief Tables of several reports in Markdown: all figures, the comparison with the goals, and
///        the goals that were missed.
[[nodiscard]] std::string summaryPage(const std::vector<boost::json::object> &reports);

} // namespace bamboohead::detail
