// Tests of revision_store: concurrent commits, commits whose answers are lost, and commits after stale reads.
#include "base/request_error.hpp"
#include "configuration/revision_store.hpp"
#include "in_process_platform.hpp"

#include <catch2/catch.hpp>

using namespace borageford;
using configuration::commit_verdict;
using configuration::plan;
using test::platform_timeout;

namespace {

struct fixture {
    test::in_process_platform service;
    test::test_runtime runtime;
    store::table table{runtime.executor(), service.address(), platform_timeout};
    store::object_store objects{runtime.executor(), service.address(), platform_timeout};
    configuration::revision_store store{table, objects};

    configuration::commit_result commit(const plan& what, const std::string& who) {
        return runtime.wait_for(store.commit(what, who));
    }
};

plan make_plan(std::string id, configuration::revision_number on) {
    plan what;
    what.id = std::move(id);
    what.base = on;
    what.text = "text of " + what.id;
    return what;
}

} // namespace

TEST_CASE("of two plans on the same base the first is committed and the second is a conflict",
          "[configuration]") {
    // Two operators confirm plans at the same moment. If both were accepted, the later one would silently
    // undo the change of the earlier one.
    fixture system;
    CHECK(system.commit(make_plan("a", 0), "ana").verdict == commit_verdict::accepted);
    const auto second = system.commit(make_plan("b", 0), "bruno");
    CHECK(second.verdict == commit_verdict::conflict);
    CHECK(second.revision.revision == 1);
    CHECK(second.revision.operator_name == "ana");
    CHECK(second.revision.plan == "a");
    CHECK(system.runtime.wait_for(system.store.read_head()) == 1);
    CHECK(system.runtime.wait_for(system.store.read_revision(1))->text == "text of a");
}

TEST_CASE("a commit whose answer is lost is reported as accepted and makes one revision", "[configuration]") {
    // The table commits the revision and the connection breaks before the answer. If the commit were reported
    // as failed, the operator would confirm again; the plan must not become a second revision.
    fixture system;
    system.service.lose_answers(1);
    CHECK(system.commit(make_plan("a", 0), "ana").verdict == commit_verdict::accepted);
    CHECK(system.commit(make_plan("a", 0), "ana").verdict == commit_verdict::already_accepted);
    CHECK(system.runtime.wait_for(system.store.list_revisions(1, 10)).size() == 1);
}

TEST_CASE("after a lost answer and a stale read the outcome of a commit is unknown", "[configuration]") {
    // The answer to the commit is lost, and reads still return the state before it. The operator must be told
    // that the outcome is unknown; a second confirmation after the reads are current finds the plan accepted.
    fixture system;
    system.service.set_stale_reads(true);
    system.service.lose_answers(1);
    try {
        static_cast<void>(system.commit(make_plan("a", 0), "ana"));
        FAIL("the outcome can't be known");
    } catch (const request_error& error) {
        CHECK(error.kind() == error_kind::outcome_unknown);
    }
    system.service.set_stale_reads(false);
    CHECK(system.commit(make_plan("a", 0), "ana").verdict == commit_verdict::already_accepted);
}

TEST_CASE("a commit based on a stale head row can't overwrite a revision", "[configuration]") {
    // An entry makes a plan on top of an old revision because its read of the head row was stale. The commit
    // of this plan must be a conflict.
    fixture system;
    REQUIRE(system.commit(make_plan("a", 0), "ana").verdict == commit_verdict::accepted);
    system.service.set_stale_reads(true);
    REQUIRE(system.commit(make_plan("b", 1), "bruno").verdict == commit_verdict::accepted);
    CHECK(system.runtime.wait_for(system.store.read_head()) == 1);
    system.service.set_stale_reads(false);
    const auto late = system.commit(make_plan("c", 1), "carla");
    CHECK(late.verdict == commit_verdict::conflict);
    CHECK(late.revision.operator_name == "bruno");
}

TEST_CASE("a commit during an outage of the platform fails and changes nothing", "[configuration]") {
    fixture system;
    system.service.set_status(503);
    CHECK_THROWS_AS(system.commit(make_plan("a", 0), "ana"), store::store_error);
    system.service.set_status(0);
    CHECK(system.runtime.wait_for(system.store.read_head()) == 0);
}

TEST_CASE("a stored plan is read back unchanged", "[configuration]") {
    fixture system;
    auto what = make_plan("a", 3);
    what.changes = {"add tier x"};
    what.warnings = {"beware"};
    system.runtime.wait_for(system.store.store_plan(what));
    const auto found = system.runtime.wait_for(system.store.find_plan("a"));
    REQUIRE(found);
    CHECK(found->base == 3);
    CHECK(found->text == what.text);
    CHECK(found->changes == what.changes);
    CHECK(found->warnings == what.warnings);
    CHECK_FALSE(system.runtime.wait_for(system.store.find_plan("b")));
}
