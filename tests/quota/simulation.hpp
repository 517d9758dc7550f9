// Simulation of SharedQuota: several ingresses, an exact model of the counter with its faults, the true
// bucket of each customer, and requests by a seeded schedule. The simulation has its own time (s). A true
// bucket that goes further below empty than the error bound is a violation, which the same seed reproduces.
#pragma once

#include <algorithm>
#include <bit>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "digest.hpp"
#include "quota/shared_quota.hpp"

namespace quota_simulation {

using namespace slatejunction;

struct Fault {
    enum class Kind {
        unreachable,
        reject,
        slow,
        partition,
        state_lost,
        state_rolled_back,
        implausible_totals,
        ingress_restart,
        duplicate_calls
    };
    Kind kind = Kind::unreachable;
    double at_s = 0, until_s = 0;   // time of the run
    unsigned ingress = 0;           // bit mask of ingresses for partition, index for ingress_restart
};

struct Customer {
    unsigned plan = 0;
    double load = 1;             // requests, as a multiple of the rate
    double surge_fraction = 0;   // fraction of the time with 5 times that load
};

struct Scenario {
    quota::Settings settings;
    unsigned customers = 2;
    unsigned spread = 3;         // ingresses that the requests of one customer arrive at
    std::vector<Customer> mix;   // one for each customer; if empty, all have `load` and `surge_fraction`
    double length_s = 20;
    double load = 1;                   // as Customer::load
    double surge_fraction = 0;         // as Customer::surge_fraction
    double lost_reply_fraction = 0;    // fraction of calls that are carried out and whose reply is lost
    std::vector<double> clock_rates;   // by ingress; 1 where missing
    std::vector<Fault> faults;
    // Mean time after which another ingress receives most requests of a customer.
    double busiest_ingress_period_s = 7;
};

struct Result {
    double worst_excess = 0;   // most units by which a true bucket was below empty
    double bound = 0;          // the error bound (units)
    std::uint64_t requests = 0, admitted = 0;
    std::uint64_t oracle_admitted = 0;         // requests that an exact bucket would have admitted
    std::uint64_t rejected_with_units = 0;     // rejected although at least half of the burst was available
    std::uint64_t calls = 0;                   // calls to the counter
    std::uint64_t admitted_within_quota = 0;   // admitted while the quota held the units
    bool violated() const { return worst_excess > bound + 1e-6; }
};

class Simulation {
  public:
    Simulation(Scenario scenario, std::uint64_t seed)
        : scenario_(std::move(scenario)),
          random_(seed),
          seed_(seed),
          clock_start_s_(1e6 + 0.37 * static_cast<double>(seed % 137)) {
        for (unsigned i = 0; i < scenario_.settings.ingress_count; ++i) start_ingress(i);
        for (unsigned c = 0; c < scenario_.customers; ++c)
            buckets_.push_back({quota_of(c).burst, 0, quota_of(c).burst, 0, quota_of(c).burst, 0,
                                c % scenario_.settings.ingress_count});
    }

    // Whether each ingress admits from an even share of the quota, without SharedQuota and its calls.
    // Serves as a baseline.
    bool even_split = false;

    Result run() {
        for (unsigned c = 0; c < scenario_.customers; ++c) schedule_request(c, 0);
        for (std::size_t f = 0; f < scenario_.faults.size(); ++f)
            at(scenario_.faults[f].at_s, [this, f] { start_fault(f); });
        for (unsigned i = 0; i < ingresses_.size(); ++i) schedule_timer(i, 0);
        if (needs_snapshots()) at(0, [this] { take_snapshot(); });
        while (!events_.empty() && events_.top().at_s <= scenario_.length_s) {
            auto event = std::move(const_cast<Event&>(events_.top()));
            events_.pop();
            now_ = event.at_s;
            event.run();
        }
        result_.bound = error_bound();
        return result_;
    }
    // Digest of the ingresses' outputs so far: the retry-after of each request, levels, calls and
    // deadlines.
    std::uint64_t digest() const { return digest_.value(); }

