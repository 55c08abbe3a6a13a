#include "bamboohead/settings.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>

namespace bamboohead {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 5> typeNames{"text", "list of texts", "integer", "choice",
                                                    "number"};

json::value parseJson(std::string_view text, json::error_code &error)
{
    json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    return json::parse({text.data(), text.size()}, error, {}, options);
}

config_error valueFault(const setting_description &row, const json::value &value)
{
    std::string message = "value " + json::serialize(value) + " is not allowed; expected ";
    message += typeNames.at(static_cast<std::size_t>(row.type));
    message += ": ";
    message += row.range;
    if (!row.unit.empty()) {
        message += " ";
        message += row.unit;
    }
    return config_error{std::string{row.path}, std::move(message)};
}

/// Each of these functions checks a value and assigns it to its setting.
/// @return False when the value is not allowed.
/// @{
bool setTextValue(const setting_description &row, const json::value &value,
                  process_settings &settings)
{
    const auto *const text = value.if_string();
    if (text == nullptr || !row.valid({text->data(), text->size()})) {
        return false;
    }
    row.assignText(settings, std::string{text->data(), text->size()});
    return true;
}

bool setIntegerValue(const setting_description &row, const json::value &value,
                     process_settings &settings)
{
    const auto *const number = value.if_int64();
    if (number == nullptr || *number < row.minimum || *number > row.maximum) {
        return false;
    }
    row.assignInteger(settings, *number);
    return true;
}

bool setNumberValue(const setting_description &row, const json::value &value,
                    process_settings &settings)
{
    if (!value.is_number()) {
        return false;
    }
    const auto number = value.to_number<double>();
    if (!(number >= static_cast<double>(row.minimum) &&
          number <= static_cast<double>(row.maximum))) {
        return false;
    }
    row.assignNumber(settings, number);
    return true;
}

bool setListValue(const setting_description &row, const json::value &value,
                  process_settings &settings)
{
    const auto *const array = value.if_array();
    if (array == nullptr || array->size() > static_cast<std::size_t>(row.maximum)) {
        return false;
    }
    std::vector<std::string> items;
    for (const auto &item : *array) {
        const auto *const text = item.if_string();
        if (text == nullptr || !row.valid({text->data(), text->size()})) {
            return false;
        }
        items.emplace_back(text->data(), text->size());
    }
    row.assignList(settings, std::move(items));
    return true;
}

bool setValue(const setting_description &row, const json::value &value, process_settings &settings)
{
    switch (row.type) {
    case setting_type::text:
    case setting_type::choice:
        return setTextValue(row, value, settings);
    case setting_type::integer:
        return setIntegerValue(row, value, settings);
    case setting_type::text_list:
        return setListValue(row, value, settings);
    case setting_type::number:
        return setNumberValue(row, value, settings);
    }
    return false;
}
/// @}

/// Whether some settings are below this path.
bool isSection(std::string_view path)
{
    const auto prefix = std::string{path} + "/";
    return std::ranges::any_of(settingDescriptions(),
                               [&](const auto &row) { return row.path.starts_with(prefix); });
}

bool isSetting(std::string_view path)
{
    return std::ranges::find(settingDescriptions(), path, &setting_description::path) !=
           settingDescriptions().end();
}

void findUnknownKeys(const json::object &object, const std::string &prefix,
                     std::vector<config_error> &faults)
{
    for (const auto &member : object) {
        const auto path = prefix + "/" + std::string{member.key()};
        if (isSetting(path)) {
            continue;
        }
        if (!isSection(path)) {
            faults.push_back({path, "unknown key"});
        } else if (const auto *const section = member.value().if_object()) {
            findUnknownKeys(*section, path, faults);
        } else {
            faults.push_back(
                    {path, "value " + json::serialize(member.value()) + " is not a JSON object"});
        }
    }
}

/// Finds a value by its JSON pointer.
/// @return Null when the value is absent.
const json::value *findValue(const json::object &root, std::string_view path)
{
    const json::object *object = &root;
    while (true) {
        path.remove_prefix(1);
        const auto slash = path.find('/');
        const auto key = path.substr(0, slash);
        const auto *const value = object->if_contains({key.data(), key.size()});
        if (value == nullptr || slash == std::string_view::npos) {
            return value;
        }
        object = value->if_object();
        if (object == nullptr) {
            return nullptr;
        }
        path.remove_prefix(slash);
    }
}

void readSetting(const setting_description &row, const json::object &root,
                 process_settings &settings, std::vector<config_error> &faults)
{
    const auto *const found = findValue(root, row.path);
    if (found == nullptr && row.defaultText.empty()) {
        faults.push_back({std::string{row.path},
                          "required, but missing; expected " + std::string{row.range}});
        return;
    }
    const auto value = found != nullptr
                               ? *found
                               : json::parse({row.defaultText.data(), row.defaultText.size()});
    if (!setValue(row, value, settings)) {
        faults.push_back(valueFault(row, value));
    }
}

/// Adds the faults of settings that are valid one by one, but not together.
void findContradictions(const process_settings &settings, std::vector<config_error> &faults)
{
    const auto &dispatch = settings.dispatch;
    if (dispatch.forecastPlacement && !dispatch.fleetAdmission) {
        faults.push_back(
                {"/dispatch/placement",
                 "\"forecast\" needs /dispatch/admission \"fleet\": agents are assigned to "
                 "entries by the demand that all entries exchange"});
    }
}

std::string referenceRow(const setting_description &row)
{
    std::ostringstream line;
    line << "| `" << row.path << "` | " << typeNames.at(static_cast<std::size_t>(row.type))
         << " | ";
    if (row.defaultText.empty()) {
        line << "required";
    } else {
        line << "`" << row.defaultText << "`";
    }
    line << " | " << row.range << " | " << row.unit << " | " << row.help << " |\n";
    return line.str();
}

} // namespace

settings_result parseSettings(std::string_view text)
{
    json::error_code error;
    const auto value = parseJson(text, error);
    if (error) {
        return std::vector{config_error{"", "not valid JSON: " + error.message()}};
    }
    const auto *const root = value.if_object();
    if (root == nullptr) {
        return std::vector{config_error{"", "the settings are not a JSON object"}};
    }
    process_settings settings;
    std::vector<config_error> faults;
    findUnknownKeys(*root, "", faults);
    for (const auto &row : settingDescriptions()) {
        readSetting(row, *root, settings, faults);
    }
    if (faults.empty()) {
        findContradictions(settings, faults);
    }
    if (!faults.empty()) {
        return faults;
    }
    return settings;
}

settings_result loadSettings(const std::string &file)
{
    const std::ifstream stream{file};
    if (!stream) {
        return std::vector{config_error{"", "the file cannot be read"}};
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return parseSettings(text.str());
}

std::string describeFault(const std::string &file, const config_error &fault)
{
    return file + ": " + (fault.path.empty() ? "" : fault.path + ": ") + fault.message;
}

std::string settingsReference()
{
    std::string text = "| setting | type | default | allowed | unit | meaning |\n"
                       "|---|---|---|---|---|---|\n";
    for (const auto &row : settingDescriptions()) {
        text += referenceRow(row);
    }
    return text;
}

} // namespace bamboohead
