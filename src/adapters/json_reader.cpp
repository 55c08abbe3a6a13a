#include "bamboohead/detail/http/json_reader.hpp"

#include <algorithm>

namespace bamboohead::detail {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

constexpr std::size_t maxDepth = 8;

std::string describe(value_bounds bounds)
{
    return std::to_string(bounds.min) + " to " + std::to_string(bounds.max);
}

bool within(std::int64_t value, value_bounds bounds)
{
    return value >= bounds.min && value <= bounds.max;
}

leaf::error_id invalidRequest(std::string path, std::string message)
{
    return leaf::new_error(
            request_fault{error_kind::invalid_request, std::move(path), std::move(message)});
}

const json::value *find(const json::object &object, std::string_view name)
{
    return object.if_contains({name.data(), name.size()});
}

/// Number of continuation bytes that follow a UTF-8 lead byte, and the valid range of the first.
struct utf8_sequence
{
    std::size_t following;
    unsigned char firstMin;
    unsigned char firstMax;
};

/// Implements table 3-7 of the Unicode Standard (well-formed UTF-8 byte sequences); a result with 0
/// following bytes means an invalid lead byte.
utf8_sequence sequenceFor(unsigned char lead)
{
    if (lead >= 0xc2 && lead <= 0xdf) {
        return {1, 0x80, 0xbf};
    }
    if (lead >= 0xe0 && lead <= 0xef) {
        const unsigned char min = lead == 0xe0 ? 0xa0 : 0x80;
        const unsigned char max = lead == 0xed ? 0x9f : 0xbf;
        return {2, min, max};
    }
    if (lead >= 0xf0 && lead <= 0xf4) {
        const unsigned char min = lead == 0xf0 ? 0x90 : 0x80;
        const unsigned char max = lead == 0xf4 ? 0x8f : 0xbf;
        return {3, min, max};
    }
    return {0, 0, 0};
}

bool isContinuation(char c)
{
    constexpr unsigned mask = 0xc0;
    constexpr unsigned marker = 0x80;
    return (static_cast<unsigned char>(c) & mask) == marker;
}

} // namespace

leaf::result<std::string> json_fields::text(std::string_view name, value_bounds length) const
{
    const auto *const value = find(m_object, name);
    const auto *const text = value != nullptr ? value->if_string() : nullptr;
    if (text == nullptr) {
        return invalidRequest(path(name), value != nullptr ? "not a text" : "required, but absent");
    }
    if (!within(static_cast<std::int64_t>(text->size()), length)) {
        return invalidRequest(path(name), "length " + std::to_string(text->size()) +
                                                  " is not allowed; expected " + describe(length) +
                                                  " bytes");
    }
    return std::string{text->data(), text->size()};
}

leaf::result<std::int64_t> json_fields::integer(std::string_view name, value_bounds allowed) const
{
    const auto *const value = find(m_object, name);
    const auto *const number = value != nullptr ? value->if_int64() : nullptr;
    if (value == nullptr) {
        return invalidRequest(path(name), "required, but absent");
    }
    if (number == nullptr || !within(*number, allowed)) {
        return invalidRequest(path(name), "value " + json::serialize(*value) +
                                                  " is not allowed; expected an integer from " +
                                                  describe(allowed));
    }
    return *number;
}

leaf::result<std::int64_t> json_fields::integerOr(std::string_view name, value_bounds allowed,
                                                  std::int64_t fallback) const
{
    if (find(m_object, name) == nullptr) {
        return fallback;
    }
    return integer(name, allowed);
}

leaf::result<bool> json_fields::booleanOr(std::string_view name, bool fallback) const
{
    const auto *const value = find(m_object, name);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_bool()) {
        return invalidRequest(path(name), "not true or false");
    }
    return value->get_bool();
}

leaf::result<const json::array *> json_fields::array(std::string_view name,
                                                     value_bounds length) const
{
    const auto *const value = find(m_object, name);
    const auto *const array = value != nullptr ? value->if_array() : nullptr;
    if (array == nullptr) {
        return invalidRequest(path(name),
                              value != nullptr ? "not an array" : "required, but absent");
    }
    if (!within(static_cast<std::int64_t>(array->size()), length)) {
        return invalidRequest(path(name), "length " + std::to_string(array->size()) +
                                                  " is not allowed; expected " + describe(length) +
                                                  " items");
    }
    return array;
}

std::string json_fields::path(std::string_view name) const
{
    return m_prefix + "/" + std::string{name};
}

leaf::result<json_fields> readFields(const json::object &object, std::string prefix,
                                     std::initializer_list<std::string_view> names)
{
    json_fields fields{object, std::move(prefix)};
    for (const auto &member : object) {
        const std::string_view key{member.key().data(), member.key().size()};
        if (std::ranges::find(names, key) == names.end()) {
            return invalidRequest(fields.path(key), "unknown key");
        }
    }
    return fields;
}

leaf::result<json::object> parseObject(std::string_view body)
{
    json::parse_options options;
    options.max_depth = maxDepth;
    json::error_code error;
    auto value = json::parse({body.data(), body.size()}, error, {}, options);
    if (error) {
        return invalidRequest("", "not valid JSON: " + error.message());
    }
    if (!value.is_object()) {
        return invalidRequest("", "not an object");
    }
    return std::move(value.get_object());
}

bool isUtf8(std::string_view text)
{
    constexpr unsigned char firstLead = 0x80;
    std::size_t i = 0;
    while (i < text.size()) {
        const auto lead = static_cast<unsigned char>(text[i++]);
        if (lead < firstLead) {
            continue;
        }
        const auto sequence = sequenceFor(lead);
        if (sequence.following == 0 || text.size() - i < sequence.following) {
            return false;
        }
        const auto first = static_cast<unsigned char>(text[i]);
        const auto rest = text.substr(i + 1, sequence.following - 1);
        if (first < sequence.firstMin || first > sequence.firstMax ||
            !std::ranges::all_of(rest, isContinuation)) {
            return false;
        }
        i += sequence.following;
    }
    return true;
}

} // namespace bamboohead::detail
