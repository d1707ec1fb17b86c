// A buffer whose bytes are appended at the end, consumed at the front and always contiguous in memory.
#pragma once

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace borageford::net {

/// A growing byte queue for socket input and output.
///
/// Invariant: m_begin <= m_end <= m_bytes.size(). The unread bytes are [m_begin, m_end).
class byte_buffer {
public:
    /// The bytes that were appended and not consumed yet. Valid until the next call of a modifying function.
    [[nodiscard]] std::string_view readable() const noexcept {
        return {m_bytes.data() + m_begin, m_end - m_begin};
    }
    [[nodiscard]] std::size_t size() const noexcept { return m_end - m_begin; }
    /// Memory that the buffer has allocated, in bytes.
    [[nodiscard]] std::size_t capacity() const noexcept { return m_bytes.capacity(); }
    [[nodiscard]] bool is_empty() const noexcept { return m_begin == m_end; }

    /// Returns free space for at least `count` bytes after the readable ones. May move the readable bytes.
    [[nodiscard]] std::span<char> prepare(std::size_t count);
    /// Makes the first `count` bytes of the space from prepare() readable.
    void commit(std::size_t count) noexcept { m_end += count; }
    /// Removes up to `count` bytes from the front. Doesn't move the prepared space, since an asynchronous
    /// read may be writing into it.
    void consume(std::size_t count) noexcept;
    /// Copies bytes to the end.
    void append(std::string_view bytes);

    /// Frees the memory if the buffer is empty.
    void release();

private:
    std::vector<char> m_bytes;
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
};

} // namespace borageford::net
