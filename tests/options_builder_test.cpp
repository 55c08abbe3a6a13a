#include "bamboohead/options_builder.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>

using namespace bamboohead;

namespace {

template <typename Builder>
error_kind errorOf(const Builder &builder)
{
    return boost::leaf::try_handle_all(
            [&builder]() -> boost::leaf::result<error_kind> {
                auto built = builder.build();
                if (!built) {
                    return built.error();
                }
                return error_kind::none;
            },
            [](error_kind kind) { return kind; }, [] { return error_kind::internal; });
}

} // namespace

TEST_CASE("a builder returns options with all values that were set")
{
    auto builder = entry_options_builder{};
    builder.incarnation(incarnation_id{7}).endpoint("tcp://127.0.0.1:1").zone("graz");
    builder.seeds({"tcp://127.0.0.1:2"}).randomSeed(3).policy(placement_policy::random).maxJobs(9);
    const auto options = builder.build();
    REQUIRE(options);
    CHECK(options->self.role == wire::ROLE_ENTRY);
    CHECK(options->seeds.size() == 1);
    CHECK(options->randomSeed == 3);
    CHECK(options->policy == placement_policy::random);
    CHECK(options->maxJobs == 9);
}

TEST_CASE("a builder rejects options without an incarnation, an endpoint or a valid zone")
{
    // Guards against a process that peers cannot connect to or whose zone cannot occur in a
    // manifest.
    auto builder = agent_options_builder{};
    CHECK(errorOf(builder) == error_kind::settings_invalid);
    builder.incarnation(incarnation_id{7}).endpoint("tcp://127.0.0.1:1").zone("not a zone");
    CHECK(errorOf(builder) == error_kind::settings_invalid);
    builder.zone("graz");
    CHECK(errorOf(builder) == error_kind::none);
}
