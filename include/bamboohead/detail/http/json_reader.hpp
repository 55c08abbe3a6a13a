#pragma once

#include "bamboohead/error_kind.hpp"

#include <boost/json.hpp>
#include <boost/leaf.hpp>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace bamboohead::detail {

/// @brief Why a request is refused before it reaches the core.
struct request_fault
{
    error_kind kind = error_kind::invalid_request;
    std::string path; ///< JSON pointer of the faulty value, or the name of a parameter or header
    std::string message;
};

/// @brief Inclusive bounds of an integer or of a length.
struct value_bounds
{
    std::int64_t least;
    std::int64_t most;
};

/// @brief Members of a JSON object, read with strict types. Each failure carries a request_fault
///        with the member's path.
class json_fields
{
public:
    json_fields(const boost::json::object &object, std::string prefix)
        : m_object{object}
        , m_prefix{std::move(prefix)}
    {}

    /// @brief Reads a text whose length in bytes is within bounds.
    [[nodiscard]] boost::leaf::result<std::string> text(std::string_view name,
                                                        value_bounds length) const;
    [[nodiscard]] boost::leaf::result<std::int64_t> integer(std::string_view name,
                                                            value_bounds allowed) const;
    /// @brief Reads an integer that may be absent.
    [[nodiscard]] boost::leaf::result<std::int64_t>
    integerOr(std::string_view name, value_bounds allowed, std::int64_t absent) const;
    [[nodiscard]] boost::leaf::result<bool> booleanOr(std::string_view name, bool absent) const;
    /// @brief Reads an array whose length is within bounds; it lives as long as the object.
    [[nodiscard]] boost::leaf::result<const boost::json::array *> array(std::string_view name,
                                                                        value_bounds length) const;

    [[nodiscard]] std::string path(std::string_view name) const;

private:
    const boost::json::object &m_object;
    std::string m_prefix;
};

/// @brief Reader of an object that has only members of the given names, else a request_fault.
/// @param object Lives longer than the reader.
[[nodiscard]] boost::leaf::result<json_fields>
readFields(const boost::json::object &object, std::string prefix,
           std::initializer_list<std::string_view> names);

/// @brief Parses a request body into a JSON object; depth and size are bounded.
[[nodiscard]] boost::leaf::result<boost::json::object> parseObject(std::string_view body);

/// @brief Whether a text is well-formed UTF-8, as JSON strings must be.
[[nodiscard]] bool isUtf8(std::string_view text);

} // namespace bamboohead::detail
