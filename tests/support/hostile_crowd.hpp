// Callers that send without reading, never finish what they send, and come back at once when they are
// disconnected.
#pragma once

#include "http/client.hpp"
#include "support/child_process.hpp"

#include <cstddef>
#include <memory>
#include <string>

namespace borageford::test {

/// What each member of a crowd sends on its connection.
struct crowd_script {
    std::size_t members = 1;
    std::string first = {}; ///< sent once
    std::string piece = {}; ///< sent `pieces` times after it
    std::size_t pieces = 0;
    std::size_t reconnections = 0; ///< how often members come back, all together
};

/// A hundred members that announce bodies inside the limit for this target, send three quarters of them and
/// no more.
[[nodiscard]] crowd_script unfinished_bodies(const std::string& target);

/// A crowd in front of one address, played on a thread of its own. It stays connected until the destructor.
class hostile_crowd {
public:
    hostile_crowd(const http::endpoint& server, crowd_script script);
    ~hostile_crowd();
    hostile_crowd(const hostile_crowd&) = delete;
    hostile_crowd& operator=(const hostile_crowd&) = delete;
    hostile_crowd(hostile_crowd&&) = delete;
    hostile_crowd& operator=(hostile_crowd&&) = delete;

    /// Waits until the members have sent everything, were disconnected for good, or can't send any more.
    void wait_until_settled() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// Number of open descriptors of a process.
[[nodiscard]] std::size_t count_descriptors(const child_process& process);

/// Sends a request in two packets, as an ordinary caller with a body of some size does, and returns the
/// answer's status; 0: none.
[[nodiscard]] unsigned send_in_two_parts(const http::endpoint& server, const std::string& head,
                                         const std::string& body);

} // namespace borageford::test
