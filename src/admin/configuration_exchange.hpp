// Exchange of the configuration between two borageford processes: every frame contains the revision of its
// sender, and a process that sees a newer one than its own requests that configuration.
#pragma once

#include "configuration/configuration_follower.hpp"
#include "wire/peer_connection.hpp"

namespace borageford::admin {

/// Handles a frame from a peer: answers a configuration request, puts the revision of a configuration reply
/// in force, and on any other frame calls request_if_newer() with the revision of the frame's sender.
void exchange_configuration(configuration::configuration_follower& follower, const wire::envelope& received,
                            wire::peer_connection& connection);

/// Requests the configuration from the peer if its revision is higher than that of this process.
void request_if_newer(const configuration::configuration_follower& follower, std::uint64_t peer_revision,
                      wire::peer_connection& connection);

} // namespace borageford::admin
