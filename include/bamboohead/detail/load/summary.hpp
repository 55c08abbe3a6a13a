#pragma once

#include <boost/json/object.hpp>

#include <string>
#include <vector>

namespace bamboohead::detail {

/// @brief Renders several reports as Markdown tables: the comparison with the performance goals
///        with missed goals marked, and all figures.
/// @param reports Results of makeReport() with the members `mix`, `notes` and `machine` added.
[[nodiscard]] std::string summaryPage(const std::vector<boost::json::object> &reports);

} // namespace bamboohead::detail
