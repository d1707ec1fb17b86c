// Converts datagrams between the plain structs of message.hpp and their FlatBuffers encoding.
#include "coordination/message.hpp"

#include "coordination/messages_generated.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>
#include <limits>

namespace borageford::coordination {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t usual_size = 512;  // initial bytes of the buffer, enough for most datagrams
constexpr std::size_t status_size = 128; // bytes of a datagram without items, roughly

std::uint32_t to_wire(policy::duration span) {
    const auto count = std::chrono::duration_cast<milliseconds>(span).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(count, 0, std::numeric_limits<std::uint32_t>::max()));
}

std::uint32_t to_wire(double amount) {
    return static_cast<std::uint32_t>(
        std::clamp(amount, 0.0, static_cast<double>(std::numeric_limits<std::uint32_t>::max())));
}

wire::ask to_wire(const policy::slot_request& from, policy::time_point now) {
    return {from.ticket,
            from.service,
            from.workspace,
            from.avoided[0],
            from.avoided[1],
            from.fingerprint,
            to_wire(from.units),
            to_wire(from.cost.prompt),
            to_wire(from.cost.output),
            to_wire(now - from.arrived),
            to_wire(from.deadline - now),
            to_wire(from.target),
            static_cast<std::uint8_t>(from.tier),
            static_cast<std::uint8_t>(from.sends),
            from.is_charged,
            from.is_counted,
            from.may_repeat};
}

policy::slot_request from_wire(const wire::ask& from, policy::time_point now) {
    policy::slot_request result;
    result.ticket = from.ticket();
    result.service = from.service();
    result.workspace = from.workspace();
    result.avoided = {from.first_avoided(), from.second_avoided()};
    result.fingerprint = from.fingerprint();
    result.units = from.units();
    result.cost = {static_cast<double>(from.prompt_tokens()), static_cast<double>(from.output_tokens())};
    result.arrived = now - milliseconds(from.age_ms());
    result.deadline = now + milliseconds(from.left_ms());
    result.target = milliseconds(from.target_ms());
    result.tier = from.tier();
    result.sends = from.sends();
    result.is_charged = from.is_charged();
    result.is_counted = from.is_counted();
    result.may_repeat = from.may_repeat();
    return result;
}

wire::hold to_wire(const slot_hold& from) {
    return {from.ticket,
            from.server,
            from.service,
            to_wire(from.cost.prompt),
            to_wire(from.cost.output),
            static_cast<std::uint8_t>(from.tier)};
}

slot_hold from_wire(const wire::hold& from) {
    return {from.ticket(),
            from.server(),
            from.service(),
            from.tier(),
            {static_cast<double>(from.prompt_tokens()), static_cast<double>(from.output_tokens())}};
}

wire::release to_wire(const policy::slot_release& from) {
    return {from.ticket,          from.server,
            to_wire(from.busy),   to_wire(from.first_event),
            to_wire(from.output), static_cast<std::uint8_t>(from.outcome)};
}

policy::slot_release from_wire(const wire::release& from) {
    const auto outcome = std::min(from.outcome(), static_cast<std::uint8_t>(policy::slot_outcome::replaced));
    return {from.ticket(),
            from.server(),
            static_cast<policy::slot_outcome>(outcome),
            milliseconds(from.busy_ms()),
            milliseconds(from.first_ms()),
            static_cast<double>(from.output_tokens())};
}

wire::grant to_wire(const policy::slot_grant& from) {
    return {from.ticket, from.server};
}

policy::slot_grant from_wire(const wire::grant& from) {
    return {from.ticket(), from.server()};
}

wire::refusal to_wire(const policy::slot_refusal& from) {
    return {from.ticket, to_wire(from.retry_after), static_cast<std::uint8_t>(from.reason)};
}

policy::slot_refusal from_wire(const wire::refusal& from) {
    const auto reason =
        std::min(from.reason(), static_cast<std::uint8_t>(policy::refusal_reason::last_reason));
    return {from.ticket(), static_cast<policy::refusal_reason>(reason), milliseconds(from.retry_after_ms())};
}

constexpr double us_per_second = 1e6;
constexpr double us_per_ms = 1e3;
constexpr double ns_per_ms = 1e6;

