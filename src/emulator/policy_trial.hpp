// Simulates a load on the slot scheduler and a set of model engines in virtual time, and counts how the
// requests ended. It uses no sockets and never waits, and the same options always give the same result.
#pragma once

#include "emulator/batching_engine.hpp"
#include "emulator/load_model.hpp"
#include "policy/slot_scheduler.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace borageford::emulator {

/// A time span in which an engine is down: requests sent to it fail, and the requests that ran on it are
/// lost.
struct engine_outage {
    std::size_t engine = 0; ///< index in trial_options::engines
    duration begin{};
    duration length{};
};

/// Which processes decide about slots, and what they know.
enum class slot_layout : std::uint8_t {
    one_coordinator, ///< one process decides for all requests
    divided,         ///< each gateway grants its fixed share of every engine's slots
    delayed_updates, ///< each gateway grants all slots, and learns of other gateways' grants after a delay
    owned,           ///< each gateway grants all slots of some engines, to the requests that it receives
    offered,         ///< each engine grants its own slots; a request is offered to two engines
};

/// The inputs of a trial.
struct trial_options {
    slot_layout layout = slot_layout::one_coordinator;
    std::size_t gateways = 4; ///< not used by the layouts one_coordinator and offered
    /// In the layout `delayed_updates`, the delay after which a gateway learns of another gateway's grants
    /// and releases.
    duration update_delay = std::chrono::milliseconds(50);
    load_model load;
    std::vector<engine_model> engines;
    policy::slot_scheduler_limits limits;
    std::vector<engine_outage> outages;
    /// The delay between the process that grants slots and an engine, in each direction.
    duration control_delay = std::chrono::milliseconds(2);
    /// How often a refused caller retries. It waits for as long as the refusal says, but at most a third of
    /// the time left until its deadline.
    unsigned caller_retries = 1;
    /// The step of the simulated time.
    duration slice = std::chrono::milliseconds(1);
};

/// How the requests of one class ended, and how much value their answers had.
struct class_result {
    std::uint64_t requests = 0;        ///< all requests
    std::uint64_t in_time = 0;         ///< answered completely, within both targets
    std::uint64_t late = 0;            ///< answered completely, but a target was missed
    std::uint64_t refused = 0;         ///< refused at the last attempt
    std::uint64_t refused_retries = 0; ///< refusals of retries
    std::uint64_t lost = 0;            ///< aborted by an outage, or not finished at the deadline
    double worth = 0;                  ///< value of the answers, as a share of the value if all were in time
    double mean_first_ms = 0;          ///< mean time from the first attempt to the first event
    double mean_refusal_ms = 0;        ///< mean time from the first attempt to the final refusal
};

/// The outcome of a trial.
struct trial_result {
    std::vector<class_result> classes; ///< in the order of load_model::classes
    double worth = 0;                  ///< as class_result::worth, over all classes
};

/// Runs a trial.
[[nodiscard]] trial_result play(const trial_options& options);

} // namespace borageford::emulator
