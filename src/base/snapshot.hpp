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
        auto& entry = find_cache_entry();
        if (entry.owner != m_identity || entry.version != m_version.load(std::memory_order_acquire)) {
            refresh(entry);
        }
        return entry.cached_value;
    }

    /// Makes `next` the current value. Safe to call from any thread.
    void replace(Value next) {
        auto replacement = std::make_shared<const Value>(std::move(next));
        const std::scoped_lock lock(m_mutex);
        m_current.swap(replacement);
        m_version.fetch_add(1, std::memory_order_release);
    }

private:
    /// A thread's cached pointer to the value of one snapshot.
    struct cache_entry {
        std::uint64_t owner = 0;
        std::uint64_t version = 0;
        std::shared_ptr<const Value> cached_value;
    };

    /// Cache entries per thread and value type. A process has few snapshots of one type; with more of them
    /// than entries, snapshots share entries and reads take the lock more often.
    static constexpr std::size_t cache_entry_count = 8;

    /// Returns a number that is never used again. Entries are matched by this number instead of the address,
    /// since a new snapshot may be created at the address of a destroyed one and would get its cached value.
    static std::uint64_t next_identity() {
        static std::atomic<std::uint64_t> last = 0;
        return ++last;
    }

    [[nodiscard]] cache_entry& find_cache_entry() const noexcept {
        thread_local std::array<cache_entry, cache_entry_count> entries;
        return entries[m_identity % cache_entry_count];
    }

    void refresh(cache_entry& entry) const noexcept {
        const std::scoped_lock lock(m_mutex);
        const auto separately_counted = std::make_shared<const std::shared_ptr<const Value>>(m_current);
        entry = {m_identity, m_version.load(std::memory_order_relaxed),
                 std::shared_ptr<const Value>(separately_counted, separately_counted->get())};
    }

    const std::uint64_t m_identity = next_identity();
    mutable std::mutex m_mutex;
    std::atomic<std::uint64_t> m_version = 1;
    std::shared_ptr<const Value> m_current; ///< guarded by m_mutex
};

} // namespace borageford
