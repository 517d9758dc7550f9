// Tests for ArrivalTimes.
#include "client/arrival_times.hpp"

#include <catch2/catch.hpp>

using slatejunction::client::ArrivalTimes;

TEST_CASE("each byte has the arrival time that was recorded with it", "[session][arrival]") {
    ArrivalTimes times;
    CHECK(times.at(0) == 0);
    times.add(10, 1.0);
    times.add(5, 2.0);
    CHECK(times.at(0) == 1.0);
    CHECK(times.at(9) == 1.0);
    CHECK(times.at(10) == 2.0);
    CHECK(times.at(99) == 2.0);
    times.keep_last(8);   // drops seven bytes of the first piece
    CHECK(times.at(2) == 1.0);
    CHECK(times.at(3) == 2.0);
    times.keep_last(0);
    times.add(1, 3.0);
    CHECK(times.at(0) == 3.0);
}

TEST_CASE("bytes that arrive in quick succession have the time of the first", "[session][arrival]") {
    ArrivalTimes times;
    for (int i = 0; i < 1000; ++i) times.add(1, 1 + 0.0001 * i);
    CHECK(times.at(0) == 1.0);
    CHECK(times.at(40) == 1.0);
    CHECK(times.at(999) >= 1.09);
}
