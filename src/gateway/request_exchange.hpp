// One request from its last byte to its final answer: admitted, given a slot, carried to a backend server,
// perhaps to another one, and answered.
#pragma once

#include "base/error_kind.hpp"
#include "base/timer_service.hpp"
#include "gateway/admitted_request.hpp"
#include "gateway/backend_call.hpp"
#include "gateway/client_session.hpp"
#include "gateway/event_relay.hpp"
#include "gateway/gateway_context.hpp"
#include "gateway/request_journal.hpp"
#include "http/request_reader.hpp"
#include "policy/attempt_rule.hpp"
#include "policy/slot_request.hpp"

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
    void begin();
    [[nodiscard]] bool has_time_to_finish() const;

    // The slot.
    void ask_for_slot();
    [[nodiscard]] policy::slot_request make_slot_request() const;
    void take_grant(const policy::slot_grant& grant);
    void wait_for_registration(const policy::slot_grant& grant);
    [[nodiscard]] bool is_waiting_to_use(const policy::slot_grant& grant) const;
    void use_slot(const policy::slot_grant& grant);
    void take_refusal(const policy::slot_refusal& refusal);
    void leave_slot(policy::slot_outcome outcome);
    [[nodiscard]] double count_output() const;

    // The call to a backend server.
    void send_to(std::shared_ptr<backend> server);
    void take_head();
    void take_body(std::string_view bytes);
    void take_events(std::string_view bytes);
    void take_complete();
    void take_whole_answer();
    void take_failure(call_failure what, std::string_view reason);
    void fail_try(policy::try_outcome outcome, policy::slot_outcome slot, std::string_view reason);
    [[nodiscard]] bool may_try_again() const;

    // The answer.
    void note_event();
    [[nodiscard]] request_journal::answer_times answer_times() const;
    void begin_stream();
    void take_timeout();
    void end_unserved(error_kind kind, std::string_view reason,
                      std::optional<milliseconds> retry_after = std::nullopt);
    void answer_error(error_kind kind, std::string_view reason, std::optional<milliseconds> retry_after);
    void end();

    gateway_context& m_context;
    std::shared_ptr<client_session> m_session;
    request_journal m_journal;
    http::received_request m_request;
    clock::time_point m_arrived;
    admitted_request m_admitted;
    policy::attempt_rule m_attempts{false, 1};

    bool m_is_admitted = false;
    policy::slot_ticket m_ticket = 0;
    bool m_waits_for_slot = false;
    policy::server_key m_slot = 0; ///< the server whose slot is held; 0: none
    std::string m_server_id; ///< of the server that it was sent to last; empty while it waits for a slot
    clock::time_point m_slot_begin;
    policy::duration m_first_event{};  ///< from the slot's begin; 0: none came
    clock::duration m_waited{};        ///< from its arrival to its first slot
    clock::duration m_to_first{};      ///< from its arrival to its first event
    clock::duration m_longest_pause{}; ///< between two events that its caller got
    clock::time_point m_last_event;
    std::uint64_t m_events_before = 0; ///< that other servers had made when the slot was taken
    bool m_is_charged = false;         ///< the workspace's allowance was charged for it

    std::shared_ptr<backend_call> m_call;
    bool m_passes_events = false; ///< the current response is passed on event by event
    std::string m_answer;         ///< body of an answer that is passed on whole
    event_relay m_events;
    bool m_has_begun_answer = false; ///< the caller has the head of a stream
    bool m_is_over = false;
    timer_subscription m_timer; ///< while it waits for a configuration, then for the end of its time
    timer_subscription m_registration_timer; ///< while it holds a slot at a server that isn't known yet
};

} // namespace borageford::gateway
