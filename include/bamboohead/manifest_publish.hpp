#pragma once

#include "bamboohead/store_client.hpp"

#include <functional>
#include <string>

namespace bamboohead {

/// @brief Result of publishManifest().
struct publish_result
{
    error_kind error = error_kind::none;
    config_version version = config_version::none; ///< new store revision; `none` on an error
    std::string detail;                            ///< reason of an error, for operators
};

/// @brief Time limit and time functions of publishManifest(). Both functions must be set.
struct publish_options
{
    duration timeout = std::chrono::seconds{10};
    std::function<time_point()> now;     ///< monotonic time
    std::function<void(duration)> pause; ///< waits before the next attempt
};

/// @brief Writes a manifest by compare-and-swap. When the response to the write is lost, finds out
///        whether the write took effect.
///
/// After a lost response the key is read back. When it is unchanged, the same write is sent again:
/// at most one of the copies can take effect, since each expects the old revision.
/// @param expected Revision on which the new text is based; `none` when there was no manifest.
/// @return The accepted version (the new store revision), or `manifest_conflict`,
///         `store_unavailable` (nothing was changed) or `store_outcome_unknown`.
[[nodiscard]] publish_result publishManifest(store_client &store, const std::string &text,
                                             store_revision expected,
                                             const publish_options &options);

} // namespace bamboohead
