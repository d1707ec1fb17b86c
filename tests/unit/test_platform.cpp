// Tests of the clients of the platform (table, object_store, vm_directory) and of what each failure means
// for a write.
#include "in_process_platform.hpp"
#include "store/object_store.hpp"
#include "store/table.hpp"
#include "store/vm_directory.hpp"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <future>

using namespace borageford;
using store::effect;
using test::platform_timeout;

namespace {

/// Commits a write that has to fail, and returns whether it may have taken effect.
effect effect_of_write(test::test_runtime& runtime, store::table& table) {
    try {
        static_cast<void>(runtime.wait_for(table.transact({{}, {{"k", "v"}}, {}})));
    } catch (const store::store_error& error) {
        return error.possible_effect();
    }
    FAIL("the write was answered");
    return effect::none;
}

} // namespace

TEST_CASE("rows are written, read and scanned", "[platform]") {
    test::in_process_platform service;
    test::test_runtime runtime;
    store::table table(runtime.executor(), service.address(), platform_timeout);
    const std::string odd_key = "a/b c&d=\"%";
    const auto first = runtime.wait_for(table.transact({{{odd_key, 0}}, {{odd_key, "1"}, {"a/z", "2"}}, {}}));
    REQUIRE(first.committed);
    const auto found = runtime.wait_for(table.read(odd_key));
    REQUIRE(found);
    CHECK(found->value == "1");
    CHECK(found->version == first.version);
    const auto refused = runtime.wait_for(table.transact({{{odd_key, 0}}, {{"b", "3"}}, {}}));
    CHECK_FALSE(refused.committed);
    CHECK(refused.failed_keys == std::vector<std::string>{odd_key});
    CHECK_FALSE(runtime.wait_for(table.read("b")));
    CHECK(runtime.wait_for(table.scan("a/", "", 10)).size() == 2);
    CHECK(runtime.wait_for(table.scan("a/", odd_key, 10)).size() == 1);
}

TEST_CASE("a refused or unreachable write changed nothing", "[platform]") {
    // The platform is out of service, its rate limit is exceeded, or nothing listens on its address. In
    // these cases the caller may be told that the write didn't happen, so they must differ from a write
    // whose answer was lost.
    test::in_process_platform service;
    test::test_runtime runtime;
    store::table table(runtime.executor(), service.address(), platform_timeout);
    for (const unsigned status : {503U, 429U}) {
        service.set_status(status);
        CHECK(effect_of_write(runtime, table) == effect::none);
    }
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor closed(context, {boost::asio::ip::address_v4::loopback(), 0});
    const auto address = closed.local_endpoint();
    closed.close();
    store::table unreachable(runtime.executor(), address, platform_timeout);
    CHECK(effect_of_write(runtime, unreachable) == effect::none);
}

TEST_CASE("a write whose answer is lost may have taken effect", "[platform]") {
    // The connection breaks after the write took effect. If this counted as a failed write, the write would
    // be repeated, or an operator would be told that a change failed which is in force.
    test::in_process_platform service;
    test::test_runtime runtime;
    store::table table(runtime.executor(), service.address(), platform_timeout);
    service.lose_answers(1);
    CHECK(effect_of_write(runtime, table) == effect::unknown);
    CHECK(runtime.wait_for(table.read("k"))->value == "v");
    service.set_status(500);
    CHECK(effect_of_write(runtime, table) == effect::unknown);
}

TEST_CASE("objects are stored and read, and a missing object is reported", "[platform]") {
    test::in_process_platform service;
    test::test_runtime runtime;
    store::object_store objects(runtime.executor(), service.address(), platform_timeout);
    CHECK_FALSE(runtime.wait_for(objects.get("x/y")));
    runtime.wait_for(objects.put("x/y", "bytes"));
    CHECK(runtime.wait_for(objects.get("x/y")) == "bytes");
}

TEST_CASE("the directory follows the list of VMs", "[platform]") {
    test::in_process_platform service;
    test::test_runtime runtime;
    timer_service timers;
    service.replace_vms(
        {{{"name", "vm-1"}, {"address", "127.0.0.1:7001"}, {"role", "sidecar"}, {"state", "leaving"}},
         {{"name", "vm-2"}, {"address", "nonsense"}, {"role", "entry"}, {"state", "live"}}});
    std::promise<std::shared_ptr<const store::vm_map>> changed;
    store::vm_directory directory(runtime.executor(), timers, service.address(), platform_timeout,
                                  std::chrono::milliseconds(10));
    directory.start([&changed](const auto& vms) { changed.set_value(vms); });
    const auto vms = changed.get_future().get();
    runtime.stop();
    REQUIRE(vms->size() == 1);
    CHECK(vms->at("vm-1").state == store::vm_state::leaving);
    CHECK(vms->at("vm-1").role == store::vm_role::sidecar);
    CHECK(vms->at("vm-1").address.port() == 7001);
}
