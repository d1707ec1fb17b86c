// A queue of bytes in blocks of a fixed size, for output that its receiver takes slowly.
#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <memory>
#include <span>
#include <string_view>

namespace borageford::net {

/// Bytes are appended at the end and consumed at the front. Bytes never move, so that views of them stay
/// valid while more are appended, and the memory of consumed blocks is freed at once.
///
/// Invariant: all blocks but the last one are full; m_begin < block_size.
class block_queue {
public:
    static constexpr std::size_t block_size = 4096;

    void append(std::string_view bytes);
    /// Removes up to `count` bytes from the front.
    void consume(std::size_t count) noexcept;
    /// Fills `pieces` with views of the first bytes, in order, and returns how many of them it has filled.
    [[nodiscard]] std::size_t front(std::span<std::string_view> pieces) const noexcept;

    [[nodiscard]] std::size_t size() const noexcept { return m_size; }
    [[nodiscard]] bool is_empty() const noexcept { return m_size == 0; }

private:
    using block = std::array<char, block_size>;

    std::deque<std::unique_ptr<block>> m_blocks;
    std::size_t m_begin = 0; ///< offset of the first byte in the first block
    std::size_t m_size = 0;
};

} // namespace borageford::net
