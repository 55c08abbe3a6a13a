#pragma once

#include "bamboohead/wire.hpp"

#include <boost/json.hpp>

#include <array>
#include <cstdint>

namespace bamboohead::bench {

/// @brief Number of messages and of encoded bytes of one kind.
struct traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

using kind_table = std::array<traffic, messageKinds.size()>;

/// @brief CPU time, heap and messages of one core since the last reset.
struct usage
{
    std::int64_t cpuNanoseconds = 0; ///< thread CPU time in the core, the encoder and the parser
    std::int64_t heapBytes = 0;      ///< growth of the live heap inside the core's calls
    kind_table sent;
    kind_table received;
};

/// @brief Live heap bytes of this thread: allocated less freed, as rounded by the allocator.
[[nodiscard]] std::int64_t liveHeapBytes();

/// @brief Adds the CPU time and the heap growth during its lifetime to a usage.
class meter
{
public:
    explicit meter(usage &used);
    ~meter();
    meter(const meter &) = delete;
    meter &operator=(const meter &) = delete;

private:
    usage &m_used;
    std::int64_t m_heap;
    std::int64_t m_begin;
};

/// @brief Sum over all kinds of messages.
[[nodiscard]] traffic total(const kind_table &table);

/// @brief JSON object of a usage: CPU in microseconds, heap in bytes, messages and bytes in
///        total and by kind. Kinds without messages are left out.
[[nodiscard]] boost::json::object toJson(const usage &used);

} // namespace bamboohead::bench