std::uint16_t to_short(unsigned count) {
    return static_cast<std::uint16_t>(std::min<unsigned>(count, std::numeric_limits<std::uint16_t>::max()));
}

wire::report to_wire(const policy::server_report& from) {
    return {from.server,
            to_wire(from.failed_ago),
            to_wire(from.cooldown_left),
            to_wire(from.first_event_ms * us_per_ms),
            to_wire(from.first_event_ms_per_token * ns_per_ms),
            to_wire(from.seconds_per_token * us_per_second),
            to_wire(from.seconds_between_ends * us_per_second),
            to_short(from.first_events),
            to_short(from.rests)};
}

policy::server_report from_wire(const wire::report& from) {
    policy::server_report result;
    result.server = from.server();
    result.failed_ago = milliseconds(from.failed_ago_ms());
    result.cooldown_left = milliseconds(from.rest_left_ms());
    result.first_event_ms = from.first_event_us() / us_per_ms;
    result.first_event_ms_per_token = from.first_event_ns_per_token() / ns_per_ms;
    result.seconds_per_token = from.token_us() / us_per_second;
    result.seconds_between_ends = from.between_ends_us() / us_per_second;
    result.first_events = from.first_events();
    result.rests = from.rests();
    return result;
}

/// A number that is sent in place of a limit by a notice that names none.
constexpr double no_limit = -1;
/// Times are sent in ms and arrive late. The time at which a request was sent is set back by this much, so
/// that an answer isn't taken for a later one only because the notice of it was rounded or delayed.
constexpr milliseconds transfer_margin{20};

wire::rate_limit to_wire(const policy::rate_limit_notice& from, policy::time_point now) {
    return {from.server,
            from.id,
            from.limit.value_or(no_limit),
            to_wire(now - from.asked),
            to_wire(now - from.heard),
            static_cast<std::uint32_t>(from.heard_by)};
}

policy::rate_limit_notice from_wire(const wire::rate_limit& from, policy::time_point now) {
    policy::rate_limit_notice result;
    result.server = from.server();
    result.id = from.id();
    if (std::isfinite(from.limit()) && from.limit() >= 0) {
        result.limit = from.limit();
    }
    result.heard = now - milliseconds(from.heard_ago_ms());
    result.asked = std::min(now - milliseconds(from.asked_ago_ms()) - transfer_margin, result.heard);
    result.heard_by = from.heard_by();
    return result;
}

wire::departure to_wire(const policy::departure& from, policy::time_point now) {
    return {from.server, to_wire(now - from.heard), static_cast<std::uint32_t>(from.heard_by)};
}

policy::departure from_wire(const wire::departure& from, policy::time_point now) {
    return {from.server(), now - milliseconds(from.heard_ago_ms()), from.heard_by()};
}

policy::crash_suspect suspect_from_wire(std::uint8_t kind, std::uint64_t key) {
    // A kind that is unknown here gets no key, so that nothing is refused for it.
    const bool is_known = kind <= static_cast<std::uint8_t>(policy::suspect_kind::last_kind);
    return is_known ? policy::crash_suspect{static_cast<policy::suspect_kind>(kind), key}
                    : policy::crash_suspect{};
}

wire::crash_mark to_wire(const policy::crash_mark& from, policy::time_point now) {
    return {from.suspect.key, from.server, to_wire(now - from.at), static_cast<std::uint32_t>(from.heard_by),
            static_cast<std::uint8_t>(from.suspect.kind)};
}

policy::crash_mark from_wire(const wire::crash_mark& from, policy::time_point now) {
    return {suspect_from_wire(from.kind(), from.suspect()), from.server(), now - milliseconds(from.ago_ms()),
            from.heard_by()};
}

wire::crash_clearance to_wire(const policy::crash_clearance& from, policy::time_point now) {
    return {from.suspect.key, to_wire(now - from.at), static_cast<std::uint32_t>(from.heard_by),
            static_cast<std::uint8_t>(from.suspect.kind)};
}

policy::crash_clearance from_wire(const wire::crash_clearance& from, policy::time_point now) {
    return {suspect_from_wire(from.kind(), from.suspect()), now - milliseconds(from.ago_ms()),
            from.heard_by()};
}

wire::backoff to_wire(const policy::backoff_notice& from, policy::time_point now) {
    return {from.server, to_wire(from.until - now)};
}

