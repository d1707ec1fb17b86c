// What differs between deployments in their interfaces: names of header fields, and formats of the rows in
// the store. The folder platform/ provides the deployment for the users' platform.
#pragma once

#include "routing/backend_record.hpp"
#include "routing/header_names.hpp"
#include "routing/rollout_order.hpp"
#include "routing/routing_types.hpp"
#include "store/table.hpp"

#include <chrono>
#include <functional>
#include <string>
#include <string_view>

namespace borageford::gateway {

/// Names and formats of one deployment. The decode functions throw std::exception for a value that can't be
/// decoded.
struct deployment {
    routing::header_names fields;
    store::table_format format;

    std::string configuration_table; ///< Name of the table that holds the configuration.
    std::string configuration_key;   ///< Key of the configuration's row, as "TABLE/NAME".
    /// Decodes the configuration as it stands in its row.
    std::function<routing::routing_document(std::string_view)> decode_configuration;

    /// Prefix of the keys of roll-out orders, as "TABLE/PREFIX", in the configuration's table.
    std::string rollout_prefix;
    std::function<routing::rollout_order(std::string_view)> decode_rollout;
    /// Prefix of the keys under which the states of roll-outs are recorded, followed by the service.
    std::string rollout_status_prefix;
    std::function<routing::rollout_status(std::string_view service, std::string_view value)>
        decode_rollout_status;
    std::function<std::string(const routing::rollout_status&)> encode_rollout_status;

    std::string backend_table; ///< Name of the table in which backend servers register.
    std::function<routing::backend_record(std::string_view id, std::string_view value)> decode_backend;

    /// Decodes a header_names::rate_limit field.
    std::function<double(std::string_view value)> decode_rate_limit;

    /// Decodes a header_names::backoff field.
    std::function<std::chrono::milliseconds(std::string_view value)> decode_backoff;
    /// Decodes a header_names::leaving field; returns if it says that the server leaves.
    std::function<void(std::string_view value)> decode_departure;

    std::string readiness_path; ///< Path of the load balancer's readiness checks.
};

} // namespace borageford::gateway
