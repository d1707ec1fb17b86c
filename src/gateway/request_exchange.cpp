// The steps of an exchange, in their order.
#include "gateway/request_exchange.hpp"

#include "base/hash.hpp"
#include "gateway/backend_directory.hpp"
#include "http/message.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <random>
#include <utility>

namespace borageford::gateway {

namespace {

constexpr std::string_view bearer = "Bearer ";
/// Kept back from a request's time, so that the last answer reaches the caller before its time is over.
constexpr milliseconds answer_margin{30};
/// A caller that doesn't read slows its backend server down instead of filling this process.
constexpr std::size_t most_unsent = 256U * 1024;
/// Tiers of workspaces, and of routes, that are told apart.
constexpr int most_tiers = 8;
/// Backend servers that a request is offered to while none has run it; more would only add to its wait.
constexpr unsigned most_tries = 5;
constexpr unsigned first_success = 200;
constexpr unsigned first_redirect = 300;
constexpr unsigned misdirected = 421;
constexpr unsigned first_server_error = 500;

/// Fields that concern one connection only.
constexpr std::array<std::string_view, 9> connection_fields{
    "Connection", "Keep-Alive", "Transfer-Encoding",  "Content-Length", "TE", "Trailer",
    "Upgrade",    "Expect",     "Proxy-Authorization"};

bool is_connection_field(std::string_view name) {
    return std::ranges::any_of(connection_fields,
                               [name](std::string_view known) { return http::is_same_name(known, name); });
}

std::optional<std::int64_t> parse_number(std::optional<std::string_view> text) {
    if (!text.has_value()) {
        return std::nullopt;
    }
    std::int64_t value = 0;
    const auto parsed = std::from_chars(text->data(), text->data() + text->size(), value);
    if (parsed.ec != std::errc{}) {
        return std::nullopt;
    }
    return value;
}

double draw() {
    thread_local std::mt19937_64 engine{std::random_device{}()};
    return std::uniform_real_distribution<double>(0, 1)(engine);
}

policy::slot_outcome outcome_of(call_failure what) {
    switch (what) {
    case call_failure::unreachable:
        return policy::slot_outcome::unreachable;
    case call_failure::not_executed:
        return policy::slot_outcome::refused;
    case call_failure::unknown:
        break;
    }
    return policy::slot_outcome::failed;
}

void append_field(std::string& head, std::string_view name, std::string_view value) {
    head.append(name).append(": ").append(value).append("\r\n");
}

} // namespace

request_exchange::request_exchange(gateway_context& context, std::shared_ptr<client_session> session,
                                   http::received_request request, clock::time_point arrived)
    : m_context(context),
      m_session(std::move(session)),
      m_request(std::move(request)),
      m_arrived(arrived),
      m_deadline(arrived) {
    ++m_context.requests_in_progress;
}

request_exchange::~request_exchange() {
    --m_context.requests_in_progress;
}

void request_exchange::start() {
    try {
        admit();
    } catch (const request_error& error) {
        answer_error(error.kind(), error.retry_after());
        return;
    }
    m_deadline_timer = m_context.timers.after(m_context.executor, time_left(), [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->take_timeout();
        }
    });
    ask_for_slot();
}

void request_exchange::admit() {
    const auto& fields = m_request.fields;
    m_request_id = fields.find(m_context.fields.request_id).value_or("");
    m_configuration = *m_context.configuration.read();
    if (m_configuration == nullptr) {
        throw request_error(error_kind::no_configuration, {}, milliseconds(300));
    }
    m_route = m_configuration->find_route(fields.find("Host").value_or(""), m_request.target);
    if (m_route == nullptr) {
        throw request_error(error_kind::not_found);
    }
    if (!m_route->is_public && !m_configuration->document().workspaces.empty()) {
        const auto given = fields.find("Authorization").value_or("");
        m_workspace = given.starts_with(bearer) ? m_configuration->find_workspace(given.substr(bearer.size()))
                                                : nullptr;
        if (m_workspace == nullptr) {
            throw request_error(error_kind::unauthorized);
        }
    }
    read_cost();
    m_service = &m_configuration->choose_service(*m_route, draw());
    auto limit = m_route->timeout;
    if (const auto told = parse_number(fields.find(m_context.fields.deadline))) {
        limit = std::min(limit, milliseconds(*told));
    }
    m_deadline = m_arrived + limit;
}