policy::backoff_notice from_wire(const wire::backoff& from, policy::time_point now) {
    return {from.server(), now + milliseconds(from.left_ms())};
}

wire::retry_use to_wire(const policy::retry_use& from, policy::time_point now) {
    return {from.source, from.service, from.revision, to_wire(now - from.granted),
            static_cast<float>(from.retries)};
}

policy::retry_use from_wire(const wire::retry_use& from, policy::time_point now) {
    const double retries = from.retries();
    return {from.source(), from.service(), from.revision(),
            std::isfinite(retries) ? std::max(retries, 0.0) : 0, now - milliseconds(from.granted_ago_ms())};
}

wire::return_promise to_wire(const policy::return_promise& from, policy::time_point now) {
    const auto due_in = std::chrono::duration_cast<milliseconds>(from.due - now).count();
    constexpr std::int64_t most = std::numeric_limits<std::int32_t>::max();
    return {from.fingerprint, from.service, from.workspace,
            static_cast<std::int32_t>(std::clamp<std::int64_t>(due_in, -most, most)),
            static_cast<std::uint8_t>(from.tier)};
}

policy::return_promise from_wire(const wire::return_promise& from, policy::time_point now) {
    return {from.fingerprint(), from.service(), from.workspace(), from.tier(),
            now + milliseconds(from.due_in_ms())};
}

wire::stream_origin to_wire(const policy::stream_origin& from, policy::time_point now) {
    return {from.stream, from.service, from.software, to_wire(now - from.noted)};
}

policy::stream_origin from_wire(const wire::stream_origin& from, policy::time_point now) {
    return {from.stream(), from.service(), from.software(), now - milliseconds(from.noted_ago_ms())};
}

wire::stream_question to_wire(const stream_question& from) {
    return {from.id, from.stream, from.service};
}

stream_question from_wire(const wire::stream_question& from) {
    return {from.id(), from.stream(), from.service()};
}

wire::stream_answer to_wire(const stream_answer& from) {
    return {from.id, from.service, from.software, static_cast<std::uint8_t>(from.knowledge)};
}

stream_answer from_wire(const wire::stream_answer& from) {
    const bool is_known = from.knowledge() <= static_cast<std::uint8_t>(stream_knowledge::last_knowledge);
    return {from.id(), is_known ? static_cast<stream_knowledge>(from.knowledge()) : stream_knowledge::none,
            from.service(), from.software()};
}

/// Encodes a member that few of the requests have: as pairs of ticket and value, for those in which it isn't
/// 0.
template <typename Wire>
std::vector<Wire> encode_rare(const std::vector<policy::slot_request>& asks,
                              std::uint64_t policy::slot_request::* member) {
    std::vector<Wire> result;
    for (const auto& ask : asks) {
        if (ask.*member != 0) {
            result.emplace_back(ask.ticket, ask.*member);
        }
    }
    return result;
}

void decode_rare(std::vector<policy::slot_request>& asks, std::uint64_t policy::slot_request::* member,
                 policy::slot_ticket ticket, std::uint64_t value) {
    const auto ask = std::ranges::find(asks, ticket, &policy::slot_request::ticket);
    if (ask != asks.end()) {
        (*ask).*member = value;
    }
}

template <typename Wire>
flatbuffers::Offset<flatbuffers::Vector<const Wire*>> add_structs(flatbuffers::FlatBufferBuilder& builder,
                                                                  const std::vector<Wire>& structs) {
    return structs.empty() ? flatbuffers::Offset<flatbuffers::Vector<const Wire*>>()
                           : builder.CreateVectorOfStructs(structs);
}

template <typename Wire, typename Items, typename... Arguments>
flatbuffers::Offset<flatbuffers::Vector<const Wire*>>
encode_items(flatbuffers::FlatBufferBuilder& builder, const Items& items, Arguments... arguments) {
    if (items.empty()) {
        return 0;
    }
    std::vector<Wire> encoded;
    encoded.reserve(items.size());
    for (const auto& item : items) {
        encoded.push_back(to_wire(item, arguments...));
    }
    return builder.CreateVectorOfStructs(encoded);
}

