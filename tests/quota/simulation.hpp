// A simulation for SharedQuota: an exact model of the counter, with its faults, the true bucket of each
// customer, and requests by a seeded schedule. Time is the model's own. A bucket that goes further below
// empty than the error bound is a breach; the seed repeats it.
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
    double at_s = 0, until_s = 0;   // s of the run
    unsigned ingress = 0;           // of split (bits) and restart (number)
};

struct Customer {
    unsigned plan = 0;
    double load = 1,
           surge_fraction =
               0;   // asked, as a part of the rate; part of the time in which it asks 5 times that
};

struct Scenario {
    quota::Settings settings;
    unsigned customers = 2, spread = 3;
    std::vector<Customer> mix;         // one for each customer; where there are none, all are as follows
    double length_s = 20;              // s
    double load = 1;                   // asked, as a part of the rate
    double surge_fraction = 0;         // part of the time in which 5 times that is asked
    double lost_reply_fraction = 0;    // part of calls whose add is done and whose answer is lost
    std::vector<double> clock_rates;   // of each ingress: its rate, 1 where none is given
    std::vector<Fault> faults;
    double busiest_ingress_period_s = 7;   // s; the busiest ingress changes
};

struct Result {
    double worst_excess = 0, bound = 0;   // units below an empty bucket; the stated error
    std::uint64_t requests = 0, admitted = 0,
                  oracle_admitted = 0;   // oracle_admitted: what a perfect bucket would have passed
    std::uint64_t rejected_with_units = 0, calls = 0;
    std::uint64_t admitted_within_quota = 0;   // passed with room in the true bucket
    bool violated() const { return worst_excess > bound + 1e-6; }
};

class Simulation {
  public:
    Simulation(Scenario scenario, std::uint64_t seed)
        : scenario_(std::move(scenario)),
          random_(seed),
          seed_(seed),
          start_(1e6 + 0.37 * static_cast<double>(seed % 137)) {
        for (unsigned i = 0; i < scenario_.settings.ingress_count; ++i) start(i);
        for (unsigned c = 0; c < scenario_.customers; ++c)
            buckets_.push_back({quota_of(c).burst, 0, quota_of(c).burst, 0, quota_of(c).burst, 0,
                                c % scenario_.settings.ingress_count});
    }

    // A split of the quota by itself: each ingress an even share, no calls.
    bool even_split = false;

    Result run() {
        for (unsigned c = 0; c < scenario_.customers; ++c) next_request(c, 0);
        for (std::size_t f = 0; f < scenario_.faults.size(); ++f)
            at(scenario_.faults[f].at_s, [this, f] { begin(f); });
        for (unsigned i = 0; i < ingresses_.size(); ++i) schedule_timer(i, 0);
        if (wants_snapshots()) at(0, [this] { snapshot(); });
        while (!events_.empty() && events_.top().at <= scenario_.length_s) {
            auto event = std::move(const_cast<Event&>(events_.top()));
            events_.pop();
            now_ = event.at;
            event.run();
        }
        result_.bound = error_bound();
        return result_;
    }
    // Of all that the ingresses have put out so far: how long each request is to wait, and calls to the
    // counter.
    std::uint64_t digest() const { return digest_.value(); }

    // The healthy error, and what each fault adds to it.
    double error_bound() const {
        quota::Settings settings = scenario_.settings;
        double fastest = 1, slowest = 1;
        for (const double rate : scenario_.clock_rates)
            fastest = std::max(fastest, rate), slowest = std::min(slowest, rate);
        settings.skew_s += (fastest - slowest) * scenario_.length_s;
        const auto& quota = settings.plans[0];
        const auto error = quota::error_bound(settings, quota, scenario_.spread, 1);
        double all = error.healthy + quota.rate * (fastest - 1) * scenario_.length_s;
        if (scenario_.lost_reply_fraction > 0)
            all += error.counter_unreachable - error.healthy;   // silence now and then is a loss
        for (const Fault& fault : scenario_.faults) {
            switch (fault.kind) {
                case Fault::Kind::unreachable:
                case Fault::Kind::reject:
                case Fault::Kind::slow:
                case Fault::Kind::implausible_totals:
                case Fault::Kind::duplicate_calls:
                    all += error.counter_unreachable - error.healthy;
                    break;
                case Fault::Kind::partition:
                    all += static_cast<double>(std::popcount(fault.ingress)) *
                           (error.partition - error.healthy);
                    break;
                case Fault::Kind::state_lost:
                    all += error.counter_state_lost - error.healthy;
                    break;
                case Fault::Kind::state_rolled_back:
                    all += error.counter_state_rolled_back - error.healthy;
                    break;
                case Fault::Kind::ingress_restart:
                    all += error.per_restart;
                    break;
            }
        }
        return all;
    }

