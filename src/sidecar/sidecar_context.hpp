// The objects that several parts of a sidecar share. They are used on one strand only.
#pragma once

#include "audit/recorder.hpp"
#include "base/timer_service.hpp"
#include "configuration/configuration_follower.hpp"
#include "ledger/dispatch_ledger.hpp"
#include "policy/adaptive_limit.hpp"
#include "policy/cost_estimator.hpp"
#include "sidecar/backend_monitor.hpp"
#include "sidecar/cached_block_index.hpp"
#include "sidecar/crash_marks.hpp"
#include "sidecar/dispatch_store.hpp"
#include "sidecar/loaded_models.hpp"
#include "sidecar/peer_registry.hpp"
#include "sidecar/sidecar_metrics.hpp"
#include "sidecar/sidecar_settings.hpp"
#include "store/table.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/strand.hpp>

#include <optional>
#include <string>
#include <utility>

namespace borageford::sidecar {

/// References to the shared objects of a sidecar, which outlive all parts that use them.
struct sidecar_context {
    boost::asio::strand<boost::asio::any_io_executor> strand;
    timer_service& timers;
    const sidecar_settings& settings;
    store::table& table;
    configuration::configuration_follower& configuration;
    audit::recorder& audit;
    sidecar_metrics& metrics;
    peer_registry& peers;
    ledger::dispatch_ledger& ledger;
    dispatch_store& store;
    policy::adaptive_limit& limit;
    policy::cost_estimator& costs;
    cached_block_index& prefixes;
    loaded_models& models;
    crash_marks& marks;
    backend_monitor& monitor;

    /// Writes a decision about a request to the audit log. `detail` is free text.
    void record(audit::event what, const offered_request& request,
                std::optional<error_kind> reason = std::nullopt, std::string detail = {}) const {
        audit::record entry;
        entry.what = what;
        entry.request = request.request;
        entry.dispatch = request.dispatch;
        entry.workspace = request.workspace;
        entry.tier = request.tier;
        entry.target = request.target;
        entry.backend_server = settings.backend_server;
        entry.revision = configuration.revision();
        entry.reason = reason;
        entry.detail = std::move(detail);
        audit.record(std::move(entry));
    }
};

} // namespace borageford::sidecar
