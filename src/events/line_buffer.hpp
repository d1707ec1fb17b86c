// A bounded buffer of lines for a file descriptor, which may be a pipe that nobody reads.
#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace borageford::events {

/// A write to a full pipe blocks until somebody reads from the pipe, so every request would wait for the
/// process that collects the log. Lines are therefore buffered, written only as far as the pipe has room, and
/// dropped when the buffer is full. May be used from several threads.
class line_buffer {
public:
    /// `descriptor` must stay open while the buffer is used; `capacity` is in bytes.
    explicit line_buffer(int descriptor, std::size_t capacity)
        : m_descriptor(descriptor), m_capacity(capacity) {}

    /// Adds the line and a line end to the buffer; when the buffer is full, drops and counts the line.
    void add(std::string_view line);
    /// Writes as much of the buffer as the descriptor accepts without blocking.
    void flush() noexcept;

    /// How many lines were dropped so far.
    [[nodiscard]] std::uint64_t lost() const noexcept;
    /// Whether every buffered line has been written.
    [[nodiscard]] bool is_empty() const noexcept;

private:
    mutable std::mutex m_mutex;
    int m_descriptor;
    std::size_t m_capacity;
    std::string m_bytes;       ///< complete lines, of which the first m_written bytes have been written
    std::size_t m_written = 0; ///< bytes
    std::uint64_t m_lost = 0;
};

} // namespace borageford::events
