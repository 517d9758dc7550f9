// A fleet of hollow ingresses in one process: the real cores of membership, leases, notes, sums and fleet
// limits, sealed as on sockets, over a simulated network of regions and zones. Time is the model's own, the
// seed repeats all of it; CPU is this process's, booked to each ingress and duty. The glue between the
// cores is that of src/app/fleet_component.cpp, src/app/fleet_rate_limit_component.cpp and
// src/fleet_counters/driver.cpp, without sockets.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "events.hpp"
#include "fleet_counters/aggregator.hpp"
#include "fleet_counters/reporter.hpp"
#include "fleet_rate_limit/rate_limit_node.hpp"
#include "lease/lease_node.hpp"
#include "lease/replicated_register.hpp"
#include "links.hpp"
#include "membership/datagram_auth.hpp"
#include "membership/swim.hpp"
#include "meter.hpp"

namespace slatejunction::scale {

// What costs are booked to.
enum class Duty : std::size_t { membership, leases, notes, sums, limits, count };
inline constexpr std::size_t kDuties = static_cast<std::size_t>(Duty::count);

struct Plan {
    std::size_t ingresses = 100;
    std::size_t regions = 5, zones = 17;   // zone z is in region z % regions, ingress i in zone i % zones
    double interval_s = 1;                 // of membership
    double loss = 0;
    bool sealed = true;
    // False: no Members run, everybody knows everybody, and what cores say is carried as it is, with
    // kEnvelope bytes around it. No budget of datagrams holds it back then.
    bool membership = true;
    std::size_t voters = 0;    // 0: no leases; they are the first ingresses, spread over regions
    double period_s = 0;       // of the fleet's sums; 0: none; wants voters
    double requests_s = 0;     // at each ingress, that a fleet limit counts; 0: none
    std::size_t keys = 1000;   // that they are of, evenly
    fleet_rate_limit::LimitSpec limit{100, 100, 1};
    std::size_t started = ~std::size_t{0};   // so many are started at first, over `start_s`
    double start_s = 1;
};

// Bytes that membership and the seal put around what another core says.
inline constexpr std::size_t kEnvelope = 44 + 70;

struct Spent {
    std::array<double, kDuties> cpu_s{};
    std::array<std::uint64_t, kDuties> datagrams{}, bytes{};   // sent
    std::array<std::uint64_t, kDuties> heard{};                // bytes
    std::uint64_t held_back = 0;                               // by membership's budget
    double of(Duty duty) const;                                // bytes, sent and heard
    double all_cpu() const;
    double all_bytes() const;   // sent and heard
};

// One second of the model, over the ingresses that were up: sent and heard bytes, CPU s.
struct Second {
    double at = 0;
    double mean_bytes = 0, most_bytes = 0, mean_cpu = 0, most_cpu = 0;
};

class Fleet {
  public:
    Fleet(const Plan& plan, std::uint64_t seed);
    ~Fleet();

    double now() const { return events_.now(); }
    const Plan& plan() const { return plan_; }
    bool up(std::size_t i) const { return nodes_[i] != nullptr; }
    std::size_t ups() const;
    std::size_t region(std::size_t i) const { return zone(i) % plan_.regions; }
    std::size_t zone(std::size_t i) const { return i % plan_.zones; }

    void start(std::size_t i);
    void kill(std::size_t i);
    // Ingresses of groups that differ hear nothing of each other; empty: all do again.
    void part(std::function<bool(std::size_t, std::size_t)> apart) { links_.set_apart(std::move(apart)); }
    void at(double time, std::function<void()> call) { events_.at(time, std::move(call)); }

    // Until that time of the model, or until `wall_most` s of this machine have gone since limit_wall().
    // False: the machine's time is up.
    bool run(double until);
    bool run_until(double most_s, const std::function<bool()>& holds);
    void limit_wall(double seconds) { wall_end_ = wall_s() + seconds; }
    bool out_of_time() const { return wall_s() > wall_end_; }

    // Every one that is up has all that are up for alive, and nobody else.
    bool all_agree() const;
    // The same while region 0, of `inside` ingresses, is apart from the others: on each side.
    bool all_agree(std::size_t inside) const;
    bool all_have(std::size_t i, membership::MemberState state) const;
    std::uint64_t false_deaths() const { return false_deaths_; }

