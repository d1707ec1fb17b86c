// Lets a coroutine wait for a time with timer_service.
#pragma once

#include "base/timer_service.hpp"

#include <boost/asio/awaitable.hpp>

namespace borageford {

/// Suspends the calling coroutine for `delay`; it resumes on its own executor.
boost::asio::awaitable<void> pause(timer_service& timers, timer_service::clock::duration delay);

} // namespace borageford
