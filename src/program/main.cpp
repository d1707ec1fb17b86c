// The entry point of the program: parses the command line and runs the subcommand. Only this folder uses
// Abseil's flags.
#include "entry/entry_process.hpp"
#include "gateway/gateway_process.hpp"
#include "platform/users_platform.hpp"
#include "process/crash_report.hpp"
#include "program/command.hpp"
#include "program/command_flags.hpp"
#include "program/entry_client.hpp"
#include "program/operator_commands.hpp"
#include "sidecar/sidecar_process.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <iostream>
#include <iterator>
#include <span>
#include <string>
#include <string_view>
#include <vector>

ABSL_FLAG(std::string, settings, "", "the INI file with this process's settings");

namespace {

using namespace borageford::program;

constexpr std::string_view exit_codes =
    "Exit codes: 0 done, 1 failed, 2 wrong usage, settings or intent, 3 another revision came between,\n"
    "4 accepted but not seen in force everywhere, 5 may have been accepted (repeat it), 130 stopped at "
    "once.\n";

constexpr std::string_view operator_flags =
    "  --entry=IP:PORT        the administration address of an entry (or BORAGEFORD_ENTRY)\n"
    "  --token-file=FILE      the operators' token (or BORAGEFORD_TOKEN)\n"
    "  --operator-name=NAME   recorded with each revision (or USER)\n"
    "  --json                 print the API's answer as it came\n"
    "  --wait                 wait until the change is in force everywhere\n"
    "  --wait-limit=30s       how long --wait waits at most\n";

/// Runs a process with the file that the flag `settings` names.
exit_code run_with_settings(int (*run)(const std::string&)) {
    const auto file = absl::GetFlag(FLAGS_settings);
    if (file.empty()) {
        throw usage_error("--settings FILE is required");
    }
    return static_cast<exit_code>(run(file));
}

exit_code entry_command(arguments) {
    return run_with_settings(borageford::entry::run_entry);
}

exit_code sidecar_command(arguments) {
    return run_with_settings(borageford::sidecar::run_sidecar);
}

exit_code gateway_command(arguments) {
    static const auto users_deployment = borageford::platform::users_platform();
    return run_with_settings(
        [](const std::string& file) { return borageford::gateway::run_gateway(file, users_deployment); });
}

constexpr std::array process_commands{
    command{"entry", "--settings FILE", "accepts callers' requests", "", entry_command},
    command{"gateway", "--settings FILE", "forwards requests directly to backend servers", "",
            gateway_command},
    command{"sidecar", "--settings FILE", "runs beside one backend server", "", sidecar_command},
};

/// Null when there is no subcommand of this name.
const command* find_command(std::string_view name) {
    for (const auto& table : {std::span<const command>(process_commands), operator_commands()}) {
        const auto found = std::ranges::find(table, name, &command::name);
        if (found != table.end()) {
            return &*found;
        }
    }
    return nullptr;
}

void print_table(std::ostream& out, std::span<const command> table) {
    for (const auto& subcommand : table) {
        out << "  " << subcommand.name << ' ' << subcommand.words << "\n      " << subcommand.summary << '\n';
    }
}

void print_usage(std::ostream& out) {
    out << "borageford: a request scheduler for heterogeneous engines\n\nProcesses:\n";
    print_table(out, process_commands);
    out << "\nFor operators:\n";
    print_table(out, operator_commands());
    out << '\n' << operator_flags << '\n' << exit_codes;
}

void print_help(const command& subcommand) {
    std::cout << "borageford " << subcommand.name << ' ' << subcommand.words << "\n\n"
              << subcommand.summary << '\n'
              << subcommand.details << '\n';
    if (std::ranges::find(process_commands, subcommand.name, &command::name) == process_commands.end()) {
        std::cout << operator_flags << '\n';
    }
    std::cout << exit_codes;
}

bool has_help_flag(std::span<char*> words) {
    return std::ranges::any_of(words, [](std::string_view word) { return word == "--help" || word == "-h"; });
}

/// Replaces the dashes in a flag's name by underscores: names of Abseil flags have underscores, while dashes
/// are usual on a command line, so both spellings are accepted.
std::string with_underscores(std::string word) {
    if (word.starts_with("--")) {
        const auto name_end = std::min(word.find('='), word.size());
        std::replace(word.begin() + 2, word.begin() + static_cast<std::ptrdiff_t>(name_end), '-', '_');
    }
    return word;
}

/// Prints the program's own help. Abseil's help lists flags but no subcommands, and ends with exit code 1.
int help(std::span<char*> words) {
    const auto* subcommand = words.empty() ? nullptr : find_command(words.front());
    if (subcommand != nullptr) {
        print_help(*subcommand);
    } else {
        print_usage(std::cout);
    }
    return static_cast<int>(exit_code::done);
}

exit_code run_command(arguments words) {
    const auto* subcommand = words.empty() ? nullptr : find_command(words.front());
    if (subcommand == nullptr) {
        print_usage(std::cerr);
        return exit_code::wrong_input;
    }
    try {
        return subcommand->run(words.subspan(1));
    } catch (const usage_error& error) {
        std::cerr << "borageford " << subcommand->name << ": " << error.what() << "\n  Usage: borageford "
                  << subcommand->name << ' ' << subcommand->words << '\n';
        return exit_code::wrong_input;
    } catch (const entry_error& error) {
        std::cerr << "borageford " << subcommand->name << ": " << error.what() << '\n'
                  << (error.may_have_acted() ? "  It may have been done; calling again is safe.\n"
                                             : "  Nothing was sent. Try another entry.\n");
        return error.may_have_acted() ? exit_code::outcome_unknown : exit_code::failed;
    }
}

} // namespace

int main(int argument_count, char** argument_values) {
    const std::span raw_arguments(argument_values, static_cast<std::size_t>(argument_count));
    if (has_help_flag(raw_arguments.subspan(1))) {
        return help(raw_arguments.subspan(1));
    }
    borageford::process::install_crash_report(raw_arguments.front());
    absl::FlagsUsageConfig configuration;
    configuration.version_string = [] {
        return std::string("borageford 0.1.0\n");
    };
    absl::SetFlagsUsageConfig(configuration);
    absl::SetProgramUsageMessage("borageford --help lists the subcommands");
    std::vector<std::string> normalized;
    std::ranges::transform(raw_arguments, std::back_inserter(normalized), with_underscores);
    std::vector<char*> values;
    std::ranges::transform(normalized, std::back_inserter(values),
                           [](std::string& word) { return word.data(); });
    const auto parsed = absl::ParseCommandLine(argument_count, values.data());
    const std::vector<std::string> words(parsed.begin() + 1, parsed.end());
    return static_cast<int>(run_command(words));
}
