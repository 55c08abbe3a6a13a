#include "bamboohead/commands.hpp"
#include "bamboohead/config_review.hpp"
#include "manifest_change.hpp"
#include "platform/configuration_review.hpp"

#include <iostream>
#include <optional>

namespace bamboohead {

namespace {

int checkFile(int argc, char **argv)
{
    return runCommand(
            argc, argv,
            "Reviews a configuration before it is sent: errors, entries that are never used, "
            "values "
            "that contradict each other, and changes. Only errors make the command fail.",
            [](TCLAP::CmdLine &line, int count, char **values) -> int {
                TCLAP::UnlabeledValueArg<std::string> file{"FILE", "Configuration.", true,
                                                           "",     "FILE",           line};
                TCLAP::ValueArg<std::string> inForce{
                        "",    "in-force", "Configuration in force; prints what differs from it.",
                        false, "",         "FILE",
                        line};
                TCLAP::SwitchArg platform{
                        "", "platform",
                        "The file is the users' platform's desired state (op/config), not a "
                        "manifest.",
                        line};
                TCLAP::SwitchArg json{"", "json", "Prints the report as JSON.", line};
                line.parse(count, values);
                const auto text = readFile(file.getValue());
                const auto old = inForce.isSet() ? std::optional{readFile(inForce.getValue())}
                                                 : std::nullopt;
                const auto findings = platform.getValue() ? platform::reviewConfiguration(text, old)
                                                          : reviewManifest(text, old);
                const auto valid = isValid(findings);
                if (json.getValue()) {
                    std::cout << jsonReport(file.getValue(), findings) << "\n";
                } else {
                    (valid ? std::cout : std::cerr) << textReport(file.getValue(), findings);
                    std::cout << (valid ? file.getValue() + ": valid\n" : "");
                }
                return valid ? exit_ok : exit_failed;
            });
}

int getManifest(int argc, char **argv)
{
    return runCommand(
            argc, argv, "Prints the manifest in the store, and its version on standard error.",
            [](TCLAP::CmdLine &line, int count, char **values) -> int {
                const change_arguments arguments{line};
                line.parse(count, values);
                const auto store = makeOperatorClient(arguments.options());
                const auto read = readStoredManifest(*store);
                if (const auto *code = std::get_if<int>(&read)) {
                    return *code;
                }
                const auto &stored = std::get<store_value>(read);
                std::cerr << "version=" << static_cast<std::uint64_t>(stored.modified) << "\n";
                std::cout << stored.text;
                return exit_ok;
            });
}

/// Replaces the expected version of the manifest, or the current one when none is given.
int applyText(const change_options &options, const std::string &text,
              std::optional<std::uint64_t> expected)
{
    const auto store = makeOperatorClient(options);
    if (expected) {
        return changeManifest(*store, options, text, store_revision{*expected});
    }
    const auto result = store->read(manifestKey);
    if (const auto *error = std::get_if<store_error>(&result)) {
        return reportStoreError(error->kind, error->detail);
    }
    return changeManifest(*store, options, text, std::get<store_value>(result).modified);
}

int applyFile(int argc, char **argv)
{
    return runCommand(
            argc, argv,
            "Writes a manifest to the store; with --entries, also sends it to them and waits until "
            "it is in force.",
            [](TCLAP::CmdLine &line, int count, char **values) -> int {
                TCLAP::UnlabeledValueArg<std::string> file{"FILE", "Manifest.", true,
                                                           "",     "FILE",      line};
                TCLAP::ValueArg<std::uint64_t> expect{
                        "",
                        "expect",
                        "Version on which the change is based, 0 if the store must not hold a "
                        "manifest yet; without this argument, the current version is replaced.",
                        false,
                        0,
                        "VERSION",
                        line};
                const change_arguments arguments{line};
                line.parse(count, values);
                const auto text = readFile(file.getValue());
                const auto parsed = parseManifest(text);
                if (const auto *faults = std::get_if<std::vector<config_error>>(&parsed)) {
                    printFaults(file.getValue(), *faults);
                    return exit_failed;
                }
                return applyText(arguments.options(), text,
                                 expect.isSet() ? std::optional{expect.getValue()} : std::nullopt);
            });
}

} // namespace

int manifestCommand(int argc, char **argv)
{
    const std::string_view action{argc > 1 ? argv[1] : ""};
    if (action == "check") {
        return checkFile(argc - 1, argv + 1);
    }
    if (action == "get") {
        return getManifest(argc - 1, argv + 1);
    }
    if (action == "apply") {
        return applyFile(argc - 1, argv + 1);
    }
    std::cerr << "usage: bamboohead manifest check|get|apply [ARGUMENTS]\n";
    return exit_usage;
}

} // namespace bamboohead
