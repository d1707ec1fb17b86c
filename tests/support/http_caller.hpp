// A caller: sends requests, reads answers whole or as they come, hangs up, and sends what no client should.
#pragma once

#include "http/client.hpp"
#include "http/message.hpp"

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

namespace borageford::test {

/// How an exchange ended for its caller.
struct caller_result {
    unsigned status = 0; ///< 0: no head came
    http::header_fields headers;
    std::string body;
    bool is_whole = false; ///< the body's end was marked
    std::string error;

    /// The header's value, or an empty text.
    [[nodiscard]] std::string header(std::string_view name) const;
};

/// A request in progress; hangs up when destroyed. Reads on a thread that all callers share.
class pending_call {
public:
    pending_call(const http::endpoint& server, http::request call);
    ~pending_call();
    pending_call(const pending_call&) = delete;
    pending_call& operator=(const pending_call&) = delete;
    pending_call(pending_call&&) = delete;
    pending_call& operator=(pending_call&&) = delete;

    /// Returns once so much of the body has come, or throws when the answer ended before.
    void wait_for_bytes(std::size_t count);
    [[nodiscard]] bool is_finished() const;
    /// The answer's end, whole or not.
    caller_result wait();
    /// Closes the connection, as a caller that is gone does.
    void hang_up();

private:
    struct state;
    std::shared_ptr<state> m_state;
};

/// A whole exchange.
caller_result call(const http::endpoint& server, http::request request);

/// A GET of a control or status path; throws unless it answers 200.
std::string fetch_text(const http::endpoint& server, const std::string& target);
/// A POST; throws unless it answers 200.
std::string post_text(const http::endpoint& server, const std::string& target, const std::string& body);

/// Sends raw bytes, then reads until the server closes or the time is over; returns what came.
std::string exchange_raw(const http::endpoint& server, std::string_view bytes,
                         std::chrono::milliseconds limit);

} // namespace borageford::test
