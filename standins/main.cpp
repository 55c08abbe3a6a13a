#include "commands.hpp"

#include <chrono>
#include <cinttypes>
#include <cstdio>
#include <string_view>

namespace {

constexpr int usageError = 2;

int usage()
{
    std::fputs("usage: standins store|target|now [options]; --help lists the options\n", stderr);
    return usageError;
}

/// Prints the steady clock in microseconds, so that test scripts can compare it with the times in
/// journals.
int printNow()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    const std::int64_t value = std::chrono::duration_cast<std::chrono::microseconds>(now).count();
    std::printf("%" PRId64 "\n", value);
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 2) {
        return usage();
    }
    const std::string_view command{argv[1]};
    if (command == "store") {
        return standins::storeCommand(argc - 1, argv + 1);
    }
    if (command == "target") {
        return standins::targetCommand(argc - 1, argv + 1);
    }
    return command == "now" ? printNow() : usage();
}
