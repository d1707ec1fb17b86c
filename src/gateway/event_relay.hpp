// Forwards the events of one stream to its caller, from one backend server or, after a broken connection,
// from several in turn.
#pragma once

#include "http/event_splitter.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace borageford::gateway {

/// Forwards only complete events, each once and in order. Invariant: the ids of the forwarded events
/// increase.
class event_relay {
public:
    /// Adds received bytes and returns the complete events to forward; the result is valid until the next
    /// call. Throws http::response_error if the first event from a further server doesn't directly follow the
    /// last one that was forwarded; nothing of it may be forwarded then.
    [[nodiscard]] std::string_view add(std::string_view bytes);

    /// The connection to the server broke: drops an incomplete event. The next bytes come from another
    /// server.
    void handle_broken_connection();

    /// Returns whether the stream may end here: at least one event was forwarded, and none is incomplete.
    [[nodiscard]] bool is_complete() const noexcept { return m_count > 0 && !m_splitter.has_partial_event(); }

    /// Number of bytes of an incomplete event, which are held until the event is complete.
    [[nodiscard]] std::size_t held_bytes() const noexcept { return m_splitter.partial_size(); }
    /// Id of the last forwarded event that had one; nothing if none had.
    [[nodiscard]] const std::optional<std::string>& last_id() const noexcept { return m_last_id; }
    /// Number of events forwarded.
    [[nodiscard]] std::uint64_t count() const noexcept { return m_count; }

private:
    void check_continuation() const;

    http::event_splitter m_splitter;
    std::optional<std::string> m_last_id;
    std::uint64_t m_count = 0;
    bool m_continues = false; ///< Whether the next event must directly follow m_last_id.
};

} // namespace borageford::gateway
