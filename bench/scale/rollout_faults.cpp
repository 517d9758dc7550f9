// A rollout through faults, at 42,000 changes a day all the while: how soon changes are in force at those
// that the fault does not meet, how soon the others are back, who is named, and what restarted ones ask
// for.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <limits>
#include <map>

#include "duties.hpp"
#include "lease/lease_bounds.hpp"
#include "rollout_fleet.hpp"
#include "table.hpp"

namespace slatejunction::scale {
namespace {

constexpr double kRate = 42'000.0 / 86'400;          // changes a second
constexpr double kRestartRate = 27'000.0 / 86'400;   // restarts a second
constexpr double kSettle = 20;                       // s, changes come meanwhile
constexpr double kTail = 20;                         // s, for the last changes to come
constexpr double kBackMost = 120;                    // s after a fault
constexpr double kWallMost = 170;                    // s of wall clock for one size of one fault
constexpr double kDown = 2;                          // s that a restart takes
constexpr std::size_t kRack = 16;
constexpr double kRoundTrip = 0.16;   // s, the longest of the model

const std::vector<std::size_t> kSizes = {100, 300, 1000, 3000, 7000};

// What a fault does to a fleet; it keeps what it needs at the end.
class Trial {
  public:
    Trial(std::size_t n, std::uint64_t seed) : fleet(plan(n), seed), random(seed), n(n) {}
    static RolloutPlan plan(std::size_t n) {
        RolloutPlan plan;
        plan.ingresses = n;
        plan.sealed = false;
        return plan;
    }
    void restart(std::size_t i, double down_s) {
        const std::size_t node = fleet.ingress(i);
        if (!fleet.up(node) || at_kill.contains(node)) return;
        fleet.meet(node);
        at_kill[node] = fleet.in_force(node);
        bytes_before[node] = fleet.spent(node).bytes();
        fleet.restart(node, down_s);
    }
    // So many, drawn, over `spread_s` from now on.
    void restart_some(std::size_t count, double spread_s) {
        std::vector<std::size_t> left;
        for (std::size_t i = 0; i < n; ++i)
            if (!at_kill.contains(fleet.ingress(i)) && !waiting.contains(i)) left.push_back(i);
        std::shuffle(left.begin(), left.end(), random);
        left.resize(std::min(count, left.size()));
        for (const std::size_t i : left) {
            waiting[i] = true;
            const double later = std::uniform_real_distribution<double>(0, spread_s)(random);
            fleet.at(fleet.now() + later, [this, i] { restart(i, kDown); });
        }
    }
    void meet_zone(std::size_t zone) {
        meet_if([&](std::size_t node) { return fleet.zone(node) == zone; });
    }
    void meet_if(const std::function<bool(std::size_t)>& met) {
        for (std::size_t i = 0; i < n; ++i)
            if (met(fleet.ingress(i))) {
                fleet.meet(fleet.ingress(i));
                ++count_met;
            }
    }
    void kill_rack() {
        // Ingresses of one zone follow one another by the number of zones.
        for (std::size_t k = 0; k < kRack && 16 + 17 * k < n; ++k) {
            rack.push_back(fleet.ingress(16 + 17 * k));
            fleet.meet(rack.back());
            fleet.kill(rack.back());
            ++count_met;
        }
    }
    void start_rack() {
        for (const std::size_t node : rack) fleet.start(node);
    }

