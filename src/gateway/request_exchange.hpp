// Handles one request after its last byte has arrived: admits it, obtains a slot, forwards it to a backend
// server, retries on another server if the attempt fails, and answers the caller.
#pragma once

#include "base/error_kind.hpp"
#include "base/timer_service.hpp"
#include "gateway/admitted_request.hpp"
#include "gateway/backend_call.hpp"
#include "gateway/client_session.hpp"
#include "gateway/event_relay.hpp"
#include "gateway/gateway_context.hpp"
#include "gateway/liveness_watch.hpp"
#include "gateway/quarantine_check.hpp"
#include "gateway/request_journal.hpp"
#include "gateway/stream_software.hpp"
#include "http/request_reader.hpp"
#include "policy/attempt_rule.hpp"
#include "policy/slot_request.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace borageford::gateway {

/// The exchange answers its session exactly once, unless the session calls cancel() first because the caller
/// has disconnected.
class request_exchange : public std::enable_shared_from_this<request_exchange> {
public:
    using clock = std::chrono::steady_clock;

    /// `arrived` is when the last byte of the request was read; deadlines count from it.
    request_exchange(gateway_context& context, std::shared_ptr<client_session> session,
                     http::received_request request, clock::time_point arrived);
    ~request_exchange();
    request_exchange(const request_exchange&) = delete;
    request_exchange& operator=(const request_exchange&) = delete;
    request_exchange(request_exchange&&) = delete;
    request_exchange& operator=(request_exchange&&) = delete;

    /// Begins processing. While the process has no configuration, the request waits for up to
    /// `configuration_patience` of the settings.
    void start();

    /// The caller has disconnected: aborts the call to the backend server, releases the slot and logs the
    /// request as abandoned.
    void cancel();

    /// Whether an attempt is in progress that was sent to a backend server.
    [[nodiscard]] bool has_been_sent() const noexcept {
        return m_call != nullptr && m_call->sent_before().has_value();
    }
    /// The process is about to exit: ends the attempt in progress and answers the caller.
    void handle_stop();

    /// Called when bytes sent to the caller have left the process; goes on reading from the backend server
    /// once there is room.
    void handle_sent();
    /// Called now and then. Returns whether the backend server has waited for too long for the caller to
    /// read.
    [[nodiscard]] bool check_reading();
    [[nodiscard]] bool keeps_server_waiting() const noexcept {
        return m_call != nullptr && m_call->is_paused();
    }
    /// Aborts the answer to a caller that reads too slowly. This says nothing about the backend server.
    void abort_slow();
    /// Bytes of the request and its answer that are held and not yet sent to the session.
    [[nodiscard]] std::size_t held_bytes() const;

private:
    void begin();
    [[nodiscard]] bool has_time_to_finish() const;
    void find_origin();
    void handle_origin(const coordination::found_origin& found);

    // Obtaining and releasing the slot.
    void request_slot();
    void refuse_quarantined(milliseconds left, policy::suspect_kind kind);
    [[nodiscard]] policy::slot_request make_slot_request() const;
    void handle_grant(const policy::slot_grant& grant);
    void wait_for_registration(const policy::slot_grant& grant);
    [[nodiscard]] bool is_waiting_to_use(const policy::slot_grant& grant) const;
    void use_slot(const policy::slot_grant& grant);
    void return_slot(std::string_view reason);
    void handle_refusal(const policy::slot_refusal& refusal);
    void release_slot(policy::slot_outcome outcome);
    [[nodiscard]] double count_output() const;

