// The parts of an entry process that are needed to serve a request.
#pragma once

#include "audit/recorder.hpp"
#include "configuration/configuration_follower.hpp"
#include "entry/admission.hpp"
#include "entry/answer_memory.hpp"
#include "entry/claim_store.hpp"
#include "entry/crash_mark_tracker.hpp"
#include "entry/entry_metrics.hpp"
#include "entry/entry_settings.hpp"
#include "entry/prefix_tracker.hpp"
#include "entry/server_directory.hpp"

#include <atomic>
#include <cstdint>

namespace borageford::entry {

/// Shared by all requests of an entry. The referenced parts live as long as the entry process.
struct entry_context {
    const entry_settings& settings;
    configuration::configuration_follower& configuration;
    server_directory& servers;
    claim_store& claims;
    admission& admissions;
    crash_mark_tracker& crash_marks;
    entry_metrics& metrics;
    audit::recorder& audit;
    std::atomic<std::uint64_t> placement_count = 0; ///< placements planned by this entry so far
    prefix_tracker prefixes{};
    answer_memory answers{settings.answer_memory};
};

} // namespace borageford::entry
