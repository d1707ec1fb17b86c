// The record of a request that reached an emulated server, whether or not the server ran it.
#pragma once

#include "policy/time.hpp"

#include <cstdint>
#include <string>

namespace borageford::emulator {

/// What the server does with the request.
enum class arrival_result : std::uint8_t {
    taken,       ///< runs it
    refused,     ///< answers that it doesn't run it
    misdirected, ///< the same, since the request names another server
};

struct recorded_arrival {
    std::string request_id;
    policy::time_point at;
    std::uint64_t connection = 0; ///< number of the server's connection on which it arrived
    arrival_result result = arrival_result::taken;

    [[nodiscard]] bool is_run() const noexcept { return result == arrival_result::taken; }
};

} // namespace borageford::emulator
