#include "bamboohead/logging.hpp"

#include <doctest/doctest.h>

namespace bamboohead {

// Guards against log injection: external values that look like further fields or lines.
TEST_CASE("log values are quoted and escaped when they contain special characters")
{
    CHECK(escapeLogValue("plain-1.2:3") == "plain-1.2:3");
    CHECK(escapeLogValue("") == R"("")");
    CHECK(escapeLogValue("a b") == R"("a b")");
    CHECK(escapeLogValue("a=b") == R"("a=b")");
    CHECK(escapeLogValue("say \"x\"") == R"("say \"x\"")");
    CHECK(escapeLogValue("back\\slash") == R"("back\\slash")");
    CHECK(escapeLogValue("two\nlines") == R"("two\nlines")");
    CHECK(escapeLogValue(std::string_view{"\x1b\0", 2}) == R"("\x1b\x00")");
}

// Guards against log lines whose event a parser of key=value lines cannot identify.
TEST_CASE("a log line has the event first and then its fields in order")
{
    CHECK(formatLogLine("job_ended", {{"id", "j1"}, {"reason", "task failed"}}) ==
          R"(event=job_ended id=j1 reason="task failed")");
}

} // namespace bamboohead
