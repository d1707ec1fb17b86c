// Tests of the administration API: calls over HTTP to entries that use a platform running in the test
// process.
#include "admin/administration.hpp"
#include "base/sha256.hpp"
#include "http/client.hpp"
#include "http/server.hpp"
#include "in_process_platform.hpp"
#include "marks/crash_mark.hpp"
#include "settings/ini_document.hpp"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <condition_variable>
#include <mutex>
#include <string>

using namespace borageford;
using test::platform_timeout;
namespace json = boost::json;

namespace {

constexpr std::string_view token = "token of the operators";

wire::hello_message make_hello(const std::string& vm) {
    wire::hello_message hello;
    hello.protocol_version = wire::protocol_version;
    hello.vm = vm;
    return hello;
}

/// The parts of an entry that the administration API needs, with an HTTP server for the API.
class admin_entry {
public:
    admin_entry(test::test_runtime& runtime, const boost::asio::ip::tcp::endpoint& platform,
                const std::string& vm)
        : m_runtime(runtime),
          m_table(runtime.executor(), platform, platform_timeout),
          m_objects(runtime.executor(), platform, platform_timeout),
          m_vms(runtime.executor(), m_timers, platform, platform_timeout, std::chrono::milliseconds(10)),
          m_follower(runtime.executor(), m_timers, m_table, std::chrono::hours(1)),
          m_listener(runtime.executor(), m_timers, m_follower, {make_hello(vm), {}}),
          m_peer_address(m_listener.listen({boost::asio::ip::address_v4::loopback(), 0})),
          m_administration({runtime.executor(),
                            m_timers,
                            m_follower,
                            m_vms,
                            m_table,
                            m_objects,
                            {make_hello(vm), {}},
                            sha256_hex(token)},
                           {}),
          m_server(
              runtime.executor(), {},
              [this](const http::request& call, http::response_writer& writer) {
                  return m_administration.handle(call, writer);
              },
              [](error_kind, std::string_view) { return test::json_response(400, "{}"); }),
          m_address(m_server.listen({boost::asio::ip::address_v4::loopback(), 0})) {
        m_vms.start([this](const auto&) {
            const std::scoped_lock lock(m_mutex);
            m_listed.notify_all();
        });
    }

    http::response call(const std::string& method, const std::string& target, const std::string& body = {},
                        std::string_view with_token = token) {
        http::request request{method,
                              target,
                              {{"Authorization", "Bearer " + std::string(with_token)}, {"X-Operator", "ana"}},
                              body};
        return m_runtime.wait_for(http::fetch(m_runtime.executor(), m_address, request, {}));
    }

    json::value call_json(const std::string& method, const std::string& target,
                          const std::string& body = {}) {
        return json::parse(call(method, target, body).body);
    }

    /// Makes a plan from the intent and confirms it. Returns the response to the confirmation.
    json::value put_in_force(const std::string& intent) {
        const auto planned = call_json("POST", "/admin/plans", intent);
        return call_json("POST", "/admin/plans/" + json::value_to<std::string>(planned.at("plan")) +
                                     "/confirm?wait=30s");
    }

    [[nodiscard]] const boost::asio::ip::tcp::endpoint& peer_address() const { return m_peer_address; }
    [[nodiscard]] configuration::configuration_follower& follower() { return m_follower; }
    void wait_for_vms(std::size_t count) {
        std::unique_lock lock(m_mutex);
        const auto has_come = [&] {
            return m_vms.current()->size() >= count;
        };
        REQUIRE(m_listed.wait_for(lock, std::chrono::seconds(30), has_come));
    }
    [[nodiscard]] store::table& table() { return m_table; }

private:
    test::test_runtime& m_runtime;
    std::mutex m_mutex;
    std::condition_variable m_listed;
    timer_service m_timers;
    store::table m_table;
    store::object_store m_objects;
    store::vm_directory m_vms;
    configuration::configuration_follower m_follower;
    admin::revision_listener m_listener;
    boost::asio::ip::tcp::endpoint m_peer_address;
    admin::administration m_administration;
    http::server m_server;
    boost::asio::ip::tcp::endpoint m_address;
};

struct fixture {
    test::in_process_platform service;
    test::test_runtime runtime;
    admin_entry first{runtime, service.address(), "entry-1"};
    admin_entry second{runtime, service.address(), "entry-2"};

    fixture() = default;
    ~fixture() { runtime.stop(); }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;
    fixture(fixture&&) = delete;
    fixture& operator=(fixture&&) = delete;

