#pragma once

#include "bamboohead/error_kind.hpp"

#include <boost/json.hpp>
#include <boost/leaf.hpp>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace bamboohead::detail {

/// @brief Error response to a request that is not the answer for a job, for example because the
///        request is invalid, too many callers wait, or the core returned an error for a session or
///        gave no answer in time.
struct request_fault
{
    error_kind kind = error_kind::invalid_request;
    /// JSON pointer of the invalid value, or the name of a parameter or header; empty for the body
    /// as a whole and for errors that concern no value.
    std::string path;
    std::string message; ///< empty: the general message of the error kind
};

/// @brief Inclusive bounds of an integer or a length.
struct value_bounds
{
    std::int64_t min;
    std::int64_t max;
};

/// @brief Typed access to the members (key and value) of a JSON object. Types are not converted. A
///        function fails with a request_fault that contains the member's path.
class json_fields
{
public:
    /// @param object Must outlive this instance.
    /// @param prefix JSON pointer of the object; empty for the top level.
    json_fields(const boost::json::object &object, std::string prefix)
        : m_object{object}
        , m_prefix{std::move(prefix)}
    {}

    /// @brief Reads a required string whose length in bytes is within bounds.
    [[nodiscard]] boost::leaf::result<std::string> text(std::string_view name,
                                                        value_bounds length) const;
    /// @brief Reads a required integer that is within bounds.
    [[nodiscard]] boost::leaf::result<std::int64_t> integer(std::string_view name,
                                                            value_bounds allowed) const;
    /// @brief Reads an optional integer that is within bounds; returns `fallback` when it is
    ///        absent.
    [[nodiscard]] boost::leaf::result<std::int64_t>
    integerOr(std::string_view name, value_bounds allowed, std::int64_t fallback) const;
    /// @brief Reads an optional boolean; returns `fallback` when it is absent.
    [[nodiscard]] boost::leaf::result<bool> booleanOr(std::string_view name, bool fallback) const;
    /// @brief Reads a required array whose length is within bounds.
    /// @return Pointer into the object, never null; valid as long as the object.
    [[nodiscard]] boost::leaf::result<const boost::json::array *> array(std::string_view name,
                                                                        value_bounds length) const;

    /// @brief JSON pointer of a member.
    [[nodiscard]] std::string path(std::string_view name) const;

private:
    const boost::json::object &m_object;
    std::string m_prefix;
};

/// @brief Creates a reader of an object. Fails with a request_fault when the object has a member
///        that is not in `names`.
/// @param object Must outlive the reader.
/// @param prefix JSON pointer of the object; empty for the top level.
[[nodiscard]] boost::leaf::result<json_fields>
readFields(const boost::json::object &object, std::string prefix,
           std::initializer_list<std::string_view> names);

/// @brief Parses a request body into a JSON object. Fails with a request_fault when the body is not
///        valid JSON, is not an object or has more than 8 levels of nesting. The HTTP server limits
///        its size.
[[nodiscard]] boost::leaf::result<boost::json::object> parseObject(std::string_view body);

/// @brief Whether a string is well-formed UTF-8, as required in JSON.
[[nodiscard]] bool isUtf8(std::string_view text);

} // namespace bamboohead::detail
