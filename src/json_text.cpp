#include "bamboohead/detail/config/json_text.hpp"

#include <boost/json/stream_parser.hpp>

#include <algorithm>

namespace bamboohead::detail {

text_position positionAt(std::string_view text, std::size_t offset)
{
    const auto before = text.substr(0, offset);
    const auto lineStart = before.rfind('\n');
    return {1 + static_cast<std::size_t>(std::ranges::count(before, '\n')),
            lineStart == std::string_view::npos ? before.size() + 1 : before.size() - lineStart};
}

std::variant<boost::json::value, syntax_error> parseJsonText(std::string_view text,
                                                             json_comments comments)
{
    constexpr int maxDepth = 16;
    boost::json::parse_options options;
    options.allow_comments = comments == json_comments::allowed;
    options.max_depth = maxDepth;
    boost::json::stream_parser parser{{}, options};
    boost::json::error_code error;
    const auto offset = parser.write(text.data(), text.size(), error);
    if (!error) {
        parser.finish(error);
    }
    if (error) {
        return syntax_error{offset, error.message()};
    }
    return parser.release();
}

} // namespace bamboohead::detail
