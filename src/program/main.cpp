// The one program: picks the subcommand. Abseil's flags stay here, at the edge.
#include "entry/entry_process.hpp"
#include "sidecar/sidecar_process.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <array>
#include <iostream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

ABSL_FLAG(std::string, settings, "", "the INI file with this process's settings");

namespace {

constexpr int wrong_usage_exit_code = 2;

constexpr std::string_view usage = R"(borageford: a request scheduler for unlike engines

  borageford entry --settings FILE      takes callers' requests
  borageford sidecar --settings FILE    stands beside one backend server

Exit codes: 0 done, 1 failed, 2 wrong usage or settings, 130 stopped at once.
)";

using arguments = std::span<const std::string>;

struct subcommand {
    std::string_view name;
    int (*run)(arguments words);
};

int with_settings(int (*run)(const std::string&)) {
    const auto file = absl::GetFlag(FLAGS_settings);
    if (file.empty()) {
        std::cerr << "borageford: --settings FILE is required\n";
        return wrong_usage_exit_code;
    }
    return run(file);
}

int entry_command(arguments) {
    return with_settings(borageford::entry::run_entry);
}

int sidecar_command(arguments) {
    return with_settings(borageford::sidecar::run_sidecar);
}

constexpr std::array subcommands{
    subcommand{"entry", entry_command},
    subcommand{"sidecar", sidecar_command},
};

} // namespace

int main(int argument_count, char** argument_values) {
    absl::FlagsUsageConfig configuration;
    configuration.version_string = [] {
        return std::string("borageford 0.1.0\n");
    };
    absl::SetFlagsUsageConfig(configuration);
    absl::SetProgramUsageMessage(usage.data());
    const auto parsed = absl::ParseCommandLine(argument_count, argument_values);
    const std::vector<std::string> words(parsed.begin() + 1, parsed.end());
    for (const auto& command : subcommands) {
        if (!words.empty() && words.front() == command.name) {
            return command.run(std::span(words).subspan(1));
        }
    }
    std::cerr << usage;
    return wrong_usage_exit_code;
}
