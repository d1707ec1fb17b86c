// What an emulated server says about itself in its answers.
#pragma once

#include "policy/time.hpp"

#include <string>

namespace borageford::emulator {

/// One answer with such a statement.
struct server_statement {
    std::string request_id; ///< the request that it answers
    policy::time_point at;  ///< when it was sent
    bool is_leaving = false;
    policy::duration pause{}; ///< for how long the server wants no requests; zero: not stated
};

} // namespace borageford::emulator
