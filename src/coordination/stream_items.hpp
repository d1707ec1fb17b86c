// What gateways tell each other about streams that callers may resume at any of them.
#pragma once

#include "policy/stream_origin.hpp"

#include <cstdint>
#include <vector>

namespace borageford::coordination {

/// Asks which software version began a stream.
struct stream_question {
    std::uint64_t id = 0;          ///< chosen by the sender
    policy::stream_key stream = 0; ///< 0: unknown; only asks whether the service has had one version only
    policy::service_key service = 0;
};

/// What the answer to a stream_question says.
enum class stream_knowledge : std::uint8_t {
    none,
    origin,       ///< the stream is known; a software version of 0 means that two streams have its key
    only_version, ///< the service has had one version only for as long as a caller may come back
    last_knowledge = only_version
};

struct stream_answer {
    std::uint64_t id = 0; ///< of the question
    stream_knowledge knowledge = stream_knowledge::none;
    policy::service_key service = 0;
    policy::software_key software = 0;
};

/// Part of a datagram; empty in nearly all of them while each service has a single software version.
struct stream_items {
    std::vector<policy::stream_origin> origins; ///< streams that began or were resumed at the sender
    /// Number of streams that the sender has told with these `origins`, which the receiver sends back.
    std::uint32_t told = 0;
    std::uint32_t acknowledged = 0; ///< the last `told` that was received
    std::vector<stream_question> questions;
    std::vector<stream_answer> answers;

    [[nodiscard]] bool is_empty() const noexcept {
        return told == 0 && acknowledged == 0 && questions.empty() && answers.empty();
    }
};

} // namespace borageford::coordination
