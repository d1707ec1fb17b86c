// Implementation of backend. Idle connections continue to be read, so that one that the server closes is
// dropped before a request is sent on it.
#include "gateway/backend.hpp"

#include "gateway/backend_call.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace borageford::gateway {

backend::backend(routing::backend_record record) : m_record(std::move(record)) {}

void backend::set_record(routing::backend_record record) {
    if (record.address != m_record.address) {
        close_idle();
    }
    m_record = std::move(record);
}

std::optional<server_connection> backend::take_idle(std::string_view request_id, clock::duration max_idle) {
    const auto now = clock::now();
    close_expired(now);
    const auto found =
        std::ranges::find_if(m_idle.rbegin(), m_idle.rend(), [&](const idle_connection& entry) {
            return entry.connection.may_carry(request_id);
        });
    if (found == m_idle.rend() || now - found->since > max_idle) {
        return std::nullopt;
    }
    auto connection = std::move(found->connection);
    m_idle.erase(std::next(found).base());
    connection.stream()->set_handlers({});
    return connection;
}

void backend::keep_idle(server_connection connection, clock::duration keep, std::function<void()> on_end) {
    const auto& stream = connection.stream();
    if (m_is_retired) {
        stream->close();
        return;
    }
    const auto now = clock::now();
    const auto* raw = stream.get();
    const std::weak_ptr<backend> weak = weak_from_this();
    const auto drop = [weak, raw] {
        if (const auto self = weak.lock()) {
            self->drop_idle(raw);
        }
    };
    // Bytes that arrive while no request is open belong to no response. The connection can't be trusted any
    // more and is closed.
    const auto handle_end = [weak, drop, on_end = std::move(on_end)](net::connection_end how) {
        const auto self = weak.lock();
        if (self != nullptr && how == net::connection_end::failed) {
            self->record_connection_failure();
        }
        drop();
        on_end();
    };
    stream->set_handlers({drop, handle_end, {}});
    stream->read();
    m_idle.push_back({std::move(connection), now, now + keep});
}

void backend::drop_idle(const net::connection* ended) {
    const auto found = std::ranges::find_if(
        m_idle, [ended](const idle_connection& entry) { return entry.connection.stream().get() == ended; });
    if (found != m_idle.end()) {
        found->connection.stream()->close();
        m_idle.erase(found);
    }
}

void backend::close_expired(clock::time_point now) {
    std::erase_if(m_idle, [now](const idle_connection& entry) {
        if (entry.until > now) {
            return false;
        }
        entry.connection.stream()->close();
        return true;
    });
}

void backend::close_idle() {
    for (const auto& entry : m_idle) {
        entry.connection.stream()->close();
    }
    m_idle.clear();
}

void backend::add_call(const std::shared_ptr<backend_call>& call) {
    m_calls.emplace(call.get(), call);
}

void backend::remove_call(const backend_call* call) {
    m_calls.erase(call);
}

void backend::retire() {
    m_is_retired = true;
    close_idle();
    for (const auto& [raw, weak] : std::exchange(m_calls, {})) {
        if (const auto call = weak.lock()) {
            call->handle_restart();
        }
    }
}

} // namespace borageford::gateway
