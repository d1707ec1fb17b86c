// One request from its last byte to its final answer: admitted, given a slot, carried to a backend server,
// perhaps to another one, and answered.
#pragma once

#include "base/error_kind.hpp"
#include "base/request_error.hpp"
#include "base/timer_service.hpp"
#include "gateway/backend_call.hpp"
#include "gateway/client_session.hpp"
#include "gateway/gateway_context.hpp"
#include "http/event_splitter.hpp"
#include "http/request_reader.hpp"
#include "policy/slot_request.hpp"
#include "routing/routing_table.hpp"

#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace borageford::gateway {

/// The session ends it with cancel() when the caller is gone; else it answers exactly once.
class request_exchange : public std::enable_shared_from_this<request_exchange> {
public:
    using clock = std::chrono::steady_clock;

    request_exchange(gateway_context& context, std::shared_ptr<client_session> session,
                     http::received_request request, clock::time_point arrived);
    ~request_exchange();
    request_exchange(const request_exchange&) = delete;
    request_exchange& operator=(const request_exchange&) = delete;
    request_exchange(request_exchange&&) = delete;
    request_exchange& operator=(request_exchange&&) = delete;

    void start();

    /// The caller is gone: what runs is stopped at its backend server.
    void cancel();

    /// The caller has taken all that was sent to it.
    void take_drained();

private:
    /// How far the request has come.
    enum class stage { waiting, running, streaming, over };

    void admit();
    void ask_for_slot();
    [[nodiscard]] policy::slot_request make_slot_request() const;
    [[nodiscard]] int tier() const;
    [[nodiscard]] clock::duration patience() const;
    [[nodiscard]] double count_units() const;
    void read_cost();
    void avoid(policy::server_key server);
    void take_grant(const policy::slot_grant& grant);
    void take_refusal(const policy::slot_refusal& refusal);
    void send_to(std::shared_ptr<backend> server);
    [[nodiscard]] std::string compose_head(const backend& server) const;
    void take_head();
    void take_body(std::string_view bytes);
    void take_events(std::string_view bytes);
    void take_complete();
    void take_stream_end();
    void take_failure(call_failure what, std::string_view reason);
    [[nodiscard]] bool may_try_again(call_failure what) const;
    void try_again();
    void pass_whole_answer();
    [[nodiscard]] std::string passed_fields(const http::response_reader& response) const;
    void release_slot(policy::slot_outcome outcome);
    void take_timeout();
    void give_up();
    void answer_error(error_kind kind, std::optional<milliseconds> retry_after = std::nullopt);
    void end();
    [[nodiscard]] milliseconds time_left() const;

    gateway_context& m_context;
    std::shared_ptr<client_session> m_session;
    http::received_request m_request;
    clock::time_point m_arrived;
    clock::time_point m_deadline;
    std::shared_ptr<const routing::routing_table> m_configuration;
    const routing::route* m_route = nullptr;
    const routing::service* m_service = nullptr;
    const routing::workspace* m_workspace = nullptr;
    std::string m_request_id;
    stage m_stage = stage::waiting;
    policy::slot_ticket m_ticket = 0;
    bool m_waits_for_slot = false;
    policy::server_key m_slot = 0; ///< the server whose slot is held; 0: none
    clock::time_point m_slot_begin;
    policy::duration m_first_event{};
    policy::token_cost m_cost;
    double m_most_output = 0;  ///< tokens that the caller takes at most
    bool m_is_charged = false; ///< the workspace's allowance was charged for it
    std::shared_ptr<backend_call> m_call;
    unsigned m_tries = 0; ///< backend servers that were tried, reached or not
    unsigned m_sends = 0; ///< backend servers that the request reached, as far as is known
    unsigned m_runs = 0;  ///< backend servers that may have run it
    std::array<policy::server_key, policy::slot_request::most_avoided> m_avoided{};
    http::event_splitter m_events;
    std::string m_answer;     ///< body of an answer that is passed on whole
    bool m_is_stream = false; ///< the current response is passed on event by event
    timer_subscription m_deadline_timer;
    timer_subscription m_patience_timer;
};

} // namespace borageford::gateway
