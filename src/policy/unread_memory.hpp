// Decides how many bytes a process may hold for callers, of answers that they don't read at once and of
// requests that they don't complete, and whose connection is ended when these bytes become too many.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_set>
#include <vector>

namespace borageford::policy {

class unread_account;

struct unread_limits {
    /// Bytes that may be held in all; 0: no bound, and each caller has default_share.
    std::size_t total = 0;
    /// Bytes that may be held in all of requests that aren't complete; 0: as many as in all.
    std::size_t arriving = 0;
    /// How long the answer of a server may pause, in all its pauses together, since its caller reads slowly.
    std::chrono::milliseconds pause{2000};
    /// How long bytes may be held of which the caller takes none.
    std::chrono::milliseconds unread{20000};
};

/// The bytes that are held for all callers. Each caller may hold an equal part of what is still free, so that
/// one slow caller gets much and some thousand get little each, and their sum stays below the bound whatever
/// their number.
class unread_memory {
public:
    using time_point = std::chrono::steady_clock::time_point;
    using duration = std::chrono::steady_clock::duration;

    /// What a caller may hold without a bound in all.
    static constexpr std::size_t default_share = 256U * 1024;
    /// What a caller may hold when nothing is free, so that callers that read well are still served.
    static constexpr std::size_t smallest_share = 4U * 1024;
    /// A caller is slow when it needs longer than this for what is held for it.
    static constexpr std::chrono::milliseconds slow_after{1000};

    explicit unread_memory(const unread_limits& limits) noexcept : m_limits(limits) {}

    [[nodiscard]] bool is_bounded() const noexcept { return m_limits.total > 0; }
    [[nodiscard]] const unread_limits& limits() const noexcept { return m_limits; }
    /// Bytes that are held for all callers.
    [[nodiscard]] std::size_t held() const noexcept { return m_held; }
    /// How many bytes of answers one caller may hold now.
    [[nodiscard]] std::size_t share() const noexcept;
    /// Whether there is room for more of a request, if `besides` bytes are held that no account has.
    [[nodiscard]] bool has_room_for_requests(std::size_t besides = 0) const noexcept;
    [[nodiscard]] std::size_t count_slow(time_point now) const;

    /// Ends connections until what is held is below the bounds, the slowest and largest ones first. Ends none
    /// of a caller that isn't slow and whose request is complete.
    void relieve(time_point now);
    /// The same for requests that arrive, which are ended only while they have more than the part of the
    /// bound that is kept for them. Cheap unless a bound is exceeded, so it may be called whenever bytes have
    /// arrived.
    void relieve_arriving(time_point now);

private:
    friend class unread_account;

    struct candidate {
        unread_account* account = nullptr;
        double weight = 0; ///< bytes times seconds
    };

    [[nodiscard]] unread_account* choose_cut(time_point now) const;
    [[nodiscard]] std::vector<candidate> find_arriving(time_point now) const;
    [[nodiscard]] std::size_t arriving_limit() const noexcept;
    [[nodiscard]] bool holds_too_much_arriving(std::size_t percent) const noexcept;
    void cut(unread_account& account, time_point now);

    unread_limits m_limits;
    std::size_t m_held = 0;     ///< the sum over m_accounts
    std::size_t m_arriving = 0; ///< the part of m_held that is of requests which aren't complete
    std::unordered_set<unread_account*> m_accounts;
};

/// The bytes that are held for one caller's connection. Must not outlive the memory.
class unread_account {
public:
    using time_point = unread_memory::time_point;
    using duration = unread_memory::duration;

    struct held_bytes {
        std::size_t unread = 0; ///< of answers, which the caller can take now
        std::size_t other = 0;  ///< of its complete request, and of an answer that isn't complete
        /// Of a request that isn't complete, or that waits for the one before it to be answered.
        std::size_t arriving = 0;
        [[nodiscard]] std::size_t sum() const noexcept { return unread + other + arriving; }
        bool operator==(const held_bytes&) const = default;
    };

    /// `cut` ends the connection; the account holds nothing afterwards.
    unread_account(unread_memory& memory, std::function<void()> cut);
    ~unread_account();
    unread_account(const unread_account&) = delete;
    unread_account& operator=(const unread_account&) = delete;
    unread_account(unread_account&&) = delete;
    unread_account& operator=(unread_account&&) = delete;

    /// Sets what is held now. `taken` is how many bytes the caller has taken since the account was created.
    void update(held_bytes held, std::uint64_t taken, time_point now);

    [[nodiscard]] const held_bytes& held() const noexcept { return m_held; }
    /// Whether more of an answer may be read for this caller. True if it has taken all that was sent to it.
    [[nodiscard]] bool has_room() const noexcept;
    /// Whether more may be held of an answer that is sent only when it is complete.
    [[nodiscard]] bool has_room_to_collect() const noexcept;
    /// Whether reading may go on after it was paused. It begins again well below the limit, so that it
    /// doesn't pause again at once.
    [[nodiscard]] bool may_resume() const noexcept;
    /// How long bytes have been held of which the caller has taken none; zero if none are held.
    [[nodiscard]] duration unread_for(time_point now) const noexcept;
    /// How long the caller will need for what is held, as fast as it has taken bytes until now.
    [[nodiscard]] duration drain_time(time_point now) const noexcept;
    [[nodiscard]] bool is_slow(time_point now) const noexcept;

private:
    friend class unread_memory;

    unread_memory& m_memory;
    std::function<void()> m_cut;
    held_bytes m_held;
    std::uint64_t m_taken = 0;
    std::uint64_t m_taken_before = 0; ///< m_taken at m_since
    time_point m_arriving_since;      ///< since when a request has been arriving; valid while one is
    time_point m_since;               ///< since when there have been unread bytes; valid if there are any
    time_point m_last_taken;          ///< when the caller last took bytes, or m_since
};

} // namespace borageford::policy