milliseconds request_exchange::time_left() const {
    return std::chrono::duration_cast<milliseconds>(m_deadline - clock::now());
}

policy::slot_request request_exchange::make_slot_request() const {
    policy::slot_request wanted;
    wanted.ticket = m_context.slots.next_ticket();
    wanted.service = hash_bytes(m_service->name);
    wanted.workspace = m_workspace != nullptr ? hash_bytes(m_workspace->name) : 0;
    wanted.tier = tier();
    wanted.arrived = m_arrived;
    wanted.deadline = m_deadline;
    wanted.target = m_route->latency_target;
    wanted.cost = m_cost;
    wanted.units = count_units();
    wanted.is_charged = m_is_charged;
    wanted.sends = m_sends;
    wanted.avoided = m_avoided;
    return wanted;
}

/// A workspace's own tier goes first; among workspaces of one tier the route's decides.
int request_exchange::tier() const {
    const int of_workspace = m_workspace != nullptr ? m_workspace->tier.value_or(0) : 0;
    return std::clamp(of_workspace, 0, most_tiers - 1) * most_tiers +
           std::clamp(m_route->tier, 0, most_tiers - 1);
}

double request_exchange::count_units() const {
    if (m_workspace == nullptr) {
        return 0;
    }
    if (m_workspace->unit == routing::allowance_unit::requests) {
        return 1;
    }
    const double told = m_cost.prompt + m_most_output;
    return told > 0 ? told : m_workspace->plain_tokens;
}

void request_exchange::read_cost() {
    const auto told = m_request.fields.find(m_context.fields.tokens);
    if (!told.has_value()) {
        return;
    }
    const auto comma = told->find(',');
    m_cost.prompt = static_cast<double>(parse_number(told->substr(0, comma)).value_or(0));
    if (comma != std::string_view::npos) {
        m_most_output = static_cast<double>(parse_number(told->substr(comma + 1)).value_or(0));
    }
    const auto hint = parse_number(m_request.fields.find(m_context.fields.expected_length));
    m_cost.output = hint.has_value() ? static_cast<double>(*hint) : m_most_output;
}

request_exchange::clock::duration request_exchange::patience() const {
    const auto whole = std::chrono::duration_cast<clock::duration>(m_route->latency_target *
                                                                   m_context.settings.slots.patience);
    return std::max<clock::duration>(m_arrived + whole - clock::now(), milliseconds(1));
}

void request_exchange::ask_for_slot() {
    m_stage = stage::waiting;
    const auto wanted = make_slot_request();
    m_ticket = wanted.ticket;
    m_waits_for_slot = true;
    m_patience_timer = m_context.timers.after(m_context.executor, patience(), [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->give_up();
        }
    });
    const auto self = shared_from_this();
    m_context.slots.request(wanted, {[self](const policy::slot_grant& grant) { self->take_grant(grant); },
                                     [self](const policy::slot_refusal& refusal) {
                                         self->take_refusal(refusal);
                                     }});
}

void request_exchange::take_grant(const policy::slot_grant& grant) {
    m_waits_for_slot = false;
    m_patience_timer.cancel();
    m_slot = grant.server;
    m_slot_begin = clock::now();
    m_first_event = {};
    auto found = m_context.backends.find(grant.server);
    // The coordinator may not know yet that the server is leaving, for instance while the store turns it
    // away.
    const bool takes_work = found != nullptr && found->record().state == routing::backend_state::ready;
    if (!takes_work) {
        avoid(grant.server);
        release_slot(policy::slot_outcome::unreachable);
        ask_for_slot();
        return;
    }
    m_is_charged = true;
    send_to(std::move(found));
}

