#include "fuzz_targets.hpp"

#include <google/protobuf/stubs/logging.h>

// One of the functions of fuzz_targets.hpp; the build defines it for each binary.
#ifndef FUZZ_FUNCTION
#define FUZZ_FUNCTION fuzzManifest
#endif

// libFuzzer fixes the name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    // protobuf writes a line for each text that is not UTF-8.
    google::protobuf::SetLogHandler(nullptr);
    bamboohead::fuzz::FUZZ_FUNCTION({data, size});
    return 0;
}
