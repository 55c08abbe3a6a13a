#include "fuzz_targets.hpp"

#include <google/protobuf/stubs/logging.h>

// A function of fuzz_targets.hpp. The build defines it for each binary.
#ifndef FUZZ_FUNCTION
#define FUZZ_FUNCTION fuzzManifest
#endif

// The name is prescribed by libFuzzer.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    // protobuf logs an error for each string field that is not valid UTF-8.
    google::protobuf::SetLogHandler(nullptr);
    bamboohead::fuzz::FUZZ_FUNCTION({data, size});
    return 0;
}
