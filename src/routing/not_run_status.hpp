// The statuses of an answer that promise that its request hasn't run.
#pragma once

namespace borageford::routing {

/// Whether an answer with this status tells its caller that the request hasn't run and never will.
[[nodiscard]] constexpr bool says_not_run(unsigned status) noexcept {
    constexpr unsigned request_timeout = 408;
    constexpr unsigned misdirected = 421;
    constexpr unsigned too_many_requests = 429;
    constexpr unsigned unavailable = 503;
    return status == request_timeout || status == misdirected || status == too_many_requests ||
           status == unavailable;
}

} // namespace borageford::routing
