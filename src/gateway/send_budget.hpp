// How many bytes of large answers may be on their way at a time.
#pragma once

#include <cstddef>
#include <optional>

namespace borageford::gateway {

/// After all gateways of a deployment were killed, hundreds of them ask the same one for everything at once.
/// Each answer stays in memory until the asker's link has taken it, so a small process would be ended for the
/// memory that it uses. Who is turned away asks again, and reads from the store meanwhile.
class send_budget {
public:
    /// Answers of up to `uncounted` bytes always go.
    send_budget(std::size_t most_bytes, std::size_t uncounted) noexcept
        : m_most(most_bytes), m_uncounted(uncounted) {}

    /// Bytes that are on their way until it is destroyed. It must not outlive the budget.
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

    /// Nothing when it would be too much with what is on its way already. One alone always fits.
    [[nodiscard]] std::optional<share> try_take(std::size_t bytes) noexcept {
        const auto counted = bytes > m_uncounted ? bytes : 0;
        if (counted > 0 && m_used > 0 && m_used + counted > m_most) {
            return std::nullopt;
        }
        m_used += counted;
        return share(*this, counted);
    }

private:
    std::size_t m_most;
    std::size_t m_uncounted;
    std::size_t m_used = 0;
};

} // namespace borageford::gateway
