// Compares what the configuration wants of an engine with what the engine reports. Pure.
#pragma once

#include "backend/backend_types.hpp"
#include "configuration/configuration.hpp"

#include <vector>

namespace borageford::sidecar {

/// What is still to be ordered, in order: the role first, loads before unloads, so that nothing that is
/// served is missing longer than needed. Fencing numbers aren't set. Empty when the engine is as it should
/// be.
[[nodiscard]] std::vector<backend::order> plan_orders(const configuration::configuration& wanted,
                                                      const configuration::backend_server& server,
                                                      const backend::engine_state& now);

} // namespace borageford::sidecar
