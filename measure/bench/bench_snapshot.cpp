// Measures how long a thread takes to read the current snapshot of a value while another thread keeps
// replacing it, for each implementation that docs/design/read_copy_update.md compares. Prints one line for
// each implementation and number of reader threads. CI doesn't run it: its figures are compared by hand.
#include <urcu/urcu-memb.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace {

using steady = std::chrono::steady_clock;

/// Duration of one repetition.
constexpr std::chrono::milliseconds case_time{200};
/// Time between two replacements of the snapshot.
constexpr std::chrono::milliseconds write_period{1};
constexpr int repetitions = 5; ///< of each case; the median is printed
constexpr std::array reader_counts{1, 2, 4, 8};

/// The data of a snapshot.
struct value {
    std::array<std::uint64_t, 64> numbers{};
};

/// Keeps a snapshot alive.
using handle = std::shared_ptr<const value>;

// Each of the following classes is one implementation. Reader threads call enter() first, read() in a loop
// and leave() at the end; the writer calls replace().

/// std::atomic of a shared pointer. The reader owns the handle, so it may keep it after the read.
class atomic_pointer {
public:
    static constexpr const char* name = "atomic_shared_ptr";
    void enter() {}
    void leave() {}
    std::uint64_t read() { return m_current.load()->numbers[0]; }
    void replace(handle next) { m_current.store(std::move(next)); }

private:
    std::atomic<handle> m_current = std::make_shared<const value>();
};

/// A shared pointer that is copied and replaced under a mutex.
class mutex_pointer {
public:
    static constexpr const char* name = "mutex_shared_ptr";
    void enter() {}
    void leave() {}
    std::uint64_t read() {
        handle taken;
        {
            const std::scoped_lock lock(m_mutex);
            taken = m_current;
        }
        return taken->numbers[0];
    }
    void replace(handle next) {
        const std::scoped_lock lock(m_mutex);
        m_current = std::move(next);
    }

private:
    std::mutex m_mutex;
    handle m_current = std::make_shared<const value>();
};

/// Common base of the implementations with liburcu: a pointer to a handle. A replaced handle is deleted after
/// a grace period, when no reader can still be using it.
class urcu_base {
public:
    urcu_base() = default;
    urcu_base(const urcu_base&) = delete;
    urcu_base& operator=(const urcu_base&) = delete;
    urcu_base(urcu_base&&) = delete;
    urcu_base& operator=(urcu_base&&) = delete;
    ~urcu_base() { delete m_current; }
    void enter() { urcu_memb_register_thread(); }
    void leave() { urcu_memb_unregister_thread(); }
    void replace(handle next) {
        auto* fresh = new handle(std::move(next));
        auto* old = rcu_xchg_pointer(&m_current, fresh);
        urcu_memb_synchronize_rcu();
        delete old;
    }

protected:
    handle* m_current = new handle(std::make_shared<const value>());
};

/// Copies the handle inside the read-side critical section. A coroutine may keep the copy while it is
/// suspended.
class urcu_handle : public urcu_base {
public:
    static constexpr const char* name = "urcu_shared_ptr";
    std::uint64_t read() {
        urcu_memb_read_lock();
        const handle taken = *rcu_dereference(m_current);
        urcu_memb_read_unlock();
        return taken->numbers[0];
    }
};

/// Uses the value inside the read-side critical section and keeps no handle. A coroutine can't hold the value
/// this way while it is suspended.
class urcu_section : public urcu_base {
public:
    static constexpr const char* name = "urcu_section";
    std::uint64_t read() {
        urcu_memb_read_lock();
        const auto taken = (*rcu_dereference(m_current))->numbers[0];
        urcu_memb_read_unlock();
        return taken;
    }
};

