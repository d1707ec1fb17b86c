// Compares the configured state of an engine with the state that the engine reports. Has no side effects.
#pragma once

#include "backend/backend_types.hpp"
#include "configuration/configuration.hpp"

#include <vector>

namespace borageford::sidecar {

/// The orders that bring the engine from the state `reported` to the configured state of `server`, in the
/// order in which they are to be given: the role first, and loads before unloads, so that a model that is
/// served is unavailable no longer than needed. The orders' fencing numbers are 0. Empty when the engine is
/// in the configured state.
[[nodiscard]] std::vector<backend::order> plan_orders(const configuration::configuration& configured,
                                                      const configuration::backend_server& server,
                                                      const backend::engine_state& reported);

} // namespace borageford::sidecar
