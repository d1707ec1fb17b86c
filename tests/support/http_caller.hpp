// An HTTP client for tests: sends requests, reads answers at once or piece by piece, closes connections
// early, and sends malformed bytes.
#pragma once

#include "http/client.hpp"
#include "http/message.hpp"

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

namespace borageford::test {

/// What a caller received.
struct caller_result {
    unsigned status = 0; ///< 0: no response head was received
    http::header_fields headers;
    std::string body;
    bool is_complete = false; ///< the body was received to its end
    std::string error;        ///< why the exchange failed; empty when it didn't

    /// The header's value, or an empty text.
    [[nodiscard]] std::string header(std::string_view name) const;
};

/// A request in progress; its destructor closes the connection. The answer is read on a thread that all calls
/// share.
class pending_call {
public:
    pending_call(const http::endpoint& server, http::request call);
    ~pending_call();
    pending_call(const pending_call&) = delete;
    pending_call& operator=(const pending_call&) = delete;
    pending_call(pending_call&&) = delete;
    pending_call& operator=(pending_call&&) = delete;

    /// Waits until at least `count` bytes of the body were received. Throws std::runtime_error when the
    /// answer ends earlier.
    void wait_for_bytes(std::size_t count);
    /// True once the exchange has ended, with or without a complete answer.
    [[nodiscard]] bool is_finished() const;
    /// Waits for the end of the exchange and returns what was received, complete or not.
    caller_result wait();
    /// Closes the connection without waiting for the answer's end.
    void disconnect();

private:
    struct state;
    std::shared_ptr<state> m_state;
};

/// Sends a request and waits for the end of the exchange. Doesn't throw for a failed exchange; see
/// caller_result::error.
caller_result call(const http::endpoint& server, http::request request);

/// Sends a GET and returns the body; throws std::runtime_error unless the answer is complete and has status
/// 200.
std::string fetch_text(const http::endpoint& server, const std::string& target);
/// Sends a POST of JSON and returns the body; throws std::runtime_error unless the answer is complete and has
/// status 200.
std::string post_text(const http::endpoint& server, const std::string& target, const std::string& body);

/// Sends raw bytes, reads until the server closes the connection or `limit` has passed, and returns the
/// received bytes.
std::string exchange_raw(const http::endpoint& server, std::string_view bytes,
                         std::chrono::milliseconds limit);

} // namespace borageford::test