    RolloutFleet fleet;
    std::mt19937_64 random;
    const std::size_t n;
    std::size_t count_met = 0;
    std::vector<std::size_t> rack;
    std::map<std::size_t, bool> waiting;
    std::map<std::size_t, std::uint64_t> at_kill;   // in force then
    std::map<std::size_t, double> bytes_before;
};

struct Fault {
    std::string name;
    double lasts_s;
    std::function<void(Trial&)> begin, end;
};

std::vector<Fault> faults(bool quick) {
    const double long_s = quick ? 30 : 300;
    const auto nothing = [](Trial&) {};
    std::vector<Fault> all;
    all.push_back({"rack", 60, [](Trial& t) { t.kill_rack(); }, [](Trial& t) { t.start_rack(); }});
    all.push_back({"zone", long_s,
                   [](Trial& t) {
                       t.meet_zone(16);
                       t.fleet.set_zone_cut(16, true);
                   },
                   [](Trial& t) { t.fleet.set_zone_cut(16, false); }});
    all.push_back({"regions", long_s,
                   [](Trial& t) {
                       t.meet_if([&](std::size_t node) { return t.fleet.region(node) == 1; });
                       t.fleet.set_regions_apart(true);
                   },
                   [](Trial& t) { t.fleet.set_regions_apart(false); }});
    // The next one has the lease as late as is stated: with one seeker, and with all that live.
    for (const int seekers : {1, 4})
        all.push_back({seekers == 1 ? "source_killed" : "source_killed_late", 60,
                       [seekers](Trial& t) {
                           t.fleet.kill(0);
                           const double gap =
                               lease::max_vacancy_s(lease::LeaseTimes{}, kRoundTrip, seekers);
                           t.fleet.at(t.fleet.now() + gap, [&t] { t.fleet.hold(1); });
                       },
                       [](Trial& t) { t.fleet.start(0); }});
    all.push_back(
        {"control_killed", 60, [](Trial& t) { t.fleet.kill(3); }, [](Trial& t) { t.fleet.start(3); }});
    all.push_back({"release_tenths", 100,
                   [](Trial& t) {
                       for (int wave = 0; wave < 10; ++wave)
                           t.fleet.at(t.fleet.now() + 10.0 * wave,
                                      [&t] { t.restart_some((t.n + 9) / 10, 5); });
                   },
                   nothing});
    all.push_back({"release_most", 10, [](Trial& t) { t.restart_some(t.n * 7 / 10, 1); }, nothing});
    all.push_back({"restarts", 120,
                   [](Trial& t) { t.restart_some(static_cast<std::size_t>(kRestartRate * 120), 118); },
                   nothing});
    return all;
}

Table table_of(const std::string& name) {
    return {"rollout_" + name,
            {"ingresses",
             "met",
             "unmet_p50_s",
             "unmet_p99_s",
             "unmet_worst_s",
             "all_worst_s",
             "changes",
             "not_everywhere",
             "met_worst_s",
             "back_s",
             "behind_most",
             "silent_most",
             "behind_named",
             "silent_named",
             "ingress_second_bytes",
             "control_second_bytes",
             "ingress_bytes_s",
             "control_bytes_s",
             "restarted",
             "records_each",
             "missed_each",
             "snapshots",
             "restart_kb_each",
             "refused_proposals",
             "diverged",
             "went_back"},
            {}};
}

// What the source's report said at most.
struct Named {
    double behind = 0, silent = 0, behind_names = 0, silent_names = 0;
    void see(const rollout::Report& report) {
        behind = std::max(behind, static_cast<double>(report.behind));
        silent = std::max(silent, static_cast<double>(report.silent));
        behind_names = std::max(behind_names, static_cast<double>(report.behind_names.size()));
        silent_names = std::max(silent_names, static_cast<double>(report.silent_names.size()));
    }
};

// What those that were restarted took since, and what they had missed.
struct Asked {
    double records = 0, missed = 0, snapshots = 0, kb = 0;
};
Asked asked(const Trial& trial) {
    Asked sum;
    const auto count = static_cast<double>(std::max<std::size_t>(trial.at_kill.size(), 1));
    for (const auto& [node, number] : trial.at_kill) {
        if (!trial.fleet.up(node)) continue;
        sum.records += static_cast<double>(trial.fleet.tally(node).records) / count;
        sum.missed += static_cast<double>(trial.fleet.in_force(node) - number) / count;
        sum.snapshots += static_cast<double>(trial.fleet.tally(node).snapshots);
        sum.kb += (trial.fleet.spent(node).bytes() - trial.bytes_before.at(node)) / 1e3 / count;
    }
    return sum;
}

bool measure(const Run& run, const Fault& fault, std::size_t n, Table& table) {
    Trial trial(n, 1);
    RolloutFleet& fleet = trial.fleet;
    fleet.limit_wall(std::min(run.wall_s, kWallMost));
    fleet.set_rate(kRate);
    if (!fleet.run_for(kSettle)) return false;
    RolloutDelays delays;
    fleet.loads();
    fault.begin(trial);
    fleet.measure(&delays);
    Named named;
    const auto see = [&] { named.see(fleet.report()); };
    const auto watch = [&](double s) {
        for (double done = 0; done < s; done += 1) {
            if (!fleet.run_for(std::min(1.0, s - done))) return false;
            if (fleet.up(fleet.source())) see();
        }
        return true;
    };
    if (!watch(fault.lasts_s)) return false;
    fault.end(trial);
    const std::uint64_t target = fleet.committed();
    const double ended = fleet.now();
    const bool back = fleet.run_until(kBackMost, [&] { return fleet.everywhere(target); });
    const double back_s = back ? fleet.now() - ended : std::numeric_limits<double>::quiet_NaN();
    fleet.set_rate(0);
    if (!watch(kTail)) return false;
    const RolloutFleet::Loads loads = fleet.loads();
    fleet.end_measure();
    const Asked took = asked(trial);
    const auto met = static_cast<double>(trial.count_met + trial.at_kill.size());
    table.add({static_cast<double>(n),
               met,
               delays.each.part(0.5),
               delays.each.part(0.99),
               delays.each.worst(),
               delays.all.worst(),
               static_cast<double>(delays.all.count()),
               static_cast<double>(delays.late),
               delays.met.worst(),
               back_s,
               named.behind,
               named.silent,
               named.behind_names,
               named.silent_names,
               loads.ingress.second_bytes,
               loads.control.second_bytes,
               loads.ingress.bytes(),
               loads.control.bytes(),
               static_cast<double>(trial.at_kill.size()),
               took.records,
               took.missed,
               took.snapshots,
               took.kb,
               static_cast<double>(fleet.refused()),
               static_cast<double>(fleet.diverged()),
               static_cast<double>(fleet.went_back())});
    return true;
}

}   // namespace

void rollout_faults(const Run& run) {
    for (const Fault& fault : faults(run.quick)) {
        Table table = table_of(fault.name);
        for (const std::size_t n : run.sizes(kSizes, 300)) {
            if (!measure(run, fault, n, table)) {
                std::fprintf(stderr, "%s: %zu was not finished in time\n", table.name.c_str(), n);
                break;
            }
            write(run.directory, table);
        }
    }
}

}   // namespace slatejunction::scale