void request_exchange::take_refusal(const policy::slot_refusal& refusal) {
    m_waits_for_slot = false;
    m_patience_timer.cancel();
    const auto wait = std::chrono::duration_cast<milliseconds>(refusal.retry_after);
    switch (refusal.reason) {
    case policy::refusal_reason::over_allowance:
        answer_error(error_kind::rate_limited, wait);
        return;
    case policy::refusal_reason::over_retry_budget:
    case policy::refusal_reason::overloaded:
        break;
    }
    answer_error(error_kind::overloaded, wait);
}

void request_exchange::avoid(policy::server_key server) {
    std::ranges::rotate(m_avoided, m_avoided.end() - 1);
    m_avoided.front() = server;
}

void request_exchange::send_to(std::shared_ptr<backend> server) {
    m_stage = stage::running;
    ++m_tries;
    backend_request request;
    request.head = compose_head(*server);
    request.body = m_request.body;
    request.request_id = m_request_id;
    request.request_id_name = m_context.fields.request_id;
    request.is_head_method = m_request.method == "HEAD";
    request.is_repeatable = m_route->may_repeat();
    const auto self = shared_from_this();
    m_call = std::make_shared<backend_call>(
        m_context.executor, std::move(server), std::move(request),
        backend_call::handlers{[self] { self->take_head(); },
                               [self](std::string_view bytes) { self->take_body(bytes); },
                               [self] { self->take_complete(); },
                               [self](call_failure what, std::string_view reason) {
                                   self->take_failure(what, reason);
                               }});
    m_call->start();
}

std::string request_exchange::compose_head(const backend& server) const {
    const auto& names = m_context.fields;
    const std::array<std::string_view, 9> replaced{
        names.deadline,      names.workspace,     names.expected_server, names.hold,     names.pin_time,
        names.memory_backup, names.memory_source, names.memory_fetch,    "Authorization"};
    std::string head;
    head.reserve(512);
    head.append(m_request.method).append(" ").append(m_request.target).append(" HTTP/1.1\r\n");
    for (std::size_t index = 0; index < m_request.fields.size(); ++index) {
        const auto [name, value] = m_request.fields.at(index);
        const bool is_replaced = std::ranges::any_of(
            replaced, [name](std::string_view known) { return http::is_same_name(known, name); });
        if (!is_replaced && !is_connection_field(name)) {
            append_field(head, name, value);
        }
    }
    append_field(head, names.deadline, std::to_string(std::max<std::int64_t>(1, time_left().count())));
    append_field(head, names.expected_server, server.record().id);
    if (m_workspace != nullptr) {
        append_field(head, names.workspace, m_workspace->name);
    }
    if (!m_request.body.empty() || (m_request.method != "GET" && m_request.method != "HEAD")) {
        append_field(head, "Content-Length", std::to_string(m_request.body.size()));
    }
    return head.append("\r\n");
}

void request_exchange::take_head() {
    const auto& response = m_call->response();
    const bool is_success = response.status() >= first_success && response.status() < first_redirect;
    m_is_stream = m_route->kind == routing::route_kind::stream && is_success;
    m_answer.clear();
}

void request_exchange::take_body(std::string_view bytes) {
    if (m_is_stream) {
        take_events(bytes);
    } else {
        m_answer.append(bytes);
    }
}

void request_exchange::take_events(std::string_view bytes) {
    const auto whole = m_events.add(bytes);
    if (whole.empty()) {
        return;
    }
    if (m_stage != stage::streaming) {
        const auto& response = m_call->response();
        m_first_event = clock::now() - m_slot_begin;
        m_session->begin_stream(response.status(), response.reason(), passed_fields(response));
        m_stage = stage::streaming;
    }
    m_session->send_piece(whole);
    if (m_session->unsent() > most_unsent) {
        m_call->pause();
    }
}

void request_exchange::take_drained() {
    if (m_call != nullptr) {
        m_call->resume();
    }
}

void request_exchange::take_complete() {
    if (m_is_stream) {
        take_stream_end();
        return;
    }
    const auto& response = m_call->response();
    const bool not_executed =
        response.fields().find(m_context.fields.not_executed).has_value() || response.status() == misdirected;
    if (not_executed) {
        take_failure(call_failure::not_executed, "the server refused it");
        return;
    }
    const bool has_failed = response.status() >= first_server_error;
    ++m_sends;
    ++m_runs;
    release_slot(has_failed ? policy::slot_outcome::failed : policy::slot_outcome::served);
    if (has_failed && may_try_again(call_failure::unknown)) {
        try_again();
        return;
    }
    pass_whole_answer();
}

