// An immutable value that many threads read on a request's path while another replaces it (read, copy,
// update). docs/design/read_copy_update.md has the ways compared and their measurements.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>

namespace borageford {

/// Readers take the current value and keep it as long as they like, also while a coroutine is suspended; a
/// writer swaps in a new one. A read that begins after replace() has returned gets the new value or a newer.
///
/// Each thread keeps a handle of its own and looks at the shared one only when the version has changed. The
/// handle counts its users by itself: were all threads to count on one place, that cache line would cost
/// more than everything else they read.
///
/// Invariants: never empty; the version grows with each replacement. A thread that reads no more keeps the
/// last value it read, one for each cache slot, until it ends.
template <typename Value>
class snapshot {
public:
    explicit snapshot(Value initial) : m_current(std::make_shared<const Value>(std::move(initial))) {}

    [[nodiscard]] std::shared_ptr<const Value> read() const noexcept {
        auto& own = find_slot();
        if (own.owner != m_identity || own.version != m_version.load(std::memory_order_acquire)) {
            refresh(own);
        }
        return own.held;
    }

    void replace(Value next) {
        auto fresh = std::make_shared<const Value>(std::move(next));
        const std::scoped_lock lock(m_mutex);
        m_current.swap(fresh);
        m_version.fetch_add(1, std::memory_order_release);
    }

private:
    /// What a thread keeps of one snapshot.
    struct slot {
        std::uint64_t owner = 0;
        std::uint64_t version = 0;
        std::shared_ptr<const Value> held;
    };

    /// Snapshots of one type in a process are few; more of them than this only read more slowly.
    static constexpr std::size_t slot_count = 8;

    /// Numbers are never used twice, so a snapshot at the address of a former one isn't taken for it.
    static std::uint64_t next_identity() {
        static std::atomic<std::uint64_t> last = 0;
        return ++last;
    }

    [[nodiscard]] slot& find_slot() const noexcept {
        thread_local std::array<slot, slot_count> slots;
        return slots[m_identity % slot_count];
    }

    void refresh(slot& own) const noexcept {
        const std::scoped_lock lock(m_mutex);
        const auto counted = std::make_shared<const std::shared_ptr<const Value>>(m_current);
        own = {m_identity, m_version.load(std::memory_order_relaxed),
               std::shared_ptr<const Value>(counted, counted->get())};
    }

    const std::uint64_t m_identity = next_identity();
    mutable std::mutex m_mutex;
    std::atomic<std::uint64_t> m_version = 1;
    std::shared_ptr<const Value> m_current; ///< guarded by m_mutex
};

} // namespace borageford
