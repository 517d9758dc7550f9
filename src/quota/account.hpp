// What an ingress knows of one customer, of one part of the counter and of a call that has not ended. Plain
// state of the bank (bank.hpp); V is the time at which a store will be full again.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "quota/plan.hpp"

namespace slatejunction::quota {

inline constexpr double kNever = -1e18;   ///< s; a time before all others, or one that is not known

/// The start of a generation, s.
inline double start_of(std::int64_t generation) { return static_cast<double>(generation) * kGeneration; }

/// An answer to a report, and what was asked.
struct Answer {
    double before = 0, total = 0;   ///< V without and with what was added
    double lift = kNever, units = 0;
    bool tally = false, fresh = false;   ///< the units are a tally; the name was new
    std::int64_t generation = 0;
    std::uint64_t since = 0;   ///< the number of the last check sent before it came
};

/// One customer.
struct Account {
    unsigned plan = 0, part = 0;
    IngressSet doors;
    double v = kNever;      ///< V as it should be by the last answer; kNever: not known
    double seen = kNever;   ///< V as the counter had it, of `generation` and `epoch`
    std::int64_t generation = 0;
    std::uint64_t epoch = 0;
    double known_at = 0;
    double unreported = 0, since = 0;    ///< units, and when the first of them was passed
    double tally = 0, tally_since = 0;   ///< passed of the share while the counter was lost
    double flight_since = 0;
    double in_flight = 0;   ///< units of the call that is out, or whose answer is not believed yet
    bool calling = false, queued = false;
    bool only = false;      ///< nobody else has reported between the last two answers
    bool suspect = false;   ///< an answer waits for a check
    Answer held;
    double free_v = 0;         ///< of the free part, as V
    double share_v = kNever;   ///< of the share while the counter is lost
    double used_at = 0;
    unsigned out = 0;   ///< attempts that have not ended
};

/// One part of the counter.
struct CounterPart {
    bool lost = false;
    int failures = 0;          ///< calls in a row that were not done
    double silent_since = 0;   ///< 0: nothing is owed
    double lost_at = kNever, returned_at = kNever;
    double next_probe = 0, next_beat = 0, next_check = 0;
    double floor_at = kNever;   ///< it was found empty then
    std::uint64_t epoch = 1;    ///< raised each time that it is found empty
    // The check: a name of this ingress's own that counts up.
    std::int64_t check_generation = -1;
    double check_least = 0;   ///< what it holds at least; 0: it is not made yet
    double check_made_at = 0;
    bool reported = false;   ///< something, since the last check
    bool checking = false, check_wanted = false;
    std::uint64_t checks = 0;              ///< sent
    std::vector<std::uint64_t> suspects;   ///< customers
    std::vector<double> beat_at;           ///< by ingress, when last seen
    double beat_total = 0;
    bool beat_out = false;
    std::size_t owed = 0;   ///< calls without an end
};

/// What a call to the counter is for.
enum class Purpose { report, check, beat, before, sentinel };

/// A call that has not ended.
struct Pending {
    Purpose purpose = Purpose::report;
    std::uint64_t customer = 0;
    unsigned part = 0;
    double units = 0, lift = kNever, by = 0;
    bool tally = false;
    std::int64_t generation = 0;
    std::uint64_t number = 0;   ///< of a check
};

}   // namespace slatejunction::quota
