// Reads a streamed answer: its text, whether its end came, and the times at which its tokens came.
#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::test {

class event_reader {
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// The next bytes of the body, which came now.
    void add(std::string_view bytes, time_point now);

    [[nodiscard]] const std::string& text() const noexcept { return m_text; }
    [[nodiscard]] bool has_ended() const noexcept { return m_has_ended; }
    [[nodiscard]] bool has_error() const noexcept { return m_has_error; }
    [[nodiscard]] std::size_t tokens() const noexcept { return m_token_times.size(); }
    [[nodiscard]] time_point first_token() const { return m_token_times.front(); }
    /// 95th percentile of the times between tokens, in milliseconds; 0 with fewer than two tokens.
    [[nodiscard]] double gap_percentile() const;

private:
    void read_event(std::string_view line, time_point now);

    std::string m_rest; ///< bytes after the last whole line
    std::string m_text;
    std::vector<time_point> m_token_times;
    bool m_has_ended = false;
    bool m_has_error = false;
};

} // namespace borageford::test
