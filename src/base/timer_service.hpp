// The one place where time passes: parts subscribe to be called after a delay or at a steady period.
#pragma once

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace borageford {

/// Ends its subscription when destroyed. After the destructor returns on the subscriber's own executor,
/// the callback isn't called again.
class timer_subscription {
public:
    timer_subscription() = default;

    /// Ends the subscription early; harmless when repeated.
    void cancel() noexcept;
    [[nodiscard]] bool is_active() const noexcept;

    struct state;
    explicit timer_subscription(std::shared_ptr<state> shared) noexcept;
    timer_subscription(timer_subscription&&) noexcept = default;
    timer_subscription& operator=(timer_subscription&& other) noexcept;
    timer_subscription(const timer_subscription&) = delete;
    timer_subscription& operator=(const timer_subscription&) = delete;
    ~timer_subscription();

private:
    std::shared_ptr<state> m_state;
};

/// Calls subscribers on the executor that each of them names, so that a part guarded by a strand needs no
/// lock for its timers.
class timer_service {
public:
    using callback = std::function<void()>;
    using clock = std::chrono::steady_clock;

    /// Calls once, after the delay.
    [[nodiscard]] timer_subscription after(const boost::asio::any_io_executor& executor,
                                           clock::duration delay, callback call);

    /// Calls again and again; the period runs from the end of one call to the start of the next, so a slow
    /// subscriber never piles calls up.
    [[nodiscard]] timer_subscription every(const boost::asio::any_io_executor& executor,
                                           clock::duration period, callback call);
};

} // namespace borageford
