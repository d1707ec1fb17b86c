// Lines on their way to a file descriptor that may be a pipe which nobody reads.
#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace borageford::events {

/// A write to a full pipe stops the whole process until somebody reads: every request would wait for a log.
/// So lines are kept here up to a bound, written only as far as the pipe has room, and dropped beyond that.
class line_buffer {
public:
    explicit line_buffer(int descriptor, std::size_t capacity)
        : m_descriptor(descriptor), m_capacity(capacity) {}

    /// Keeps the line, or drops and counts it when the buffer is full.
    void add(std::string_view line);
    /// Writes what the descriptor takes without waiting.
    void flush() noexcept;

    [[nodiscard]] std::uint64_t lost() const noexcept;
    [[nodiscard]] bool is_empty() const noexcept;

private:
    mutable std::mutex m_mutex;
    int m_descriptor;
    std::size_t m_capacity;
    std::string m_bytes; ///< whole lines
    std::size_t m_written = 0;
    std::uint64_t m_lost = 0;
};

} // namespace borageford::events
