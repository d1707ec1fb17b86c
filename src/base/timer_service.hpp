// Calls functions after a delay or periodically.
#pragma once

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace borageford {

/// Keeps a timer callback registered; destroying the object cancels the subscription. When it is destroyed on
/// the subscriber's executor, the callback isn't called any more after that.
class timer_subscription {
public:
    timer_subscription() = default;

    /// Cancels the subscription. Further calls have no effect.
    void cancel() noexcept;
    /// False once the subscription was cancelled or its only call has begun.
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

/// Calls each subscriber on the executor that it passed. Code that runs on a strand therefore needs no lock
/// against its timer callbacks.
class timer_service {
public:
    using callback = std::function<void()>;
    using clock = std::chrono::steady_clock;

    /// Calls `call` once, after `delay`.
    [[nodiscard]] timer_subscription after(const boost::asio::any_io_executor& executor,
                                           clock::duration delay, callback call);

    /// Calls `call` repeatedly. The period is counted from the end of one call to the start of the next, so
    /// calls to a slow subscriber don't accumulate.
    [[nodiscard]] timer_subscription every(const boost::asio::any_io_executor& executor,
                                           clock::duration period, callback call);
};

} // namespace borageford