void request_exchange::take_stream_end() {
    if (m_stage != stage::streaming || m_events.has_part()) {
        take_failure(call_failure::unknown, "a stream without its last event");
        return;
    }
    release_slot(policy::slot_outcome::served);
    m_session->finish_stream();
    end();
}

void request_exchange::pass_whole_answer() {
    const auto& response = m_call->response();
    m_session->answer(response.status(), response.reason(), passed_fields(response), m_answer);
    end();
}

std::string request_exchange::passed_fields(const http::response_reader& response) const {
    std::string passed;
    const auto& fields = response.fields();
    for (std::size_t index = 0; index < fields.size(); ++index) {
        const auto [name, value] = fields.at(index);
        if (!is_connection_field(name)) {
            append_field(passed, name, value);
        }
    }
    return passed;
}

bool request_exchange::may_try_again(call_failure what) const {
    if (m_stage == stage::streaming || time_left() <= answer_margin) {
        return false;
    }
    if (what != call_failure::unknown) {
        return m_tries < most_tries;
    }
    return m_route->may_repeat() && m_runs < m_route->attempts;
}

void request_exchange::try_again() {
    avoid(hash_bytes(m_call->server()->record().id));
    m_call.reset();
    ask_for_slot();
}

void request_exchange::take_failure(call_failure what, std::string_view) {
    m_sends += what == call_failure::unreachable ? 0 : 1;
    m_runs += what == call_failure::unknown ? 1 : 0;
    // What didn't run has its allowance given back with its slot.
    m_is_charged = what == call_failure::unknown;
    release_slot(outcome_of(what));
    if (m_stage == stage::streaming) {
        m_session->cut();
        end();
        return;
    }
    if (may_try_again(what)) {
        try_again();
        return;
    }
    if (what == call_failure::unknown || m_runs > 0) {
        answer_error(error_kind::outcome_unknown);
    } else {
        answer_error(error_kind::overloaded, milliseconds(300));
    }
}

void request_exchange::take_timeout() {
    if (m_stage == stage::streaming) {
        m_session->cut();
        cancel();
        return;
    }
    const bool has_run = m_stage == stage::running;
    cancel();
    answer_error(has_run ? error_kind::backend_stalled : error_kind::deadline_unreachable);
}

void request_exchange::give_up() {
    if (m_stage != stage::waiting) {
        return;
    }
    answer_error(error_kind::overloaded, milliseconds(300 + static_cast<int>(700 * draw())));
}

void request_exchange::answer_error(error_kind kind, std::optional<milliseconds> retry_after) {
    const auto& row = answer_for(kind);
    std::string fields;
    if (!m_request_id.empty()) {
        append_field(fields, m_context.fields.request_id, m_request_id);
    }
    append_field(fields, "Content-Type", "application/json");
    if (retry_after.has_value()) {
        append_field(fields, "Retry-After", http::to_seconds_text(*retry_after));
    }
    const std::string body = R"({"error":")" + std::string(row.name) + R"("})";
    m_session->answer(row.http_status, row.name, fields, body);
    end();
}

void request_exchange::release_slot(policy::slot_outcome outcome) {
    if (m_waits_for_slot) {
        m_context.slots.withdraw(m_ticket);
        m_waits_for_slot = false;
    }
    if (m_slot != 0) {
        m_context.slots.release(
            {m_ticket, std::exchange(m_slot, 0), outcome, clock::now() - m_slot_begin, m_first_event});
    }
}

void request_exchange::cancel() {
    const auto self = shared_from_this();
    if (m_call != nullptr) {
        m_call->cancel();
    }
    end();
}

void request_exchange::end() {
    m_stage = stage::over;
    m_deadline_timer.cancel();
    m_patience_timer.cancel();
    release_slot(policy::slot_outcome::abandoned);
    m_call.reset();
}

} // namespace borageford::gateway
