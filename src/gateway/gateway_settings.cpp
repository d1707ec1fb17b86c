// Implementation of read_gateway_settings().
#include "gateway/gateway_settings.hpp"

#include "base/parse_number.hpp"
#include "process/machine_limits.hpp"
#include "settings/section_reader.hpp"

#include <algorithm>
#include <array>
#include <string_view>

namespace borageford::gateway {
namespace {

constexpr std::array<std::string_view, 3> sections{"process", "platform", "gateway"};
constexpr milliseconds shortest{1};
constexpr milliseconds longest{3'600'000};
constexpr double most_units = 1e12;
/// The part of this process's memory that may be held for callers that don't read at once: what is left
/// beside the connections themselves, the tables of servers and the messages of other gateways.
constexpr std::uint64_t parts_of_memory_for_callers = 4;
constexpr std::int64_t most_descriptors = 10'000'000;
/// The part of the descriptors that connections of callers may take, in percent, and those of other gateways
/// and of each address that is asked for readiness or metrics.
constexpr std::size_t percent_for_callers = 75;
constexpr std::size_t percent_for_peers = 8;
constexpr std::size_t percent_for_checks = 3;

std::size_t part_of_descriptors(const gateway_settings& settings, std::size_t percent) noexcept {
    return std::max<std::size_t>(1, process::descriptor_limit(settings.descriptor_limit) * percent / 100);
}

http::server_limits limits_without_body(const gateway_settings& settings, std::size_t percent) noexcept {
    auto limits = http::server_limits::without_body();
    limits.connections = part_of_descriptors(settings, percent);
    return limits;
}

void read_seeds(settings::section_reader& reader, gateway_settings& result) {
    for (const auto& text : reader.list("seeds")) {
        boost::system::error_code error;
        const auto address = boost::asio::ip::make_address(text.substr(0, text.rfind(':')), error);
        if (error) {
            reader.report_problem("seeds", "IP numbers, with or without a port, separated by commas");
            return;
        }
        result.seeds.push_back(address);
    }
}

std::vector<std::uint64_t> read_suspects(settings::section_reader& reader) {
    std::vector<std::uint64_t> result;
    for (const auto& text : reader.list("released_suspects")) {
        const auto key = parse_number<std::uint64_t>(text);
        if (!key.has_value()) {
            reader.report_problem("released_suspects", "keys of suspects, as logged, separated by commas");
            return {};
        }
        result.push_back(*key);
    }
    return result;
}

void read_bounds(settings::section_reader& reader, gateway_settings& result) {
    result.retry_ratio = reader.real("retry_ratio", result.retry_ratio, 0, 1);
    result.retry_reserve = reader.real("retry_reserve", result.retry_reserve, 0, most_units);
    result.retry_window = reader.duration("retry_window", result.retry_window, shortest, longest);
    result.allowance_window = reader.duration("allowance_window", result.allowance_window, shortest, longest);
    result.allowance_slack = reader.real("allowance_slack", result.allowance_slack, 0, most_units);
    result.configuration_limit =
        reader.duration("configuration_limit", result.configuration_limit, shortest, longest);
    result.drain_limit = reader.duration("drain_limit", result.drain_limit, shortest, longest);
}

/// In the order of policy::reserve_kind.
constexpr std::array<std::string_view, 2> reserve_kinds{"fixed", "demand"};

void read_caller_bounds(settings::section_reader& reader, gateway_settings& result) {
    result.memory_limit = reader.size("memory_limit", result.memory_limit, 0, process::max_memory_limit);
    result.descriptor_limit = static_cast<std::size_t>(reader.number(
        "descriptor_limit", static_cast<std::int64_t>(result.descriptor_limit), 0, most_descriptors));
    result.slow_caller_limit =
        reader.duration("slow_caller_limit", result.slow_caller_limit, shortest, longest);
    result.unread_limit = reader.duration("unread_limit", result.unread_limit, shortest, longest);
    result.body_time_limit = reader.duration("body_time_limit", result.body_time_limit, shortest, longest);
}

void read_slots(settings::section_reader& reader, policy::slot_scheduler_limits& slots) {
    slots.outstanding_per_slot = reader.real("outstanding_per_slot", slots.outstanding_per_slot, 0.1, 100);
    slots.reserve = static_cast<policy::reserve_kind>(
        reader.choice("slot_reserve", reserve_kinds, static_cast<std::size_t>(slots.reserve)));
    slots.max_lowest_tier_on_small_server = static_cast<unsigned>(
        reader.number("lowest_in_small", slots.max_lowest_tier_on_small_server, 0, 1000));
    slots.reserved_slots =
        static_cast<unsigned>(reader.number("reserved_slots", slots.reserved_slots, 0, 1000));
    slots.max_wait_of_retry_in_targets =
        reader.real("patience_of_returned", slots.max_wait_of_retry_in_targets, 0.1, 100);
    slots.max_expected_wait_in_targets =
        reader.real("hopeless_wait", slots.max_expected_wait_in_targets, 0.1, 100);
    slots.max_wait_in_targets = reader.real("patience", slots.max_wait_in_targets, 0.1, 100);
    slots.avoids_failing_servers = reader.flag("avoid_failing_servers", slots.avoids_failing_servers);
    slots.promises_returns = reader.flag("return_promises", slots.promises_returns);
    slots.promised_part = reader.real("promised_part", slots.promised_part, 0, 1);
}

} // namespace

policy::unread_limits gateway_settings::unread_limits() const noexcept {
    const auto arriving =
        static_cast<std::size_t>(process::memory_limit(memory_limit) / parts_of_memory_for_callers);
    return {memory_limit > 0 ? arriving : 0, arriving, slow_caller_limit, unread_limit};
}

std::size_t gateway_settings::caller_connections() const noexcept {
    return part_of_descriptors(*this, percent_for_callers);
}

http::server_limits gateway_settings::check_limits() const noexcept {
    return limits_without_body(*this, percent_for_checks);
}

http::server_limits gateway_settings::peer_limits() const noexcept {
    return limits_without_body(*this, percent_for_peers);
}

gateway_settings read_gateway_settings(const settings::ini_document& document,
                                       std::vector<settings::problem>& problems) {
    gateway_settings result;
    result.common = process::read_common_settings(document, problems);
    process::report_unknown_sections(document, sections, problems);

    settings::section_reader reader(document, process::find_section(document, "gateway"), "gateway",
                                    problems);
    result.callers_listen = reader.address("callers_listen");
    result.readiness_listen = reader.address("readiness_listen");
    result.peers_listen = reader.address("peers_listen");
    result.metrics_listen = reader.optional_address("metrics_listen");
    read_seeds(reader, result);
    result.processor_share = reader.real("processor_share", result.processor_share, 0.001, 1024);
    result.stop_limit = reader.duration("stop_limit", result.stop_limit, shortest, longest);
    result.coordinates = reader.flag("coordination", result.coordinates);
    result.is_first_start = reader.flag("first_start", result.is_first_start);
    result.obeys_server_limits = reader.flag("obey_server_limits", result.obeys_server_limits);
    result.configuration_patience =
        reader.duration("configuration_patience", result.configuration_patience, shortest, longest);
    result.coordinator_patience =
        reader.duration("coordinator_patience", result.coordinator_patience, shortest, longest);
    result.stream_memory = reader.duration("stream_memory", result.stream_memory, shortest, longest);
    result.released_suspects = read_suspects(reader);
    result.store_followers =
        static_cast<unsigned>(reader.number("store_followers", result.store_followers, 0, 1'000'000));
    read_bounds(reader, result);
    read_caller_bounds(reader, result);
    result.backend_heartbeat =
        reader.duration("backend_heartbeat", result.backend_heartbeat, shortest, longest);
    read_slots(reader, result.slots);
    reader.report_unknown_keys();
    return result;
}

} // namespace borageford::gateway
