// Implements the administration API: checks the operators' token, finds the handler for a call's method and
// path, parses its parameters and sends the response.
#include "admin/administration.hpp"

#include "admin/answers.hpp"
#include "admin/quarantine.hpp"
#include "base/log.hpp"
#include "base/parse_number.hpp"
#include "base/request_error.hpp"
#include "base/sha256.hpp"
#include "settings/section_reader.hpp"
#include "store/store_error.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <utility>

namespace borageford::admin {

namespace asio = boost::asio;
using configuration::revision_number;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view bearer = "Bearer ";
constexpr std::string_view operator_header = "X-Operator";
constexpr std::string_view unnamed_operator = "operator";
constexpr std::size_t max_operator_name_length = 64;
constexpr std::size_t default_list_length = 20;
constexpr std::size_t max_list_length = 200;
constexpr milliseconds default_wait{30'000};
constexpr milliseconds max_wait{600'000};
constexpr milliseconds status_timeout{1'000};
constexpr std::size_t fingerprint_digits = 16;

std::vector<std::string_view> split_path(std::string_view path) {
    std::vector<std::string_view> parts;
    while (!path.empty()) {
        path.remove_prefix(1); // the leading slash
        const auto end = std::min(path.find('/'), path.size());
        parts.push_back(path.substr(0, end));
        path.remove_prefix(end);
    }
    return parts;
}

/// Returns the part of the path at each "*" of the pattern; nothing if the path doesn't match the pattern.
std::optional<std::vector<std::string>> match_path(std::string_view pattern, std::string_view path) {
    const auto expected = split_path(pattern);
    const auto parts = split_path(path);
    if (expected.size() != parts.size()) {
        return std::nullopt;
    }
    std::vector<std::string> arguments;
    for (std::size_t index = 0; index < parts.size(); ++index) {
        if (expected[index] == "*" && !parts[index].empty()) {
            arguments.emplace_back(parts[index]);
        } else if (expected[index] != parts[index]) {
            return std::nullopt;
        }
    }
    return arguments;
}

std::uint64_t parse_count(std::string_view text, std::string_view what) {
    const auto value = parse_number<std::uint64_t>(text);
    if (!value.has_value()) {
        throw request_error(error_kind::bad_request, std::string(what) + " must be a whole number, found \"" +
                                                         std::string(text) + "\"");
    }
    return *value;
}

milliseconds parse_wait(const std::string& text) {
    const auto duration = settings::parse_duration(text);
    if (!duration || *duration > max_wait) {
        throw request_error(error_kind::bad_request,
                            "wait must be a duration of at most 10m, for example 30s, found \"" + text +
                                "\"");
    }
    return *duration;
}

/// How long the caller wants to wait for the change to be in force on all nodes, from the query parameter
/// `wait`; nothing if the caller doesn't want to wait.
std::optional<milliseconds> parse_wait_parameter(const http::request& call) {
    const auto text = http::query_value(call.target, "wait");
    if (!text) {
        return std::nullopt;
    }
    return text->empty() ? default_wait : parse_wait(*text);
}

std::string parse_operator_name(const http::request& call) {
    const auto name = http::find_header(call.headers, operator_header).value_or(unnamed_operator);
    const bool is_usable = !name.empty() && name.size() <= max_operator_name_length &&
                           std::ranges::all_of(name, [](char c) { return c > ' ' && c <= '~'; });
    if (!is_usable) {
        throw request_error(error_kind::bad_request,
                            "X-Operator must be a name of at most 64 printable characters");
    }
    return std::string(name);
}

std::chrono::system_clock::time_point parse_time(const http::request& call, std::string_view name,
                                                 std::chrono::system_clock::time_point fallback) {
    const auto text = http::query_value(call.target, name);
    if (!text) {
        return fallback;
    }
    return std::chrono::system_clock::time_point(
        milliseconds(static_cast<std::int64_t>(parse_count(*text, name))));
}

[[noreturn]] void throw_unsupported(std::string_view what) {
    throw request_error(error_kind::not_found, "this entry can't tell " + std::string(what));
}

} // namespace

administration::administration(administration_context context, node_view view)
    : m_context(std::move(context)),
      m_view(std::move(view)),
      m_store(m_context.table, m_context.objects),
      m_survey(m_context.executor, m_context.timers, m_context.follower, m_context.vms, m_context.identity),
      m_spread(m_survey, m_context.timers),
      m_planner(m_context.follower, m_store, m_spread) {}

std::span<const administration::api_call> administration::api_calls() {
    static constexpr std::array calls{
        api_call{"POST", "/admin/plans", &administration::make_plan},
        api_call{"GET", "/admin/plans/*", &administration::show_plan},
        api_call{"POST", "/admin/plans/*/confirm", &administration::confirm_plan},
        api_call{"GET", "/admin/revisions", &administration::list_revisions},
        api_call{"GET", "/admin/revisions/*", &administration::show_revision},
        api_call{"POST", "/admin/revisions/*/revert", &administration::revert_revision},
        api_call{"GET", "/admin/status", &administration::show_status},
        api_call{"GET", "/admin/backend_servers", &administration::list_servers},
        api_call{"POST", "/admin/backend_servers/*/drain", &administration::drain_server},
        api_call{"POST", "/admin/backend_servers/*/undrain", &administration::undrain_server},
        api_call{"GET", "/admin/quarantine", &administration::list_quarantine},
        api_call{"POST", "/admin/quarantine/*/release", &administration::release_from_quarantine},
        api_call{"GET", "/admin/limits", &administration::show_limits},
        api_call{"GET", "/admin/requests", &administration::find_requests},
        api_call{"GET", "/admin/requests/*", &administration::explain_request},
    };
    return calls;
}

asio::awaitable<void> administration::handle(const http::request& call, http::response_writer& writer) {
    http::response response;
    try {
        response = co_await answer(call);
    } catch (const request_error& error) {
        response = error_answer(error);
    } catch (const store::store_error& error) {
        // platform_unavailable tells the operator that nothing was changed, so it may only be used if the
        // write was refused or never sent.
        const auto kind = error.possible_effect() == store::effect::none ? error_kind::platform_unavailable
                                                                         : error_kind::outcome_unknown;
        response = error_answer(request_error(kind, error.what()));
    } catch (const std::exception& error) {
        log::error("admin_call_failed", {{"target", call.target}, {"error", error.what()}});
        response = error_answer(request_error(error_kind::internal, error.what()));
    }
    co_await writer.write(response);
}

asio::awaitable<http::response> administration::answer(const http::request& call) {
    check_token(call);
    const auto path = http::path_of(call.target);
    bool is_known_path = false;
    for (const auto& candidate : api_calls()) {
        auto arguments = match_path(candidate.pattern, path);
        if (!arguments) {
            continue;
        }
        is_known_path = true;
        if (candidate.method == call.method) {
            const admin_call parsed_call{call, std::move(*arguments), parse_operator_name(call)};
            co_return co_await (this->*candidate.handle)(parsed_call);
        }
    }
    throw request_error(is_known_path ? error_kind::method_not_allowed : error_kind::not_found);
}

void administration::check_token(const http::request& call) const {
    const auto value = http::find_header(call.headers, "Authorization").value_or("");
    // Compares hashes instead of tokens, so that the duration of the comparison gives an attacker no
    // information about the token.
    if (!value.starts_with(bearer) || sha256_hex(value.substr(bearer.size())) != m_context.token_hash) {
        throw request_error(error_kind::unauthorized, "the operators' token is missing or wrong");
    }
}

asio::awaitable<http::response> administration::make_plan(const admin_call& call) {
    const auto file = http::query_value(call.request.target, "file").value_or("intent");
    const auto result =
        co_await m_planner.make_plan(call.request.body, file, call.operator_name, workspace_usage());
    if (!result.problems.empty()) {
        co_return problems_answer(result.problems);
    }
    co_return plan_answer(result.plan);
}

asio::awaitable<http::response> administration::show_plan(const admin_call& call) {
    const auto& id = call.arguments.front();
    const auto found = co_await m_store.find_plan(id);
    if (!found) {
        throw request_error(error_kind::not_found, "there is no plan " + id);
    }
    co_return plan_answer(*found);
}

asio::awaitable<http::response> administration::confirm_plan(const admin_call& call) {
    const auto result = co_await m_planner.confirm(call.arguments.front(), call.operator_name,
                                                   parse_wait_parameter(call.request));
    co_return commit_answer(result);
}

asio::awaitable<http::response> administration::list_revisions(const admin_call& call) {
    std::size_t limit = default_list_length;
    if (const auto text = http::query_value(call.request.target, "limit")) {
        limit = std::clamp<std::size_t>(parse_count(*text, "limit"), 1, max_list_length);
    }
    const auto head = std::max(co_await m_store.read_head(), m_context.follower.revision());
    const auto first = head < limit ? 1 : head - limit + 1;
    co_return revisions_answer(co_await m_store.list_revisions(first, limit));
}

asio::awaitable<http::response> administration::show_revision(const admin_call& call) {
    const auto number = parse_count(call.arguments.front(), "the revision");
    const auto row = co_await m_store.read_revision(number);
    if (!row) {
        throw request_error(error_kind::not_found, "there is no revision " + std::to_string(number));
    }
    co_return revision_answer(*row);
}

asio::awaitable<http::response> administration::revert_revision(const admin_call& call) {
    const auto number = parse_count(call.arguments.front(), "the revision");
    const auto result = co_await m_planner.make_revert_plan(number, call.operator_name, workspace_usage());
    if (!result.problems.empty()) {
        co_return problems_answer(result.problems);
    }
    co_return plan_answer(result.plan);
}

asio::awaitable<http::response> administration::show_status(const admin_call& /*call*/) {
    system_status status;
    status.entry = m_context.identity.hello.vm;
    status.head = co_await read_head();
    status.nodes = co_await m_survey.query_all(0, status_timeout);
    status.held = m_context.follower.revision();
    status.spread = co_await read_spread(status.held);
    co_return status_answer(status);
}

asio::awaitable<http::response> administration::list_servers(const admin_call& /*call*/) {
    const auto states =
        m_view.backend_servers ? m_view.backend_servers() : std::vector<backend_server_state>();
    co_return servers_answer(*m_context.follower.current(), states);
}

asio::awaitable<http::response> administration::drain_server(const admin_call& call) {
    const auto result = co_await m_planner.set_drained(call.arguments.front(), true, call.operator_name,
                                                       parse_wait_parameter(call.request));
    co_return commit_answer(result);
}

asio::awaitable<http::response> administration::undrain_server(const admin_call& call) {
    const auto result = co_await m_planner.set_drained(call.arguments.front(), false, call.operator_name,
                                                       parse_wait_parameter(call.request));
    co_return commit_answer(result);
}

asio::awaitable<http::response> administration::list_quarantine(const admin_call& /*call*/) {
    co_return quarantine_answer(co_await list_marked_requests(m_context.table));
}

asio::awaitable<http::response> administration::release_from_quarantine(const admin_call& call) {
    const auto& fingerprint = call.arguments.front();
    if (fingerprint.size() != fingerprint_digits) {
        throw request_error(error_kind::bad_request, "a fingerprint has 16 hexadecimal digits");
    }
    if (!co_await release_request(m_context.table, fingerprint)) {
        throw request_error(error_kind::not_found,
                            "no request with fingerprint " + fingerprint + " is marked");
    }
    log::info("quarantine_released", {{"fingerprint", fingerprint}, {"operator", call.operator_name}});
    co_return released_answer(fingerprint);
}

asio::awaitable<http::response> administration::show_limits(const admin_call& /*call*/) {
    co_return limits_answer(*m_context.follower.current(), workspace_usage());
}

asio::awaitable<http::response> administration::explain_request(const admin_call& call) {
    const auto id = identifier::parse(call.arguments.front());
    if (!id) {
        throw request_error(error_kind::bad_request, "a request id has 32 hexadecimal digits");
    }
    if (!m_view.explain) {
        throw_unsupported("what happened to requests");
    }
    const auto found = co_await m_view.explain(*id);
    if (!found) {
        throw request_error(error_kind::not_found, "there is no record of request " + id->to_string());
    }
    co_return explanation_answer(*found);
}

asio::awaitable<http::response> administration::find_requests(const admin_call& call) {
    if (!m_view.find_requests) {
        throw_unsupported("which requests there were");
    }
    request_query query;
    query.workspace = http::query_value(call.request.target, "workspace").value_or("");
    query.to = parse_time(call.request, "to", std::chrono::system_clock::now());
    query.from = parse_time(call.request, "from", query.to - std::chrono::hours(1));
    if (const auto text = http::query_value(call.request.target, "limit")) {
        query.limit = std::clamp<std::size_t>(parse_count(*text, "limit"), 1, max_list_length);
    }
    co_return explanation_answer(co_await m_view.find_requests(query));
}

std::vector<configuration::workspace_use> administration::workspace_usage() const {
    return m_view.workspace_usage ? m_view.workspace_usage() : std::vector<configuration::workspace_use>();
}

/// Returns nothing if the table doesn't answer: `status` must still work during an outage of the platform and
/// leaves out what can't be read.
asio::awaitable<std::optional<revision_number>> administration::read_head() {
    try {
        co_return co_await m_store.read_head();
    } catch (const store::store_error&) {
        co_return std::nullopt;
    }
}

asio::awaitable<std::optional<configuration::spread_row>>
administration::read_spread(revision_number revision) {
    try {
        co_return co_await m_store.read_spread(revision);
    } catch (const store::store_error&) {
        co_return std::nullopt;
    }
}

} // namespace borageford::admin
