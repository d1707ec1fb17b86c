// A wait inside a coroutine, through the timer service.
#pragma once

#include "base/timer_service.hpp"

#include <boost/asio/awaitable.hpp>

namespace borageford {

/// Returns after the delay, on the coroutine's own executor.
boost::asio::awaitable<void> pause(timer_service& timers, timer_service::clock::duration delay);

} // namespace borageford
