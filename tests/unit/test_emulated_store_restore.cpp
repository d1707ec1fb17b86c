// Tests of restoring the emulated store to an earlier state.
#include "emulator/row_store.hpp"

#include <catch2/catch.hpp>

using namespace borageford;

namespace {

void put(emulator::row_store& rows, const std::string& key, const std::string& value) {
    store::transaction change;
    change.puts.push_back({key, value});
    static_cast<void>(rows.transact(change));
}

void remove(emulator::row_store& rows, const std::string& key) {
    store::transaction change;
    change.deletes.push_back(key);
    static_cast<void>(rows.transact(change));
}

} // namespace

TEST_CASE("a restored store has lost exactly the changes after the copy", "[emulator]") {
    emulator::row_store rows;
    put(rows, "t/changed", "old");
    put(rows, "t/removed", "old");
    const auto copied_at = emulator::row_store::clock::now();
    const auto copied = rows.version();
    put(rows, "t/changed", "new");
    remove(rows, "t/removed");
    put(rows, "t/added", "new");
    const auto lost = rows.restore(copied_at);
    REQUIRE(lost.size() == 3);
    CHECK(lost.front().now.value == "new");
    CHECK(lost.at(1).is_removed);
    CHECK(rows.read("t/changed")->value == "old");
    CHECK(rows.read("t/changed")->version == 1);
    CHECK(rows.read("t/removed")->value == "old");
    CHECK_FALSE(rows.read("t/added").has_value());
    CHECK(rows.version() == copied);
    CHECK(rows.era() == 2);
    CHECK_FALSE(
        rows.changes("t", copied + 1).has_value()); // this version doesn't exist in the restored store
    put(rows, "t/added", "again");
    CHECK(rows.read("t/added")->version == copied + 1); // this version number existed before the restore too
    CHECK(rows.changes("t", copied)->position == store::position{2, copied + 1});
}

TEST_CASE("a store is restored no further back than its history reaches", "[emulator]") {
    emulator::row_store rows;
    put(rows, "t/a", "old");
    const auto copied_at = emulator::row_store::clock::now();
    put(rows, "t/a", "new");
    rows.forget_history();
    CHECK(rows.restore(copied_at).empty());
    CHECK(rows.read("t/a")->value == "new");
    CHECK(rows.version() == 2);
}
