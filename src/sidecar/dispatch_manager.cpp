// Implementation of dispatch_manager: the life of a started dispatch.
#include "sidecar/dispatch_manager.hpp"

#include "base/log.hpp"
#include "sidecar/grant_time.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace borageford::sidecar {

namespace asio = boost::asio;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t max_early_attaches = 10'000;

} // namespace

dispatch_manager::dispatch_manager(sidecar_context& context, backend::backend_server& server,
                                   const identifier& own_incarnation, callbacks calls)
    : m_context(context),
      m_own_incarnation(own_incarnation),
      m_calls(std::move(calls)),
      m_delivery(context.peers),
      m_runner(context.strand, server, context.monitor, context.settings, make_callbacks()) {}

dispatch_runner::callbacks dispatch_manager::make_callbacks() {
    dispatch_runner::callbacks calls;
    calls.take_memory = [this](const dispatch_record& dispatch, std::size_t bytes) {
        return m_context.store.add_bytes(dispatch.answer.length(), bytes);
    };
    calls.progressed = [this](dispatch_record& dispatch) {
        announce_adopted(dispatch);
        m_delivery.deliver(dispatch);
    };
    calls.must_wait = [this](const dispatch_record& dispatch) {
        return m_delivery.is_behind(dispatch);
    };
    calls.tokens_received = [this](dispatch_record& dispatch, std::size_t tokens) {
        record_tokens(dispatch, tokens);
    };
    calls.ended = [this](const record_pointer& dispatch, answer_ending ending) {
        finish(dispatch, ending);
    };
    calls.never_began = [this](const record_pointer& dispatch) {
        report_not_begun(dispatch);
    };
    calls.lost = [this](const record_pointer& dispatch) {
        return report_lost(dispatch);
    };
    calls.unknown = [this](const record_pointer& dispatch) {
        report_unknown(dispatch);
    };
    return calls;
}

void dispatch_manager::begin(const record_pointer& dispatch, connection_id reader) {
    dispatch->started = steady_clock::now();
    dispatch->readers.push_back({reader, 0, false});
    m_context.store.add(dispatch);
    m_context.metrics.started(dispatch->request, dispatch->started - dispatch->request.received);
    m_context.record(audit::event::started, dispatch->request);
    schedule_prefill_end(dispatch);
    m_runner.start(dispatch);
}

/// Ends the prefill of a dispatch that has no first token to show when its prefill is over: an answer that
/// isn't streamed, or a call to a plain service, which has no prefill. If such a dispatch counted as
/// prefilling until its end, it would block other requests for all that time.
void dispatch_manager::schedule_prefill_end(const record_pointer& dispatch) {
    if (dispatch->call.streamed && !dispatch->request.is_service) {
        return;
    }
    const auto rate = m_context.costs.prefill_rate();
    if (dispatch->request.is_service || rate <= 0) {
        m_context.limit.end_prefill(dispatch->admission);
        return;
    }
    const auto expected = policy::from_seconds(dispatch->request.prefill_tokens / rate);
    dispatch->prefill_end =
        m_context.timers.after(m_context.strand, expected, [this, weak = std::weak_ptr(dispatch)] {
            if (const auto held = weak.lock()) {
                m_context.limit.end_prefill(held->admission);
                m_calls.capacity_freed();
            }
        });
}

void dispatch_manager::attach(connection_id connection, const wire::attach_message& request) {
    const auto id = wire::from_wire(request.dispatch);
    m_context.metrics.attached();
    const auto found = m_context.store.find(id);
    if (found != nullptr) {
        if (!found->is_adopted || found->is_announced) {
            send_fate(connection, request.dispatch,
                      found->ended ? wire::dispatch_fate::finished : wire::dispatch_fate::running);
        }
        found->grace.cancel();
        m_context.record(audit::event::attached, found->request);
        m_delivery.add_reader(*found, connection, request.offset);
        return;
    }
    if (wire::from_wire(request.incarnation) != m_own_incarnation && m_context.ledger.find(id) == nullptr) {
        if (m_is_backend_known) {
            adopt(connection, request);
        } else if (m_early_attaches.size() < max_early_attaches) {
            // The dispatch can't be adopted yet, because only an engine can resume a stream. A plain service
            // would also respond to the request to resume, and that response would be taken for the answer of
            // the dispatch.
            m_early_attaches.push_back({connection, request});
        }
        return;
    }
    const auto now = steady_clock::now();
    switch (m_context.ledger.attach(id, earliest_start(request, now), now)) {
    case ledger::attach_result::not_begun:
        send_fate(connection, request.dispatch, wire::dispatch_fate::not_begun);
        return;
    case ledger::attach_result::finished: {
        // The answer was acknowledged, or removed to keep within the limits of the dispatch_store.
        send_fate(connection, request.dispatch, wire::dispatch_fate::finished);
        wire::answer_end_message end;
        end.dispatch = request.dispatch;
        end.failed = true;
        end.error_kind = wire::to_wire(error_kind::already_ran);
        m_context.peers.send(connection, std::move(end));
        return;
    }
    case ledger::attach_result::running:
    case ledger::attach_result::unknown:
        break;
    }
    send_fate(connection, request.dispatch, wire::dispatch_fate::unknown);
}

