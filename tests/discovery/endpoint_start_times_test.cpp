// Tests that EndpointStartTimes determines the age of backends independently of errors of the wall clocks.
#include "discovery/endpoint_start_times.hpp"

#include <catch2/catch.hpp>

using slatejunction::EndpointUpdateKind;
using slatejunction::discovery::EndpointList;
using slatejunction::discovery::EndpointStartTimes;

namespace {

struct Entry {
    std::string id;
    double up_since_ms = 0;
    double converted_start_s = 0;   // the stated start, converted to the monotonic clock
};

EndpointList make_list(EndpointUpdateKind kind, const std::vector<Entry>& entries) {
    EndpointList result;
    result.update.kind = kind;
    for (const Entry& one : entries) {
        result.update.endpoints.emplace_back();
        result.update.endpoints.back().backend = one.id;
        result.update.endpoints.back().started_at_s = one.converted_start_s;
        result.addresses.push_back("127.0.0.1:1");
        result.up_since_ms.push_back(one.up_since_ms);
    }
    return result;
}

}   // namespace

TEST_CASE("a backend that is first listed counts as new, whatever the error of the wall clock",
          "[directory][start]") {
    const double clock_error_s = GENERATE(-3600.0, -5.0, 0.0, 5.0, 3600.0);
    EndpointStartTimes times;
    EndpointList first = make_list(EndpointUpdateKind::snapshot, {{"a", 0, 0}});
    times.resolve(first, 100);
    CHECK(first.update.endpoints[0].started_at_s == 0);
    EndpointList change = make_list(EndpointUpdateKind::delta, {{"b", 7000, 99 - clock_error_s}});
    times.resolve(change, 102);
    CHECK(change.update.endpoints[0].started_at_s == 102);
    // The same stated start leaves the start time unchanged.
    EndpointList again =
        make_list(EndpointUpdateKind::snapshot, {{"a", 0, 0}, {"b", 7000, 99 - clock_error_s}});
    times.resolve(again, 200);
    CHECK(again.update.endpoints[1].started_at_s == 102);
    // Another stated start is a restart.
    EndpointList restart = make_list(EndpointUpdateKind::delta, {{"a", 9000, 250 - clock_error_s}});
    times.resolve(restart, 251);
    CHECK(restart.update.endpoints[0].started_at_s > 200);
    CHECK(restart.update.endpoints[0].started_at_s <= 251);
}

TEST_CASE("after an outage new backends keep the differences between their stated start times",
          "[directory][start]") {
    EndpointStartTimes times;
    EndpointList first = make_list(EndpointUpdateKind::snapshot, {{"a", 0, 0}});
    times.resolve(first, 100);
    // The backends are 3 and 30 s old. The clock of this machine is an hour ahead.
    EndpointList later =
        make_list(EndpointUpdateKind::snapshot, {{"b", 1, 197 - 3600}, {"c", 2, 170 - 3600}});
    times.resolve(later, 200);
    CHECK(later.update.endpoints[0].started_at_s == 200);
    CHECK(later.update.endpoints[1].started_at_s == Approx(173));
    // A backend is not older than the time since the last list, which did not name it.
    EndpointList soon = make_list(EndpointUpdateKind::delta, {{"d", 3, 201 - 7200}});
    times.resolve(soon, 202);
    CHECK(soon.update.endpoints[0].started_at_s >= 200);
}

TEST_CASE("backends of the cached list start at their converted times, but not in the future",
          "[directory][start]") {
    EndpointStartTimes times;
    EndpointList cached = make_list(EndpointUpdateKind::cached_snapshot, {{"a", 5, 90}, {"b", 6, 4000}});
    times.resolve_cached(cached, 100);
    CHECK(cached.update.endpoints[0].started_at_s == 90);
    CHECK(cached.update.endpoints[1].started_at_s == 100);
    // A backend that the cached list does not name counts as new.
    EndpointList first = make_list(EndpointUpdateKind::delta, {{"c", 7, 20}});
    times.resolve(first, 101);
    CHECK(first.update.endpoints[0].started_at_s == 101);
}

TEST_CASE("backends that no list names any more are forgotten after a time", "[directory][start]") {
    EndpointStartTimes times;
    for (int i = 0; i < 1000; ++i) {
        EndpointList one =
            make_list(EndpointUpdateKind::snapshot, {{"s" + std::to_string(i), 1.0 + i, 50.0 + i}});
        times.resolve(one, 100 + 10 * i);
    }
    CHECK(times.size() < 100);
}
