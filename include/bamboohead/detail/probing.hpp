#pragma once

#include "bamboohead/types.hpp"

namespace bamboohead::detail {

/// @brief Time without news from a peer after which messages may have been lost: the interval of
///        heartbeats (500 ms) plus that of the sweeps (100 ms). Applies to the newest message from
///        the peer, and to the newest own timestamp that the peer has received.
inline constexpr duration newsOverdue = std::chrono::milliseconds{600};
/// @brief Minimum interval between additional heartbeats to such a peer. Several of them fit into
///        the time until the peer is considered failed (link_table::silent()), so that this does
///        not result from the loss of two or three messages.
inline constexpr duration probeInterval = std::chrono::milliseconds{200};

} // namespace bamboohead::detail
