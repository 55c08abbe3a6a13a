#include "bamboohead/detail/config/json_difference.hpp"

#include "bamboohead/detail/config/json_scan.hpp"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace bamboohead::detail {

namespace {

namespace json = boost::json;

constexpr std::size_t maxQuotedLength = 60;

/// Value of the member `name`; nothing when it is missing or no text.
std::optional<std::string_view> nameOf(const json::value &value)
{
    const auto *const object = value.if_object();
    const auto *const name = object == nullptr ? nullptr : object->if_contains("name");
    const auto *const text = name == nullptr ? nullptr : name->if_string();
    return text == nullptr ? std::nullopt
                           : std::optional{std::string_view{text->data(), text->size()}};
}

bool isNamedList(const json::value &value)
{
    const auto *const array = value.if_array();
    return array != nullptr &&
           std::ranges::all_of(*array, [](const auto &item) { return nameOf(item).has_value(); });
}

class difference_finder
{
public:
    void compare(const std::string &path, const json::value &before, const json::value &after)
    {
        if (before.is_object() && after.is_object()) {
            compareObjects(path, before.get_object(), after.get_object());
        } else if (isNamedList(before) && isNamedList(after)) {
            compareLists(path, before.get_array(), after.get_array());
        } else if (before != after) {
            add(path, "changed from " + quoted(before) + " to " + quoted(after));
        }
    }

    std::vector<json_difference> release() { return std::move(m_differences); }

private:
    void add(const std::string &path, const std::string &message)
    {
        m_differences.push_back(
                {path, m_name.empty() ? message : "in \"" + m_name + "\": " + message});
    }

    void compareObjects(const std::string &path, const json::object &before,
                        const json::object &after)
    {
        for (const auto &member : after) {
            const auto *const old = before.if_contains(member.key());
            const auto memberPath = appendPointer(path, {member.key().data(), member.key().size()});
            if (old == nullptr) {
                add(memberPath, "added " + quoted(member.value()));
            } else {
                compare(memberPath, *old, member.value());
            }
        }
        for (const auto &member : before) {
            if (!after.contains(member.key())) {
                add(path,
                    "removed \"" + std::string{member.key()} + "\", was " + quoted(member.value()));
            }
        }
    }

    void compareLists(const std::string &path, const json::array &before, const json::array &after)
    {
        std::vector<bool> matched(before.size()); // a name may be repeated
        for (std::size_t index = 0; index < after.size(); ++index) {
            const auto name = *nameOf(after[index]);
            const auto itemPath = appendPointer(path, std::to_string(index));
            std::size_t old = 0;
            while (old < before.size() && (matched[old] || nameOf(before[old]) != name)) {
                ++old;
            }
            if (old == before.size()) {
                add(itemPath, "added \"" + std::string{name} + "\"");
                continue;
            }
            matched[old] = true;
            const auto outer = std::exchange(m_name, std::string{name});
            compare(itemPath, before[old], after[index]);
            m_name = outer;
        }
        for (std::size_t old = 0; old < before.size(); ++old) {
            if (!matched[old]) {
                add(path, "removed \"" + std::string{*nameOf(before[old])} + "\"");
            }
        }
    }

    std::string m_name; ///< of the innermost list element that is compared
    std::vector<json_difference> m_differences;
};

} // namespace

std::string quoted(const json::value &value)
{
    auto text = json::serialize(value);
    if (text.size() > maxQuotedLength) {
        text.resize(maxQuotedLength);
        text += "...";
    }
    return text;
}

std::vector<json_difference> findDifferences(const json::value &before, const json::value &after)
{
    difference_finder finder;
    finder.compare("", before, after);
    return finder.release();
}

} // namespace bamboohead::detail