/// Each thread caches a handle and copies the shared one, under a mutex, only when the version has changed.
class cached_pointer {
public:
    static constexpr const char* name = "cached_shared_ptr";
    void enter() { t_cache = {}; }
    void leave() { t_cache = {}; }
    std::uint64_t read() {
        const auto version = m_version.load(std::memory_order_acquire);
        if (t_cache.version != version) {
            const std::scoped_lock lock(m_mutex);
            t_cache = {m_version.load(std::memory_order_relaxed), m_current};
        }
        const handle taken = t_cache.held;
        return taken->numbers[0];
    }
    void replace(handle next) {
        const std::scoped_lock lock(m_mutex);
        m_current = std::move(next);
        m_version.fetch_add(1, std::memory_order_release);
    }

private:
    struct cache {
        std::uint64_t version = 0;
        handle held;
    };
    static thread_local cache t_cache;
    std::mutex m_mutex;
    std::atomic<std::uint64_t> m_version = 1;
    handle m_current = std::make_shared<const value>();
};

thread_local cached_pointer::cache cached_pointer::t_cache;

/// Like `cached_pointer`, but each thread's handle has a reference count of its own. Reader threads therefore
/// don't write to a common cache line.
class cached_own_count {
public:
    static constexpr const char* name = "cached_own_count";
    void enter() { t_cache = {}; }
    void leave() { t_cache = {}; }
    std::uint64_t read() {
        const auto version = m_version.load(std::memory_order_acquire);
        if (t_cache.version != version) {
            refresh();
        }
        const handle taken = t_cache.held;
        return taken->numbers[0];
    }
    void replace(handle next) {
        const std::scoped_lock lock(m_mutex);
        m_current = std::move(next);
        m_version.fetch_add(1, std::memory_order_release);
    }

private:
    struct cache {
        std::uint64_t version = 0;
        handle held;
    };
    void refresh() {
        const std::scoped_lock lock(m_mutex);
        const auto own = std::make_shared<const handle>(m_current);
        t_cache = {m_version.load(std::memory_order_relaxed), handle(own, own->get())};
    }
    static thread_local cache t_cache;
    std::mutex m_mutex;
    std::atomic<std::uint64_t> m_version = 1;
    handle m_current = std::make_shared<const value>();
};

thread_local cached_own_count::cache cached_own_count::t_cache;

/// Mean duration of a read in nanoseconds when `readers` threads read at the same time.
template <typename Snapshot>
double measure_once(int readers) {
    Snapshot snapshot;
    std::atomic<bool> is_over = false;
    std::atomic<std::uint64_t> reads = 0;
    std::atomic<std::uint64_t> sum = 0;
    {
        std::vector<std::jthread> threads;
        threads.reserve(static_cast<std::size_t>(readers));
        for (int reader = 0; reader < readers; ++reader) {
            threads.emplace_back([&] {
                snapshot.enter();
                std::uint64_t own = 0;
                std::uint64_t own_sum = 0;
                while (!is_over.load(std::memory_order_relaxed)) {
                    own_sum += snapshot.read();
                    ++own;
                }
                snapshot.leave();
                reads += own;
                sum += own_sum;
            });
        }
        const auto end = steady::now() + case_time;
        while (steady::now() < end) {
            snapshot.replace(std::make_shared<const value>());
            std::this_thread::sleep_for(write_period);
        }
        is_over = true;
    }
    const double nanoseconds = std::chrono::duration<double, std::nano>(case_time).count();
    return nanoseconds * readers / static_cast<double>(std::max<std::uint64_t>(reads + (sum & 0), 1));
}

/// Prints the median, lowest and highest result of the repetitions for each number of reader threads.
template <typename Snapshot>
void measure() {
    for (const int readers : reader_counts) {
        std::array<double, repetitions> times{};
        for (auto& time : times) {
            time = measure_once<Snapshot>(readers);
        }
        std::ranges::sort(times);
        std::printf("snapshot %s readers %d median_ns %.1f lowest_ns %.1f highest_ns %.1f\n", Snapshot::name,
                    readers, times[repetitions / 2], times.front(), times.back());
    }
}

} // namespace

int main() {
    urcu_memb_register_thread();
    measure<atomic_pointer>();
    measure<mutex_pointer>();
    measure<urcu_handle>();
    measure<cached_pointer>();
    measure<cached_own_count>();
    measure<urcu_section>();
    urcu_memb_unregister_thread();
}
