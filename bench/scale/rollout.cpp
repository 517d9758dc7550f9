// How soon a change of configuration is in force on a whole fleet and what that costs, when all is idle, at
// 42,000 changes a day and in a burst; the same through relays, and for ingresses that come with nothing.
#include <algorithm>
#include <cstdio>

#include "duties.hpp"
#include "rollout_fleet.hpp"
#include "table.hpp"

namespace slatejunction::scale {
namespace {

constexpr double kSteadyRate = 42'000.0 / 86'400;   // changes a second
constexpr double kBurstRate = 50;                   // changes a second
constexpr double kSettle = 15;                      // s, until all have a parent
constexpr double kTail = 15;                        // s, for the last changes to come
constexpr double kWallMost = 170;                   // s of wall clock for one size
constexpr double kTailPart = 0.25;                  // of the wall clock, kept for the tail
constexpr std::size_t kWeighed = 16;                // nodes whose memory is looked at
constexpr double kUs = 1e6, kKb = 1e3;

const std::vector<std::size_t> kSizes = {100, 300, 1000, 3000, 7000};

Table delay_table(const std::string& name) {
    return {name,
            {"ingresses", "each_p50_s", "each_p99_s", "each_worst_s", "all_p50_s", "all_p99_s",
             "all_worst_s", "changes", "not_everywhere", "lasted_s"},
            {}};
}

std::vector<double> delay_row(std::size_t n, const RolloutDelays& delays, double lasted_s) {
    return {static_cast<double>(n),
            delays.each.part(0.5),
            delays.each.part(0.99),
            delays.each.worst(),
            delays.all.part(0.5),
            delays.all.part(0.99),
            delays.all.worst(),
            static_cast<double>(delays.all.count()),
            static_cast<double>(delays.late),
            lasted_s};
}

Table load_table(const std::string& name) {
    Table table{name, {"ingresses"}, {}};
    for (const std::string who : {"ingress_", "control_"})
        for (const char* what : {"sent_bytes_s", "heard_bytes_s", "sent_s", "heard_s", "most_bytes_s",
                                 "second_bytes", "cpu_us_s", "most_cpu_us_s", "second_cpu_us"})
            table.columns.push_back(who + what);
    return table;
}

std::vector<double> load_row(std::size_t n, const RolloutFleet::Loads& loads) {
    std::vector<double> row{static_cast<double>(n)};
    for (const RolloutLoad& one : {loads.ingress, loads.control})
        row.insert(row.end(),
                   {one.sent_bytes, one.heard_bytes, one.sent, one.heard, one.most_bytes, one.second_bytes,
                    one.cpu_s * kUs, one.most_cpu_s * kUs, one.second_cpu_s * kUs});
    return row;
}

// Bytes that are freed with some of these nodes, evenly drawn: allocated() takes time by what is free.
double memory_of(RolloutFleet& fleet, std::size_t from, std::size_t to, double& most) {
    const std::size_t step = std::max<std::size_t>((to - from) / kWeighed, 1);
    double sum = 0, count = 0;
    most = 0;
    for (std::size_t i = from; i < to; i += step) {
        const double before = static_cast<double>(allocated());
        fleet.kill(i);
        const double freed = before - static_cast<double>(allocated());
        sum += freed;
        count += 1;
        most = std::max(most, freed);
    }
    return sum / count;
}

struct RolloutTables {
    RolloutTables(const std::string& name, const std::string& end)
        : steady(delay_table(name + "_steady" + end)),
          burst(delay_table(name + "_burst" + end)),
          idle_load(load_table(name + "_load_idle" + end)),
          steady_load(load_table(name + "_load_steady" + end)),
          burst_load(load_table(name + "_load_burst" + end)),
          memory{name + "_memory" + end,
                 {"ingresses", "ingress_kb", "ingress_most_kb", "control_kb", "control_most_kb",
                  "resident_mb", "wall_s", "diverged", "went_back"},
                 {}} {}
    Table steady, burst, idle_load, steady_load, burst_load, memory;
};

// One size, idle and at the mean rate. False: this machine had not the time for it.
bool measure_steady(const Run& run, const RolloutPlan& plan, RolloutTables& tables) {
    const std::size_t n = plan.ingresses;
    RolloutFleet fleet(plan, 1);
    fleet.limit_wall(std::min(run.wall_s, kWallMost));
    if (!fleet.run_for(kSettle)) return false;
    fleet.loads();
    if (!fleet.run_for(run.quick ? 5 : 20)) return false;
    tables.idle_load.add(load_row(n, fleet.loads()));

    RolloutDelays steady;
    fleet.measure(&steady);
    fleet.set_rate(kSteadyRate);
    const double steady_s = run.quick ? 30 : 120;
    if (!fleet.run_for(steady_s)) return false;
    tables.steady_load.add(load_row(n, fleet.loads()));
    fleet.set_rate(0);
    if (!fleet.run_for(kTail)) return false;
    fleet.end_measure();
    tables.steady.add(delay_row(n, steady, steady_s));
    for (const Table* one : {&tables.idle_load, &tables.steady_load, &tables.steady})
        write(run.directory, *one);
    return true;
}

// A burst, in a fleet of its own, and the memory after it.
bool measure_burst(const Run& run, const RolloutPlan& plan, RolloutTables& tables) {
    const std::size_t n = plan.ingresses;
    const double began = wall_s();
    RolloutFleet fleet(plan, 1);
    const double wall_most = std::min(run.wall_s, kWallMost);
    fleet.limit_wall(wall_most);
    if (!fleet.run_for(kSettle)) return false;
    RolloutDelays burst;
    fleet.measure(&burst);
    fleet.loads();
    fleet.set_rate(kBurstRate);
    // A slow machine measures less of the minute; the table says how much.
    const double burst_most_s = run.quick ? 10 : 60;
    double burst_s = 0;
    while (burst_s < burst_most_s && fleet.wall_left() > kTailPart * wall_most) {
        if (!fleet.run_for(1)) return false;
        burst_s += 1;
    }
    tables.burst_load.add(load_row(n, fleet.loads()));
    fleet.set_rate(0);
    if (!fleet.run_for(kTail)) return false;
    fleet.end_measure();
    tables.burst.add(delay_row(n, burst, burst_s));

    // What follows takes long where much is free.
    for (const Table* one : {&tables.burst_load, &tables.burst}) write(run.directory, *one);
    const double resident_mb = static_cast<double>(resident()) / 1e6, took = wall_s() - began;
    double ingress_most = 0, control_most = 0;
    const double ingress = memory_of(fleet, plan.controls, fleet.nodes(), ingress_most);
    const double control = memory_of(fleet, 0, plan.controls, control_most);
    tables.memory.add({static_cast<double>(n), ingress / kKb, ingress_most / kKb, control / kKb,
                       control_most / kKb, resident_mb, took, static_cast<double>(fleet.diverged()),
                       static_cast<double>(fleet.went_back())});
    write(run.directory, tables.memory);
    return true;
}

void measure_all(const Run& run, RolloutPlan plan, RolloutTables tables) {
    for (const std::size_t n : run.sizes(kSizes, 300)) {
        plan.ingresses = n;
        const bool steady = measure_steady(run, plan, tables), burst = measure_burst(run, plan, tables);
        if (!steady || !burst)
            std::fprintf(stderr, "%s: %zu was not finished in time\n", tables.steady.name.c_str(), n);
    }
}

}   // namespace

void rollout_plain(const Run& run) { measure_all(run, {}, {"rollout", ""}); }

void rollout_loss(const Run& run) {
    RolloutPlan plan;
    plan.loss = 0.02;
    measure_all(run, plan, {"rollout", "_loss2"});
    plan.loss = 0.1;
    measure_all(run, plan, {"rollout", "_loss10"});
}

void rollout_relays(const Run& run) {
    RolloutPlan plan;
    plan.relays = 1;
    measure_all(run, plan, {"rollout_relays", ""});
}

// Ingresses with nothing, by the size of the state that waits for them.
void rollout_empty(const Run& run) {
    struct Case {
        std::string name;
        std::size_t newcomers, most_kb;
    };
    for (const Case& one :
         {Case{"rollout_empty_one", 1, 20'000}, Case{"rollout_empty_hundred", 100, 5'000}}) {
        Table table{one.name,
                    {"state_kb", "first_s", "last_s", "heard_kb_each", "sent_kb_each", "ingress_second_kb",
                     "control_second_kb", "ingress_cpu_ms", "control_cpu_ms", "ingress_kb", "broken"},
                    {}};
        for (const std::size_t kb : {100, 500, 1000, 2000, 5000, 20'000}) {
            if (kb > one.most_kb || (run.quick && kb > 1000)) continue;
            RolloutPlan plan;
            plan.ingresses = one.newcomers;
            plan.value_bytes = 700;
            plan.kept_bytes = kb * 1000;
            plan.started = false;
            RolloutFleet fleet(plan, 1);
            fleet.limit_wall(std::min(run.wall_s, kWallMost));
            if (!fleet.run_for(5)) break;
            fleet.loads();
            const double from = fleet.now(), target = static_cast<double>(fleet.committed());
            for (std::size_t i = 0; i < one.newcomers; ++i) fleet.start(fleet.ingress(i));
            const auto has = [&](std::size_t i) {
                return static_cast<double>(fleet.in_force(fleet.ingress(i))) >= target;
            };
            double first = 0;
            const bool all = fleet.run_until(900, [&] {
                std::size_t count = 0;
                for (std::size_t i = 0; i < one.newcomers; ++i) count += has(i);
                if (count > 0 && first == 0) first = fleet.now() - from;
                return count == one.newcomers;
            });
            if (!all) {
                std::fprintf(stderr, "%s: %zu KB was not finished\n", one.name.c_str(), kb);
                break;
            }
            const double last = fleet.now() - from;
            if (!fleet.run_for(2)) break;   // the second in which it came is over then
            const double took = fleet.now() - from;
            const RolloutFleet::Loads loads = fleet.loads();
            double broken = 0, most = 0;
            for (std::size_t i = 0; i < one.newcomers; ++i)
                broken += static_cast<double>(fleet.tally(fleet.ingress(i)).broken_snapshots);
            const double kept = memory_of(fleet, plan.controls, fleet.nodes(), most);
            table.add({static_cast<double>(kb), first, last, loads.ingress.heard_bytes * took / kKb,
                       loads.ingress.sent_bytes * took / kKb, loads.ingress.second_bytes / kKb,
                       loads.control.second_bytes / kKb, loads.ingress.cpu_s * took * 1e3,
                       loads.control.cpu_s * took * 1e3, kept / kKb, broken});
            write(run.directory, table);
        }
    }
}

}   // namespace slatejunction::scale
