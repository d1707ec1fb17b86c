// Counters, gauges and histograms of one process, and their text exposition.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace borageford::metrics {

using labels = std::vector<std::pair<std::string, std::string>>;

/// Only grows.
class counter {
public:
    void add(std::uint64_t amount = 1) noexcept { m_value.fetch_add(amount, std::memory_order_relaxed); }
    [[nodiscard]] std::uint64_t value() const noexcept { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value = 0;
};

/// A distribution of durations in seconds, over Boost.Accumulators. Safe from any thread.
class histogram {
public:
    histogram();
    ~histogram();
    histogram(const histogram&) = delete;
    histogram& operator=(const histogram&) = delete;
    histogram(histogram&&) = delete;
    histogram& operator=(histogram&&) = delete;

    void record(double seconds);
    [[nodiscard]] std::uint64_t count() const;
    /// An estimate of the value below which `share` (0 to 1) of the samples lie.
    [[nodiscard]] double quantile(double share) const;

private:
    friend class registry;
    struct state;
    std::unique_ptr<state> m_state;
};

/// Owns every metric of a process. A name with the same labels gives the same metric; references stay valid
/// as long as the registry. Distinct labels per name are bounded: past the bound, samples go to one metric
/// whose label values are "other", so that hostile input can't fill memory.
class registry {
public:
    /// Members of one name, more than the workspaces times the tiers that the design is sized for.
    static constexpr std::size_t members_limit = 2048;

    registry();
    ~registry();
    registry(const registry&) = delete;
    registry& operator=(const registry&) = delete;
    registry(registry&&) = delete;
    registry& operator=(registry&&) = delete;

    [[nodiscard]] counter& get_counter(std::string_view name, std::string_view help,
                                       const labels& where = {});
    [[nodiscard]] histogram& get_histogram(std::string_view name, std::string_view help,
                                           const labels& where = {});
    /// A gauge is read when the metrics are shown; `read` must be safe from any thread.
    void add_gauge(std::string_view name, std::string_view help, const labels& where,
                   std::function<double()> read);

    /// All metrics in the usual text exposition format.
    [[nodiscard]] std::string exposition() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace borageford::metrics
