// The record of a request that reached an emulated server, whether or not the server ran it.
#pragma once

#include "policy/time.hpp"

#include <cstdint>
#include <string>

namespace borageford::emulator {

struct recorded_arrival {
    std::string request_id;
    policy::time_point at;
    std::uint64_t connection = 0; ///< number of the server's connection on which it arrived
    bool is_refused = false;      ///< the server answered that it doesn't run the request
};

} // namespace borageford::emulator
