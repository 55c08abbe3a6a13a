#include "capacity_meter.hpp"

#include <cstdlib>
#include <malloc.h>
#include <new>
#include <time.h>

namespace {

thread_local std::int64_t liveHeap = 0;

void *allocateCounted(std::size_t size)
{
    void *const block = std::malloc(size);
    if (block == nullptr) {
        throw std::bad_alloc{};
    }
    liveHeap += static_cast<std::int64_t>(malloc_usable_size(block));
    return block;
}

void freeCounted(void *block) noexcept
{
    liveHeap -= static_cast<std::int64_t>(malloc_usable_size(block));
    std::free(block);
}

} // namespace

void *operator new(std::size_t size)
{
    return allocateCounted(size);
}
void *operator new[](std::size_t size)
{
    return allocateCounted(size);
}
void operator delete(void *block) noexcept
{
    freeCounted(block);
}
void operator delete[](void *block) noexcept
{
    freeCounted(block);
}
void operator delete(void *block, std::size_t) noexcept
{
    freeCounted(block);
}
void operator delete[](void *block, std::size_t) noexcept
{
    freeCounted(block);
}

namespace bamboohead::bench {

namespace {

std::int64_t threadNanoseconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::int64_t{time.tv_sec} * 1'000'000'000 + time.tv_nsec;
}

/// Nanoseconds that one reading of the clock takes; they are subtracted from each measurement.
std::int64_t clockReadCost()
{
    constexpr int readings = 20'000;
    const auto begin = threadNanoseconds();
    for (int i = 0; i < readings; ++i) {
        (void)threadNanoseconds();
    }
    return (threadNanoseconds() - begin) / readings;
}

} // namespace

std::int64_t liveHeapBytes()
{
    return liveHeap;
}

meter::meter(usage &used)
    : m_used{used}
    , m_heap{liveHeap}
    , m_begin{threadNanoseconds()}
{}

meter::~meter()
{
    static const auto cost = clockReadCost();
    m_used.cpuNanoseconds += threadNanoseconds() - m_begin - cost;
    m_used.heapBytes += liveHeap - m_heap;
}

traffic total(const kind_table &table)
{
    traffic sum;
    for (const auto &kind : table) {
        sum.messages += kind.messages;
        sum.bytes += kind.bytes;
    }
    return sum;
}

boost::json::object toJson(const usage &used)
{
    const auto table = [](const kind_table &kinds) {
        boost::json::object all;
        for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
            if (kinds[kind].messages != 0) {
                all[messageKinds[kind]] =
                        boost::json::array{kinds[kind].messages, kinds[kind].bytes};
            }
        }
        return all;
    };
    const auto sent = total(used.sent);
    const auto received = total(used.received);
    return {{"cpu_us", static_cast<double>(used.cpuNanoseconds) / 1e3},
            {"heap_bytes", used.heapBytes},
            {"sent_messages", sent.messages},
            {"sent_bytes", sent.bytes},
            {"received_messages", received.messages},
            {"received_bytes", received.bytes},
            {"sent_kinds", table(used.sent)},
            {"received_kinds", table(used.received)}};
}

} // namespace bamboohead::bench