template <typename Wire, typename Items, typename... Arguments>
void decode_items(const flatbuffers::Vector<const Wire*>* from, Items& items, Arguments... arguments) {
    if (from == nullptr) {
        return;
    }
    items.reserve(from->size());
    for (const auto* item : *from) {
        items.push_back(from_wire(*item, arguments...));
    }
}

} // namespace

bool batch_items::is_empty() const noexcept {
    return reports.empty() && rate_limits.empty() && retries.is_empty() && departures.empty() &&
           crashes.is_empty() && backoffs.empty() && holds.empty() && promises.empty() && asks.empty() &&
           withdrawals.empty() && releases.empty() && grants.empty() && refusals.empty();
}

std::size_t batch_items::encoded_size() const noexcept {
    return status_size + reports.size() * sizeof(wire::report) +
           rate_limits.size() * sizeof(wire::rate_limit) + retries.uses.size() * sizeof(wire::retry_use) +
           crashes.marks.size() * sizeof(wire::crash_mark) +
           crashes.clearances.size() * sizeof(wire::crash_clearance) +
           departures.size() * sizeof(wire::departure) + backoffs.size() * sizeof(wire::backoff) +
           holds.size() * sizeof(wire::hold) + promises.size() * sizeof(wire::return_promise) +
           asks.size() * sizeof(wire::ask) + withdrawals.size() * sizeof(std::uint64_t) +
           releases.size() * sizeof(wire::release) + grants.size() * sizeof(wire::grant) +
           refusals.size() * sizeof(wire::refusal);
}

std::vector<std::byte> encode(const datagram& message, policy::time_point now) {
    flatbuffers::FlatBufferBuilder builder(usual_size);
    const auto& items = message.items;
    const auto asks = encode_items<wire::ask>(builder, items.asks, now);
    const auto resumes =
        add_structs(builder, encode_rare<wire::resume>(items.asks, &policy::slot_request::software));
    const auto probes =
        add_structs(builder, encode_rare<wire::probe>(items.asks, &policy::slot_request::probed_part));
    const auto& streams = message.streams;
    const auto stream_origins = encode_items<wire::stream_origin>(builder, streams.origins, now);
    const auto stream_questions = encode_items<wire::stream_question>(builder, streams.questions);
    const auto stream_answers = encode_items<wire::stream_answer>(builder, streams.answers);
    const auto reports = encode_items<wire::report>(builder, items.reports);
    const auto rate_limits = encode_items<wire::rate_limit>(builder, items.rate_limits, now);
    const auto retry_uses = encode_items<wire::retry_use>(builder, items.retries.uses, now);
    const auto departures = encode_items<wire::departure>(builder, items.departures, now);
    const auto crash_marks = encode_items<wire::crash_mark>(builder, items.crashes.marks, now);
    const auto crash_clearances = encode_items<wire::crash_clearance>(builder, items.crashes.clearances, now);
    const auto backoffs = encode_items<wire::backoff>(builder, items.backoffs, now);
    const auto holds = encode_items<wire::hold>(builder, items.holds);
    const auto promises = encode_items<wire::return_promise>(builder, items.promises, now);
    const auto releases = encode_items<wire::release>(builder, items.releases);
    const auto grants = encode_items<wire::grant>(builder, items.grants);
    const auto refusals = encode_items<wire::refusal>(builder, items.refusals);
    const auto withdrawals = items.withdrawals.empty()
                                 ? flatbuffers::Offset<flatbuffers::Vector<std::uint64_t>>()
                                 : builder.CreateVector(items.withdrawals);
    const auto known = message.known.empty() ? flatbuffers::Offset<flatbuffers::Vector<std::uint64_t>>()
                                             : builder.CreateVector(message.known);
    wire::datagramBuilder table(builder);
    table.add_incarnation(message.sender.incarnation);
    table.add_is_acting(message.sender.is_acting);
    table.add_is_eligible(message.sender.is_eligible);
    table.add_is_leaving(message.sender.is_leaving);
    table.add_is_in_touch(message.sender.is_in_touch);
    table.add_wants_reply(message.wants_reply);
    table.add_processor_share(static_cast<float>(message.sender.processor_share));
    table.add_domain(message.sender.domain);
    table.add_members(static_cast<std::uint16_t>(message.sender.members));
    table.add_configuration_version(message.sender.configuration_version);
    table.add_backend_version(message.sender.backends.version);
    table.add_known(known);
    table.add_session(message.session);
    table.add_batch(message.batch);
    table.add_acknowledged(message.acknowledged);
    table.add_asks(asks);
    table.add_holds(holds);
    table.add_withdrawals(withdrawals);
    table.add_return_promises(promises);
    table.add_releases(releases);
    table.add_grants(grants);
    table.add_refusals(refusals);
    table.add_reports(reports);
    table.add_rate_limits(rate_limits);
    table.add_retry_uses(retry_uses);
    table.add_departures(departures);
    table.add_backoffs(backoffs);
    table.add_crash_marks(crash_marks);
    table.add_crash_clearances(crash_clearances);
    table.add_resumes(resumes);
    table.add_probes(probes);
    table.add_stream_origins(stream_origins);
    table.add_streams_told(streams.told);
    table.add_streams_acknowledged(streams.acknowledged);
    table.add_stream_questions(stream_questions);
    table.add_stream_answers(stream_answers);
    table.add_retries_known_ms(to_wire(items.retries.known_for));
    table.add_configuration_confirmed(message.sender.configuration_confirmed);
    table.add_backends_confirmed(message.sender.backends_confirmed);
    table.add_store_era(message.sender.backends.era);
    table.add_unbroken_ms(to_wire(message.sender.unbroken));
    builder.Finish(table.Finish());
    const auto bytes = std::as_bytes(std::span(builder.GetBufferPointer(), builder.GetSize()));
    return {bytes.begin(), bytes.end()};
}

