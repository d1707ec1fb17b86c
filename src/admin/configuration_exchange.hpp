// How a revision passes between two of our processes: whoever is behind asks, the other answers.
#pragma once

#include "configuration/configuration_follower.hpp"
#include "wire/peer_connection.hpp"

namespace borageford::admin {

/// Answers a request for the configuration, takes a reply, and asks when the frame's sender is ahead.
void exchange_configuration(configuration::configuration_follower& follower, const wire::envelope& received,
                            wire::peer_connection& connection);

/// Asks for the configuration when the peer's revision is above the one held here.
void ask_when_behind(const configuration::configuration_follower& follower, std::uint64_t peer_revision,
                     wire::peer_connection& connection);

} // namespace borageford::admin
