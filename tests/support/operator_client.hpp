// An operator at one entry's administration API.
#pragma once

#include "http/client.hpp"
#include "support/http_caller.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace borageford::test {

/// What a confirm was answered.
struct confirm_answer {
    unsigned status = 0;
    std::string kind;  ///< of the error; empty when it was accepted
    std::string state; ///< "accepted" or "already_accepted"
    std::uint64_t revision = 0;
    std::string came_between; ///< the operator whose revision did
    bool is_everywhere = false;
    std::uint64_t milliseconds = 0; ///< until it was, or until the wait ended
    std::vector<std::string> behind;
};

/// One node's line of the status.
struct node_line {
    std::string vm;
    bool is_reached = false;
    std::uint64_t revision = 0;
};

/// Throws std::runtime_error for an answer that the call doesn't expect.
class operator_client {
public:
    operator_client(http::endpoint entry, std::string name);

    /// Makes a plan and returns its id.
    [[nodiscard]] std::string plan(const std::string& intent) const;
    /// `wait` as the API takes it, for example "10s"; empty: not to wait.
    [[nodiscard]] confirm_answer confirm(const std::string& plan_id, const std::string& wait = "10s") const;
    /// Sends a confirm without waiting for its answer; pass the answer to read_confirm.
    [[nodiscard]] std::unique_ptr<pending_call> begin_confirm(const std::string& plan_id) const;
    [[nodiscard]] static confirm_answer read_confirm(const caller_result& answer);
    [[nodiscard]] confirm_answer drain(const std::string& backend_server, const std::string& wait) const;

    [[nodiscard]] std::string text_of(std::uint64_t revision) const;
    [[nodiscard]] std::size_t count_revisions() const;
    [[nodiscard]] std::vector<node_line> status() const;
    /// The revision that this entry holds.
    [[nodiscard]] std::uint64_t held_revision() const;

private:
    [[nodiscard]] http::request make_call(const std::string& method, const std::string& target,
                                          const std::string& body = {}) const;
    [[nodiscard]] std::string expect_success(const http::request& request) const;

    http::endpoint m_entry;
    std::string m_name;
};

} // namespace borageford::test