    void list_both() {
        service.replace_vms({describe("entry-1", first), describe("entry-2", second)});
        first.wait_for_vms(2);
        second.wait_for_vms(2);
    }

private:
    static json::object describe(const std::string& name, const admin_entry& entry) {
        return {{"name", name},
                {"address", http::to_string(entry.peer_address())},
                {"role", "entry"},
                {"state", "live"}};
    }
};

std::string intent(const std::string& version) {
    return "[tier high]\nrank = 0\n[model m]\nversion = " + version +
           "\n[backend_server b]\nfailure_domain = d\nmodels = m\n";
}

std::string kind_of(const http::response& answer) {
    return json::value_to<std::string>(json::parse(answer.body).at("error").at("kind"));
}

} // namespace

TEST_CASE("a plan lists its changes and doesn't put them in force", "[admin]") {
    fixture system;
    const auto planned = system.first.call_json("POST", "/admin/plans", intent("1"));
    CHECK(planned.at("base") == 0);
    CHECK(planned.at("changes").as_array().size() == 3);
    CHECK(system.first.call_json("GET", "/admin/status").at("head") == 0);
    const auto id = json::value_to<std::string>(planned.at("plan"));
    CHECK(system.second.call_json("GET", "/admin/plans/" + id).at("plan") == planned.at("plan"));
}

TEST_CASE("a plan made at one entry can be confirmed at another and is then in force at both", "[admin]") {
    fixture system;
    system.list_both();
    const auto planned = system.first.call_json("POST", "/admin/plans", intent("1"));
    const auto id = json::value_to<std::string>(planned.at("plan"));
    const auto confirmed = system.second.call_json("POST", "/admin/plans/" + id + "/confirm?wait=30s");
    CHECK(confirmed.at("state") == "accepted");
    CHECK(confirmed.at("in_force").at("everywhere") == true);
    // The first entry's poll period is an hour in this test, so it got the revision from the second entry.
    CHECK(system.first.follower().revision() == 1);
    const auto again = system.first.call_json("POST", "/admin/plans/" + id + "/confirm");
    CHECK(again.at("state") == "already_accepted");
    CHECK(again.at("revision") == 1);
}

TEST_CASE("status and the response to a confirmation name the nodes that are behind", "[admin]") {
    // A VM on the platform's list doesn't answer. The operator must be told which VM it is, because it may
    // still use the previous configuration.
    fixture system;
    system.service.replace_vms(
        {json::object{{"name", "lost"}, {"address", "127.0.0.1:1"}, {"role", "sidecar"}, {"state", "live"}}});
    system.first.wait_for_vms(1);
    const auto planned = system.first.call_json("POST", "/admin/plans", intent("1"));
    const auto id = json::value_to<std::string>(planned.at("plan"));
    const auto confirmed = system.first.call_json("POST", "/admin/plans/" + id + "/confirm?wait=100ms");
    CHECK(confirmed.at("state") == "accepted");
    CHECK(confirmed.at("in_force").at("everywhere") == false);
    CHECK(confirmed.at("in_force").at("behind") == json::array{"lost"});
    const auto status = system.first.call_json("GET", "/admin/status");
    CHECK(status.at("nodes").at(0).at("reached") == false);
    CHECK(status.at("in_force").at("behind") == json::array{"lost"});
}

TEST_CASE("the response to a conflict names the revision that was committed instead of the plan", "[admin]") {
    fixture system;
    const auto late = system.first.call_json("POST", "/admin/plans", intent("2"));
    CHECK(system.second.put_in_force(intent("1")).at("revision") == 1);
    const auto id = json::value_to<std::string>(late.at("plan"));
    const auto answer = system.first.call("POST", "/admin/plans/" + id + "/confirm");
    CHECK(answer.head.status == 409);
    CHECK(kind_of(answer) == "plan_conflict");
    const auto error = json::parse(answer.body).at("error");
    CHECK(error.at("came_between").at("operator") == "ana");
    CHECK(error.at("came_between").at("revision") == 1);
}

TEST_CASE("reverting to an earlier revision makes a new revision", "[admin]") {
    fixture system;
    system.first.put_in_force(intent("1"));
    system.first.put_in_force(intent("2"));
    const auto planned = system.first.call_json("POST", "/admin/revisions/1/revert");
    CHECK(planned.at("base") == 2);
    CHECK(planned.at("changes") == json::array{"change model m: version from 2 to 1"});
    const auto id = json::value_to<std::string>(planned.at("plan"));
    CHECK(system.first.call_json("POST", "/admin/plans/" + id + "/confirm").at("revision") == 3);
    CHECK(system.first.call_json("GET", "/admin/revisions/3").at("text").as_string() == intent("1"));
    CHECK(system.first.call_json("GET", "/admin/revisions?limit=2").at("revisions").as_array().size() == 2);
}

