// Sends and handles the messages by which a process gets a newer configuration from a peer.
#include "admin/configuration_exchange.hpp"

#include <memory>
#include <utility>

namespace borageford::admin {

void request_if_newer(const configuration::configuration_follower& follower, std::uint64_t peer_revision,
                      wire::peer_connection& connection) {
    const auto held = follower.revision();
    if (peer_revision <= held) {
        return;
    }
    wire::configuration_request_message request;
    request.known_revision = held;
    connection.send(std::move(request));
}

void exchange_configuration(configuration::configuration_follower& follower, const wire::envelope& received,
                            wire::peer_connection& connection) {
    if (const auto* reply = std::get_if<wire::configuration_reply_message>(&received.content)) {
        follower.apply_from_peer(reply->revision, reply->deflated_text);
        return;
    }
    if (std::holds_alternative<wire::configuration_request_message>(received.content)) {
        const auto current = follower.current();
        wire::configuration_reply_message reply;
        reply.revision = current->revision;
        reply.deflated_text = current->deflated_text;
        connection.send(std::move(reply));
        // Every frame contains its sender's revision, so the peer's answer to this heartbeat shows without
        // delay whether the revision is now in force there.
        connection.send(wire::heartbeat_message());
        return;
    }
    request_if_newer(follower, received.revision, connection);
}

} // namespace borageford::admin
