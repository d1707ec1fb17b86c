// Bytes that arrive at the back and are consumed at the front, always contiguous.
#pragma once

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace borageford::net {

/// Invariant: m_begin <= m_end <= m_bytes.size().
class byte_buffer {
public:
    [[nodiscard]] std::string_view readable() const noexcept {
        return {m_bytes.data() + m_begin, m_end - m_begin};
    }
    [[nodiscard]] std::size_t size() const noexcept { return m_end - m_begin; }
    [[nodiscard]] bool is_empty() const noexcept { return m_begin == m_end; }

    /// Room for at least `wanted` more bytes; what is readable may move.
    [[nodiscard]] std::span<char> prepare(std::size_t wanted);
    void commit(std::size_t count) noexcept { m_end += count; }
    /// Leaves prepared room where it is: a read may be writing there.
    void consume(std::size_t count) noexcept;
    void append(std::string_view bytes);

    /// Gives memory back when empty and grown beyond `kept` bytes.
    void shrink(std::size_t kept);

private:
    std::vector<char> m_bytes;
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
};

} // namespace borageford::net