    // Calling a backend server.
    void send_to(std::shared_ptr<backend> server);
    void handle_head();
    void handle_body(std::string_view bytes);
    void handle_events(std::string_view bytes);
    void handle_first_event();
    void collect(std::string_view bytes);
    [[nodiscard]] bool has_room_to_collect();
    void end_unused_answer();
    [[nodiscard]] bool has_room_for_event();
    void send_to_caller(std::string_view bytes);
    void handle_unread(std::string_view reason);
    void continue_unread();
    void handle_complete();
    [[nodiscard]] bool is_unfounded_refusal() const;
    void finish_answer();
    void handle_complete_answer();
    void handle_complete_passed_on();
    void handle_failure(call_failure what, std::string_view reason);
    void break_off(policy::slot_outcome slot, std::string_view reason);
    void fail_attempt(policy::attempt_outcome outcome, policy::slot_outcome slot, std::string_view reason);
    void continue_after(const request_journal::failed_attempt& failed);

    // Whether the request may crash servers.
    [[nodiscard]] bool is_suspect() const;
    void record_broken(const std::shared_ptr<backend>& server, std::function<void()> on_checked);
    void record_abandoned();
    void record_answer();
    [[nodiscard]] bool may_retry() const;

    // Answering the caller.
    void record_event_time();
    [[nodiscard]] request_journal::answer_times answer_times() const;
    void begin_stream();
    [[nodiscard]] bool is_answer_without_end() const;
    void handle_timeout();
    void end_without_answer(error_kind kind, std::string_view reason,
                            std::optional<milliseconds> retry_after = std::nullopt);
    void answer_error(error_kind kind, std::string_view reason, std::optional<milliseconds> retry_after);
    void end();

    gateway_context& m_context;
    std::shared_ptr<client_session> m_session;
    request_journal m_journal;
    quarantine_check m_quarantine;
    http::received_request m_request;
    clock::time_point m_arrived;
    admitted_request m_admitted;
    policy::attempt_rule m_attempts{false, 1};

    bool m_is_admitted = false;
    policy::slot_ticket m_ticket = 0;
    bool m_is_waiting_for_slot = false;
    policy::server_key m_slot = 0; ///< Key of the server whose slot is held; 0: none.
    /// Id of the server that the request was last sent to; empty while it waits for a slot.
    std::string m_server_id;
    clock::time_point m_slot_begin;
    unsigned m_returned_slots = 0;    ///< slots that were returned because their servers got no more requests
    policy::duration m_first_event{}; ///< From the start of the slot to the first event; 0: none received.
    clock::duration m_waited{};       ///< From the request's arrival to its first slot.
    clock::duration m_to_first{};     ///< From the request's arrival to its first event.
    clock::duration m_longest_pause{}; ///< The longest time between two events sent to the caller.
    clock::time_point m_last_event;
    clock::time_point m_broke_off; ///< When the last attempt failed.
    /// Events received from previous servers when the current slot was granted.
    std::uint64_t m_events_before = 0;
    bool m_has_asked = false;           ///< Whether it has requested a slot before.
    bool m_has_proved_harmless = false; ///< Whether the current server went on after beginning to answer.
    bool m_is_charged = false;          ///< Whether the request was charged to its workspace's quota.

    std::shared_ptr<backend_call> m_call;
    std::shared_ptr<liveness_watch> m_liveness; ///< of an answer without a length; null: it has another end
    /// Whether the current response is a successful stream, forwarded event by event.
    bool m_forwards_events = false;
    std::string m_answer; ///< Body of a response that is forwarded as a whole.
    /// Whether the current response is larger than there is memory for, so that it is forwarded as it
    /// arrives.
    bool m_passes_on = false;
    /// A stream broke off unread and goes on elsewhere once its caller reads again; why it broke off.
    std::optional<std::string> m_unread_reason;
    event_relay m_events;
    stream_software m_software;
    /// How the software version that began the stream is known; nothing if the request doesn't resume one.
    std::optional<coordination::origin_source> m_origin_source;
    bool m_has_begun_stream = false; ///< Whether the head of a stream has been sent to the caller.
    bool m_is_over = false;
    timer_subscription m_timer; ///< First polls for a configuration, then fires at the request's deadline.
    /// Limits the wait for the registration of the server whose slot is held.
    timer_subscription m_registration_timer;
};

} // namespace borageford::gateway
