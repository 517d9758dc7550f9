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

namespace model {

using namespace slatejunction;

struct Fault {
    enum class Kind { down, refuse, slow, split, empty, older, noise, restart, duplicate };
    Kind kind = Kind::down;
    double at = 0, until = 0;   // s of the run
    unsigned ingress = 0;       // of split (bits) and restart (number)
};

struct Customer {
    unsigned plan = 0;
    double load = 1,
           surge = 0;   // asked, as a part of the rate; part of the time in which it asks 5 times that
};

struct Plan {
    quota::Settings settings;
    unsigned customers = 2, spread = 3;
    std::vector<Customer> mix;   // one for each customer; where there are none, all are as follows
    double length = 20;          // s
    double load = 1;             // asked, as a part of the rate
    double surge = 0;            // part of the time in which 5 times that is asked
    double unanswered = 0;       // part of calls whose add is done and whose answer is lost
    std::vector<double> clock;   // of each ingress: its rate, 1 where none is given
    std::vector<Fault> faults;
    double move_every = 7;   // s; the busiest ingress changes
};

struct Result {
    double worst = 0, allowed = 0;                     // units below an empty bucket; the stated error
    std::uint64_t asked = 0, passed = 0, inside = 0;   // inside: what a perfect bucket would have passed
    std::uint64_t refused_with_room = 0, calls = 0;
    std::uint64_t good = 0;   // passed with room in the true bucket
    bool breach() const { return worst > allowed + 1e-6; }
};

class World {
  public:
    World(Plan plan, std::uint64_t seed)
        : plan_(std::move(plan)),
          random_(seed),
          seed_(seed),
          start_(1e6 + 0.37 * static_cast<double>(seed % 137)) {
        for (unsigned i = 0; i < plan_.settings.ingress_count; ++i) start(i);
        for (unsigned c = 0; c < plan_.customers; ++c)
            buckets_.push_back({quota_of(c).burst, 0, quota_of(c).burst, 0, quota_of(c).burst, 0,
                                c % plan_.settings.ingress_count});
    }

    // A split of the quota by itself: each ingress an even share, no calls.
    bool even_split = false;

    Result run() {
        for (unsigned c = 0; c < plan_.customers; ++c) next_request(c, 0);
        for (std::size_t f = 0; f < plan_.faults.size(); ++f)
            at(plan_.faults[f].at, [this, f] { begin(f); });
        for (unsigned i = 0; i < ingresses_.size(); ++i) schedule_timer(i, 0);
        if (wants_snapshots()) at(0, [this] { snapshot(); });
        while (!events_.empty() && events_.top().at <= plan_.length) {
            auto event = std::move(const_cast<Event&>(events_.top()));
            events_.pop();
            now_ = event.at;
            event.run();
        }
        result_.allowed = allowed();
        return result_;
    }
    // Of all that the ingresses have put out so far: how long each request is to wait, and calls to the
    // counter.
    std::uint64_t digest() const { return digest_.value(); }

