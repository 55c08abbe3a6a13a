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

/// Judges the key after a lost answer. @return Nothing when it is unchanged.
std::optional<publish_result> judge(const store_value &held, const std::string &text,
                                    store_revision expected)
{
    if (held.modified == expected) {
        return std::nullopt;
    }
    if (held.text == text) {
        return accepted(held.modified);
    }
    return publish_result{error_kind::manifest_conflict, config_version::none,
                          "after a lost answer the store holds another manifest; this change may "
                          "have been in force before it"};
}

} // namespace

publish_result publishManifest(store_client &store, const std::string &text,
                               store_revision expected, const publish_options &options)
{
    const auto limit = options.now() + options.timeout;
    publish_result result;
    bool uncertain = false; // a copy of the write may have taken effect, or may yet
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
            const auto held = store.read(manifestKey);
            const auto *value = std::get_if<store_value>(&held);
            const auto verdict = value == nullptr ? std::nullopt : judge(*value, text, expected);
            if (verdict) {
                return *verdict;
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
