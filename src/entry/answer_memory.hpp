// Bounds the memory of the answers that an entry holds until they are complete.
#pragma once

#include <atomic>
#include <cstddef>

namespace borageford::entry {

/// The bytes of all answers that are held. Its functions may be called on any thread.
class answer_memory {
public:
    /// What is held of one answer. Must not outlive the memory.
    class account {
    public:
        explicit account(answer_memory& memory) noexcept : m_memory(memory) { ++m_memory.m_accounts; }
        ~account();
        account(const account&) = delete;
        account& operator=(const account&) = delete;
        account(account&&) = delete;
        account& operator=(account&&) = delete;

        /// Takes room for further bytes. Returns false, and takes none, if all answers together would be
        /// above the bound, and this one above an equal share of it.
        [[nodiscard]] bool take(std::size_t bytes) noexcept;

    private:
        answer_memory& m_memory;
        std::size_t m_held = 0;
    };

    /// `limit` in bytes.
    explicit answer_memory(std::size_t limit) noexcept : m_limit(limit) {}

private:
    std::size_t m_limit;
    std::atomic<std::size_t> m_accounts = 0;
    std::atomic<std::size_t> m_held = 0; ///< the sum of what the accounts hold
};

} // namespace borageford::entry