  private:
    static constexpr double kWay = 0.002, kCallTime = 0.001, kGiveUp = 2;

    struct Event {
        double at;
        std::uint64_t number;
        std::function<void()> run;
        bool operator>(const Event& other) const {
            return at != other.at ? at > other.at : number > other.number;
        }
    };
    struct Ingress {
        std::unique_ptr<quota::SharedQuota> shared_quota;
        std::uint64_t incarnation = 0;
        double timer_at = 1e18;
        std::map<std::uint64_t, double> out;   // calls without an end
    };
    struct Named {
        double value = 0, dies = 0;
    };
    struct Bucket {
        double level, at, perfect, perfect_at;
        double room, room_at;   // what is passed without room takes nothing
        unsigned busiest;
        double moves_at = 0;
        bool surging = false;
        double surge_ends = 0;
    };

    Customer customer(unsigned c) const {
        return scenario_.mix.empty() ? Customer{0, scenario_.load, scenario_.surge_fraction}
                                     : scenario_.mix[c];
    }
    const quota::PlanQuota& quota_of(unsigned c) const {
        return scenario_.settings.plans[customer(c).plan];
    }
    double even_share_of(unsigned c, unsigned i) {
        const auto& quota = quota_of(c);
        const double burst = std::max(1.0, quota.burst / scenario_.spread);
        auto [at, made] = shares_.try_emplace({c, i}, burst, now_);
        auto& [level, since] = at->second;
        level = std::min(burst, level + quota.rate / scenario_.spread * (now_ - since));
        since = now_;
        return level;
    }
    double uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
    double waiting(double rate) { return -std::log(1 - uniform()) / rate; }
    void at(double when, std::function<void()> run) { events_.push({when, ++numbers_, std::move(run)}); }
    double clock(unsigned i) const {
        return start_ + now_ * (i < scenario_.clock_rates.size() ? scenario_.clock_rates[i] : 1);
    }

