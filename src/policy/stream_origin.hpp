// Which software version began a stream.
#pragma once

#include "policy/slot_request.hpp"
#include "policy/time.hpp"

#include <cstdint>

namespace borageford::policy {

/// Hash of a caller's workspace, its route and the id of the request that brought the first event of a
/// stream. Another workspace or route that names the same id doesn't find the stream.
using stream_key = std::uint64_t;

/// The service and the software version of the server that sent the first event of a stream to its caller.
/// What two versions write doesn't fit together, so the stream may only be resumed at this version.
struct stream_origin {
    stream_key stream = 0;
    service_key service = 0;
    software_key software = 0; ///< 0: it can't be told which version began the stream
    time_point noted;          ///< when the stream began, or was last resumed
};

} // namespace borageford::policy
