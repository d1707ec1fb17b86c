// Checks that an engine's answer is what its protocol promises, and reads its token counts.
#pragma once

#include "backend/backend_types.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace borageford::backend {

/// Follows one streamed answer. An engine that is restarted, overloaded or faulty may end its stream early
/// with a correct HTTP end, or send text that isn't an event; only the events themselves tell a whole
/// answer from a part, so without this check a caller could get a part as if it were the whole.
/// Throws backend_error with failure::garbled.
class event_stream_checker {
public:
    /// A line longer than this isn't an event of any engine.
    static constexpr std::size_t line_limit = 1024U * 1024;

    /// Takes the next bytes of the body, cut anywhere. Returns how many token events they ended.
    std::size_t take(std::string_view piece);

    /// The body has ended. Throws unless the closing event had come.
    void finish() const;

    [[nodiscard]] const usage& measured() const noexcept { return m_usage; }
    void set_measured(const usage& counts) noexcept { m_usage = counts; }

private:
    bool take_line(std::string_view line);
    bool take_event(std::string_view data);

    std::string m_partial_line;
    bool m_is_done = false;
    usage m_usage;
};

/// Reads the token counts of an answer that isn't streamed. Throws backend_error with failure::garbled when
/// it isn't a JSON object.
[[nodiscard]] usage check_whole_answer(std::string_view body);

} // namespace borageford::backend
