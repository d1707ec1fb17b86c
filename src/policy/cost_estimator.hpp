// Estimates the cost of a request from requests that have ended: prompt tokens, expected output by workspace
// and route, the engine's token rates, and when a refused caller should retry.
#pragma once

#include "policy/rate_meter.hpp"
#include "policy/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace borageford::policy {

/// Estimated tokens of a text with this many bytes: one token for every four bytes, rounded up
/// (docs/INTERFACES.md).
[[nodiscard]] std::uint32_t count_prompt_tokens(std::size_t bytes) noexcept;

/// How long a refused caller should wait before it retries. `tokens` have to be worked off before there is
/// room for its request, at the measured `drain_rate` in tokens per second. When that rate is 0 because none
/// has been measured, the result is `unmeasured`. The result always lies between half a second and one
/// minute.
[[nodiscard]] std::chrono::milliseconds retry_after(std::uint64_t tokens, double drain_rate,
                                                    duration unmeasured) noexcept;

/// Running estimates of output lengths and engine rates.
///
/// Invariant: output is estimated for at most `max_keys` pairs of workspace and route. Further pairs are
/// recorded under one common key, and expected_output() returns `unmeasured` for them.
class cost_estimator {
public:
    static constexpr std::size_t max_keys = 1024;

    /// `memory`: time constant of the output rate; older measurements weigh less than 1/e.
    explicit cost_estimator(duration memory = std::chrono::seconds(30));

    /// Records a request that ended with this many output tokens.
    void record_output(std::string_view workspace, std::string_view route, std::uint32_t output_tokens);

    /// Expected output tokens of a request. Returns `unmeasured`, the value from the model's configuration,
    /// until enough requests of this workspace and route have ended.
    [[nodiscard]] std::uint32_t expected_output(std::string_view workspace, std::string_view route,
                                                std::uint32_t unmeasured) const;

    /// Records the prefill of a request whose first token has just arrived, `elapsed` after its start. Time
    /// that overlaps with the prefill of earlier requests counts only once; otherwise requests that are
    /// prefilled together would make the engine look slower than it is.
    void record_prefill(std::uint64_t tokens, duration elapsed, time_point now);
    /// Records the output tokens generated since the previous call. `was_busy`: whether a sequence was
    /// running in between.
    void record_output_tokens(std::uint64_t tokens, bool was_busy, time_point now);

    /// Prompt tokens that the engine prefills per second; 0 until measured.
    [[nodiscard]] double prefill_rate() const noexcept;
    /// The prefill rate in tokens per second, updated only when the measured rate has moved far from it; 0
    /// until measured. It is meant for placement, where each small change of a weight moves some prefixes to
    /// another server.
    [[nodiscard]] double steady_prefill_rate() const noexcept { return m_steady_prefill_rate; }
    /// Output tokens that the engine generates per second of busy time; 0 until measured.
    [[nodiscard]] double output_rate() const noexcept { return m_output.rate(); }

private:
    /// Moving average of output tokens; it follows a change within some tens of requests.
    struct output_mean {
        double mean = 0;
        std::uint32_t count = 0;
    };

    [[nodiscard]] static std::string make_key(std::string_view workspace, std::string_view route);

    std::map<std::string, output_mean, std::less<>> m_outputs;
    // Sums that decay by the same factor with each sample; their quotient is the prefill rate.
    double m_prefill_tokens = 0;
    double m_prefill_seconds = 0;
    /// End of the time that is already included in `m_prefill_seconds`.
    time_point m_prefill_counted_until{};
    std::uint64_t m_prefill_samples = 0;
    double m_steady_prefill_rate = 0;
    rate_meter m_output;
};

} // namespace borageford::policy