    // Returns the healthy error bound plus what each fault adds to it.
    double error_bound() const {
        quota::Settings settings = scenario_.settings;
        double fastest = 1, slowest = 1;
        for (const double rate : scenario_.clock_rates)
            fastest = std::max(fastest, rate), slowest = std::min(slowest, rate);
        settings.skew_s += (fastest - slowest) * scenario_.length_s;
        const auto& quota = settings.plans[0];
        const auto bounds = quota::error_bound(settings, quota, scenario_.spread, 1);
        double total_bound = bounds.healthy + quota.rate * (fastest - 1) * scenario_.length_s;
        // Lost replies can make the counter unreachable now and then.
        if (scenario_.lost_reply_fraction > 0) total_bound += bounds.counter_unreachable - bounds.healthy;
        for (const Fault& fault : scenario_.faults) {
            switch (fault.kind) {
                case Fault::Kind::unreachable:
                case Fault::Kind::reject:
                case Fault::Kind::slow:
                case Fault::Kind::implausible_totals:
                case Fault::Kind::duplicate_calls:
                    total_bound += bounds.counter_unreachable - bounds.healthy;
                    break;
                case Fault::Kind::partition:
                    total_bound += static_cast<double>(std::popcount(fault.ingress)) *
                                   (bounds.partition - bounds.healthy);
                    break;
                case Fault::Kind::state_lost:
                    total_bound += bounds.counter_state_lost - bounds.healthy;
                    break;
                case Fault::Kind::state_rolled_back:
                    total_bound += bounds.counter_state_rolled_back - bounds.healthy;
                    break;
                case Fault::Kind::ingress_restart:
                    total_bound += bounds.per_restart;
                    break;
            }
        }
        return total_bound;
    }

  private:
    static constexpr double kOneWayS = 0.002, kCallS = 0.001, kReplyTimeoutS = 2;

    struct Event {
        double at_s;
        std::uint64_t order;   // order among the events of one time
        std::function<void()> run;
        bool operator>(const Event& other) const {
            return at_s != other.at_s ? at_s > other.at_s : order > other.order;
        }
    };
    struct Ingress {
        std::unique_ptr<quota::SharedQuota> shared_quota;
        std::uint64_t incarnation = 0;
        double timer_at_s = 1e18;
        std::map<std::uint64_t, double> pending_calls;   // by id: time at which the call was sent
    };
    struct Entry {
        double value = 0, expires_at_s = 0;
    };
    // Buckets and load of one customer.
    struct Bucket {
        double level, at_s;                 // true bucket, from which every admitted request takes its unit
        double oracle_level, oracle_at_s;   // exact bucket that decides on every request
        // Bucket from which only requests that find a unit take it; others that are admitted take nothing.
        double quota_level, quota_at_s;
        unsigned busiest_ingress;   // index among the customer's ingresses
        double busiest_changes_at_s = 0;
        bool surging = false;
        double surge_period_ends_at_s = 0;
    };

    Customer customer(unsigned c) const {
        return scenario_.mix.empty() ? Customer{0, scenario_.load, scenario_.surge_fraction}
                                     : scenario_.mix[c];
    }
    const quota::PlanQuota& quota_of(unsigned c) const {
        return scenario_.settings.plans[customer(c).plan];
    }
    // Returns the units in ingress i's even share of customer c's quota.
    double even_share_of(unsigned c, unsigned i) {
        const auto& quota = quota_of(c);
        const double burst = std::max(1.0, quota.burst / scenario_.spread);
        auto [share, created] = even_shares_.try_emplace({c, i}, burst, now_);
        auto& [level, at_s] = share->second;
        level = std::min(burst, level + quota.rate / scenario_.spread * (now_ - at_s));
        at_s = now_;
        return level;
    }
    double uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
    double exponential(double rate) { return -std::log(1 - uniform()) / rate; }
    void at(double time_s, std::function<void()> run) {
        events_.push({time_s, ++event_count_, std::move(run)});
    }
    double clock(unsigned i) const {
        return clock_start_s_ + now_ * (i < scenario_.clock_rates.size() ? scenario_.clock_rates[i] : 1);
    }

