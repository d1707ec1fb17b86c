// A client for the administration API of one entry, which acts as a named operator.
#pragma once

#include "http/client.hpp"
#include "support/http_caller.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace borageford::test {

/// The answer to a confirm or drain call.
struct confirm_answer {
    unsigned status = 0;
    std::string kind;           ///< kind of the error; empty when the call was accepted
    std::string state;          ///< "accepted" or "already_accepted"
    std::uint64_t revision = 0; ///< the new revision, or the one that came between
    std::string came_between; ///< after a conflict: the operator whose revision came between plan and confirm
    bool is_everywhere = false;      ///< all nodes had the revision in force when the wait ended
    std::uint64_t milliseconds = 0;  ///< how long the call waited for that
    std::vector<std::string> behind; ///< nodes that didn't have it in force yet
};

/// One node in the answer to a status call.
struct node_line {
    std::string vm;
    bool is_reached = false;
    std::uint64_t revision = 0; ///< 0 when the node wasn't reached
};

/// plan(), text_of(), count_revisions(), status() and current_revision() throw std::runtime_error unless its
/// status is 200; confirm(), drain() and read_confirm() return errors in confirm_answer.
class operator_client {
public:
    operator_client(http::endpoint entry, std::string name);

    /// Sends the text of a configuration as a plan and returns the plan's id.
    [[nodiscard]] std::string plan(const std::string& intent) const;
    /// Confirms a plan. `wait` is how long the entry waits for the revision to be in force everywhere, for
    /// example "10s"; empty: it
    /// answers without waiting.
    [[nodiscard]] confirm_answer confirm(const std::string& plan_id, const std::string& wait = "10s") const;
    /// Sends a confirm without waiting for its answer; read_confirm() parses the answer.
    [[nodiscard]] std::unique_ptr<pending_call> begin_confirm(const std::string& plan_id) const;
    [[nodiscard]] static confirm_answer read_confirm(const caller_result& answer);
    [[nodiscard]] confirm_answer drain(const std::string& backend_server, const std::string& wait) const;

    /// The configuration's text in this revision.
    [[nodiscard]] std::string text_of(std::uint64_t revision) const;
    /// The number of revisions, 200 at most.
    [[nodiscard]] std::size_t count_revisions() const;
    [[nodiscard]] std::vector<node_line> status() const;
    /// The revision that this entry uses.
    [[nodiscard]] std::uint64_t current_revision() const;

private:
    [[nodiscard]] http::request make_call(const std::string& method, const std::string& target,
                                          const std::string& body = {}) const;
    [[nodiscard]] std::string expect_success(const http::request& request) const;

    http::endpoint m_entry;
    std::string m_name;
};

} // namespace borageford::test
