// Which software version the servers of one request must have, because the version began the stream.
#pragma once

#include "coordination/stream_exchange.hpp"
#include "gateway/admitted_request.hpp"
#include "gateway/backend_call.hpp"
#include "http/field_list.hpp"
#include "policy/stream_origin.hpp"
#include "routing/header_names.hpp"

#include <optional>

namespace borageford::gateway {

/// A new stream may begin anywhere. From its first event on, it may go on only at the software version of the
/// server that sent this event: within the answer, and when its caller resumes it with further requests.
class stream_software {
public:
    /// Reads from the fields of an admitted request whether it resumes a stream, and which one.
    void read(const http::field_list& fields, const routing::header_names& names,
              const admitted_request& admitted);

    [[nodiscard]] bool is_resume() const noexcept { return m_is_resume; }
    [[nodiscard]] const coordination::resumed_stream& stream() const noexcept { return m_stream; }

    /// The stream that the request resumes began at this version of this service.
    void require(policy::service_key service, policy::software_key version) noexcept {
        m_service = service;
        m_required = version;
    }
    /// The version that the next server must have; 0: any.
    [[nodiscard]] policy::software_key required() const noexcept { return m_required; }

    /// Whether the events of this attempt may be passed on.
    [[nodiscard]] bool fits(const backend_call& call) const {
        return m_required == 0 || call.software() == m_required;
    }
    /// The first event of an attempt is passed on.
    void handle_first_event(const backend_call& call);
    /// The origin to note then.
    [[nodiscard]] policy::stream_origin origin(policy::time_point now) const;
    /// An attempt has ended that had sent events.
    void handle_break(const backend_call& call);
    /// Whether the stream can go on at another server.
    [[nodiscard]] bool can_go_on() const noexcept { return m_required != 0; }

private:
    bool m_is_resume = false;
    coordination::resumed_stream m_stream; ///< the stream that is resumed, or that this request begins
    policy::service_key m_service = 0;     ///< of the servers to which the request goes
    policy::software_key m_required = 0;
};

} // namespace borageford::gateway
