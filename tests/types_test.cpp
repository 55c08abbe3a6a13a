#include "bamboohead/types.hpp"

#include <doctest/doctest.h>

using namespace bamboohead;

TEST_CASE("a job id is restored from its text form")
{
    // Guards against routing a resubmitted job to the home of another job.
    const job_id id{session_id{job_home{incarnation_id{1}, incarnation_id{0xabcdefULL}}, 7}, 42};
    CHECK(toText(id) == "j1.0000000000000001.0000000000abcdef.0000000000000007.42");
    CHECK(parseJobId(toText(id)) == id);
    CHECK(parseSessionId(toText(id.session)) == id.session);
}

TEST_CASE("a malformed job id is rejected")
{
    for (const auto *text : {"", "j1", "j1.0.0.0.0", "j1.1.2.3", "j2.1.2.3.4", "j1.1.2.3.4x",
                             "j1.1.2.3.", "j1.1.2.3.4.5", "j1.zz.2.3.4"}) {
        CAPTURE(text);
        CHECK_FALSE(parseJobId(text));
    }
}
