// Implements timer subscriptions with Asio's steady timer.
#include "base/timer_service.hpp"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <utility>

namespace borageford {

struct timer_subscription::state : std::enable_shared_from_this<timer_subscription::state> {
    state(const boost::asio::any_io_executor& executor, timer_service::clock::duration wait, bool repeat,
          timer_service::callback function)
        : timer(executor), delay(wait), repeats(repeat), call(std::move(function)) {}

    void arm() {
        timer.expires_after(delay);
        timer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
            if (!error) {
                self->fire();
            }
        });
    }

    void fire() {
        if (!active.load()) {
            return;
        }
        active.store(repeats);
        call();
        if (active.load()) {
            arm();
        }
    }

    boost::asio::steady_timer timer;
    timer_service::clock::duration delay;
    bool repeats;
    timer_service::callback call;
    std::atomic<bool> active = true;
};

timer_subscription::timer_subscription(std::shared_ptr<state> shared) noexcept : m_state(std::move(shared)) {}

timer_subscription& timer_subscription::operator=(timer_subscription&& other) noexcept {
    if (this != &other) {
        cancel();
        m_state = std::move(other.m_state);
    }
    return *this;
}

timer_subscription::~timer_subscription() {
    cancel();
}

void timer_subscription::cancel() noexcept {
    if (m_state == nullptr) {
        return;
    }
    m_state->active.store(false);
    // Asio timers aren't thread-safe, so the timer is cancelled on the subscriber's executor.
    boost::asio::post(m_state->timer.get_executor(), [shared = m_state] { shared->timer.cancel(); });
    m_state.reset();
}

bool timer_subscription::is_active() const noexcept {
    return m_state != nullptr && m_state->active.load();
}

timer_subscription timer_service::after(const boost::asio::any_io_executor& executor, clock::duration delay,
                                        callback call) {
    auto shared = std::make_shared<timer_subscription::state>(executor, delay, false, std::move(call));
    boost::asio::dispatch(executor, [shared] { shared->arm(); });
    return timer_subscription(std::move(shared));
}

timer_subscription timer_service::every(const boost::asio::any_io_executor& executor, clock::duration period,
                                        callback call) {
    auto shared = std::make_shared<timer_subscription::state>(executor, period, true, std::move(call));
    boost::asio::dispatch(executor, [shared] { shared->arm(); });
    return timer_subscription(std::move(shared));
}

} // namespace borageford
