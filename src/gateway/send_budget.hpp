// Limits how many bytes of large answers are being sent at a time.
#pragma once

#include <cstddef>
#include <optional>

namespace borageford::gateway {

/// After all gateways of a deployment were killed, hundreds of them may request all registrations from the
/// same gateway at once. Each answer stays in memory until its receiver has read it, so a small process would
/// be killed for using too much memory. A requester that is refused asks again, and reads from the store in
/// the meantime.
class send_budget {
public:
    /// `limit` is the number of bytes that may be sent at a time. Answers of up to `uncounted` bytes are
    /// always allowed and don't count.
    send_budget(std::size_t limit, std::size_t uncounted) noexcept : m_limit(limit), m_uncounted(uncounted) {}

    /// Bytes that count as being sent until this object is destroyed. It must not outlive the budget.
    class share {
    public:
        share(send_budget& from, std::size_t bytes) noexcept : m_from(&from), m_bytes(bytes) {}
        ~share() {
            if (m_from != nullptr) {
                m_from->m_used -= m_bytes;
            }
        }
        share(share&& other) noexcept : m_from(other.m_from), m_bytes(other.m_bytes) {
            other.m_from = nullptr;
        }
        share& operator=(share&&) = delete;
        share(const share&) = delete;
        share& operator=(const share&) = delete;

    private:
        send_budget* m_from;
        std::size_t m_bytes;
    };

    /// Reserves bytes for an answer. Returns nothing if the limit would be exceeded; an answer is always
    /// allowed if no other one is being sent.
    [[nodiscard]] std::optional<share> try_acquire(std::size_t bytes) noexcept {
        const auto counted = bytes > m_uncounted ? bytes : 0;
        if (counted > 0 && m_used > 0 && m_used + counted > m_limit) {
            return std::nullopt;
        }
        m_used += counted;
        return share(*this, counted);
    }

private:
    std::size_t m_limit;
    std::size_t m_uncounted;
    std::size_t m_used = 0;
};

} // namespace borageford::gateway
