// The events that the coroutine of a request waits for: messages from sidecars, lost connections and the
// caller's disconnect.
#pragma once

#include "base/identifier.hpp"
#include "entry/mailbox.hpp"
#include "wire/message.hpp"

#include <memory>
#include <variant>

namespace borageford::entry {

/// The connection to the sidecar of this dispatch has ended; no more messages arrive on it.
struct connection_lost {
    dispatch_id dispatch;
};

/// The caller has closed its connection.
struct caller_disconnected {};

/// An event for the coroutine of one request.
using dispatch_event = std::variant<wire::offer_reply_message, wire::grant_message, wire::not_begun_message,
                                    wire::answer_head_message, wire::chunk_message, wire::answer_end_message,
                                    wire::fate_message, connection_lost, caller_disconnected>;

using event_mailbox = mailbox<dispatch_event>;

} // namespace borageford::entry
