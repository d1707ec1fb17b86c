// Implementation of dispatch_runner: calls the backend server, reads and checks the answer, and resumes
// reading after a broken connection.
#include "sidecar/dispatch_runner.hpp"

#include "base/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <exception>
#include <string>
#include <utility>

namespace borageford::sidecar {
namespace {

namespace asio = boost::asio;

constexpr unsigned status_ok = 200;
/// HTTP statuses by which an engine reports an error in the request itself. The engine's response is passed
/// on to the caller.
constexpr std::array<unsigned, 4> request_fault_statuses{400, 404, 413, 422};
/// How often an answer is resumed without receiving a byte before the dispatch fails.
constexpr unsigned resume_limit = 3;
constexpr std::chrono::milliseconds reader_check_period{5};

} // namespace

/// The state of one dispatch while its answer is read.
struct dispatch_runner::attempt {
    backend::event_stream_checker checker;
    bool must_resume = false;
    unsigned resumes = 0; ///< number of resumes since the last byte was received
    bool is_over = false; ///< a callback has reported the end of the dispatch
    backend::failure failed = backend::failure::connection_broken;
    std::string error;
    bool has_failed = false;
};

dispatch_runner::dispatch_runner(asio::strand<asio::any_io_executor> strand, backend::backend_server& server,
                                 backend_monitor& monitor, const sidecar_settings& settings, callbacks calls)
    : m_strand(std::move(strand)),
      m_server(server),
      m_monitor(monitor),
      m_settings(settings),
      m_calls(std::move(calls)) {}

void dispatch_runner::start(const record_pointer& dispatch) {
    dispatch->backend_epoch = m_monitor.epoch();
    dispatch->stream = std::make_unique<backend::answer_stream>(m_strand, limits_for(*dispatch));
    asio::co_spawn(m_strand, run(dispatch), asio::detached);
}

void dispatch_runner::cancel(const record_pointer& dispatch) {
    dispatch->is_cancelled = true;
    if (dispatch->stream != nullptr) {
        dispatch->stream->cancel();
    }
    asio::co_spawn(m_strand, send_cancel(dispatch->request.dispatch), asio::detached);
}

asio::awaitable<void> dispatch_runner::run(record_pointer dispatch) {
    attempt state;
    state.must_resume = dispatch->is_adopted;
    while (!state.is_over) {
        state.has_failed = false;
        try {
            co_await follow(*dispatch, state);
        } catch (const backend::backend_error& error) {
            state.has_failed = true;
            state.failed = error.failure_kind();
            state.error = error.what();
        } catch (const std::exception& error) {
            state.has_failed = true;
            state.failed = backend::failure::malformed;
            state.error = error.what();
        }
        if (!state.has_failed) {
            break;
        }
        co_await recover(dispatch, state);
    }
    dispatch->stream.reset();
    if (!state.is_over) {
        m_calls.ended(dispatch,
                      {.failure = std::nullopt, .retry_after = {}, .usage = state.checker.measured()});
    }
}

asio::awaitable<void> dispatch_runner::follow(dispatch_record& dispatch, attempt& state) {
    co_await open(dispatch, state);
    co_await read(dispatch, state);
}

asio::awaitable<void> dispatch_runner::open(dispatch_record& dispatch, attempt& state) {
    const auto id = dispatch.request.dispatch;
    if (state.must_resume) {
        auto head = co_await m_server.resume(*dispatch.stream, id, dispatch.answer.length());
        if (!head) {
            throw backend::backend_error(backend::failure::unreachable,
                                         "the engine does not know the dispatch");
        }
        if (!dispatch.answer.head()) {
            dispatch.answer.set_head(std::move(*head));
        }
    } else {
        dispatch.answer.set_head(co_await m_server.run(*dispatch.stream, id, dispatch.call));
    }
    m_calls.progressed(dispatch);
}

asio::awaitable<void> dispatch_runner::read(dispatch_record& dispatch, attempt& state) {
    const auto status = dispatch.answer.head()->status;
    const auto is_checked = m_server.is_engine() && status == status_ok;
    if (m_server.is_engine() && status != status_ok &&
        std::ranges::find(request_fault_statuses, status) == request_fault_statuses.end()) {
        throw backend::backend_error(backend::failure::refused,
                                     "the engine answered with status " + std::to_string(status));
    }
    // For an adopted dispatch, whether the caller asked for a stream is known only from the answer's content
    // type.
    const auto is_stream = (dispatch.call.streamed && !dispatch.is_adopted) ||
                           dispatch.answer.head()->content_type.starts_with("text/event-stream");
    for (auto piece = co_await dispatch.stream->read_some(); !piece.empty();
         piece = co_await dispatch.stream->read_some()) {
        state.resumes = 0;
        if (dispatch.answer.length() + piece.size() > m_settings.answer_size) {
            throw backend::backend_error(backend::failure::malformed, "the answer is over the size limit");
        }
        const auto tokens = is_checked && is_stream ? state.checker.check(piece) : 0;
        if (tokens > 0) {
            m_calls.tokens_received(dispatch, tokens);
        }
        if (!m_calls.take_memory(dispatch, piece.size())) {
            throw backend::backend_error(backend::failure::malformed,
                                         "the answers take all memory, and this one more than its share");
        }
        dispatch.answer.append(piece);
        m_calls.progressed(dispatch);
        if (m_calls.must_wait(dispatch)) {
            co_await wait_for_readers(dispatch);
        }
    }
    if (!m_server.is_engine()) {
        co_await check_end(dispatch);
    }
    if (is_checked && is_stream) {
        state.checker.finish();
    }
    if (is_checked && !is_stream) {
        state.checker.set_measured(backend::check_complete_answer(dispatch.answer.body()));
    }
}

/// An answer without a length ends with its connection, and the kernel ends the connections of a service that
/// was killed in the same way. Without a sign of its life, a part would pass for the whole answer. Engines
/// end their answers in a way that the checker knows.
asio::awaitable<void> dispatch_runner::check_end(const dispatch_record& dispatch) {
    if (!dispatch.stream->ends_with_connection()) {
        co_return;
    }
    const bool is_alive = co_await m_server.is_alive();
    if (!is_alive) {
        throw backend::backend_error(backend::failure::connection_broken,
                                     "the service has ended with its answer");
    }
}

/// Leaves it to the server to hold what the readers don't take yet.
asio::awaitable<void> dispatch_runner::wait_for_readers(const dispatch_record& dispatch) {
    asio::steady_timer timer(m_strand);
    while (!dispatch.is_cancelled && m_calls.must_wait(dispatch)) {
        timer.expires_after(reader_check_period);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

/// Handles the failure in `state`: reports the end of the dispatch and sets `state.is_over`, or leaves it
/// false when reading is to be resumed.
asio::awaitable<void> dispatch_runner::recover(const record_pointer& dispatch, attempt& state) {
    using enum backend::failure;
    if (dispatch->is_cancelled) {
        state.is_over = true;
        m_calls.ended(
            dispatch,
            {.failure = error_kind::cancelled, .retry_after = {}, .usage = state.checker.measured()});
        co_return;
    }
    if (state.failed == unreachable && !state.must_resume) {
        state.is_over = true;
        m_monitor.report_lost(dispatch->backend_epoch);
        m_calls.never_began(dispatch);
        co_return;
    }
    if (state.failed == connection_broken && m_server.is_engine() && state.resumes < resume_limit) {
        ++state.resumes;
        state.must_resume = true;
        dispatch->stream = std::make_unique<backend::answer_stream>(m_strand, limits_for(*dispatch));
        co_return;
    }
    state.is_over = true;
    if (state.failed == unreachable && dispatch->is_adopted) {
        m_calls.unknown(dispatch);
        co_return;
    }
    const auto is_server_down =
        state.failed == unreachable || (state.failed == connection_broken && !co_await m_server.is_healthy());
    if (is_server_down) {
        // Reported before this dispatch ends, because dispatch_manager::choose_suspects looks at all
        // dispatches that were running when the server went down, including this one.
        m_monitor.report_lost(dispatch->backend_epoch);
        co_await m_calls.lost(dispatch);
    }
    if (state.failed == timed_out && dispatch->request.is_idempotent) {
        asio::co_spawn(m_strand, send_cancel(dispatch->request.dispatch), asio::detached);
    }
    log::warning("dispatch_failed", {{"dispatch", dispatch->request.dispatch.to_string()},
                                     {"kind", std::string(to_string(kind_of(state.failed)))},
                                     {"error", state.error}});
    m_calls.ended(dispatch,
                  {.failure = kind_of(state.failed), .retry_after = {}, .usage = state.checker.measured()});
}

asio::awaitable<void> dispatch_runner::send_cancel(dispatch_id dispatch) {
    try {
        co_await m_server.cancel(dispatch);
    } catch (const backend::backend_error& error) {
        log::warning("cancel_failed", {{"dispatch", dispatch.to_string()}, {"error", error.what()}});
    }
}

backend::stream_limits dispatch_runner::limits_for(const dispatch_record& dispatch) const {
    backend::stream_limits limits;
    limits.connect = m_settings.connect_limit;
    limits.head = dispatch.call.streamed ? m_settings.first_token_limit : m_settings.whole_answer_limit;
    limits.idle = m_settings.stall_limit;
    limits.body_bytes = m_settings.answer_size + 1;
    return limits;
}

error_kind dispatch_runner::kind_of(backend::failure what) {
    switch (what) {
    case backend::failure::timed_out:
        return error_kind::backend_stalled;
    case backend::failure::malformed:
        return error_kind::backend_garbled;
    case backend::failure::unreachable:
    case backend::failure::connection_broken:
    case backend::failure::refused:
        break;
    }
    return error_kind::backend_failed;
}

} // namespace borageford::sidecar
