// The events of one stream on their way to its caller, from one backend server or, after a break, several.
#pragma once

#include "http/event_splitter.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace borageford::gateway {

/// Only whole events pass, each once and in order. Invariant: the ids that have passed grow.
class event_relay {
public:
    /// Whole events to pass on; valid until the next call. Throws http::response_error when the stream
    /// doesn't go on where the caller's has stopped: nothing of it may be passed on.
    [[nodiscard]] std::string_view add(std::string_view bytes);

    /// The server's part has broken off: a half event is dropped, and what comes next is another server's.
    void break_off();

    /// Whether the stream may end here: at least one event, and no half one.
    [[nodiscard]] bool is_whole() const noexcept { return m_count > 0 && !m_splitter.has_part(); }

    /// The id of the last event that has passed; nothing when none has, or it had none.
    [[nodiscard]] const std::optional<std::string>& last_id() const noexcept { return m_last_id; }
    [[nodiscard]] std::uint64_t count() const noexcept { return m_count; }

private:
    void check_continuation() const;

    http::event_splitter m_splitter;
    std::optional<std::string> m_last_id;
    std::uint64_t m_count = 0;
    bool m_continues = false; ///< the next event must follow m_last_id
};

} // namespace borageford::gateway
