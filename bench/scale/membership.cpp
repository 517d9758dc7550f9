// What membership costs in whole fleets, and how soon all know. Every ingress is real.
#include <cmath>
#include <limits>

#include "duties.hpp"
#include "fleet.hpp"
#include "table.hpp"

namespace slatejunction::scale {
namespace {

constexpr double kCpu = 1e6;            // us
constexpr double kApart = 300;          // s, that regions are cut
constexpr double kGossipRate = 15;      // datagrams of news a second, 3 each 0.2 s
constexpr double kNewsADatagram = 16;   // entries, about

// s until what is told after a change of `changes` members has been told often enough.
double quiet_after(std::size_t members, std::size_t changes) {
    const double times = 4 * std::ceil(std::log10(static_cast<double>(members) + 2));
    return 15 + 1.3 * times * static_cast<double>(changes) / kNewsADatagram / kGossipRate;
}

struct Look {
    double at = 0, bytes = 0, datagrams = 0, cpu = 0, held_back = 0;
    static Look of(const Fleet& fleet) {
        const Spent total = fleet.total();
        std::uint64_t datagrams = 0;
        for (const std::uint64_t one : total.datagrams) datagrams += one;
        return {fleet.now(), total.all_bytes(), static_cast<double>(datagrams), total.all_cpu(),
                static_cast<double>(total.held_back)};
    }
};

struct Tables {
    Table start{"membership_start",
                {"ingresses", "all_know_s", "kb_each", "cpu_ms_each", "held_back_each", "worst_second_kb",
                 "worst_second_cpu_ms", "resident_kb_each"},
                {}};
    Table steady{"membership_steady",
                 {"ingresses", "bytes_s_each", "datagrams_s_each", "cpu_us_s_each", "resident_kb_each",
                  "false_deaths"},
                 {}};
    Table death{"membership_death",
                {"ingresses", "all_know_s", "stated_s", "kb_each", "cpu_ms_each", "worst_second_kb",
                 "worst_second_cpu_ms"},
                {}};
    Table tenth{"membership_tenth",
                {"ingresses", "all_know_gone_s", "all_know_back_s", "kb_each", "cpu_ms_each",
                 "worst_second_kb", "worst_second_cpu_ms"},
                {}};
    Table cut{"membership_cut",
              {"ingresses", "false_deaths", "kb_s_each", "cpu_ms_s_each", "worst_second_kb",
               "worst_second_cpu_ms"},
              {}};
    Table apart{"membership_apart",
                {"ingresses", "all_know_gone_s", "all_know_back_s", "kb_each", "cpu_ms_each",
                 "worst_second_kb", "worst_second_cpu_ms"},
                {}};
};

constexpr double kNone = std::numeric_limits<double>::quiet_NaN();

class Size {
  public:
    Size(const Run& run, std::size_t n, Tables& tables)
        : tables_(tables), n_(static_cast<double>(n)), began_(allocated()), fleet_(plan(n), 1) {
        fleet_.limit_wall(run.wall_s);
    }
    void all() {
        if (!start() || !steady() || !death() || !tenth() || !cut()) return;
        apart();
    }

  private:
    static Plan plan(std::size_t n) {
        Plan plan;
        plan.ingresses = n;
        return plan;
    }
    double kb_each(const Look& from) const { return (Look::of(fleet_).bytes - from.bytes) / n_ / 1e3; }
    double cpu_ms_each(const Look& from) const { return (Look::of(fleet_).cpu - from.cpu) / n_ * 1e3; }
    double resident_kb() const { return static_cast<double>(allocated() - began_) / n_ / 1e3; }
    bool settle(std::size_t changes) {
        return fleet_.run(fleet_.now() + quiet_after(fleet_.plan().ingresses, changes));
    }

