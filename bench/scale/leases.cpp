// The one conductor's lease sought by every ingress, and the fleet's sums on notes at its voters: what a
// voter, the holder and an ingress carry by the number of ingresses. Carried without membership, so that
// its budget of datagrams does not hide what is asked (together.cpp has it).
#include <algorithm>
#include <limits>

#include "duties.hpp"
#include "fleet.hpp"
#include "table.hpp"

namespace slatejunction::scale {
namespace {

constexpr double kNone = std::numeric_limits<double>::quiet_NaN();
constexpr std::size_t kVoters = 5;
constexpr double kRoundTrip = 0.16;   // s, between the regions that are farthest apart

Plan plan_of(std::size_t n, double period_s) {
    Plan plan;
    plan.ingresses = n;
    plan.membership = false;
    plan.voters = kVoters;
    plan.period_s = period_s;
    plan.start_s = 5;
    return plan;
}

// Of some duties, from one look to the next.
struct Cost {
    double bytes = 0, datagrams = 0, cpu_s = 0;
};
Cost cost(const Spent& from, const Spent& to, std::initializer_list<Duty> duties) {
    Cost sum;
    for (const Duty duty : duties) {
        const auto d = static_cast<std::size_t>(duty);
        sum.bytes += to.of(duty) - from.of(duty);
        sum.datagrams += static_cast<double>(to.datagrams[d] - from.datagrams[d]);
        sum.cpu_s += to.cpu_s[d] - from.cpu_s[d];
    }
    return sum;
}

std::vector<Spent> look(const Fleet& fleet) {
    std::vector<Spent> all;
    for (std::size_t i = 0; i < fleet.plan().ingresses; ++i) all.push_back(fleet.spent(i));
    return all;
}

}   // namespace

void leases(const Run& run) {
    Table table{"leases",
                {"ingresses", "voter_bytes_s", "voter_datagrams_s", "voter_cpu_us_s", "ingress_bytes_s",
                 "ingress_datagrams_s", "ingress_cpu_us_s", "hint_wrong_part", "first_holder_s",
                 "next_holder_s", "stated_s", "lost_unwanted"},
                {}};
    for (const std::size_t n : run.sizes({10, 30, 100, 300, 1000, 3000, 7000}, 300)) {
        Fleet fleet(plan_of(n, 0), 1);
        fleet.limit_wall(run.wall_s);
        const auto held = [&] { return fleet.holder() < n; };
        const bool first = fleet.run_until(120, held);
        const double first_s = first ? fleet.now() : kNone;
        fleet.run(fleet.now() + 10);
        const auto from = look(fleet);
        const double s = run.quick ? 10 : 30, began = fleet.now();
        double wrong = 0, hints = 0;   // who an ingress takes for the holder
        while (fleet.now() < began + s && fleet.run(fleet.now() + 0.5)) {
            const std::size_t holder = fleet.holder();
            for (std::size_t i = 0; i < n; ++i) hints += 1, wrong += fleet.hint(i) != holder;
        }
        const auto to = look(fleet);
        if (fleet.out_of_time()) break;
        Cost voter, ingress;
        for (std::size_t i = 0; i < n; ++i) {
            const Cost one = cost(from[i], to[i], {Duty::leases});
            if (i < kVoters) {
                voter.bytes = std::max(voter.bytes, one.bytes);
                voter.datagrams = std::max(voter.datagrams, one.datagrams);
                voter.cpu_s = std::max(voter.cpu_s, one.cpu_s);
            } else {
                ingress.bytes += one.bytes, ingress.datagrams += one.datagrams, ingress.cpu_s += one.cpu_s;
            }
        }
        const double others = static_cast<double>(n - kVoters) * s;
        double next_s = kNone;
        if (const std::size_t holder = fleet.holder(); holder < n) {
            const double died = fleet.now();
            fleet.kill(holder);
            if (fleet.run_until(120, held)) next_s = fleet.now() - died;
        }
        table.add({static_cast<double>(n), voter.bytes / s, voter.datagrams / s, voter.cpu_s / s * 1e6,
                   ingress.bytes / others, ingress.datagrams / others, ingress.cpu_s / others * 1e6,
                   wrong / hints, first_s, next_s,
                   lease::max_vacancy_s({}, kRoundTrip, static_cast<int>(n)),
                   static_cast<double>(fleet.lost())});
        write(run.directory, table);
    }
}

void sums(const Run& run) {
    Table table{"sums",
                {"ingresses", "holder_bytes_s", "holder_datagrams_s", "holder_cpu_us_s",
                 "holder_worst_cpu_ms", "voter_notes_bytes_s", "ingress_bytes_s", "ingress_cpu_us_s",
                 "row_after_s", "rows", "periods", "ingresses_in_row", "reports_turned_away"},
                {}};
    constexpr double kPeriod = 5;
    for (const std::size_t n : run.sizes({10, 30, 100, 300, 600, 1000, 3000, 7000}, 300)) {
        Fleet fleet(plan_of(n, kPeriod), 1);
        fleet.limit_wall(run.wall_s);
        fleet.run_until(120, [&] { return fleet.holder() < n; });
        fleet.run(fleet.now() + 3 * kPeriod);
        const auto from = look(fleet);
        const std::uint64_t rows = fleet.rows();
        const double began = fleet.now(), s = (run.quick ? 4 : 8) * kPeriod;
        fleet.run(began + s);
        const auto to = look(fleet);
        const std::size_t holder = fleet.holder();
        if (fleet.out_of_time() || holder == n) break;
        const Cost held = cost(from[holder], to[holder], {Duty::sums, Duty::notes});
        Cost voter, ingress;
        for (std::size_t i = 0; i < n; ++i) {
            if (i < kVoters && i != holder)
                voter.bytes = std::max(voter.bytes, cost(from[i], to[i], {Duty::notes}).bytes);
            if (i == holder) continue;
            const Cost one = cost(from[i], to[i], {Duty::sums});
            ingress.bytes += one.bytes, ingress.cpu_s += one.cpu_s;
        }
        const double others = static_cast<double>(n - 1) * s;
        table.add({static_cast<double>(n), held.bytes / s, held.datagrams / s, held.cpu_s / s * 1e6,
                   fleet.worst_of(holder) * 1e3, voter.bytes / s, ingress.bytes / others,
                   ingress.cpu_s / others * 1e6, fleet.row_delay(),
                   static_cast<double>(fleet.rows() - rows), s / kPeriod,
                   static_cast<double>(fleet.row_processes()), static_cast<double>(fleet.turned_away())});
        write(run.directory, table);
    }
}

}   // namespace slatejunction::scale
