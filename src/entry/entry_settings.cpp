// Reads an entry's settings from its settings file.
#include "entry/entry_settings.hpp"

#include "process/machine_limits.hpp"
#include "settings/section_reader.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace borageford::entry {
namespace {

constexpr std::array<std::string_view, 3> placements{"late_binding", "power_of_two", "round_robin"};
constexpr std::array<std::string_view, 3> sections{"process", "platform", "entry"};
constexpr milliseconds min_duration{1};
constexpr milliseconds max_duration{3'600'000};
constexpr milliseconds max_retention{std::chrono::hours(24 * 30)};
constexpr std::uint64_t min_size = 1024;
constexpr std::uint64_t max_size = 64ULL * 1024 * 1024;
constexpr std::int64_t max_connections = 1'000'000;
constexpr std::size_t hash_digits = 64;

/// The part of the memory that requests of callers, and those of operators, may take together.
constexpr std::uint64_t parts_of_memory_for_callers = 4;
constexpr std::uint64_t parts_of_memory_for_operators = 8;
/// The part that answers may take which are held until they are complete.
constexpr std::uint64_t parts_of_memory_for_answers = 8;
/// The part of the descriptors that each address may take by default; the rest is for sidecars and the
/// platform.
constexpr std::size_t parts_of_descriptors = 4;

bool is_sha256(std::string_view text) {
    return text.size() == hash_digits &&
           std::ranges::all_of(text, [](unsigned char c) { return std::isxdigit(c) != 0; });
}

/// Sets what depends on the memory and the descriptors of the machine.
void bound_by_machine(settings::section_reader& reader, entry_settings& result) {
    result.memory_limit = reader.size("memory_limit", result.memory_limit, 0, process::max_memory_limit);
    const auto memory = process::memory_limit(result.memory_limit);
    result.callers.held_bytes = static_cast<std::size_t>(memory / parts_of_memory_for_callers);
    result.operators.held_bytes = static_cast<std::size_t>(memory / parts_of_memory_for_operators);
    result.answer_memory = static_cast<std::size_t>(memory / parts_of_memory_for_answers);
    const auto connections = process::descriptor_limit() / parts_of_descriptors;
    result.callers.connections = std::min(result.callers.connections, 2 * connections);
    result.operators.connections = std::min(result.operators.connections, connections);
}

void read_caller_limits(settings::section_reader& reader, http::server_limits& limits) {
    limits.header_bytes = reader.size("header_limit", limits.header_bytes, min_size, max_size);
    limits.body_bytes = reader.size("body_limit", limits.body_bytes, min_size, max_size);
    limits.request_time = reader.duration("request_time", limits.request_time, min_duration, max_duration);
    limits.idle_time = reader.duration("caller_idle_time", limits.idle_time, min_duration, max_duration);
    limits.write_time = reader.duration("write_time", limits.write_time, min_duration, max_duration);
    limits.connections = static_cast<std::size_t>(
        reader.number("connections", static_cast<std::int64_t>(limits.connections), 1, max_connections));
}

} // namespace

entry_settings read_entry_settings(const settings::ini_document& document,
                                   std::vector<settings::problem>& problems) {
    entry_settings result;
    result.common = process::read_common_settings(document, problems);
    process::report_unknown_sections(document, sections, problems);

    settings::section_reader reader(document, process::find_section(document, "entry"), "entry", problems);
    result.callers_listen = reader.address("callers_listen");
    result.admin_listen = reader.address("admin_listen");
    result.peers_listen = reader.address("peers_listen");
    result.admin_token_hash = reader.text("admin_token_sha256");
    if (!result.admin_token_hash.empty() && !is_sha256(result.admin_token_hash)) {
        reader.report_problem("admin_token_sha256", "64 hexadecimal digits");
    }
    bound_by_machine(reader, result);
    read_caller_limits(reader, result.callers);
    const auto placement = placements.at(reader.choice("placement", placements, 0));
    result.placement = policy::find_placement_policy(placement).value_or(policy::late_binding());
    result.default_deadline =
        reader.duration("default_deadline", result.default_deadline, min_duration, max_duration);
    result.fate_limit = reader.duration("fate_limit", result.fate_limit, min_duration, max_duration);
    result.connect_limit = reader.duration("connect_limit", result.connect_limit, min_duration, max_duration);
    result.idle_connection =
        reader.duration("idle_connection", result.idle_connection, min_duration, max_duration);
    result.claim_window = reader.duration("claim_window", result.claim_window, milliseconds(0), max_duration);
    result.claim_limit = reader.duration("claim_limit", result.claim_limit, min_duration, max_duration);
    result.claim_retention =
        reader.duration("claim_retention", result.claim_retention, std::chrono::seconds(1), max_retention);
    result.claim_sweep_period =
        reader.duration("claim_sweep_period", result.claim_sweep_period, min_duration, max_duration);
    result.stop_limit = reader.duration("stop_limit", result.stop_limit, min_duration, max_duration);
    result.answer_limit = reader.size("answer_limit", result.answer_limit, min_size, max_size);
    reader.report_unknown_keys();
    return result;
}

} // namespace borageford::entry