TEST_CASE("a drain is committed as a revision and shown in the list of backend servers", "[admin]") {
    fixture system;
    system.first.put_in_force(intent("1"));
    const auto drained = system.first.call_json("POST", "/admin/backend_servers/b/drain");
    CHECK(drained.at("revision") == 2);
    CHECK(drained.at("warnings").as_array().size() == 1);
    const auto servers = system.first.call_json("GET", "/admin/backend_servers");
    CHECK(servers.at("backend_servers").at(0).at("drained") == true);
    CHECK(system.first.call_json("POST", "/admin/backend_servers/b/undrain").at("revision") == 3);
    CHECK(kind_of(system.first.call("POST", "/admin/backend_servers/none/drain")) == "not_found");
}

TEST_CASE("a quarantined request is listed and can be released", "[admin]") {
    fixture system;
    const std::string marks = marks::encode_row({{identifier{1, 1}, "a", 5}, {identifier{1, 2}, "b", 9}});
    system.runtime.wait_for(system.first.table().transact({{}, {{"mark/00000000000000ff", marks}}, {}}));
    const auto listed = system.first.call_json("GET", "/admin/quarantine").at("requests");
    REQUIRE(listed.as_array().size() == 1);
    CHECK(listed.at(0).at("quarantined") == true);
    CHECK(listed.at(0).at("backend_servers") == json::array{"a", "b"});
    CHECK(system.first.call("POST", "/admin/quarantine/00000000000000ff/release").head.status == 200);
    CHECK(system.first.call("POST", "/admin/quarantine/00000000000000ff/release").head.status == 404);
}

TEST_CASE("a release from quarantine whose answer is lost has an unknown outcome", "[admin]") {
    // The table commits the release and the connection breaks before the answer. If the response said that
    // nothing was changed, the operator would take the request for quarantined while it can run again.
    fixture system;
    const auto marks = marks::encode_row({{identifier{1, 1}, "a", 5}});
    system.runtime.wait_for(system.first.table().transact({{}, {{"mark/00000000000000ff", marks}}, {}}));
    system.service.lose_answers(1);
    CHECK(kind_of(system.first.call("POST", "/admin/quarantine/00000000000000ff/release")) ==
          "outcome_unknown");
    CHECK(system.first.call("POST", "/admin/quarantine/00000000000000ff/release").head.status == 404);
}

TEST_CASE("invalid calls are refused with an error kind and a remedy", "[admin]") {
    fixture system;
    CHECK(kind_of(system.first.call("GET", "/admin/status", "", "guess")) == "unauthorized");
    CHECK(kind_of(system.first.call("GET", "/admin/nothing")) == "not_found");
    CHECK(kind_of(system.first.call("DELETE", "/admin/status")) == "method_not_allowed");
    CHECK(kind_of(system.first.call("GET", "/admin/revisions/9")) == "not_found");
    CHECK(kind_of(system.first.call("GET", "/admin/revisions/x")) == "bad_request");
    CHECK(kind_of(system.first.call("POST", "/admin/plans/none/confirm?wait=soon")) == "bad_request");
    CHECK(kind_of(system.first.call("GET", "/admin/requests/zz")) == "bad_request");
    const auto answer = system.first.call("POST", "/admin/plans?file=a.ini", "[tier x]\nrank = y\n");
    CHECK(answer.head.status == 422);
    const auto error = json::parse(answer.body).at("error");
    CHECK_FALSE(error.at("remedy").as_string().empty());
    CHECK(error.at("problems").at(0).at("file") == "a.ini");
    CHECK(error.at("problems").at(0).at("line") == 2);
}

TEST_CASE("during an outage of the platform a change is refused and status still answers", "[admin]") {
    // The platform's table is down. The operator must be told that nothing was changed, and which revision is
    // in force.
    fixture system;
    system.first.put_in_force(intent("1"));
    const auto planned = system.first.call_json("POST", "/admin/plans", intent("2"));
    const auto id = json::value_to<std::string>(planned.at("plan"));
    system.service.set_status(503);
    CHECK(kind_of(system.first.call("POST", "/admin/plans/" + id + "/confirm")) == "platform_unavailable");
    const auto status = system.first.call_json("GET", "/admin/status");
    CHECK(status.at("platform") == "unreachable");
    CHECK(status.at("revision") == 1);
}