    // All at once, by five seeds.
    bool start() {
        const bool known = fleet_.run_until(600, [&] { return fleet_.now() > 2 && fleet_.all_agree(); });
        if (!known && fleet_.out_of_time()) return false;
        const double took = known ? fleet_.now() : kNone;
        settle(fleet_.plan().ingresses);
        const Second worst = fleet_.worst(0);
        const Look end = Look::of(fleet_);
        tables_.start.add({n_, took, kb_each({}), cpu_ms_each({}), end.held_back / n_,
                           worst.most_bytes / 1e3, worst.most_cpu * 1e3, resident_kb()});
        return known && !fleet_.out_of_time();
    }
    bool steady() {
        const Look from = Look::of(fleet_);
        const std::uint64_t wrong = fleet_.false_deaths();
        // Two full exchanges, as src/membership/detection_bounds.hpp spaces them.
        if (!fleet_.run(fleet_.now() +
                        2 * (membership::kMinSyncPeriods + membership::kSyncPeriodsPerMember * n_)))
            return false;
        const Look to = Look::of(fleet_);
        const double s = to.at - from.at;
        tables_.steady.add({n_, (to.bytes - from.bytes) / n_ / s, (to.datagrams - from.datagrams) / n_ / s,
                            (to.cpu - from.cpu) / n_ / s * kCpu, resident_kb(),
                            static_cast<double>(fleet_.false_deaths() - wrong)});
        return true;
    }
    bool death() {
        const std::size_t who = fleet_.plan().ingresses - 1;
        const Look from = Look::of(fleet_);
        fleet_.kill(who);
        if (!fleet_.run_until(300, [&] { return fleet_.all_have(who, membership::MemberState::gone); }))
            return false;
        const double took = fleet_.now() - from.at;
        const Second worst = fleet_.worst(from.at);
        tables_.death.add({n_, took, membership::detection_bound_s(fleet_.plan().ingresses, 1),
                           kb_each(from), cpu_ms_each(from), worst.most_bytes / 1e3, worst.most_cpu * 1e3});
        fleet_.start(who);
        return fleet_.run_until(300, [&] { return fleet_.all_agree(); }) && settle(1);
    }
    bool tenth() {
        const std::size_t n = fleet_.plan().ingresses;
        const Look from = Look::of(fleet_);
        for (std::size_t i = 5; i < n; i += 10) fleet_.kill(i);
        if (!fleet_.run_until(300, [&] { return fleet_.all_agree(); })) return false;
        const double gone = fleet_.now() - from.at;
        if (!settle(n / 10)) return false;
        const double back_from = fleet_.now();
        for (std::size_t i = 5; i < n; i += 10) fleet_.start(i);
        if (!fleet_.run_until(300, [&] { return fleet_.all_agree(); })) return false;
        const double back = fleet_.now() - back_from;
        if (!settle(n / 10)) return false;
        const Second worst = fleet_.worst(from.at);
        tables_.tenth.add({n_, gone, back, kb_each(from), cpu_ms_each(from), worst.most_bytes / 1e3,
                           worst.most_cpu * 1e3});
        return true;
    }
    // Two regions hear nothing of each other; both hear the others.
    bool cut() {
        const Look from = Look::of(fleet_);
        const std::uint64_t wrong = fleet_.false_deaths();
        fleet_.part([this](std::size_t a, std::size_t b) {
            const std::size_t x = fleet_.region(a), y = fleet_.region(b);
            return x != y && x < 2 && y < 2;
        });
        const bool ran = fleet_.run(fleet_.now() + kApart);
        fleet_.part({});
        if (!ran || !fleet_.run_until(300, [&] { return fleet_.all_agree(); }) || !settle(1)) return false;
        const Second worst = fleet_.worst(from.at);
        const double s = fleet_.now() - from.at;
        tables_.cut.add({n_, static_cast<double>(fleet_.false_deaths() - wrong), kb_each(from) / s,
                         cpu_ms_each(from) / s, worst.most_bytes / 1e3, worst.most_cpu * 1e3});
        return true;
    }
    // One region hears nothing of all the others, which hear one another.
    bool apart() {
        const Look from = Look::of(fleet_);
        std::size_t inside = 0;
        for (std::size_t i = 0; i < fleet_.plan().ingresses; ++i) inside += fleet_.region(i) == 0;
        fleet_.part([this](std::size_t a, std::size_t b) {
            return (fleet_.region(a) == 0) != (fleet_.region(b) == 0);
        });
        const auto split = [&] { return fleet_.all_agree(inside); };
        if (!fleet_.run_until(kApart, split)) return false;
        const double gone = fleet_.now() - from.at;
        const bool ran = fleet_.run(from.at + kApart);
        const double healed = fleet_.now();
        fleet_.part({});
        if (!ran || !fleet_.run_until(600, [&] { return fleet_.all_agree(); })) return false;
        const double back = fleet_.now() - healed;
        if (!settle(inside)) return false;
        const Second worst = fleet_.worst(from.at);
        tables_.apart.add({n_, gone, back, kb_each(from), cpu_ms_each(from), worst.most_bytes / 1e3,
                           worst.most_cpu * 1e3});
        return true;
    }

    Tables& tables_;
    const double n_;
    const std::size_t began_;
    Fleet fleet_;
};

}   // namespace

void membership(const Run& run) {
    Tables tables;
    for (const std::size_t n : run.sizes({30, 60, 100, 200, 300, 600, 1000}, 100)) {
        Size(run, n, tables).all();
        for (const Table* one :
             {&tables.start, &tables.steady, &tables.death, &tables.tenth, &tables.cut, &tables.apart})
            write(run.directory, *one);
    }
}

}   // namespace slatejunction::scale
