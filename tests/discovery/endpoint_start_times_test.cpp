// How long backends have been up, whatever the wall clocks say.
#include "discovery/endpoint_start_times.hpp"

#include <catch2/catch.hpp>

using slatejunction::ListKind;
using slatejunction::discovery::Listing;
using slatejunction::discovery::StartTimes;

namespace {

struct Entry {
    std::string id;
    double up_since_ms = 0;
    double by_clock_s = 0;   // on the monotonic clock, as the wall clock has it
};

Listing list(ListKind kind, const std::vector<Entry>& entries) {
    Listing all;
    all.update.kind = kind;
    for (const Entry& one : entries) {
        all.update.entries.emplace_back();
        all.update.entries.back().server = one.id;
        all.update.entries.back().born_s = one.by_clock_s;
        all.addresses.push_back("127.0.0.1:1");
        all.up_since_ms.push_back(one.up_since_ms);
    }
    return all;
}

}   // namespace

TEST_CASE("a backend that comes is new, whatever the wall clock says", "[directory][start]") {
    const double error_s = GENERATE(-3600.0, -5.0, 0.0, 5.0, 3600.0);
    StartTimes times;
    Listing first = list(ListKind::total, {{"a", 0, 0}});
    times.settle(first, 100);
    CHECK(first.update.entries[0].born_s == 0);
    Listing change = list(ListKind::changes, {{"b", 7000, 99 - error_s}});
    times.settle(change, 102);
    CHECK(change.update.entries[0].born_s == 102);
    // The same start is told again: nothing has changed.
    Listing again = list(ListKind::total, {{"a", 0, 0}, {"b", 7000, 99 - error_s}});
    times.settle(again, 200);
    CHECK(again.update.entries[1].born_s == 102);
    // Another start is one.
    Listing restart = list(ListKind::changes, {{"a", 9000, 250 - error_s}});
    times.settle(restart, 251);
    CHECK(restart.update.entries[0].born_s > 200);
    CHECK(restart.update.entries[0].born_s <= 251);
}

TEST_CASE("after an outage ages differ as the stated times do", "[directory][start]") {
    StartTimes times;
    Listing first = list(ListKind::total, {{"a", 0, 0}});
    times.settle(first, 100);
    // The clock is an hour ahead: 3 and 30 s old.
    Listing later = list(ListKind::total, {{"b", 1, 197 - 3600}, {"c", 2, 170 - 3600}});
    times.settle(later, 200);
    CHECK(later.update.entries[0].born_s == 200);
    CHECK(later.update.entries[1].born_s == Approx(173));
    // None is older than the time since the list that did not hold it.
    Listing soon = list(ListKind::changes, {{"d", 3, 201 - 7200}});
    times.settle(soon, 202);
    CHECK(soon.update.entries[0].born_s >= 200);
}

TEST_CASE("backends of a copy have the wall clock alone, at most now", "[directory][start]") {
    StartTimes times;
    Listing copy = list(ListKind::warm_copy, {{"a", 5, 90}, {"b", 6, 4000}});
    times.settle_copy(copy, 100);
    CHECK(copy.update.entries[0].born_s == 90);
    CHECK(copy.update.entries[1].born_s == 100);
    // What the copy does not hold was seen to come.
    Listing first = list(ListKind::changes, {{"c", 7, 20}});
    times.settle(first, 101);
    CHECK(first.update.entries[0].born_s == 101);
}

TEST_CASE("backends that no list names are forgotten in time", "[directory][start]") {
    StartTimes times;
    for (int i = 0; i < 1000; ++i) {
        Listing one = list(ListKind::total, {{"s" + std::to_string(i), 1.0 + i, 50.0 + i}});
        times.settle(one, 100 + 10 * i);
    }
    CHECK(times.size() < 100);
}
