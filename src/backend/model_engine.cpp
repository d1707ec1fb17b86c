// Implements the calls to a model engine with HTTP and JSON.
#include "backend/model_engine.hpp"

#include "backend/http_exchange.hpp"

#include <boost/json.hpp>

#include <charconv>
#include <utility>

namespace borageford::backend {
namespace {

namespace json = boost::json;
namespace asio = boost::asio;

constexpr unsigned status_ok = 200;
constexpr unsigned status_no_content = 204;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_conflict = 409;
constexpr int hexadecimal = 16;

/// Parses the answer to a control call. Throws backend_error with failure::malformed when its status isn't
/// 200 or its body isn't a JSON object.
json::object parse_answer(const http::response& answer) {
    boost::system::error_code error;
    auto value = json::parse(answer.body, error);
    if (answer.head.status != status_ok || error || !value.is_object()) {
        throw backend_error(failure::malformed, "the engine answered a control call with status " +
                                                    std::to_string(answer.head.status) +
                                                    ", or the body is not a JSON object");
    }
    return std::move(value.get_object());
}

/// Reads a number; 0 when it is missing or invalid.
std::uint64_t read_number(const json::object& from, std::string_view key) {
    const auto* value = from.if_contains({key.data(), key.size()});
    if (value == nullptr) {
        return 0;
    }
    boost::system::error_code error;
    const auto number = value->to_number<std::uint64_t>(error);
    return error ? 0 : number;
}

/// Reads a string; empty when it is missing or not a string.
std::string read_text(const json::object& from, std::string_view key) {
    const auto* value = from.if_contains({key.data(), key.size()});
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

/// Reads an array; empty when it is missing or not an array.
json::array read_array(const json::object& from, std::string_view key) {
    const auto* value = from.if_contains({key.data(), key.size()});
    return value != nullptr && value->is_array() ? value->get_array() : json::array();
}

cache_event read_event(const json::object& from) {
    cache_event event;
    event.sequence = read_number(from, "sequence");
    event.is_stored = read_text(from, "kind") == "stored";
    for (const auto& item : read_array(from, "hashes")) {
        const auto text = item.is_string() ? std::string(item.get_string()) : std::string();
        std::uint64_t hash = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), hash, hexadecimal);
        if (parsed.ec == std::errc{} && !text.empty()) {
            event.hashes.push_back(hash);
        }
    }
    return event;
}

} // namespace

std::string_view to_string(order_kind kind) noexcept {
    switch (kind) {
    case order_kind::load_model:
        return "load_model";
    case order_kind::unload_model:
        return "unload_model";
    case order_kind::load_adapter:
        return "load_adapter";
    case order_kind::unload_adapter:
        return "unload_adapter";
    case order_kind::set_role:
        break;
    }
    return "set_role";
}

model_engine::model_engine(asio::any_io_executor executor, http::endpoint address,
                           std::chrono::milliseconds control_timeout)
    : m_executor(std::move(executor)), m_address(std::move(address)), m_control_timeout(control_timeout) {}

asio::awaitable<answer_head> model_engine::run(answer_stream& stream, dispatch_id dispatch,
                                               const call& work) {
    const auto request = make_call(dispatch, work);
    co_return co_await stream.open(m_address, request);
}

asio::awaitable<std::optional<answer_head>> model_engine::resume(answer_stream& stream, dispatch_id dispatch,
                                                                 std::uint64_t offset) {
    http::request request;
    request.target = "/v1/streams/" + dispatch.to_string() + "?offset=" + std::to_string(offset);
    const auto head = co_await stream.open(m_address, request);
    if (head.status == status_not_found) {
        co_return std::nullopt;
    }
    if (head.status != status_ok) {
        throw backend_error(failure::refused,
                            "the engine answered a resume with status " + std::to_string(head.status));
    }
    co_return head;
}

asio::awaitable<bool> model_engine::cancel(dispatch_id dispatch) {
    const auto answer =
        co_await send_control_request("DELETE", "/v1/streams/" + dispatch.to_string(), {}, m_control_timeout);
    co_return answer.head.status == status_no_content || answer.head.status == status_ok;
}

asio::awaitable<engine_load> model_engine::load() {
    const auto answer = parse_answer(co_await send_control_request("GET", "/load", {}, m_control_timeout));
    engine_load report;
    report.running = static_cast<std::uint32_t>(read_number(answer, "running"));
    report.waiting = static_cast<std::uint32_t>(read_number(answer, "waiting"));
    report.prefill_tokens = read_number(answer, "prefill_tokens");
    report.cached_tokens = read_number(answer, "cached_tokens");
    co_return report;
}

asio::awaitable<cache_event_batch> model_engine::cache_events(std::uint64_t after) {
    const auto target = "/cache_events?after=" + std::to_string(after);
    const auto answer = parse_answer(co_await send_control_request("GET", target, {}, m_control_timeout));
    cache_event_batch batch;
    batch.next = read_number(answer, "next");
    for (const auto& item : read_array(answer, "events")) {
        if (item.is_object()) {
            batch.events.push_back(read_event(item.get_object()));
        }
    }
    co_return batch;
}

asio::awaitable<engine_state> model_engine::state() {
    const auto answer = parse_answer(co_await send_control_request("GET", "/state", {}, m_control_timeout));
    engine_state now;
    for (const auto& item : read_array(answer, "models")) {
        if (item.is_object()) {
            now.models.push_back(
                {read_text(item.get_object(), "name"), read_text(item.get_object(), "version")});
        }
    }
    for (const auto& item : read_array(answer, "adapters")) {
        if (item.is_string()) {
            now.adapters.emplace_back(item.get_string());
        } else if (item.is_object()) {
            now.adapters.push_back(read_text(item.get_object(), "name"));
        }
    }
    now.role = read_text(answer, "role");
    now.fencing = read_number(answer, "fencing");
    co_return now;
}

asio::awaitable<order_result> model_engine::send_order(const order& command,
                                                       std::chrono::milliseconds limit) {
    const json::object body{
        {"fencing", command.fencing},
        {"kind", json::string_view(to_string(command.kind).data(), to_string(command.kind).size())},
        {"name", command.name},
        {"version", command.version}};
    const auto answer = co_await send_control_request("POST", "/orders", json::serialize(body), limit);
    if (answer.head.status == status_conflict) {
        co_return order_result::stale_fencing;
    }
    if (answer.head.status != status_ok) {
        throw backend_error(failure::refused,
                            "the engine answered an order with status " + std::to_string(answer.head.status));
    }
    co_return order_result::done;
}

asio::awaitable<bool> model_engine::is_healthy() {
    co_return co_await check_health(m_executor, m_address, m_control_timeout);
}

asio::awaitable<bool> model_engine::is_alive() {
    co_return co_await check_life(m_executor, m_address, m_control_timeout);
}

asio::awaitable<http::response> model_engine::send_control_request(std::string method, std::string target,
                                                                   std::string body,
                                                                   std::chrono::milliseconds limit) {
    http::request request;
    request.method = std::move(method);
    request.target = std::move(target);
    if (!body.empty()) {
        request.headers.push_back({"Content-Type", "application/json"});
        request.body = std::move(body);
    }
    co_return co_await exchange(m_executor, m_address, request, limit);
}

} // namespace borageford::backend
