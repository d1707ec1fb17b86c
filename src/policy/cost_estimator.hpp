// What a request will cost, learned from those that ended: prompt tokens, expected output by workspace and
// route, the engine's rates, and when a refused caller should come back.
#pragma once

#include "policy/rate_meter.hpp"
#include "policy/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace borageford::policy {

/// Tokens of a text: four bytes each, rounded up (docs/INTERFACES.md).
[[nodiscard]] std::uint32_t count_prompt_tokens(std::size_t bytes) noexcept;

/// When a refused caller should come back, for `tokens` that have to leave before it has room, from the
/// measured drain rate in tokens a second. Without a measured rate the time is `unmeasured`; always between
/// half a second and a minute.
[[nodiscard]] std::chrono::milliseconds retry_after(std::uint64_t tokens, double drain_rate,
                                                    duration unmeasured) noexcept;

/// Invariant: knows at most `most_keys` pairs of workspace and route; further ones share one estimate.
class cost_estimator {
public:
    static constexpr std::size_t most_keys = 1024;

    /// `memory`: how long measured rates of the engine count.
    explicit cost_estimator(duration memory = std::chrono::seconds(30));

    /// Learns from a request that ended with this many output tokens.
    void record_output(std::string_view workspace, std::string_view route, std::uint32_t output_tokens);

    /// Expected output; `unmeasured` (from the model's configuration) until enough requests have ended.
    [[nodiscard]] std::uint32_t expected_output(std::string_view workspace, std::string_view route,
                                                std::uint32_t unmeasured) const;

    /// Prefill of a request whose first token came now, `elapsed` after its start. Times that several
    /// requests spent being prefilled together count once: each alone would look slower than the engine is.
    void record_prefill(std::uint64_t tokens, duration elapsed, time_point now);
    /// Output tokens since the last call. `was_busy`: some sequence was running in between.
    void record_output_tokens(std::uint64_t tokens, bool was_busy, time_point now);

    /// Tokens a second; 0 until measured.
    [[nodiscard]] double prefill_rate() const noexcept;
    /// The same, but changed only when the measured rate has moved well away: for placement, where every
    /// small change of a weight moves some prefixes to another home.
    [[nodiscard]] double steady_prefill_rate() const noexcept { return m_steady_prefill_rate; }
    [[nodiscard]] double output_rate() const noexcept { return m_output.rate(); }

private:
    /// A mean that follows a change of habits within some tens of requests.
    struct output_mean {
        double mean = 0;
        std::uint32_t count = 0;
    };

    [[nodiscard]] static std::string make_key(std::string_view workspace, std::string_view route);

    std::map<std::string, output_mean, std::less<>> m_outputs;
    // Sums that decay with each sample by the same factor; their quotient is the prefill rate.
    double m_prefill_tokens = 0;
    double m_prefill_seconds = 0;
    time_point m_prefill_counted_to{}; ///< time before it is in m_prefill_seconds already
    std::uint64_t m_prefill_samples = 0;
    double m_steady_prefill_rate = 0;
    rate_meter m_output;
};

} // namespace borageford::policy
