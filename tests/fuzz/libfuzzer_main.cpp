#include "fuzz_targets.hpp"

#include <google/protobuf/stubs/logging.h>

/// Called by libFuzzer; FUZZ_FUNCTION is one of the functions of fuzz_targets.hpp.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    // protobuf writes a line for each text that is not UTF-8.
    google::protobuf::SetLogHandler(nullptr);
    bamboohead::fuzz::FUZZ_FUNCTION({data, size});
    return 0;
}
