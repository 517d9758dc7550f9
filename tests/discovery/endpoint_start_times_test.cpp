// How long backends have been up, whatever the wall clocks say.
#include "discovery/endpoint_start_times.hpp"

#include <catch2/catch.hpp>

using slatejunction::EndpointUpdateKind;
using slatejunction::discovery::EndpointList;
using slatejunction::discovery::EndpointStartTimes;

namespace {

struct Entry {
    std::string id;
    double up_since_ms = 0;
    double by_clock_s = 0;   // on the monotonic clock, as the wall clock has it
};

EndpointList list(EndpointUpdateKind kind, const std::vector<Entry>& entries) {
    EndpointList all;
    all.update.kind = kind;
    for (const Entry& one : entries) {
        all.update.endpoints.emplace_back();
        all.update.endpoints.back().backend = one.id;
        all.update.endpoints.back().started_at_s = one.by_clock_s;
        all.addresses.push_back("127.0.0.1:1");
        all.up_since_ms.push_back(one.up_since_ms);
    }
    return all;
}

}   // namespace

TEST_CASE("a backend that comes is new, whatever the wall clock says", "[directory][start]") {
    const double error_s = GENERATE(-3600.0, -5.0, 0.0, 5.0, 3600.0);
    EndpointStartTimes times;
    EndpointList first = list(EndpointUpdateKind::snapshot, {{"a", 0, 0}});
    times.resolve(first, 100);
    CHECK(first.update.endpoints[0].started_at_s == 0);
    EndpointList change = list(EndpointUpdateKind::delta, {{"b", 7000, 99 - error_s}});
    times.resolve(change, 102);
    CHECK(change.update.endpoints[0].started_at_s == 102);
    // The same start is told again: nothing has changed.
    EndpointList again = list(EndpointUpdateKind::snapshot, {{"a", 0, 0}, {"b", 7000, 99 - error_s}});
    times.resolve(again, 200);
    CHECK(again.update.endpoints[1].started_at_s == 102);
    // Another start is one.
    EndpointList restart = list(EndpointUpdateKind::delta, {{"a", 9000, 250 - error_s}});
    times.resolve(restart, 251);
    CHECK(restart.update.endpoints[0].started_at_s > 200);
    CHECK(restart.update.endpoints[0].started_at_s <= 251);
}

TEST_CASE("after an outage ages differ as the stated times do", "[directory][start]") {
    EndpointStartTimes times;
    EndpointList first = list(EndpointUpdateKind::snapshot, {{"a", 0, 0}});
    times.resolve(first, 100);
    // The clock is an hour ahead: 3 and 30 s old.
    EndpointList later = list(EndpointUpdateKind::snapshot, {{"b", 1, 197 - 3600}, {"c", 2, 170 - 3600}});
    times.resolve(later, 200);
    CHECK(later.update.endpoints[0].started_at_s == 200);
    CHECK(later.update.endpoints[1].started_at_s == Approx(173));
    // None is older than the time since the list that did not hold it.
    EndpointList soon = list(EndpointUpdateKind::delta, {{"d", 3, 201 - 7200}});
    times.resolve(soon, 202);
    CHECK(soon.update.endpoints[0].started_at_s >= 200);
}

TEST_CASE("backends of a copy have the wall clock alone, at most now", "[directory][start]") {
    EndpointStartTimes times;
    EndpointList copy = list(EndpointUpdateKind::cached_snapshot, {{"a", 5, 90}, {"b", 6, 4000}});
    times.resolve_cached(copy, 100);
    CHECK(copy.update.endpoints[0].started_at_s == 90);
    CHECK(copy.update.endpoints[1].started_at_s == 100);
    // What the copy does not hold was seen to come.
    EndpointList first = list(EndpointUpdateKind::delta, {{"c", 7, 20}});
    times.resolve(first, 101);
    CHECK(first.update.endpoints[0].started_at_s == 101);
}

TEST_CASE("backends that no list names are forgotten in time", "[directory][start]") {
    EndpointStartTimes times;
    for (int i = 0; i < 1000; ++i) {
        EndpointList one =
            list(EndpointUpdateKind::snapshot, {{"s" + std::to_string(i), 1.0 + i, 50.0 + i}});
        times.resolve(one, 100 + 10 * i);
    }
    CHECK(times.size() < 100);
}
