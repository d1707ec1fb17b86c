// Reads the server-sent events of a streamed chat completion: the text, the arrival time of each token, and
// whether the end event or an error event arrived.
#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::test {

/// Parses one answer incrementally. It expects the stand-in engine's format: one token in each event, without
/// escapes.
class event_reader {
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Parses the next bytes of the body; `now` becomes the arrival time of the tokens in them.
    void add(std::string_view bytes, time_point now);

    [[nodiscard]] const std::string& text() const noexcept { return m_text; }
    /// Whether the end event ("[DONE]") arrived.
    [[nodiscard]] bool has_ended() const noexcept { return m_has_ended; }
    /// Whether an event with an error arrived.
    [[nodiscard]] bool has_error() const noexcept { return m_has_error; }
    /// Number of tokens received.
    [[nodiscard]] std::size_t tokens() const noexcept { return m_token_times.size(); }
    /// Arrival time of the first token; there must be one.
    [[nodiscard]] time_point first_token() const { return m_token_times.front(); }
    /// 95th percentile of the times between tokens, in milliseconds; 0 with fewer than two tokens.
    [[nodiscard]] double gap_percentile() const;

private:
    void read_event(std::string_view line, time_point now);

    std::string m_incomplete_line; ///< bytes of the last, still incomplete line
    std::string m_text;
    std::vector<time_point> m_token_times;
    bool m_has_ended = false;
    bool m_has_error = false;
};

} // namespace borageford::test