    const Spent& spent(std::size_t i) const { return spent_[i]; }
    Spent total() const;
    const std::vector<Second>& seconds() const { return seconds_; }
    // The worst of each figure from that time on.
    Second worst(double from) const;

    // CPU s of that one in its worst second, since it was first started.
    double worst_of(std::size_t i) const { return worst_cpu_[i]; }
    std::uint64_t lost() const;   // leases that ended unwanted

    // Leases: who holds the conductor's; plan.ingresses: nobody.
    std::size_t holder() const;
    // Whom that one takes for the holder; plan.ingresses: nobody.
    std::size_t hint(std::size_t i) const;
    std::uint64_t rows() const { return rows_; }                     // of sums, handed out
    double row_delay() const { return row_delay_; }                  // s after its period's end, the last
    std::uint64_t row_processes() const { return row_processes_; }   // counted in the last one
    std::uint64_t turned_away() const;
    std::uint64_t passed() const { return passed_; }   // requests, by fleet limits
    std::uint64_t asked() const { return asked_; }
    fleet_rate_limit::RateLimitNode* limits(std::size_t i) { return nodes_[i]->limits.get(); }

  private:
    struct Node {
        std::uint64_t process = 0;
        std::unique_ptr<membership::DatagramAuth> seal;
        std::unique_ptr<membership::SwimMembership> members;
        std::unique_ptr<lease::LeaseNode> leases;
        std::unique_ptr<lease::RegisterAcceptor> notes;
        std::unique_ptr<fleet_counters::Reporter> teller;
        std::unique_ptr<fleet_counters::Aggregator> collector;
        std::deque<fleet_counters::Aggregator::Acknowledgement> answers;
        std::unique_ptr<fleet_rate_limit::RateLimitNode> limits;
        fleet_counters::CounterValues values{};
        std::uint64_t period = 0, told_holds = 0;
        std::array<double, kDuties> armed{};
        bool answering = false;
    };
    double draw(double from, double to);
    double unix_s() const { return 1e9 + now(); }
    double* account(std::size_t i, Duty duty) { return &spent_[i].cpu_s[static_cast<std::size_t>(duty)]; }

    void make_leases(std::size_t i, bool first);
    void make_sums(std::size_t i);
    void make_limits(std::size_t i);

    void carry(std::size_t from, std::uint64_t to_process, std::size_t to, std::string payload);
    void arrive(std::size_t to, std::uint64_t process, const std::string& bytes);
    // `arrived`: bytes of the datagram that it has just taken, to be booked to the duty that it was for.
    void pump_members(std::size_t i, std::size_t arrived = 0);
    void hear(std::size_t i, std::size_t from, std::uint64_t process, Duty duty, const std::string& body);
    bool say(std::size_t i, Duty duty, const std::string& to, const std::string& body);
    void say_direct(std::size_t i, Duty duty, std::size_t to, const std::string& body);
    void changed_members(std::size_t i);

    void pump_leases(std::size_t i);
    void hear_note(std::size_t i, std::size_t from, const std::string& body);
    bool keep_note(std::size_t i, const lease::RegisterMessage& message, lease::RegisterMessage& answer);
    std::string conductor(std::size_t i) const;
    void cut(std::size_t i);
    void tell(std::size_t i, std::uint64_t process);
    void pump_sums(std::size_t i);
    void pump_limits(std::size_t i);
    void ask_later(std::size_t i, std::uint64_t process);

    // Calls again when `due` has come, unless that is asked for already.
    void arm(std::size_t i, Duty duty, double due);
    void wake(std::size_t i, Duty duty);
    void look();

    const Plan plan_;
    std::mt19937_64 random_;
    Events events_;
    Links links_;
    Meter meter_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::vector<Spent> spent_, before_;
    std::vector<double> worst_cpu_;
    std::vector<std::string> names_;
    std::unordered_map<std::string, std::size_t> by_name_, by_address_;
    lease::AcceptorSet voters_;
    const lease::LeaseTimes times_;
    std::vector<Second> seconds_;
    std::uint64_t processes_ = 0, false_deaths_ = 0, rows_ = 0, passed_ = 0, asked_ = 0;
    std::uint64_t row_processes_ = 0;
    double row_delay_ = 0, wall_end_ = 1e18;
};

}   // namespace slatejunction::scale
