#include "commands.hpp"

#include <cstdio>
#include <string_view>

namespace {

constexpr int usageError = 2;

int usage()
{
    std::fputs("usage: standins store|target [options]; --help lists the options\n", stderr);
    return usageError;
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
    return usage();
}
