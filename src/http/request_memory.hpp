// Bounds the memory that the requests of one server hold together, and chooses which of them is ended when it
// is too much.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <mutex>
#include <unordered_set>

namespace borageford::http {

/// The bytes that are held for all requests of a server, incomplete ones and those that are being answered.
/// Its functions may be called on any thread. policy::unread_memory has the same rule for a gateway's
/// callers, besides shares of answers, on one thread; here complete requests have no part of their own.
class request_memory {
public:
    using clock = std::chrono::steady_clock;

    /// What is held for one request. Must not outlive the memory.
    class account {
    public:
        /// `end` is called from within update() of any account and while a mutex is held; it has to let the
        /// connection's own executor end the request. It may be called again if more is held after that.
        account(request_memory& memory, std::function<void()> end);
        ~account();
        account(const account&) = delete;
        account& operator=(const account&) = delete;
        account(account&&) = delete;
        account& operator=(account&&) = delete;

        /// Sets how many bytes are held of a request that isn't complete. Ends requests, perhaps this one,
        /// until what is held is below the bound.
        void update(std::size_t bytes);
        /// The request is complete: it is no longer ended, and its bytes count until release().
        void complete();
        /// Nothing is held any more.
        void release();

    private:
        friend class request_memory;

        request_memory& m_memory;
        std::function<void()> m_end;
        clock::time_point m_since; ///< when the first bytes of the request were held
        std::size_t m_bytes = 0;
    };

    /// `limit` in bytes.
    explicit request_memory(std::size_t limit) noexcept : m_limit(limit) {}

private:
    void set(account& changed, std::size_t bytes);
    void relieve(clock::time_point now);
    [[nodiscard]] account* choose(clock::time_point now) const;

    std::size_t m_limit;
    std::mutex m_mutex;
    // All below, and the accounts' members, are guarded by m_mutex.
    std::size_t m_held = 0;
    std::unordered_set<account*> m_arriving;
};

} // namespace borageford::http
