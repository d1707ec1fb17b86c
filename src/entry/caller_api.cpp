// Routes the HTTP requests of callers and writes the answers or errors.
#include "entry/caller_api.hpp"

#include "audit/request_identifier.hpp"
#include "base/request_error.hpp"
#include "entry/call_parser.hpp"
#include "entry/call_record.hpp"
#include "entry/error_responses.hpp"
#include "entry/request_run.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/json.hpp>

#include <memory>
#include <optional>
#include <utility>

namespace borageford::entry {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// Retry-After for a caller that is refused while this entry drains; another entry can serve it.
constexpr std::chrono::milliseconds draining_retry_after{1000};

http::response make_text_response(unsigned status, std::string text) {
    return http::make_response(status, "text/plain", std::move(text));
}

/// Waits until the caller closes its connection and then pushes caller_disconnected to the request's mailbox,
/// unless the request has ended by then.
asio::awaitable<void> watch_caller(http::response_writer writer, std::weak_ptr<event_mailbox> events) {
    co_await writer.wait_for_disconnect();
    if (const auto still_waiting = events.lock()) {
        still_waiting->push(caller_disconnected{});
    }
}

} // namespace

caller_api::caller_api(entry_context& context) : m_context(context) {}

bool caller_api::is_ready() const {
    return !is_draining() && m_context.configuration.revision() > 0;
}

asio::awaitable<void> caller_api::handle(const http::request& received, http::response_writer& writer) {
    const auto path = http::path_of(received.target);
    if (path == "/healthz") {
        co_await writer.write(make_text_response(200, "alive\n"));
    } else if (path == "/readyz") {
        // The response needs a variable of its own: the compiler destroys the temporaries of a conditional
        // expression twice when it stands inside a co_await expression.
        const auto answer =
            is_ready() ? make_text_response(200, "ready\n") : make_text_response(503, "not ready\n");
        co_await writer.write(answer);
    } else {
        co_await handle_call(received, writer);
    }
}

asio::awaitable<void> caller_api::handle_call(const http::request& received, http::response_writer& writer) {
    m_context.metrics.count_received();
    const auto id = audit::make_request_identifier(m_context.settings.common.vm);
    std::optional<request_error> refusal;
    std::optional<call> request;
    std::optional<http::response> models;
    try {
        if (is_draining()) {
            throw request_error(error_kind::draining, {}, draining_retry_after);
        }
        if (http::path_of(received.target) == "/v1/models") {
            models = list_models(received);
        } else {
            request = parse_call(id, m_context.configuration.current(), received,
                                 m_context.settings.default_deadline);
        }
    } catch (const request_error& error) {
        refusal = error;
    }
    if (refusal) {
        m_context.metrics.count_failed(refusal->kind());
        co_await writer.write(error_response(*refusal, id));
    } else if (models) {
        co_await writer.write(*models);
    } else {
        record(*request, audit::event::received, nullptr);
        co_await run(*request, writer);
    }
}

asio::awaitable<void> caller_api::run(call& request, http::response_writer& writer) {
    const auto executor = co_await asio::this_coro::executor;
    const auto events = std::make_shared<event_mailbox>(executor);
    asio::co_spawn(executor, watch_caller(writer, events), asio::detached);

    caller_answer answer(request, writer, m_context.settings.answer_limit, m_context.answers);
    request_run run_in_progress(m_context, request, answer, events);
    std::optional<request_error> failure;
    try {
        const auto permit = m_context.admissions.admit(request);
        co_await run_in_progress.serve();
    } catch (const request_error& error) {
        failure = error;
    } catch (const caller_disconnected_error&) {
        m_context.metrics.count_caller_left();
        record(request, audit::event::cancelled, nullptr);
        writer.abort();
    }
    if (failure) {
        record(request,
               answer_for(failure->kind()).ran == run_state::no ? audit::event::refused
                                                                : audit::event::failed,
               &*failure);
        co_await write_error(request, answer, *failure, writer);
    }
}

asio::awaitable<void> caller_api::write_error(const call& request, const caller_answer& answer,
                                              const request_error& error, http::response_writer& writer) {
    m_context.metrics.count_failed(error.kind());
    if (!answer.has_begun()) {
        co_await writer.write(error_response(error, request.id));
        co_return;
    }
    // The stream has begun, so no error response is possible. Its last event states the error, and the
    // connection is aborted without an end marker so that the caller sees that the answer is incomplete.
    co_await writer.write_piece(error_event(error, request.id));
    writer.abort();
}

http::response caller_api::list_models(const http::request& received) const {
    const auto current = m_context.configuration.current();
    const auto& workspace = find_workspace(*current, received);
    json::array models;
    for (const auto& model : current->models) {
        if (current->find_route(workspace.name, workspace.tier, model.name, false) != nullptr) {
            models.push_back(
                json::object{{"id", model.name}, {"object", "model"}, {"owned_by", "borageford"}});
        }
    }
    return http::make_response(
        200, "application/json",
        json::serialize(json::object{{"object", "list"}, {"data", std::move(models)}}));
}

void caller_api::record(const call& request, audit::event what, const request_error* error) {
    auto entry = make_record(request, what);
    if (error != nullptr) {
        entry.reason = error->kind();
        entry.detail = error->what();
    }
    m_context.audit.record(std::move(entry));
}

} // namespace borageford::entry