    void start_ingress(unsigned i) {
        if (ingresses_.size() <= i) ingresses_.resize(i + 1);
        quota::Settings settings = scenario_.settings;
        settings.ingress_index = i;
        ingresses_[i].shared_quota = std::make_unique<quota::SharedQuota>(
            settings, seed_ * 31 + i + 1'000 * ++ingresses_[i].incarnation);
        ingresses_[i].pending_calls.clear();
    }

    bool active(Fault::Kind kind, unsigned ingress = ~0U) const {
        for (const Fault& fault : scenario_.faults)
            if (fault.kind == kind && now_ >= fault.at_s && now_ < fault.until_s &&
                (kind != Fault::Kind::partition || (fault.ingress >> ingress & 1) != 0))
                return true;
        return false;
    }
    bool needs_snapshots() const {
        return std::any_of(scenario_.faults.begin(), scenario_.faults.end(),
                           [](const Fault& fault) { return fault.kind == Fault::Kind::state_rolled_back; });
    }
    void take_snapshot() {
        snapshot_ = entries_;
        at(now_ + 3, [this] { take_snapshot(); });
    }
    void start_fault(std::size_t index) {
        const Fault& fault = scenario_.faults[index];
        if (fault.kind == Fault::Kind::state_lost) entries_.clear();
        if (fault.kind == Fault::Kind::state_rolled_back) entries_ = snapshot_;
        if (fault.kind == Fault::Kind::ingress_restart) {
            start_ingress(fault.ingress);
            schedule_timer(fault.ingress, now_);
        }
    }

    // Requests.

    void schedule_request(unsigned c, double from_s) {
        Bucket& bucket = buckets_[c];
        if (from_s >= bucket.surge_period_ends_at_s) {
            bucket.surging = uniform() < customer(c).surge_fraction;
            bucket.surge_period_ends_at_s = from_s + 2;
        }
        const double rate = quota_of(c).rate * customer(c).load * (bucket.surging ? 5 : 1);
        const double when = from_s + exponential(rate);
        at(when, [this, c] {
            request(c);
            schedule_request(c, now_);
        });
    }

    static void refill(double& level, double& at_s, double now, const quota::PlanQuota& plan) {
        level = std::min(plan.burst, level + plan.rate * (now - at_s));
        at_s = now;
    }

    void request(unsigned c) {
        Bucket& bucket = buckets_[c];
        const auto& quota = quota_of(c);
        if (now_ >= bucket.busiest_changes_at_s) {
            bucket.busiest_ingress = static_cast<unsigned>(random_() % scenario_.spread);
            bucket.busiest_changes_at_s = now_ + scenario_.busiest_ingress_period_s * (0.5 + uniform());
        }
        const unsigned ingress_offset =
            uniform() < 0.6 ? bucket.busiest_ingress : static_cast<unsigned>(random_() % scenario_.spread);
        const quota::IngressSet ingresses{c % scenario_.settings.ingress_count, scenario_.spread};
        const unsigned i = (ingresses.first + ingress_offset) % scenario_.settings.ingress_count;
        refill(bucket.level, bucket.at_s, now_, quota);
        refill(bucket.oracle_level, bucket.oracle_at_s, now_, quota);
        refill(bucket.quota_level, bucket.quota_at_s, now_, quota);
        ++result_.requests;
        if (bucket.oracle_level >= 1) {
            bucket.oracle_level -= 1;
            ++result_.oracle_admitted;
        }
        quota::SharedQuota& shared_quota = *ingresses_[i].shared_quota;
        const double wait_s =
            even_split ? 0 : shared_quota.retry_after_s(clock(i), c + 1, customer(c).plan, ingresses, 1);
        digest_.add(now_, i, c, wait_s, shared_quota.level(c + 1));
        if (even_split ? even_share_of(c, i) < 1 : wait_s > 0) {
            result_.rejected_with_units += bucket.quota_level >= quota.burst / 2;
            return;
        }
        if (even_split) {
            even_shares_[{c, i}].first -= 1;
        } else {
            shared_quota.consume(clock(i), c + 1, customer(c).plan, ingresses, 1);
            shared_quota.release(c + 1);
        }
        ++result_.admitted;
        if (bucket.quota_level >= 1) {
            bucket.quota_level -= 1;
            ++result_.admitted_within_quota;
        }
        bucket.level -= 1;
        result_.worst_excess = std::max(result_.worst_excess, -bucket.level);
        flush(i);
    }

    // Calls to the counter.

    void schedule_timer(unsigned i, double when) {
        ingresses_[i].timer_at_s = when;
        at(when, [this, i, when, incarnation = ingresses_[i].incarnation] {
            if (ingresses_[i].incarnation != incarnation || ingresses_[i].timer_at_s != when) return;
            ingresses_[i].shared_quota->on_timer(clock(i));
            flush(i);
        });
    }

    void flush(unsigned i) {
        for (quota::CounterCall& call : ingresses_[i].shared_quota->take_calls()) {
            ++result_.calls;
            digest_.add(now_, i, call.id, call.shard, call.name, call.amount, call.ttl_ms);
            ingresses_[i].pending_calls[call.id] = now_;
            const double arrives_at_s = now_ + kOneWayS * (0.7 + 0.6 * uniform());
            const bool cut_off = active(Fault::Kind::partition, i) || active(Fault::Kind::unreachable);
            at(now_ + kReplyTimeoutS, [this, i, id = call.id, incarnation = ingresses_[i].incarnation] {
                if (ingresses_[i].incarnation == incarnation && ingresses_[i].pending_calls.erase(id) > 0) {
                    ingresses_[i].shared_quota->on_unknown_result(clock(i), id);
                    flush(i);
                }
            });
            if (cut_off) continue;
            at(arrives_at_s,
               [this, i, call, incarnation = ingresses_[i].incarnation] { enqueue(i, call, incarnation); });
        }
        const double rate = i < scenario_.clock_rates.size() ? scenario_.clock_rates[i] : 1;
        const double deadline_s = (ingresses_[i].shared_quota->next_deadline() - clock_start_s_) / rate;
        digest_.add(ingresses_[i].shared_quota->next_deadline(),
                    ingresses_[i].shared_quota->counter_losses());
        if (deadline_s != ingresses_[i].timer_at_s || ingresses_[i].timer_at_s < now_)
            schedule_timer(i, std::max(now_ + 1e-6, deadline_s));
    }

    void enqueue(unsigned i, const quota::CounterCall& call, std::uint64_t incarnation) {
        counter_free_at_s_ =
            std::max(counter_free_at_s_, now_) + kCallS * (active(Fault::Kind::slow) ? 10 : 1);
        at(counter_free_at_s_, [this, i, call, incarnation] { execute(i, call, incarnation); });
    }

    void execute(unsigned i, const quota::CounterCall& call, std::uint64_t incarnation) {
        if (active(Fault::Kind::unreachable)) return;
        const bool rejects = active(Fault::Kind::reject);
        double total = 0;
        if (!rejects) {
            const int times = active(Fault::Kind::duplicate_calls) && uniform() < 0.3 ? 2 : 1;
            for (int n = 0; n < times; ++n) {
                Entry& entry = entries_[call.name];
                if (entry.expires_at_s <= now_) entry = {0, now_ + call.ttl_ms / 1000.0};
                total = entry.value += call.amount;
            }
            total = std::strtod(std::to_string(total).c_str(), nullptr);
        }
        if (active(Fault::Kind::implausible_totals))
            total = uniform() < 0.5 ? -1e6 * uniform() : 1e9 * uniform();
        if (active(Fault::Kind::partition, i) || uniform() < scenario_.lost_reply_fraction) return;
        at(now_ + kOneWayS * (0.7 + 0.6 * uniform()), [this, i, id = call.id, total, rejects, incarnation] {
            if (ingresses_[i].incarnation != incarnation || ingresses_[i].pending_calls.erase(id) == 0)
                return;
            if (rejects)
                ingresses_[i].shared_quota->on_rejected(clock(i), id);
            else
                ingresses_[i].shared_quota->on_reply(clock(i), id, total);
            flush(i);
        });
    }

    Scenario scenario_;
    std::mt19937_64 random_;
    std::uint64_t seed_, event_count_ = 0;
    // Start of the ingresses' clocks. It depends on the seed, so that generations change at any time of a
    // run.
    double clock_start_s_;
    double now_ = 0, counter_free_at_s_ = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::vector<Ingress> ingresses_;
    std::vector<Bucket> buckets_;
    std::map<std::string, Entry> entries_, snapshot_;
    // By customer and ingress: level and the time at which it was updated.
    std::map<std::pair<unsigned, unsigned>, std::pair<double, double>> even_shares_;
    Result result_;
    Digest digest_;
};

// Returns the scenario of a site with three plans and about a hundred customers. Most use a part of their
// quota, some use nearly all of it, and some exceed it by far, permanently or in surges.
inline Scenario site_scenario(double length_s) {
    Scenario scenario;
    scenario.settings.ingress_count = scenario.spread = 3;
    scenario.settings.plans = {{"basis", 0.8, 3.6, 0}, {"plus", 1.8, 8.1, 0}, {"pro", 7.3, 15, 0}};
    scenario.length_s = length_s;
    std::mt19937_64 random(11);
    // About 78 requests per second within the quotas: 34 %, 45 % and 21 % of them by plan.
    for (const auto& [plan, count] : {std::pair{0U, 58}, {1U, 34}, {2U, 4}})
        for (int i = 0; i < count; ++i) {
            const double draw = static_cast<double>(random() >> 11) * 0x1p-53;
            scenario.mix.push_back({plan,
                                    draw < 0.10   ? 2.5
                                    : draw < 0.28 ? 0.95
                                                  : 0.2 + 0.4 * (draw - 0.28) / 0.72,
                                    random() % 6 == 0 ? 0.1 : 0});
        }
    scenario.customers = static_cast<unsigned>(scenario.mix.size());
    return scenario;
}

// Returns the scenario of a seed: sizes, load, clock rates and up to three faults.
inline Scenario random_scenario(std::uint64_t seed) {
    std::mt19937_64 random(seed * 0x9e3779b97f4a7c15ULL + 7);
    const auto uniform = [&](double low, double high) {
        return low + (high - low) * (static_cast<double>(random() >> 11) * 0x1p-53);
    };
    Scenario scenario;
    scenario.settings.ingress_count = 2 + static_cast<unsigned>(random() % 3);
    scenario.spread = 2 + static_cast<unsigned>(random() % (scenario.settings.ingress_count - 1));
    scenario.settings.shards = 1 + static_cast<unsigned>(random() % 2);
    scenario.customers = 1 + static_cast<unsigned>(random() % 3);
    const double rate = std::exp(uniform(std::log(0.6), std::log(9)));
    scenario.settings.plans = {{"p", rate, std::max(1.0, rate * uniform(1.2, 6)), 0}};
    scenario.settings.max_unreported_units = 1 + static_cast<double>(random() % 4);
    scenario.settings.local_fraction = random() % 4 == 0 ? 0 : uniform(0.1, 0.6);
    const bool long_run = random() % 16 == 0;   // a long run with long faults
    scenario.length_s = long_run ? uniform(60, 130) : uniform(10, 25);
    scenario.load = std::exp(uniform(std::log(0.2), std::log(5)));
    scenario.surge_fraction = random() % 2 ? 0.2 : 0;
    if (random() % 4 == 0) scenario.lost_reply_fraction = uniform(0.02, 0.5);
    if (random() % 4 == 0)
        for (unsigned i = 0; i < scenario.settings.ingress_count; ++i)
            scenario.clock_rates.push_back(uniform(0.99, 1.01));
    for (std::size_t remaining = random() % 4; remaining > 0; --remaining) {
        Fault fault;
        fault.kind = static_cast<Fault::Kind>(random() % 9);
        fault.at_s = uniform(2, scenario.length_s - 4);
        fault.until_s = fault.at_s + (long_run ? uniform(15, 60) : uniform(0.1, 8));
        fault.ingress = static_cast<unsigned>(random() % scenario.settings.ingress_count);
        if (fault.kind == Fault::Kind::partition) fault.ingress = 1U << fault.ingress;
        scenario.faults.push_back(fault);
    }
    return scenario;
}

}   // namespace quota_simulation
