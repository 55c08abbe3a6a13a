#pragma once

#include "bamboohead/error_kind.hpp"
#include "bamboohead/types.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <stop_token>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bamboohead {

/// @brief Key of the manifest in the store.
inline constexpr std::string_view manifestKey = "/bamboohead/manifest";

/// @brief Revision at which a key was last changed; `none` means that the key is absent.
enum class store_revision : std::uint64_t { none = 0 };

/// @brief Value of a key at one revision.
struct store_value
{
    store_revision modified = store_revision::none; ///< `none` when the key is absent
    std::string text;                               ///< empty when the key is absent
};

/// @brief Error of a store call.
///
/// The kind is `store_unavailable` (nothing was changed), `store_outcome_unknown` (a write may have
/// been sent and have taken effect) or `manifest_conflict` (the key had another revision).
struct store_error
{
    error_kind kind = error_kind::store_unavailable;
    std::string detail; ///< reason, for operators
};

/// @brief Value that a store call returned, or its error.
template <typename Value>
using store_result = std::variant<Value, store_error>;

/// @brief Kind of an HTTP request to the store. A call of a store_client method may send several.
enum class store_request_kind : std::uint8_t { read, write, watch };
/// @brief Result of an HTTP request to the store. After `unknown`, a write may have taken effect.
enum class store_request_result : std::uint8_t { ok, conflict, unavailable, unknown };

/// @brief Text form of a kind or a result, for example `read` or `conflict`.
[[nodiscard]] std::string_view toText(store_request_kind call) noexcept;
[[nodiscard]] std::string_view toText(store_request_result result) noexcept;

/// @brief Number of HTTP requests by kind and result. Each retry is counted; a watch is counted
///        when it ends.
struct store_counters
{
    static constexpr std::size_t requestKinds = 3;
    static constexpr std::size_t results = 4;

    std::array<std::array<std::uint64_t, results>, requestKinds> counts{};

    [[nodiscard]] std::uint64_t of(store_request_kind call, store_request_result result) const
    {
        return counts.at(static_cast<std::size_t>(call)).at(static_cast<std::size_t>(result));
    }
};

/// @brief Called with each new value of a watched key; a deleted key has revision `none`.
using watch_listener = std::function<void(const store_value &)>;

/// @brief Client of the key-value store that holds the manifest (etcd). Thread-safe.
class store_client
{
public:
    virtual ~store_client() = default;

    /// @brief Reads the last committed value of a key.
    [[nodiscard]] virtual store_result<store_value> read(std::string_view key) = 0;

    /// @brief Writes a key if it was last changed at `expected` (`none`: if it is absent).
    ///        A write that may have been sent is never repeated.
    /// @return The revision of the new value, or the error.
    [[nodiscard]] virtual store_result<store_revision>
    compareAndSwap(std::string_view key, store_revision expected, std::string_view text) = 0;

    /// @brief Reports changes of a key from now on. Blocks until the watch fails or `stop` is
    ///        requested. The absence of changes doesn't show that the key is unchanged, since the
    ///        connection may be dead.
    /// @return Reason why the watch ended; after a stop request it has no meaning.
    virtual store_error watch(std::string_view key, const watch_listener &listener,
                              std::stop_token stop) = 0;

    [[nodiscard]] virtual store_counters counters() const = 0;
};

/// @brief Construction options of the store client.
struct store_options
{
    /// host:port; tried in turn, starting at the last good one. When empty, all calls fail with
    /// `store_unavailable`.
    std::vector<std::string> endpoints;
    duration callTimeout = std::chrono::seconds{2};    ///< time limit of a call, with its retries
    duration attemptTimeout = std::chrono::seconds{1}; ///< time limit of one HTTP request
    /// Upper bound of the first random delay between two rounds of a call; doubles with each delay
    /// until a call succeeds. A round is one attempt at each endpoint.
    duration firstBackoff = std::chrono::milliseconds{100};
    duration maxBackoff = std::chrono::seconds{2}; ///< maximum of that bound
    std::uint32_t maxRounds = 1;                   ///< maximum number of rounds of a call
    std::uint64_t seed = 1;                        ///< seed of the random delays
};

/// @brief Creates a client of the etcd v3 JSON gateway.
[[nodiscard]] std::unique_ptr<store_client> makeEtcdClient(store_options options);

} // namespace bamboohead
