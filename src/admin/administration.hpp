// The administration API of an entry: JSON over HTTP; every call must contain the operators' token.
// docs/ADMINISTRATION.md describes the calls.
#pragma once

#include "admin/node_view.hpp"
#include "admin/planner.hpp"
#include "admin/revision_survey.hpp"
#include "admin/spread_watch.hpp"
#include "configuration/configuration_follower.hpp"
#include "configuration/revision_store.hpp"
#include "http/message.hpp"
#include "http/server.hpp"
#include "store/object_store.hpp"
#include "store/table.hpp"
#include "store/vm_directory.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::admin {

/// The parts of the entry that the administration API uses. They must outlive the `administration` object.
struct administration_context {
    boost::asio::any_io_executor executor;
    timer_service& timers;
    configuration::configuration_follower& follower;
    store::vm_directory& vms;
    store::table& table;
    store::object_store& objects;
    peer_identity identity;
    std::string token_hash; ///< SHA-256 of the operators' token, lower-case hexadecimal
};

/// The request handler of the administration API. Safe to use from any thread.
class administration {
public:
    administration(administration_context context, node_view view);

    /// The path of every call starts with this prefix.
    static constexpr std::string_view path_prefix = "/admin/";

    /// Handles one call and writes its response. Meant to be called by the handler of an http::server.
    boost::asio::awaitable<void> handle(const http::request& call, http::response_writer& writer);

private:
    /// One call with the arguments from its path.
    struct admin_call {
        const http::request& request;
        std::vector<std::string> arguments; ///< the part of the path at each "*" of the api_call's pattern
        std::string operator_name;
    };
    using call_handler = boost::asio::awaitable<http::response> (administration::*)(const admin_call&);
    /// A call that the API offers.
    struct api_call {
        std::string_view method;
        std::string_view pattern; ///< path; a part "*" matches any single part of a path
        call_handler handle;
    };

    [[nodiscard]] static std::span<const api_call> api_calls();
    boost::asio::awaitable<http::response> answer(const http::request& call);
    void check_token(const http::request& call) const;

    boost::asio::awaitable<http::response> make_plan(const admin_call& call);
    boost::asio::awaitable<http::response> show_plan(const admin_call& call);
    boost::asio::awaitable<http::response> confirm_plan(const admin_call& call);
    boost::asio::awaitable<http::response> list_revisions(const admin_call& call);
    boost::asio::awaitable<http::response> show_revision(const admin_call& call);
    boost::asio::awaitable<http::response> revert_revision(const admin_call& call);
    boost::asio::awaitable<http::response> show_status(const admin_call& call);
    boost::asio::awaitable<http::response> list_servers(const admin_call& call);
    boost::asio::awaitable<http::response> drain_server(const admin_call& call);
    boost::asio::awaitable<http::response> undrain_server(const admin_call& call);
    boost::asio::awaitable<http::response> list_quarantine(const admin_call& call);
    boost::asio::awaitable<http::response> release_from_quarantine(const admin_call& call);
    boost::asio::awaitable<http::response> show_limits(const admin_call& call);
    boost::asio::awaitable<http::response> explain_request(const admin_call& call);
    boost::asio::awaitable<http::response> find_requests(const admin_call& call);

    /// What each workspace uses at this entry; empty if the entry doesn't measure it.
    [[nodiscard]] std::vector<configuration::workspace_use> workspace_usage() const;
    boost::asio::awaitable<std::optional<configuration::revision_number>> read_head();
    boost::asio::awaitable<std::optional<configuration::spread_row>>
    read_spread(configuration::revision_number revision);

    administration_context m_context;
    node_view m_view;
    configuration::revision_store m_store;
    revision_survey m_survey;
    spread_watch m_spread;
    planner m_planner;
};

} // namespace borageford::admin
