#pragma once

#include "bamboohead/store_client.hpp"

#include <functional>
#include <string>

namespace bamboohead {

/// @brief Outcome of a change of the manifest in the store.
struct publish_result
{
    error_kind error = error_kind::none;
    config_version version = config_version::none; ///< accepted version when there is no error
    std::string detail;                            ///< for operators, when there is an error
};

/// @brief Limits and time source of publishManifest().
struct publish_options
{
    duration timeout = std::chrono::seconds{10};
    std::function<time_point()> now;     ///< steady time
    std::function<void(duration)> pause; ///< waits before a further try
};

/// @brief Writes a manifest by compare-and-swap and settles lost answers.
///
/// After a lost answer the key is read back. When it is unchanged, the same write is sent again:
/// at most one of the copies can take effect, since each expects the old revision.
/// @param expected Revision that the new text was made from; `none` when there was no manifest.
/// @return The accepted version, or `manifest_conflict`, `store_unavailable` (nothing was changed)
///         or `store_outcome_unknown`.
[[nodiscard]] publish_result publishManifest(store_client &store, const std::string &text,
                                             store_revision expected,
                                             const publish_options &options);

} // namespace bamboohead
