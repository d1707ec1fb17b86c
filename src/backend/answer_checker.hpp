// Checks that the answer of a model engine is complete and well-formed, and reads its token counts.
#pragma once

#include "backend/backend_types.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace borageford::backend {

/// Checks one streamed answer while it arrives. An engine that is restarted, overloaded or faulty may end its
/// HTTP response correctly although the answer is incomplete, or send text that isn't an event. Only the
/// closing event shows that an answer is complete, so without this check a caller could mistake a truncated
/// answer for a complete one. Failed checks throw backend_error with failure::malformed.
class event_stream_checker {
public:
    /// Longest accepted line in bytes; no engine sends events that long.
    static constexpr std::size_t line_limit = 1024U * 1024;

    /// Checks the next bytes of the body, which may begin and end anywhere in a line. Returns the number of
    /// events with tokens that are completed by these bytes.
    std::size_t check(std::string_view piece);

    /// Call this at the end of the body. Throws when the closing event hasn't arrived.
    void finish() const;

    /// The token counts that the engine has reported so far, or that were set by set_measured().
    [[nodiscard]] const usage& measured() const noexcept { return m_usage; }
    /// Replaces the token counts.
    void set_measured(const usage& counts) noexcept { m_usage = counts; }

private:
    bool check_line(std::string_view line);
    bool check_event(std::string_view data);

    std::string m_partial_line;
    bool m_is_done = false;
    usage m_usage;
};

/// Reads the token counts of an answer that wasn't streamed; they are 0 when the engine reported none. Throws
/// backend_error with failure::malformed when the body isn't a JSON object.
[[nodiscard]] usage check_complete_answer(std::string_view body);

} // namespace borageford::backend
