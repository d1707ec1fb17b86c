// Reads the settings that all long-running processes have in common.
#include "process/common_settings.hpp"

#include "settings/section_reader.hpp"

#include <algorithm>
#include <array>
#include <span>

namespace borageford::process {
namespace {

using std::chrono::milliseconds;

constexpr std::array<std::string_view, 2> log_formats{"text", "json"};
constexpr std::array<std::string_view, 4> log_levels{"debug", "info", "warning", "error"};
constexpr milliseconds min_period{10};
constexpr milliseconds max_period{60'000};
constexpr std::int64_t max_threads = 64;

void read_process(settings::section_reader reader, common_settings& common) {
    common.vm = reader.text("vm");
    common.failure_domain = reader.text("failure_domain");
    common.region = reader.text("region");
    common.threads = static_cast<unsigned>(reader.number("threads", common.threads, 1, max_threads));
    common.log_format = static_cast<log::format>(reader.choice("log_format", log_formats, 0));
    common.log_level = static_cast<log::level>(reader.choice("log_level", log_levels, 1));
    common.heartbeat_period =
        reader.duration("heartbeat_period", common.heartbeat_period, min_period, max_period);
    common.silence_limit = reader.duration("silence_limit", common.silence_limit, min_period, max_period);
    if (common.silence_limit <= common.heartbeat_period) {
        reader.report_problem("silence_limit", "a duration longer than heartbeat_period");
    }
    common.audit_period = reader.duration("audit_period", common.audit_period, min_period, max_period);
    reader.report_unknown_keys();
}

void read_platform(settings::section_reader reader, common_settings& common) {
    common.platform = reader.address("address");
    common.poll_period = reader.duration("poll_period", common.poll_period, min_period, max_period);
    common.platform_timeout = reader.duration("timeout", common.platform_timeout, min_period, max_period);
    reader.report_unknown_keys();
}

} // namespace

const settings::ini_section* find_section(const settings::ini_document& document, std::string_view kind) {
    const auto found = std::ranges::find_if(document.sections, [kind](const settings::ini_section& section) {
        return section.kind == kind && section.name.empty();
    });
    return found == document.sections.end() ? nullptr : &*found;
}

void report_unknown_sections(const settings::ini_document& document, std::span<const std::string_view> known,
                             std::vector<settings::problem>& problems) {
    for (const auto& section : document.sections) {
        if (std::ranges::find(known, section.title()) != known.end()) {
            continue;
        }
        std::string expected = "one of the sections";
        for (const auto& kind : known) {
            expected.append(" [").append(kind).append("]");
        }
        problems.push_back({document.file, section.line, section.title(), std::move(expected)});
    }
}

common_settings read_common_settings(const settings::ini_document& document,
                                     std::vector<settings::problem>& problems) {
    common_settings common;
    read_process({document, find_section(document, "process"), "process", problems}, common);
    read_platform({document, find_section(document, "platform"), "platform", problems}, common);
    return common;
}

} // namespace borageford::process