void dispatch_manager::on_backend_known() {
    m_is_backend_known = true;
    for (const auto& early : std::exchange(m_early_attaches, {})) {
        attach(early.connection, early.request);
    }
}

/// Resumes a dispatch that was started by a previous process of this sidecar. Only the backend server can
/// know what became of it.
void dispatch_manager::adopt(connection_id connection, const wire::attach_message& request) {
    const auto dispatch = std::make_shared<dispatch_record>();
    dispatch->request.dispatch = wire::from_wire(request.dispatch);
    dispatch->request.received = steady_clock::now();
    dispatch->started = dispatch->request.received;
    dispatch->is_adopted = true;
    dispatch->call.streamed = true;
    dispatch->admission = m_context.limit.admit(0);
    dispatch->readers.push_back({connection, request.offset, false});
    m_context.ledger.adopt(dispatch->request.dispatch);
    m_context.store.add(dispatch);
    m_runner.start(dispatch);
}

/// Tells the readers of an adopted dispatch that it is running. Called once the backend server has confirmed
/// that it still has the dispatch.
void dispatch_manager::announce_adopted(dispatch_record& dispatch) {
    if (!dispatch.is_adopted || dispatch.is_announced) {
        return;
    }
    dispatch.is_announced = true;
    for (const auto& reader : dispatch.readers) {
        send_fate(reader.connection, wire::to_wire(dispatch.request.dispatch), wire::dispatch_fate::running);
    }
}

void dispatch_manager::send_fate(connection_id connection, const wire::id& dispatch,
                                 wire::dispatch_fate state) {
    wire::fate_message fate;
    fate.dispatch = dispatch;
    fate.state = state;
    m_context.peers.send(connection, std::move(fate));
}

/// The answer of a request that isn't idempotent is kept within the limits of the dispatch_store also after
/// the acknowledgement, for a caller that sends the request again with the same key: the request must not be
/// run a second time to get its answer.
void dispatch_manager::acknowledge(const wire::acknowledge_message& request) {
    m_context.store.acknowledge(wire::from_wire(request.dispatch));
}

void dispatch_manager::abandon(connection_id connection, const wire::abandon_message& request) {
    const auto found = m_context.store.find(wire::from_wire(request.dispatch));
    if (found != nullptr && answer_delivery::remove_reader(*found, connection)) {
        start_grace(found);
    }
}

void dispatch_manager::drop_connection(connection_id connection) {
    for (const auto& dispatch : m_context.store.running()) {
        if (answer_delivery::remove_reader(*dispatch, connection)) {
            start_grace(dispatch);
        }
    }
}

/// Cancels a dispatch that has no readers after `resend_grace`, unless a caller sends the request again
/// before that and attaches to it: an answer that nobody reads must not occupy the backend server for long. A
/// request that isn't idempotent goes on, because cancelling it could leave its effect half done.
void dispatch_manager::start_grace(const record_pointer& dispatch) {
    if (!dispatch->readers.empty() || dispatch->ended || !dispatch->request.is_idempotent) {
        return;
    }
    dispatch->grace = m_context.timers.after(
        m_context.strand, m_context.settings.resend_grace, [this, weak = std::weak_ptr(dispatch)] {
            const auto held = weak.lock();
            if (held != nullptr && held->readers.empty() && !held->ended) {
                m_context.metrics.cancelled();
                m_context.record(audit::event::cancelled, held->request);
                m_runner.cancel(held);
            }
        });
}

void dispatch_manager::record_tokens(dispatch_record& dispatch, std::size_t tokens) {
    const auto now = steady_clock::now();
    dispatch.tokens += tokens;
    m_context.costs.record_output_tokens(tokens, true, now);
    if (!dispatch.first_token) {
        const auto elapsed = now - dispatch.started;
        dispatch.first_token = now;
        dispatch.last_token = now;
        if (!dispatch.is_adopted) {
            m_context.costs.record_prefill(dispatch.request.prefill_tokens, elapsed, now);
            m_context.limit.record_first_token(dispatch.admission, elapsed, now);
            m_context.metrics.first_token(dispatch.request, elapsed);
        }
        m_calls.capacity_freed();
        return;
    }
    // Several tokens may arrive in one piece. Each of them counts with an equal share of the time since the
    // previous piece.
    const auto each = (now - dispatch.last_token) / static_cast<std::int64_t>(tokens);
    dispatch.last_token = now;
    m_context.limit.record_between_tokens(each, now);
    m_context.metrics.between_tokens(dispatch.request, each);
}