std::optional<datagram> decode(std::span<const std::byte> bytes, policy::time_point now) {
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!wire::VerifydatagramBuffer(verifier)) {
        return std::nullopt;
    }
    const auto* table = wire::Getdatagram(data);
    datagram result;
    result.sender = {table->incarnation(),
                     table->is_acting(),
                     table->is_eligible(),
                     table->is_leaving(),
                     table->processor_share(),
                     table->members(),
                     table->configuration_version(),
                     {table->store_era(), table->backend_version()},
                     table->is_in_touch(),
                     table->domain(),
                     table->configuration_confirmed(),
                     table->backends_confirmed(),
                     milliseconds(table->unbroken_ms())};
    result.wants_reply = table->wants_reply();
    result.session = table->session();
    result.batch = table->batch();
    result.acknowledged = table->acknowledged();
    decode_items(table->asks(), result.items.asks, now);
    for (auto& ask : result.items.asks) {
        ask.domain = result.sender.domain;
    }
    if (const auto* resumes = table->resumes()) {
        for (const auto* each : *resumes) {
            decode_rare(result.items.asks, &policy::slot_request::software, each->ticket(), each->software());
        }
    }
    if (const auto* probes = table->probes()) {
        for (const auto* each : *probes) {
            decode_rare(result.items.asks, &policy::slot_request::probed_part, each->ticket(), each->part());
        }
    }
    decode_items(table->stream_origins(), result.streams.origins, now);
    result.streams.told = table->streams_told();
    result.streams.acknowledged = table->streams_acknowledged();
    decode_items(table->stream_questions(), result.streams.questions);
    decode_items(table->stream_answers(), result.streams.answers);
    decode_items(table->holds(), result.items.holds);
    decode_items(table->return_promises(), result.items.promises, now);
    decode_items(table->releases(), result.items.releases);
    decode_items(table->grants(), result.items.grants);
    decode_items(table->refusals(), result.items.refusals);
    decode_items(table->reports(), result.items.reports);
    decode_items(table->rate_limits(), result.items.rate_limits, now);
    decode_items(table->departures(), result.items.departures, now);
    decode_items(table->backoffs(), result.items.backoffs, now);
    decode_items(table->crash_marks(), result.items.crashes.marks, now);
    decode_items(table->crash_clearances(), result.items.crashes.clearances, now);
    decode_items(table->retry_uses(), result.items.retries.uses, now);
    result.items.retries.known_for = milliseconds(table->retries_known_ms());
    if (const auto* known = table->known()) {
        result.known.assign(known->begin(), known->end());
    }
    if (const auto* withdrawals = table->withdrawals()) {
        result.items.withdrawals.assign(withdrawals->begin(), withdrawals->end());
    }
    return result;
}

} // namespace borageford::coordination
