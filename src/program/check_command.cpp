// Chooses the reader by the sections that a file contains, and prints every error that the reader reports.
#include "program/check_command.hpp"

#include "configuration/intent_parser.hpp"
#include "entry/entry_settings.hpp"
#include "experiment/experiment_reader.hpp"
#include "gateway/gateway_settings.hpp"
#include "process/common_settings.hpp"
#include "program/command_flags.hpp"
#include "settings/ini_document.hpp"
#include "sidecar/sidecar_settings.hpp"

#include <iostream>
#include <vector>

namespace borageford::program {
namespace {

/// Reads a file, adds its errors to `problems`, and returns what kind of file it is; empty when the file
/// can't be read.
std::string_view check_file(const std::string& file, std::vector<settings::problem>& problems) {
    const auto text = settings::read_file(file, problems);
    if (!problems.empty()) {
        return "";
    }
    std::vector<settings::problem> ignored; // not used: the reader chosen below reports these errors again
    const auto document = settings::parse_ini(text, file, ignored);
    if (process::find_section(document, "sidecar") != nullptr) {
        static_cast<void>(sidecar::read_sidecar_settings(file, problems));
        return "settings of a sidecar";
    }
    if (process::find_section(document, "gateway") != nullptr) {
        static_cast<void>(settings::parse_ini(text, file, problems));
        static_cast<void>(gateway::read_gateway_settings(document, problems));
        return "settings of a gateway";
    }
    if (process::find_section(document, "experiment") != nullptr) {
        static_cast<void>(experiment::read_experiment(text, file, problems));
        return "an experiment";
    }
    const bool is_entry = process::find_section(document, "entry") != nullptr ||
                          process::find_section(document, "process") != nullptr;
    if (is_entry) {
        static_cast<void>(settings::parse_ini(text, file, problems));
        static_cast<void>(entry::read_entry_settings(document, problems));
        return "settings of an entry";
    }
    static_cast<void>(configuration::parse_intent(text, file, problems));
    return "an intent";
}

} // namespace

exit_code run_check(arguments words) {
    if (words.empty()) {
        throw usage_error("check needs the name of a FILE");
    }
    exit_code code = exit_code::done;
    for (const auto& file : words) {
        std::vector<settings::problem> problems;
        const auto kind = check_file(file, problems);
        settings::print_problems(problems, std::cerr);
        if (problems.empty()) {
            std::cout << file << ": " << kind << ", without faults\n";
        } else {
            code = exit_code::wrong_input;
        }
    }
    return code;
}

} // namespace borageford::program
