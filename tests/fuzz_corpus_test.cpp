#include "fuzz/fuzz_targets.hpp"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

namespace bamboohead::fuzz {

namespace {

/// Runs a fuzz target on all files of its corpus.
void replay(const std::string &name, void (*run)(input_bytes))
{
    std::size_t inputs = 0;
    for (const auto &file :
         std::filesystem::directory_iterator{std::string{FUZZ_CORPUS} + "/" + name}) {
        std::ifstream stream{file.path(), std::ios::binary};
        const std::vector<char> content{std::istreambuf_iterator<char>{stream}, {}};
        const std::vector<std::uint8_t> bytes{content.begin(), content.end()};
        CAPTURE(file.path().filename().string());
        CHECK_NOTHROW(run(bytes));
        ++inputs;
    }
    CHECK(inputs > 0);
}

} // namespace

// Guards against the return of crashes and accepted invalid values that fuzzing has found. The
// corpora contain the inputs that caused them, and at least one well-formed input of each kind.
TEST_CASE("committed fuzz inputs are handled without a crash or a value out of range")
{
    replay("job_body", fuzzJobBody);
    replay("manifest", fuzzManifest);
    replay("settings", fuzzSettings);
    replay("platform_body", fuzzPlatformBody);
    replay("store_answer", fuzzStoreAnswer);
    replay("entry_messages", fuzzEntryMessages);
    replay("agent_messages", fuzzAgentMessages);
}

} // namespace bamboohead::fuzz
