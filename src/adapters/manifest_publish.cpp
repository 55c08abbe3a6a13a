#include "bamboohead/manifest_publish.hpp"

#include <optional>

namespace bamboohead {

namespace {

constexpr duration retryInterval = std::chrono::milliseconds{100};

publish_result accepted(store_revision revision)
{
    publish_result result;
    result.version = config_version{static_cast<std::uint64_t>(revision)};
    return result;
}

/// Derives the result of a write with unknown outcome from the value that the store holds now.
/// @return Nothing when the key still has the expected revision.
std::optional<publish_result> resultFromStored(const store_value &stored, const std::string &text,
                                               store_revision expected)
{
    if (stored.modified == expected) {
        return std::nullopt;
    }
    if (stored.text == text) {
        return accepted(stored.modified);
    }
    return publish_result{error_kind::manifest_conflict, config_version::none,
                          "the response to the write was lost and the store holds another manifest "
                          "now; this change may have been in force before that manifest"};
}

} // namespace

publish_result publishManifest(store_client &store, const std::string &text,
                               store_revision expected, const publish_options &options)
{
    const auto limit = options.now() + options.timeout;
    publish_result result;
    // Whether an earlier attempt of the write may have taken effect, or may do so later.
    bool uncertain = false;
    do {
        const auto written = store.compareAndSwap(manifestKey, expected, text);
        if (const auto *revision = std::get_if<store_revision>(&written)) {
            return accepted(*revision);
        }
        const auto &error = std::get<store_error>(written);
        uncertain = uncertain || error.kind == error_kind::store_outcome_unknown;
        if (!uncertain) {
            result = {error.kind, config_version::none, error.detail};
        } else {
            result = {error_kind::store_outcome_unknown, config_version::none, error.detail};
            const auto stored = store.read(manifestKey);
            const auto *value = std::get_if<store_value>(&stored);
            const auto resolved =
                    value == nullptr ? std::nullopt : resultFromStored(*value, text, expected);
            if (resolved) {
                return *resolved;
            }
        }
        if (result.error == error_kind::manifest_conflict) {
            return result;
        }
        options.pause(retryInterval);
    } while (options.now() < limit);
    return result;
}

} // namespace bamboohead
