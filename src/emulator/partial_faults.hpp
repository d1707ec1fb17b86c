// The faults that an emulated server has in some of its answers, drawn at random for each of them.
#pragma once

namespace borageford::emulator {

/// Probabilities between 0 and 1.
struct partial_faults {
    double refused = 0;  ///< a request is refused
    double repeated = 0; ///< a refusal is sent again when the next request has arrived on the connection
    /// A refusal that names no request is sent when the next request has arrived on the connection.
    double nameless = 0;
    /// A request is run and then answered 503, without the field that says that it hasn't run.
    double unavailable = 0;
};

} // namespace borageford::emulator
