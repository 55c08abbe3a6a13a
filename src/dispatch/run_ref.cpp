#include "bamboohead/dispatch/run_ref.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace bamboohead {

namespace {

constexpr int hexadecimal = 16;

bool isLowerHexDigit(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

} // namespace

std::string toText(batch_job_id id)
{
    std::array<char, batchJobIdDigits> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                   static_cast<std::uint64_t>(id), hexadecimal);
    const std::string text{digits.data(), end.ptr};
    return std::string(batchJobIdDigits - text.size(), '0') + text;
}

std::string toText(const run_ref &ref)
{
    return toText(ref.task.job) + "." + std::to_string(ref.task.step) + "." +
           std::to_string(ref.task.index) + "#" + std::to_string(ref.run);
}

std::optional<batch_job_id> parseBatchJobId(std::string_view text)
{
    if (text.size() != batchJobIdDigits || !std::ranges::all_of(text, isLowerHexDigit)) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value, hexadecimal);
    return batch_job_id{value};
}

run_ref fromWire(const wire::RunRef &ref)
{
    return {{batch_job_id{ref.job()}, ref.step(), ref.index()}, ref.run()};
}

void toWire(const run_ref &ref, wire::RunRef &out)
{
    out.set_job(static_cast<std::uint64_t>(ref.task.job));
    out.set_step(ref.task.step);
    out.set_index(ref.task.index);
    out.set_run(ref.run);
}

} // namespace bamboohead