void dispatch_manager::finish(const record_pointer& dispatch, answer_ending ending) {
    const auto now = steady_clock::now();
    const auto& request = dispatch->request;
    if (ending.failure) {
        ending.retry_after = m_calls.retry_after(request.tier);
        m_context.metrics.failed(*ending.failure);
    } else {
        record_result(*dispatch, ending.usage, now);
    }
    m_context.metrics.ended(*dispatch, now - dispatch->started, ending.usage);
    m_context.record(audit::event::ended, request, ending.failure);
    m_context.ledger.finish(request.dispatch, now);
    dispatch->answer.end(ending);
    dispatch->ended = now;
    dispatch->call = {};
    dispatch->grace.cancel();
    release_capacity(*dispatch);
    m_context.store.keep(dispatch, now);
    m_delivery.deliver(*dispatch);
    m_calls.capacity_freed();
}

void dispatch_manager::record_result(const dispatch_record& dispatch, const backend::usage& usage,
                                     time_point now) {
    const auto& request = dispatch.request;
    m_context.prefixes.add(request.prefix_hashes);
    if (dispatch.is_adopted || request.is_service) {
        return;
    }
    m_context.costs.record_output(request.workspace, request.target, usage.output_tokens);
    if (dispatch.tokens > 0 || usage.output_tokens == 0) {
        return;
    }
    // The answer wasn't streamed. The number of its tokens is known only now, and only their mean time can be
    // measured.
    m_context.costs.record_output_tokens(usage.output_tokens, true, now);
    m_context.limit.record_between_tokens((now - dispatch.started) / std::int64_t{usage.output_tokens}, now);
}

/// Reports to the readers that the dispatch has not begun, because the backend server can't have received the
/// call. The entry may place the request elsewhere.
void dispatch_manager::report_not_begun(const record_pointer& dispatch) {
    const auto now = steady_clock::now();
    const auto& request = dispatch->request;
    m_context.ledger.revoke_start(request.dispatch, now);
    release_capacity(*dispatch);
    m_context.store.remove(request.dispatch);
    m_context.metrics.refused(error_kind::no_backend_server, request.tier);
    m_context.record(audit::event::refused, request, error_kind::no_backend_server, "never begun");
    wire::not_begun_message refusal;
    refusal.dispatch = wire::to_wire(request.dispatch);
    refusal.error_kind = wire::to_wire(error_kind::no_backend_server);
    refusal.retry_after_ms = static_cast<std::uint32_t>(m_calls.retry_after(request.tier).count());
    for (const auto& reader : dispatch->readers) {
        m_context.peers.send(reader.connection, refusal);
    }
    m_calls.capacity_freed();
}

void dispatch_manager::report_unknown(const record_pointer& dispatch) {
    release_capacity(*dispatch);
    for (const auto& reader : dispatch->readers) {
        send_fate(reader.connection, wire::to_wire(dispatch->request.dispatch), wire::dispatch_fate::unknown);
    }
    m_context.ledger.forget_adopted(dispatch->request.dispatch);
    m_context.store.remove(dispatch->request.dispatch);
    m_calls.capacity_freed();
}

void dispatch_manager::release_capacity(dispatch_record& dispatch) {
    m_context.limit.release(dispatch.admission);
}

void dispatch_manager::choose_suspects() {
    // If a running request already has a crash mark, that request is the more likely cause. Marking the other
    // running requests as well would quarantine requests that did no harm.
    auto running = m_context.store.running();
    const auto is_marked = [this](const record_pointer& dispatch) {
        return m_context.marks.count(dispatch->request.fingerprint) > 0;
    };
    const auto has_marked = std::ranges::any_of(running, is_marked);
    for (const auto& dispatch : running) {
        const auto has_begun =
            !dispatch->is_adopted && dispatch->backend_epoch + 1 == m_context.monitor.epoch();
        dispatch->is_suspect = has_begun && (!has_marked || is_marked(dispatch));
    }
    m_context.metrics.backend_died();
}

bool dispatch_manager::is_running_marked() const {
    const auto running = m_context.store.running();
    return std::ranges::any_of(running, [this](const record_pointer& dispatch) {
        return m_context.marks.count(dispatch->request.fingerprint) > 0;
    });
}

/// Marks the request of a dispatch whose backend server died. The mark is written before the failure is
/// reported to the readers: a caller may send the request again at once to another entry, which must find the
/// mark.
asio::awaitable<void> dispatch_manager::report_lost(record_pointer dispatch) {
    if (!dispatch->is_suspect || dispatch->request.fingerprint == 0) {
        co_return;
    }
    dispatch->is_suspect = false;
    const auto fingerprint = dispatch->request.fingerprint;
    const auto mark = m_context.marks.add(fingerprint);
    wire::crash_mark_message message;
    message.fingerprint = fingerprint;
    message.backend_server = mark.backend_server;
    message.mark = wire::to_wire(mark.mark);
    m_context.peers.send_to_all(message);
    co_await m_context.marks.write(fingerprint, mark, m_context.settings.mark_limit);
}

} // namespace borageford::sidecar
