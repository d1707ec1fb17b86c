// Implements pause(): a timer callback resumes the suspended coroutine.
#include "base/pause.hpp"

#include <boost/asio/async_result.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>
#include <utility>

namespace borageford {

namespace asio = boost::asio;

asio::awaitable<void> pause(timer_service& timers, timer_service::clock::duration delay) {
    const auto executor = co_await asio::this_coro::executor;
    timer_subscription subscription;
    auto initiate = [&](auto handler) {
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        subscription = timers.after(executor, delay, [shared] { std::move (*shared)(); });
    };
    co_await asio::async_initiate<const asio::use_awaitable_t<>, void()>(initiate, asio::use_awaitable);
}

} // namespace borageford
