// An immutable value that many threads read while another thread replaces it (read-copy-update), cheap enough
// to be read for each request. docs/design/read_copy_update.md compares the alternatives and their
// measurements.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>

namespace borageford {

/// Readers get a shared pointer to the current value and may keep it for as long as they need it, also while
/// a coroutine is suspended. A writer replaces the value. A read that starts after replace() has returned
/// gets the new value or a newer one.
///
/// Each thread caches a shared pointer to the value and reloads it only after the version has changed. The
/// cached pointer has a reference count of its own: with one count for all threads, the contended cache line
/// would cost more than everything else in a read.
///
/// Invariants: the value is never null; the version grows with each replacement. Every cache entry of a
/// thread keeps the last value read through it alive until it is overwritten or the thread ends.
template <typename Value>
class snapshot {
public:
    explicit snapshot(Value initial) : m_current(std::make_shared<const Value>(std::move(initial))) {}

    /// The current value, never null. Safe to call from any thread.
    [[nodiscard]] std::shared_ptr<const Value> read() const noexcept {
        auto& own = find_slot();
        if (own.owner != m_identity || own.version != m_version.load(std::memory_order_acquire)) {
            refresh(own);
        }
        return own.held;
    }

    /// Makes `next` the current value. Safe to call from any thread.
    void replace(Value next) {
        auto fresh = std::make_shared<const Value>(std::move(next));
        const std::scoped_lock lock(m_mutex);
        m_current.swap(fresh);
        m_version.fetch_add(1, std::memory_order_release);
    }

private:
    /// A thread's cached pointer to the value of one snapshot.
    struct slot {
        std::uint64_t owner = 0;
        std::uint64_t version = 0;
        std::shared_ptr<const Value> held;
    };

    /// Cache entries per thread and value type. A process has few snapshots of one type; with more of them
    /// than entries, snapshots share entries and reads take the lock more often.
    static constexpr std::size_t slot_count = 8;

    /// Returns a number that is never used again. Entries are matched by this number instead of the address,
    /// since a new snapshot may be created at the address of a destroyed one and would get its cached value.
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