    void start(unsigned i) {
        if (ingresses_.size() <= i) ingresses_.resize(i + 1);
        quota::Settings settings = scenario_.settings;
        settings.ingress_index = i;
        ingresses_[i].shared_quota = std::make_unique<quota::SharedQuota>(
            settings, seed_ * 31 + i + 1'000 * ++ingresses_[i].incarnation);
        ingresses_[i].out.clear();
    }

    bool active(Fault::Kind kind, unsigned ingress = ~0U) const {
        for (const Fault& one : scenario_.faults)
            if (one.kind == kind && now_ >= one.at_s && now_ < one.until_s &&
                (kind != Fault::Kind::partition || (one.ingress >> ingress & 1) != 0))
                return true;
        return false;
    }
    bool wants_snapshots() const {
        return std::any_of(scenario_.faults.begin(), scenario_.faults.end(),
                           [](const Fault& one) { return one.kind == Fault::Kind::state_rolled_back; });
    }
    void snapshot() {
        older_ = names_;
        at(now_ + 3, [this] { snapshot(); });
    }
    void begin(std::size_t number) {
        const Fault& fault = scenario_.faults[number];
        if (fault.kind == Fault::Kind::state_lost) names_.clear();
        if (fault.kind == Fault::Kind::state_rolled_back) names_ = older_;
        if (fault.kind == Fault::Kind::ingress_restart) {
            start(fault.ingress);
            schedule_timer(fault.ingress, now_);
        }
    }

    // Requests. ---------------------------------------------------------------------------------------

    void next_request(unsigned c, double from) {
        Bucket& bucket = buckets_[c];
        if (from >= bucket.surge_ends) {
            bucket.surging = uniform() < customer(c).surge_fraction;
            bucket.surge_ends = from + 2;
        }
        const double rate = quota_of(c).rate * customer(c).load * (bucket.surging ? 5 : 1);
        const double when = from + waiting(rate);
        at(when, [this, c] {
            request(c);
            next_request(c, now_);
        });
    }

    static void refill(double& level, double& at, double now, const quota::PlanQuota& plan) {
        level = std::min(plan.burst, level + plan.rate * (now - at));
        at = now;
    }

    void request(unsigned c) {
        Bucket& bucket = buckets_[c];
        const auto& quota = quota_of(c);
        if (now_ >= bucket.moves_at) {
            bucket.busiest = static_cast<unsigned>(random_() % scenario_.spread);
            bucket.moves_at = now_ + scenario_.busiest_ingress_period_s * (0.5 + uniform());
        }
        const unsigned nth =
            uniform() < 0.6 ? bucket.busiest : static_cast<unsigned>(random_() % scenario_.spread);
        const quota::IngressSet ingresses{c % scenario_.settings.ingress_count, scenario_.spread};
        const unsigned i = (ingresses.first + nth) % scenario_.settings.ingress_count;
        refill(bucket.level, bucket.at, now_, quota);
        refill(bucket.perfect, bucket.perfect_at, now_, quota);
        refill(bucket.room, bucket.room_at, now_, quota);
        ++result_.requests;
        if (bucket.perfect >= 1) {
            bucket.perfect -= 1;
            ++result_.oracle_admitted;
        }
        quota::SharedQuota& shared_quota = *ingresses_[i].shared_quota;
        const double wait_s =
            even_split ? 0 : shared_quota.retry_after_s(clock(i), c + 1, customer(c).plan, ingresses, 1);
        digest_.add(now_, i, c, wait_s, shared_quota.level(c + 1));
        if (even_split ? even_share_of(c, i) < 1 : wait_s > 0) {
            result_.rejected_with_units += bucket.room >= quota.burst / 2;
            return;
        }
        if (even_split) {
            shares_[{c, i}].first -= 1;
        } else {
            shared_quota.consume(clock(i), c + 1, customer(c).plan, ingresses, 1);
            shared_quota.release(c + 1);
        }
        ++result_.admitted;
        if (bucket.room >= 1) {
            bucket.room -= 1;
            ++result_.admitted_within_quota;
        }
        bucket.level -= 1;
        result_.worst_excess = std::max(result_.worst_excess, -bucket.level);
        flush(i);
    }

    // Calls. ------------------------------------------------------------------------------------------

    void schedule_timer(unsigned i, double when) {
        ingresses_[i].timer_at = when;
        at(when, [this, i, when, incarnation = ingresses_[i].incarnation] {
            if (ingresses_[i].incarnation != incarnation || ingresses_[i].timer_at != when) return;
            ingresses_[i].shared_quota->on_timer(clock(i));
            flush(i);
        });
    }

    void flush(unsigned i) {
        for (quota::CounterCall& call : ingresses_[i].shared_quota->take_calls()) {
            ++result_.calls;
            digest_.add(now_, i, call.id, call.part, call.name, call.amount, call.ttl_ms);
            ingresses_[i].out[call.id] = now_;
            const double there = now_ + kWay * (0.7 + 0.6 * uniform());
            const bool cut = active(Fault::Kind::partition, i) || active(Fault::Kind::unreachable);
            at(now_ + kGiveUp, [this, i, id = call.id, incarnation = ingresses_[i].incarnation] {
                if (ingresses_[i].incarnation == incarnation && ingresses_[i].out.erase(id) > 0) {
                    ingresses_[i].shared_quota->on_unknown_result(clock(i), id);
                    flush(i);
                }
            });
            if (cut) continue;
            at(there,
               [this, i, call, incarnation = ingresses_[i].incarnation] { arrive(i, call, incarnation); });
        }
        const double rate = i < scenario_.clock_rates.size() ? scenario_.clock_rates[i] : 1;
        const double due = (ingresses_[i].shared_quota->next_deadline() - start_) / rate;
        digest_.add(ingresses_[i].shared_quota->next_deadline(),
                    ingresses_[i].shared_quota->counter_losses());
        if (due != ingresses_[i].timer_at || ingresses_[i].timer_at < now_)
            schedule_timer(i, std::max(now_ + 1e-6, due));
    }

    void arrive(unsigned i, const quota::CounterCall& call, std::uint64_t incarnation) {
        free_at_ = std::max(free_at_, now_) + kCallTime * (active(Fault::Kind::slow) ? 10 : 1);
        at(free_at_, [this, i, call, incarnation] { carry_out(i, call, incarnation); });
    }

    void carry_out(unsigned i, const quota::CounterCall& call, std::uint64_t incarnation) {
        if (active(Fault::Kind::unreachable)) return;
        const bool refuses = active(Fault::Kind::reject);
        double total = 0;
        if (!refuses) {
            const int times = active(Fault::Kind::duplicate_calls) && uniform() < 0.3 ? 2 : 1;
            for (int n = 0; n < times; ++n) {
                Named& named = names_[call.name];
                if (named.dies <= now_) named = {0, now_ + call.ttl_ms / 1000.0};
                total = named.value += call.amount;
            }
            total = std::strtod(std::to_string(total).c_str(), nullptr);
        }
        if (active(Fault::Kind::implausible_totals))
            total = uniform() < 0.5 ? -1e6 * uniform() : 1e9 * uniform();
        if (active(Fault::Kind::partition, i) || uniform() < scenario_.lost_reply_fraction) return;
        at(now_ + kWay * (0.7 + 0.6 * uniform()), [this, i, id = call.id, total, refuses, incarnation] {
            if (ingresses_[i].incarnation != incarnation || ingresses_[i].out.erase(id) == 0) return;
            if (refuses)
                ingresses_[i].shared_quota->on_rejected(clock(i), id);
            else
                ingresses_[i].shared_quota->on_reply(clock(i), id, total);
            flush(i);
        });
    }

    Scenario scenario_;
    std::mt19937_64 random_;
    std::uint64_t seed_, numbers_ = 0;
    double start_;   // s of the shared_quotas' clocks; generations change at any time of a run
    double now_ = 0, free_at_ = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::vector<Ingress> ingresses_;
    std::vector<Bucket> buckets_;
    std::map<std::string, Named> names_, older_;
    std::map<std::pair<unsigned, unsigned>, std::pair<double, double>> shares_;   // level and since
    Result result_;
    Digest digest_;
};

// The mix of a site of three plans: of a hundred customers most use a part of their quota, some nearly all,
// some ask far more for all the time or now and then.
inline Scenario site_scenario(double length_s) {
    Scenario scenario;
    scenario.settings.ingress_count = scenario.spread = 3;
    scenario.settings.plans = {{"basis", 0.8, 3.6, 0}, {"plus", 1.8, 8.1, 0}, {"pro", 7.3, 15, 0}};
    scenario.length_s = length_s;
    std::mt19937_64 random(11);
    // About 78 requests a second inside the quotas: 34, 45 and 21 in 100 of them by scenario.
    for (const auto& [number, count] : {std::pair{0U, 58}, {1U, 34}, {2U, 4}})
        for (int i = 0; i < count; ++i) {
            const double one = static_cast<double>(random() >> 11) * 0x1p-53;
            scenario.mix.push_back({number,
                                    one < 0.10   ? 2.5
                                    : one < 0.28 ? 0.95
                                                 : 0.2 + 0.4 * (one - 0.28) / 0.72,
                                    random() % 6 == 0 ? 0.1 : 0});
        }
    scenario.customers = static_cast<unsigned>(scenario.mix.size());
    return scenario;
}

// A schedule by its seed: sizes, load, clocks and up to three faults.
inline Scenario random_scenario(std::uint64_t seed) {
    std::mt19937_64 random(seed * 0x9e3779b97f4a7c15ULL + 7);
    const auto uniform = [&](double low, double high) {
        return low + (high - low) * (static_cast<double>(random() >> 11) * 0x1p-53);
    };
    Scenario scenario;
    scenario.settings.ingress_count = 2 + static_cast<unsigned>(random() % 3);
    scenario.spread = 2 + static_cast<unsigned>(random() % (scenario.settings.ingress_count - 1));
    scenario.settings.parts = 1 + static_cast<unsigned>(random() % 2);
    scenario.customers = 1 + static_cast<unsigned>(random() % 3);
    const double rate = std::exp(uniform(std::log(0.6), std::log(9)));
    scenario.settings.plans = {{"p", rate, std::max(1.0, rate * uniform(1.2, 6)), 0}};
    scenario.settings.max_unreported_units = 1 + static_cast<double>(random() % 4);
    scenario.settings.local_fraction = random() % 4 == 0 ? 0 : uniform(0.1, 0.6);
    const bool lasting = random() % 16 == 0;   // a fault that lasts
    scenario.length_s = lasting ? uniform(60, 130) : uniform(10, 25);
    scenario.load = std::exp(uniform(std::log(0.2), std::log(5)));
    scenario.surge_fraction = random() % 2 ? 0.2 : 0;
    if (random() % 4 == 0) scenario.lost_reply_fraction = uniform(0.02, 0.5);
    if (random() % 4 == 0)
        for (unsigned i = 0; i < scenario.settings.ingress_count; ++i)
            scenario.clock_rates.push_back(uniform(0.99, 1.01));
    for (std::size_t left = random() % 4; left > 0; --left) {
        Fault fault;
        fault.kind = static_cast<Fault::Kind>(random() % 9);
        fault.at_s = uniform(2, scenario.length_s - 4);
        fault.until_s = fault.at_s + (lasting ? uniform(15, 60) : uniform(0.1, 8));
        fault.ingress = static_cast<unsigned>(random() % scenario.settings.ingress_count);
        if (fault.kind == Fault::Kind::partition) fault.ingress = 1U << fault.ingress;
        scenario.faults.push_back(fault);
    }
    return scenario;
}

}   // namespace quota_simulation
