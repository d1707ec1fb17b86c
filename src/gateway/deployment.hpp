// What differs between deployments in how they speak: names of header fields, formats of rows. The folder
// platform/ makes the one of the users' platform.
#pragma once

#include "routing/backend_record.hpp"
#include "routing/call_fields.hpp"
#include "routing/rollout_order.hpp"
#include "routing/routing_types.hpp"
#include "store/table.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace borageford::gateway {

struct deployment {
    routing::call_fields fields;
    store::table_format format;

    std::string configuration_table; ///< the table that holds the configuration
    std::string configuration_key;   ///< its row, "TABLE/NAME"
    /// Throws std::exception for a document that can't be read.
    std::function<routing::routing_document(std::string_view)> decode_configuration;

    std::string
        rollout_prefix; ///< of the rows that hold roll-outs, "TABLE/PREFIX", in the configuration's table
    std::function<routing::rollout_order(std::string_view)> decode_rollout;
    std::string rollout_status_prefix; ///< of the rows that tell what became of them
    std::function<routing::rollout_status(std::string_view service, std::string_view value)>
        decode_rollout_status;
    std::function<std::string(const routing::rollout_status&)> encode_rollout_status;

    std::string backend_table; ///< the table in which backend servers register
    std::function<routing::backend_record(std::string_view id, std::string_view value)> decode_backend;

    std::string readiness_path; ///< where the balancer asks
};

} // namespace borageford::gateway
