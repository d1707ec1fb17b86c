// The counters, gauges and histograms of a process, and their output in the Prometheus text exposition
// format.
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

/// Label names and values, in the order in which they are written.
using labels = std::vector<std::pair<std::string, std::string>>;

/// A number that only grows. Safe to use from any thread.
class counter {
public:
    /// Adds `amount` to the counter.
    void add(std::uint64_t amount = 1) noexcept { m_value.fetch_add(amount, std::memory_order_relaxed); }
    [[nodiscard]] std::uint64_t value() const noexcept { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value = 0;
};

/// A distribution of durations in seconds. Safe to use from any thread.
class histogram {
public:
    histogram();
    ~histogram();
    histogram(const histogram&) = delete;
    histogram& operator=(const histogram&) = delete;
    histogram(histogram&&) = delete;
    histogram& operator=(histogram&&) = delete;

    /// Adds a sample. Negative samples count as zero; infinite and NaN samples are ignored.
    void record(double seconds);
    /// Number of samples.
    [[nodiscard]] std::uint64_t count() const;
    /// The duration in seconds that `fraction` (0 to 1) of the samples don't exceed; 0 without samples. Exact
    /// for the first few samples, estimated for more.
    [[nodiscard]] double quantile(double fraction) const;

private:
    friend class registry;
    struct state;
    std::unique_ptr<state> m_state;
};

/// Owns all metrics of a process. The same name and labels always give the same metric, and references to it
/// stay valid as long as the registry exists. The number of distinct label sets per name is limited: when it
/// is reached, samples with new labels go to one metric whose label values are all "other", so that malicious
/// input can't exhaust the memory. Safe to use from any thread.
class registry {
public:
    /// Largest number of label sets for one name. It is larger than the number of workspaces times tiers that
    /// the system is designed for.
    static constexpr std::size_t max_label_sets = 2048;

    registry();
    ~registry();
    registry(const registry&) = delete;
    registry& operator=(const registry&) = delete;
    registry(registry&&) = delete;
    registry& operator=(registry&&) = delete;

    /// Returns the counter with this name and these labels and creates it if necessary. Throws
    /// std::invalid_argument for an invalid name and std::logic_error when the name belongs to a metric of
    /// another type.
    [[nodiscard]] counter& get_counter(std::string_view name, std::string_view help,
                                       const labels& label_set = {});
    /// Like get_counter(), for a histogram.
    [[nodiscard]] histogram& get_histogram(std::string_view name, std::string_view help,
                                           const labels& label_set = {});
    /// Adds a gauge or replaces it. `read` is called by exposition() to get the value and must be safe to
    /// call from any thread.
    void add_gauge(std::string_view name, std::string_view help, const labels& label_set,
                   std::function<double()> read);

    /// Returns all metrics in the text exposition format.
    [[nodiscard]] std::string exposition() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace borageford::metrics
