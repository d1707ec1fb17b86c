// Plays a load against the slot scheduler and a set of engines in virtual time, and tells what callers got:
// no sockets, no waiting, the same result every time.
#pragma once

#include "emulator/batching_engine.hpp"
#include "emulator/load_model.hpp"
#include "policy/slot_scheduler.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace borageford::emulator {

/// An engine that is away for a while: connections to it are refused, what ran there is lost.
struct engine_outage {
    std::size_t engine = 0;
    duration begin{};
    duration length{};
};

/// Who decides about slots.
enum class slot_layout : std::uint8_t {
    one_coordinator, ///< one process for all requests
    divided,         ///< each gateway has its part of every engine's slots
    told,            ///< each gateway uses all slots and hears with a delay what the others have done
    owned,           ///< each gateway gives out the slots of some engines, to the requests that reach it
    offered,         ///< each engine's own process gives out its slots; a request is offered to two engines
};

struct trial_options {
    slot_layout layout = slot_layout::one_coordinator;
    std::size_t gateways = 4;
    /// How old what one gateway knows of another is, where they tell each other.
    duration told_after = std::chrono::milliseconds(50);
    load_model load;
    std::vector<engine_model> engines;
    policy::slot_scheduler_limits limits;
    std::vector<engine_outage> outages;
    /// Between a decision and its effect, each way.
    duration control_delay = std::chrono::milliseconds(2);
    /// Refused callers come back so many times, after what they were told.
    unsigned caller_retries = 1;
    duration slice = std::chrono::milliseconds(1);
};

/// What became of the requests of one class.
struct class_result {
    std::uint64_t asked = 0;
    std::uint64_t in_time = 0;
    std::uint64_t late = 0; ///< whole, but a target was missed
    std::uint64_t refused = 0;
    std::uint64_t refused_again = 0; ///< refusals of callers that had come back
    std::uint64_t lost = 0;          ///< broken off, or without an answer at the deadline
    double worth = 0;                ///< earned, as a share of what was asked
    double mean_first_ms = 0;
    double mean_refusal_ms = 0; ///< how long those that were refused waited
};

struct trial_result {
    std::vector<class_result> classes;
    double worth = 0; ///< earned, as a share of all that was asked
};

[[nodiscard]] trial_result play(const trial_options& options);

} // namespace borageford::emulator
