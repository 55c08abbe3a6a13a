#include "bamboohead/config_review.hpp"

#include "bamboohead/detail/config/json_difference.hpp"
#include "bamboohead/detail/config/json_scan.hpp"
#include "bamboohead/detail/config/json_text.hpp"
#include "bamboohead/manifest.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>

namespace bamboohead {

namespace {

constexpr std::array<std::string_view, 4> kindNames{"error", "never_used", "contradiction",
                                                    "change"};

/// Adds the entries of a valid manifest that have no effect, and those that contradict each other.
void reviewContent(const manifest &content, const detail::json_layout &layout,
                   std::vector<config_finding> &findings)
{
    for (const auto &[name, service] : content.services) {
        const auto path = detail::appendPointer(detail::appendPointer("/services", name), "weight");
        if (layout.values.contains(path)) {
            findings.push_back({finding_kind::never_used, path,
                                "the scheduling does not use the weights of services"});
        }
    }
    if (std::ranges::all_of(content.zones,
                            [](const auto &zone) { return zone.second == zone_state::out; })) {
        findings.push_back({finding_kind::contradiction, "/zones",
                            "all zones are out of service: no task can start"});
    }
    if (content.teams.size() == 1 && content.teams.begin()->second.weight != 1) {
        findings.push_back(
                {finding_kind::never_used,
                 detail::appendPointer(
                         detail::appendPointer("/teams", content.teams.begin()->first), "weight"),
                 "the weight of the only team has no effect"});
    }
}

} // namespace

std::string_view toText(finding_kind kind) noexcept
{
    return kindNames.at(static_cast<std::size_t>(kind));
}

void locateFindings(std::vector<config_finding> &findings, std::string_view text)
{
    const auto layout = detail::scanJson(text);
    for (auto &finding : findings) {
        if (finding.line != 0) {
            continue;
        }
        auto path = finding.path;
        auto found = layout.values.find(path);
        while (found == layout.values.end() && !path.empty()) {
            path.resize(path.rfind('/'));
            found = layout.values.find(path);
        }
        if (found != layout.values.end()) {
            const auto position = detail::positionAt(text, found->second.begin);
            finding.line = position.line;
            finding.column = position.column;
        }
    }
}

void addChanges(std::vector<config_finding> &findings, std::string_view inForce,
                std::string_view text)
{
    const auto before = detail::parseJsonText(inForce, detail::json_comments::allowed);
    const auto after = detail::parseJsonText(text, detail::json_comments::allowed);
    const auto *const oldValue = std::get_if<boost::json::value>(&before);
    const auto *const newValue = std::get_if<boost::json::value>(&after);
    if (oldValue == nullptr) {
        findings.push_back({finding_kind::error, "",
                            "the configuration in force is not valid JSON, so changes are unknown",
                            1, 1});
        return;
    }
    if (newValue != nullptr) {
        for (auto &difference : detail::findDifferences(*oldValue, *newValue)) {
            findings.push_back({finding_kind::change, std::move(difference.path),
                                std::move(difference.message)});
        }
    }
}

std::vector<config_finding> reviewManifest(std::string_view text,
                                           std::optional<std::string_view> inForce)
{
    std::vector<config_finding> findings;
    const auto value = detail::parseJsonText(text, detail::json_comments::allowed);
    if (const auto *const error = std::get_if<detail::syntax_error>(&value)) {
        const auto position = detail::positionAt(text, error->offset);
        findings.push_back({finding_kind::error, "", "not valid JSON: " + error->message,
                            position.line, position.column});
        return findings;
    }
    const auto parsed = parseManifest(text);
    if (const auto *const errors = std::get_if<std::vector<config_error>>(&parsed)) {
        for (const auto &error : *errors) {
            findings.push_back({finding_kind::error, error.path, error.message});
        }
    } else {
        reviewContent(std::get<manifest>(parsed), detail::scanJson(text), findings);
    }
    if (inForce) {
        addChanges(findings, *inForce, text);
    }
    std::ranges::stable_sort(findings, {}, &config_finding::kind);
    locateFindings(findings, text);
    return findings;
}

bool isValid(const std::vector<config_finding> &findings)
{
    return std::ranges::find(findings, finding_kind::error, &config_finding::kind) ==
           findings.end();
}

std::string textReport(std::string_view source, const std::vector<config_finding> &findings)
{
    std::string report;
    for (const auto &finding : findings) {
        report += source;
        if (finding.line != 0) {
            report += ":" + std::to_string(finding.line) + ":" + std::to_string(finding.column);
        }
        report += ": " + std::string{toText(finding.kind)} + ": ";
        report += finding.path.empty() ? finding.message : finding.path + ": " + finding.message;
        report += "\n";
    }
    return report;
}

std::string jsonReport(std::string_view source, const std::vector<config_finding> &findings)
{
    boost::json::array list;
    for (const auto &finding : findings) {
        list.push_back(boost::json::object{{"kind", std::string{toText(finding.kind)}},
                                           {"path", finding.path},
                                           {"line", finding.line},
                                           {"column", finding.column},
                                           {"message", finding.message}});
    }
    return boost::json::serialize(boost::json::object{
            {"file", std::string{source}}, {"valid", isValid(findings)}, {"findings", list}});
}

} // namespace bamboohead
