// Implementation of read_sidecar_settings().
#include "sidecar/sidecar_settings.hpp"

#include "settings/section_reader.hpp"

#include <array>
#include <limits>
#include <string_view>

namespace borageford::sidecar {
namespace {

using std::chrono::milliseconds;

constexpr std::array<std::string_view, 3> known_sections{"process", "platform", "sidecar"};
constexpr milliseconds shortest{1};
constexpr milliseconds longest{3'600'000};
constexpr milliseconds longest_lifetime{7LL * 24 * 3'600'000};
constexpr std::int64_t max_entries = 10'000'000;
constexpr std::uint64_t smallest_memory = 64U * 1024;
constexpr std::uint64_t largest_memory = 64ULL * 1024 * 1024 * 1024;

void read_queue(settings::section_reader& reader, sidecar_settings& out) {
    const auto requests = static_cast<std::int64_t>(out.queue_requests);
    const auto tokens = static_cast<std::int64_t>(out.queue_tokens);
    out.queue_requests = static_cast<std::size_t>(reader.number("queue_requests", requests, 1, max_entries));
    out.queue_tokens = static_cast<std::uint64_t>(
        reader.number("queue_tokens", tokens, 1, std::numeric_limits<std::int32_t>::max()));
    out.grant_lease = reader.duration("grant_lease", out.grant_lease, shortest, longest);
}

void read_answers(settings::section_reader& reader, sidecar_settings& out) {
    out.resend_grace = reader.duration("resend_grace", out.resend_grace, milliseconds(0), longest);
    out.answer_retention = reader.duration("answer_retention", out.answer_retention, shortest, longest);
    const auto count = static_cast<std::int64_t>(out.answer_count);
    out.answer_count = static_cast<std::size_t>(reader.number("answer_count", count, 1, max_entries));
    out.answer_memory = reader.size("answer_memory", out.answer_memory, smallest_memory, largest_memory);
    out.answer_size = reader.size("answer_size", out.answer_size, smallest_memory, largest_memory);
    out.ledger_retention = reader.duration("ledger_retention", out.ledger_retention, shortest, longest);
    const auto entries = static_cast<std::int64_t>(out.ledger_entries);
    out.ledger_entries = static_cast<std::size_t>(reader.number("ledger_entries", entries, 1, max_entries));
}

void read_backend(settings::section_reader& reader, sidecar_settings& out) {
    out.connect_limit = reader.duration("connect_limit", out.connect_limit, shortest, longest);
    out.first_token_limit = reader.duration("first_token_limit", out.first_token_limit, shortest, longest);
    out.whole_answer_limit = reader.duration("whole_answer_limit", out.whole_answer_limit, shortest, longest);
    out.stall_limit = reader.duration("stall_limit", out.stall_limit, shortest, longest);
    out.health_period = reader.duration("health_period", out.health_period, shortest, longest);
    out.cache_period = reader.duration("cache_period", out.cache_period, shortest, longest);
    out.control_timeout = reader.duration("control_timeout", out.control_timeout, shortest, longest);
    out.order_period = reader.duration("order_period", out.order_period, shortest, longest);
    out.order_timeout = reader.duration("order_timeout", out.order_timeout, shortest, longest);
    out.order_lease = reader.duration("order_lease", out.order_lease, shortest, longest);
    out.load_spread = reader.duration("load_spread", out.load_spread, milliseconds(0), longest);
    out.mark_limit = reader.duration("mark_limit", out.mark_limit, shortest, longest);
    out.mark_lifetime = reader.duration("mark_lifetime", out.mark_lifetime, shortest, longest_lifetime);
    if (out.order_timeout >= out.order_lease) {
        reader.report_problem("order_timeout", "a duration shorter than order_lease");
    }
}

} // namespace

sidecar_settings read_sidecar_settings(const std::string& file, std::vector<settings::problem>& problems) {
    sidecar_settings out;
    const auto text = settings::read_file(file, problems);
    if (!problems.empty()) {
        return out;
    }
    const auto document = settings::parse_ini(text, file, problems);
    process::report_unknown_sections(document, known_sections, problems);
    out.common = process::read_common_settings(document, problems);

    const auto* section = process::find_section(document, "sidecar");
    settings::section_reader reader(document, section, "sidecar", problems);
    out.backend_server = reader.text("backend_server");
    out.backend_address = reader.address("backend_address");
    out.peers_listen = reader.address("peers_listen");
    out.status_listen = reader.address("status_listen");
    const auto connections = static_cast<std::int64_t>(out.peer_connections);
    out.peer_connections =
        static_cast<std::size_t>(reader.number("peer_connections", connections, 1, max_entries));
    read_queue(reader, out);
    read_answers(reader, out);
    read_backend(reader, out);
    reader.report_unknown_keys();
    return out;
}

} // namespace borageford::sidecar