    // The healthy error, and what each fault adds to it.
    double allowed() const {
        quota::Settings settings = plan_.settings;
        double fastest = 1, slowest = 1;
        for (const double rate : plan_.clock)
            fastest = std::max(fastest, rate), slowest = std::min(slowest, rate);
        settings.skew_s += (fastest - slowest) * plan_.length;
        const auto& quota = settings.plans[0];
        const auto error = quota::error_bound(settings, quota, plan_.spread, 1);
        double all = error.healthy + quota.rate * (fastest - 1) * plan_.length;
        if (plan_.unanswered > 0)
            all += error.counter_unreachable - error.healthy;   // silence now and then is a loss
        for (const Fault& fault : plan_.faults) {
            switch (fault.kind) {
                case Fault::Kind::down:
                case Fault::Kind::refuse:
                case Fault::Kind::slow:
                case Fault::Kind::noise:
                case Fault::Kind::duplicate:
                    all += error.counter_unreachable - error.healthy;
                    break;
                case Fault::Kind::split:
                    all += static_cast<double>(std::popcount(fault.ingress)) *
                           (error.partition - error.healthy);
                    break;
                case Fault::Kind::empty:
                    all += error.counter_state_lost - error.healthy;
                    break;
                case Fault::Kind::older:
                    all += error.counter_state_rolled_back - error.healthy;
                    break;
                case Fault::Kind::restart:
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
        return plan_.mix.empty() ? Customer{0, plan_.load, plan_.surge} : plan_.mix[c];
    }
    const quota::PlanQuota& quota_of(unsigned c) const { return plan_.settings.plans[customer(c).plan]; }
    double even_share_of(unsigned c, unsigned i) {
        const auto& quota = quota_of(c);
        const double burst = std::max(1.0, quota.burst / plan_.spread);
        auto [at, made] = shares_.try_emplace({c, i}, burst, now_);
        auto& [level, since] = at->second;
        level = std::min(burst, level + quota.rate / plan_.spread * (now_ - since));
        since = now_;
        return level;
    }
    double uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
    double waiting(double rate) { return -std::log(1 - uniform()) / rate; }
    void at(double when, std::function<void()> run) { events_.push({when, ++numbers_, std::move(run)}); }
    double clock(unsigned i) const { return start_ + now_ * (i < plan_.clock.size() ? plan_.clock[i] : 1); }

    void start(unsigned i) {
        if (ingresses_.size() <= i) ingresses_.resize(i + 1);
        quota::Settings settings = plan_.settings;
        settings.ingress_index = i;
        ingresses_[i].shared_quota = std::make_unique<quota::SharedQuota>(
            settings, seed_ * 31 + i + 1'000 * ++ingresses_[i].incarnation);
        ingresses_[i].out.clear();
    }

    bool active(Fault::Kind kind, unsigned ingress = ~0U) const {
        for (const Fault& one : plan_.faults)
            if (one.kind == kind && now_ >= one.at && now_ < one.until &&
                (kind != Fault::Kind::split || (one.ingress >> ingress & 1) != 0))
                return true;
        return false;
    }
    bool wants_snapshots() const {
        return std::any_of(plan_.faults.begin(), plan_.faults.end(),
                           [](const Fault& one) { return one.kind == Fault::Kind::older; });
    }
    void snapshot() {
        older_ = names_;
        at(now_ + 3, [this] { snapshot(); });
    }
    void begin(std::size_t number) {
        const Fault& fault = plan_.faults[number];
        if (fault.kind == Fault::Kind::empty) names_.clear();
        if (fault.kind == Fault::Kind::older) names_ = older_;
        if (fault.kind == Fault::Kind::restart) {
            start(fault.ingress);
            schedule_timer(fault.ingress, now_);
        }
    }

    // Requests. ---------------------------------------------------------------------------------------

    void next_request(unsigned c, double from) {
        Bucket& bucket = buckets_[c];
        if (from >= bucket.surge_ends) {
            bucket.surging = uniform() < customer(c).surge;
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
            bucket.busiest = static_cast<unsigned>(random_() % plan_.spread);
            bucket.moves_at = now_ + plan_.move_every * (0.5 + uniform());
        }
        const unsigned nth =
            uniform() < 0.6 ? bucket.busiest : static_cast<unsigned>(random_() % plan_.spread);
        const quota::IngressSet ingresses{c % plan_.settings.ingress_count, plan_.spread};
        const unsigned i = (ingresses.first + nth) % plan_.settings.ingress_count;
        refill(bucket.level, bucket.at, now_, quota);
        refill(bucket.perfect, bucket.perfect_at, now_, quota);
        refill(bucket.room, bucket.room_at, now_, quota);
        ++result_.asked;
        if (bucket.perfect >= 1) {
            bucket.perfect -= 1;
            ++result_.inside;
        }
        quota::SharedQuota& shared_quota = *ingresses_[i].shared_quota;
        const double wait_s =
            even_split ? 0 : shared_quota.retry_after_s(clock(i), c + 1, customer(c).plan, ingresses, 1);
        digest_.add(now_, i, c, wait_s, shared_quota.level(c + 1));
        if (even_split ? even_share_of(c, i) < 1 : wait_s > 0) {
            result_.refused_with_room += bucket.room >= quota.burst / 2;
            return;
        }
        if (even_split) {
            shares_[{c, i}].first -= 1;
        } else {
            shared_quota.consume(clock(i), c + 1, customer(c).plan, ingresses, 1);
            shared_quota.release(c + 1);
        }
        ++result_.passed;
        if (bucket.room >= 1) {
            bucket.room -= 1;
            ++result_.good;
        }
        bucket.level -= 1;
        result_.worst = std::max(result_.worst, -bucket.level);
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
            const bool cut = active(Fault::Kind::split, i) || active(Fault::Kind::down);
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
        const double rate = i < plan_.clock.size() ? plan_.clock[i] : 1;
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
        if (active(Fault::Kind::down)) return;
        const bool refuses = active(Fault::Kind::refuse);
        double total = 0;
        if (!refuses) {
            const int times = active(Fault::Kind::duplicate) && uniform() < 0.3 ? 2 : 1;
            for (int n = 0; n < times; ++n) {
                Named& named = names_[call.name];
                if (named.dies <= now_) named = {0, now_ + call.ttl_ms / 1000.0};
                total = named.value += call.amount;
            }
            total = std::strtod(std::to_string(total).c_str(), nullptr);
        }
        if (active(Fault::Kind::noise)) total = uniform() < 0.5 ? -1e6 * uniform() : 1e9 * uniform();
        if (active(Fault::Kind::split, i) || uniform() < plan_.unanswered) return;
        at(now_ + kWay * (0.7 + 0.6 * uniform()), [this, i, id = call.id, total, refuses, incarnation] {
            if (ingresses_[i].incarnation != incarnation || ingresses_[i].out.erase(id) == 0) return;
            if (refuses)
                ingresses_[i].shared_quota->on_rejected(clock(i), id);
            else
                ingresses_[i].shared_quota->on_reply(clock(i), id, total);
            flush(i);
        });
    }

    Plan plan_;
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
inline Plan site_plan(double length) {
    Plan plan;
    plan.settings.ingress_count = plan.spread = 3;
    plan.settings.plans = {{"basis", 0.8, 3.6, 0}, {"plus", 1.8, 8.1, 0}, {"pro", 7.3, 15, 0}};
    plan.length = length;
    std::mt19937_64 random(11);
    // About 78 requests a second inside the quotas: 34, 45 and 21 in 100 of them by plan.
    for (const auto& [number, count] : {std::pair{0U, 58}, {1U, 34}, {2U, 4}})
        for (int i = 0; i < count; ++i) {
            const double one = static_cast<double>(random() >> 11) * 0x1p-53;
            plan.mix.push_back({number,
                                one < 0.10   ? 2.5
                                : one < 0.28 ? 0.95
                                             : 0.2 + 0.4 * (one - 0.28) / 0.72,
                                random() % 6 == 0 ? 0.1 : 0});
        }
    plan.customers = static_cast<unsigned>(plan.mix.size());
    return plan;
}

// A schedule by its seed: sizes, load, clocks and up to three faults.
inline Plan random_plan(std::uint64_t seed) {
    std::mt19937_64 random(seed * 0x9e3779b97f4a7c15ULL + 7);
    const auto uniform = [&](double low, double high) {
        return low + (high - low) * (static_cast<double>(random() >> 11) * 0x1p-53);
    };
    Plan plan;
    plan.settings.ingress_count = 2 + static_cast<unsigned>(random() % 3);
    plan.spread = 2 + static_cast<unsigned>(random() % (plan.settings.ingress_count - 1));
    plan.settings.parts = 1 + static_cast<unsigned>(random() % 2);
    plan.customers = 1 + static_cast<unsigned>(random() % 3);
    const double rate = std::exp(uniform(std::log(0.6), std::log(9)));
    plan.settings.plans = {{"p", rate, std::max(1.0, rate * uniform(1.2, 6)), 0}};
    plan.settings.max_unreported_units = 1 + static_cast<double>(random() % 4);
    plan.settings.local_fraction = random() % 4 == 0 ? 0 : uniform(0.1, 0.6);
    const bool lasting = random() % 16 == 0;   // a fault that lasts
    plan.length = lasting ? uniform(60, 130) : uniform(10, 25);
    plan.load = std::exp(uniform(std::log(0.2), std::log(5)));
    plan.surge = random() % 2 ? 0.2 : 0;
    if (random() % 4 == 0) plan.unanswered = uniform(0.02, 0.5);
    if (random() % 4 == 0)
        for (unsigned i = 0; i < plan.settings.ingress_count; ++i)
            plan.clock.push_back(uniform(0.99, 1.01));
    for (std::size_t left = random() % 4; left > 0; --left) {
        Fault fault;
        fault.kind = static_cast<Fault::Kind>(random() % 9);
        fault.at = uniform(2, plan.length - 4);
        fault.until = fault.at + (lasting ? uniform(15, 60) : uniform(0.1, 8));
        fault.ingress = static_cast<unsigned>(random() % plan.settings.ingress_count);
        if (fault.kind == Fault::Kind::split) fault.ingress = 1U << fault.ingress;
        plan.faults.push_back(fault);
    }
    return plan;
}

}   // namespace model
