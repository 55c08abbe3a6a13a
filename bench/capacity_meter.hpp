#pragma once

#include "bamboohead/wire.hpp"

#include <boost/json.hpp>

#include <array>
#include <cstdint>

namespace bamboohead::bench {

/// @brief Messages and encoded bytes of one kind.
struct traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

using kind_table = std::array<traffic, messageKinds.size()>;

/// @brief What one core has used since the last reset.
struct usage
{
    std::int64_t cpuNanoseconds = 0; ///< thread CPU time in the core, the encoder and the parser
    std::int64_t heapBytes = 0;      ///< growth of the live heap inside the core's calls
    kind_table sent;
    kind_table received;
};

/// @brief Live bytes of this thread's heap, as the allocator rounds them.
[[nodiscard]] std::int64_t liveHeapBytes();

/// @brief Adds the CPU time and the heap growth of its scope to a usage.
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

/// @brief Sum over the kinds.
[[nodiscard]] traffic total(const kind_table &table);

/// @brief JSON object of a usage: CPU in microseconds, heap in bytes, messages and bytes in all and
///        by kind.
[[nodiscard]] boost::json::object toJson(const usage &used);

} // namespace bamboohead::bench
