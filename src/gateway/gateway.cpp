// All decisions of one gateway. The interface, its events and actions: include/slatejunction/gateway.hpp.
// Order for a request: pass share draw, ceiling, admitted fraction draw, server (docs/design.md).
#include "slatejunction/gateway.hpp"

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace slatejunction {
namespace {

// Constants: unit, then reason. The same for every deployment; latencies are in parts of a class's aim.
constexpr double kReference = 0.3;      // aims; servers held full for seconds may get less done
constexpr double kPeriod = 0.5;         // s; the paper's sampling time
constexpr double kStalePeriod = 1.0;    // s; a period with few samples closes by then all the same
constexpr double kMinSamples = 2;       // answers a period at the reference; slow ones prove it by fewer
constexpr double kStretch = 4.0;        // periods' steps that one long period may move
constexpr double kSampleTop = 0.6;      // aims; a few slow servers or requests are no queue
constexpr double kFloor = 0.05;         // admitted fraction; the paper's low starting point
constexpr double kStep = 0.4;           // fraction; at full evidence, while the quotient is unusable
constexpr double kGainTop = 1.0;        // fraction per aim; bounds what two noisy points can ask for
constexpr double kFilter = 0.5;         // share of news in the filtered proportional term
constexpr double kIntegral = 0.06;      // fraction per aim and period; the paper's Ki x h / Ti
constexpr double kReset = 0.5;          // share of windup taken back each period; quicker than Ti
constexpr double kPointAge = 20.0;      // s; an older point speaks of another load
constexpr double kFleetShift = 0.15;    // change of the fleet's size that makes old points void
constexpr double kMeterLag = 1.5;       // metered periods; time whose use is not told yet
constexpr double kPriorUse = 0.7;       // of the rate; what a customer not heard of is taken to use
constexpr double kStrangerUse = 2.2;    // more, the fewer come to each door: those that ask most come first
constexpr double kPrior = 0.3;          // tries at the plan's rate that this is worth as evidence
constexpr double kEvidence = 6.0;       // tries at the plan's rate; older readings give way to that many
constexpr double kMargin = 0.85;        // of the rate; left unused, by what surplus costs
constexpr double kBorrow = 1.0;         // tries that the dearest class may borrow; a store holds some
constexpr double kDearPart = 0.35;      // exponent on worth, of the parts that classes have of a share
constexpr double kBorrowLeast = 0.15;   // of kBorrow, where no later draw is likely
constexpr double kAgain = 30.0;         // s; how long a debt waits for later draws
constexpr double kRepeat = 3.0;         // tries that a client's repeat tells of beside itself
constexpr double kUseFade = 12.0;       // s; readings are forgotten over this time
constexpr double kCustomerIdle = 60.0;   // s; then a customer is forgotten
constexpr double kLatencyNews = 0.15;    // weight of one answer in a server's latency
constexpr double kFleetNews = 0.02;      // weight of one answer in the fleet's mean latency
constexpr double kSilence = 4.0;         // mean latencies without any answer before a server is suspect
constexpr double kSilenceFloor = 0.3;    // aims; silence shorter than this proves nothing
constexpr double kFailWeight = 0.5;      // of one failure; two soon after another make a server suspect
constexpr double kStaleWeight = 0.03;    // of a kept connection that broke: providers end those at will
constexpr double kSilentWeight = 0.3;    // of an attempt's silence: it may just be long work
constexpr double kGoodNews = 0.3;        // what one good answer leaves of a failure figure
constexpr double kFailMemory = 4.0;      // s; failures fade over this time, longer when they repeat
constexpr int kStreakMost = 1;           // failures in a row that lengthen it
constexpr double kSuspect = 0.5;         // failure figure above which a server is avoided
constexpr double kPriorNews = 0.05;      // weight of one attempt in the fleet's failure figure
constexpr double kWide = 0.2;            // fleet's failure figure from which trouble is everywhere: a queue
constexpr double kPriorMost = 0.4;       // highest fleet figure: no server is suspect by it alone
constexpr double kChance = 0.15;         // of a cost, by chance: what is known of a server is rough
constexpr double kLatencyAge = 10.0;     // s; a server's latency fades to the fleet's over this time
constexpr double kStrange = 2.0;         // s; after this time without an answer a server is not known
constexpr int kDraws = 5;                // servers drawn for a choice
constexpr double kCrossZone = 0.15;      // relative cost of a server in another zone
constexpr double kRetryTokens = 0.2;     // further attempts earned by each first one
constexpr double kRetryFirst = 2.0;      // further attempts that a new gateway has
constexpr double kRetryTime = 10.0;      // s; further attempts not used are lost over this time
constexpr double kColdSafety = 0.68;     // part of the stated cold budget that is used at most
constexpr double kBorneNews = 0.1;       // weight of one attempt in the part that is answered
constexpr double kUntold = 0.2;          // of its part, that a start holds back as not all have been told
constexpr double kWaitTop = 0.35;        // aims; no new work of mean worth while open work waits so long
constexpr double kEaseLeast = 0.3;     // of kWaitTop; work of little worth waits behind that much at least
constexpr double kDearFirst = 0.5;     // tries that one of mean worth may borrow of the fraction
constexpr double kWorthNews = 0.05;    // weight of one request in the mean worth asked for
constexpr double kRateTime = 1.5;      // s; averaging of the rate of answers
constexpr double kSeenLeast = 0.1;     // of a full average; less tells too little
constexpr double kOpenLeast = 4.0;     // attempts a server, over all gateways, always allowed to be open
constexpr double kOpenProof = 1.0;     // open attempts at one gateway; fewer prove no queue
constexpr double kTellEvery = 5.0;     // s; between log lines
constexpr double kRelisten = 0.5;      // s; before a failed subscription is asked for again
constexpr double kTick = 0.05;         // s; upkeep
constexpr double kStall = 0.2;         // s; a longer gap between events is this gateway's own
constexpr double kSurplusStay = 0.2;   // aims; retry-after for surplus (clipped to what clients honour)
constexpr double kPressedStay = 0.1;   // aims; retry-after while the back end is pressed

double sane(double value) { return std::isfinite(value) && value > 0 ? value : 0; }
double clamp(double value, double low, double high) { return std::max(low, std::min(value, high)); }

// splitmix64: the same on every platform.
class Random {
  public:
    explicit Random(std::uint64_t seed) : state_(seed) {}
    double unit() {
        std::uint64_t z = (state_ += 0x9e3779b97f4a7c15ULL);
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
        z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
        return static_cast<double>((z ^ (z >> 31)) >> 11) * 0x1.0p-53;
    }

  private:
    std::uint64_t state_;
};

// Passes a `share` of what comes, by systematic sampling: the shares add up, and each whole one passes one,
// which may borrow that much from later draws. What passes is spread evenly, single draws come in runs.
bool sampled(double& phase, double share, double borrow) {
    phase += share;
    if (phase < 1 - borrow) return false;
    phase -= 1;
    return true;
}

// The paper's Load-Adaptive Controller (section V.B): equation 10 with a low-passed proportional term, a
// static integral gain and anti-windup. One reference serves all classes, as latencies count in aims.
class LoadController {
  public:
    double fraction() const { return fraction_; }

    void answered(double now) {
        if (first_ < 0) first_ = now;
        rate_ = faded(now) + 1 / kRateTime;
        rate_at_ = now;
    }
    // Answers a second, over the time seen since the first: a new gateway would refuse its first second.
    double rate(double now) const {
        const double seen = first_ < 0 ? 0 : 1 - std::exp(-(now - first_) / kRateTime);
        return faded(now) / std::max(seen, kSeenLeast);
    }

    // Finished attempts tell of a queue late. What is open over the rate of answers tells the latency of
    // the next request at once (Little's law, the paper's equation 7). Covers losses of capacity and
    // floods; harm: after an idle spell the rate is too low and a short burst is refused in part. `ease`:
    // how much longer than one of mean worth the request may wait.
    bool swamped(double open, double open_aims, double servers, double ease, double now) const {
        return open > std::max(kOpenProof, kOpenLeast * servers) && open_aims > ease * kWaitTop * rate(now);
    }

    void sample(double aims) {
        sum_ += std::min(aims, kSampleTop);
        ++count_;
    }

    // Guards against a gain fitted to a larger back end; harm: a few periods of fixed steps.
    void fleet_changed() { high_.at = low_.at = -1e18; }

    bool due(double now) const {
        const double age = now - began_;
        return age >= kPeriod && (count_ >= kMinSamples || age >= kStalePeriod);
    }

    void close(double now) {
        const double stretch = clamp((now - began_) / kPeriod, 1.0, kStretch);
        began_ = now;
        if (count_ == 0) return;   // nothing finished: hold
        const double measured = sum_ / count_;
        const double proof = std::min(1.0, count_ * measured / kReference / (kMinSamples * stretch));
        sum_ = 0;
        count_ = 0;
        (measured > kReference ? high_ : low_) = Point{fraction_, measured, now};
        const double error = kReference - measured;
        // Evidence for a step: the answers, and how far their average lies from the reference, so that
        // noise around it cancels. A step this large acts before servers have long been full; harm: swings
        // where answers come late.
        const double full = stretch * kStep * std::min(1.0, std::abs(error) / kReference);
        const double down = full * proof;   // up needs none: few answers come when little is let in
        double step = error > 0 ? full : -down;
        const bool known = now - high_.at < kPointAge && now - low_.at < kPointAge;
        const double run = high_.fraction - low_.fraction;
        const double rise = high_.time - low_.time;
        // The quotient counts only with the physical sign (more admitted, slower); noise gives others too.
        if (known && run > 0.01 && rise > 0) {
            proportional_ += kFilter * (std::min(run / rise, kGainTop) * error - proportional_);
            step = stretch * proportional_;
        } else {
            proportional_ = 0;
        }
        // The integral part in velocity form can't wind up past the limits; what the filter holds beyond
        // them is taken back. Moves are bounded, as answers of a queue speak of earlier fractions.
        const double wanted = fraction_ + clamp(step + kIntegral * error, -down, full);
        const double next = clamp(wanted, kFloor, 1.0);
        proportional_ += kReset * (next - wanted);
        fraction_ = next;
    }

  private:
    double faded(double now) const { return rate_ * std::exp(-(now - rate_at_) / kRateTime); }
    struct Point {
        double fraction = 0;
        double time = 0;
        double at = -1e18;
    };
    double fraction_ = 1.0;
    double began_ = 0;
    double sum_ = 0;
    int count_ = 0;
    Point high_, low_;
    double proportional_ = 0;
    double rate_ = 0, rate_at_ = 0, first_ = -1;   // of answers
};

// Local part of a plan's ceiling: a token bucket of rate / doors and burst / doors. Safe without talk. It
// starts empty, as a start can't be told from a restart, which must not refill it; harm: a customer whose
// first burst after a start exceeds its part of the rate is held back.
class CeilingStore {
  public:
    void refill(double now, double start, const Plan& plan, double doors) {
        const double part = 1.0 / std::max(doors, 1.0);
        if (at_ < start) at_ = start;
        units_ = std::min(units_ + std::max(0.0, now - at_) * plan.hard_limit_rate * part,
                          plan.hard_limit_burst * part);
        at_ = std::max(at_, now);
    }
    bool holds(double units) const { return units_ >= units; }
    void draw(double units) { units_ -= units; }

  private:
    double units_ = 0;
    double at_ = -1e18;
};

struct Customer {
    double seen = 0, doors = 1;
    double store = 0;        // s of the plan's rate left in the shared store, as far as it has been metered
    double tries = 0;        // metered tries, fading
    double asks = 0;         // tries asked for here, fading
    double told_tries = 0;   // tries that the plan's rate would have brought in the time told of
    double exposure = 0;   // tries that the plan's rate would have brought meanwhile, times the share then
    double phase = 0;      // of the draws
    bool drawn = false;    // has the first been made
    double share = 1;      // pass share in force, averaged over the time not metered yet
    double told = -1e18;   // when the last reading was applied, and what it said
    double last_use = -1;
    double typical = 0;   // units of a try, averaged
    double own = 0;       // own units sent on, not metered yet
    double lately = 0;    // own tries asked, not metered yet
    double at = 0;
    int out = 0;   // own attempts out
    CeilingStore ceiling;
};

// Pass shares. The design page multiplies the share by 100 / used each metered period, that is, the share
// then in force x 100 / used. At a gateway with few tries of a customer a reading is rare and tells of few
// tries, so readings are weighed as counts (Gamma-Poisson with a weak prior). They fill and drain an
// estimate of the customer's one store; own sends stand in only for the time not metered yet. Covers meters
// that repeat or fall silent (what they told fades); harm: light customers of many doors come twice.
class QuotaShares {
  public:
    void configure(double period, double start) { period_ = period, start_ = start; }

    Customer& find(std::uint64_t id, double now, const Plan& plan, double doors) {
        auto [at, fresh] = customers_.try_emplace(id);
        Customer& c = at->second;
        if (fresh) c.store = plan.rate > 0 ? store_time(plan) : 0, c.at = now;
        advance(c, plan, now);
        c.seen = now;
        c.doors = std::max({c.doors, sane(doors), 1.0});
        return c;
    }
    Customer* known(std::uint64_t id) {
        const auto at = customers_.find(id);
        return at == customers_.end() ? nullptr : &at->second;
    }

    // A try that is asked for here: the chance that it is passed on. A client's repeat tells of tries
    // before it that were not seen here, and has no part in the store. Covers clients that repeat at once;
    // harm: one refused by chance is more likely refused again.
    double share(Customer& c, const Plan& plan, double units, bool repeat) {
        if (plan.rate <= 0) return 1.0;
        if (repeat) c.asks += kRepeat;   // tries came before it, at this door or others
        c.typical = c.typical > 0 ? c.typical + 0.1 * (units - c.typical) : units;
        const double lag = std::max(kMeterLag * period_, 1e-3);
        const double here = lag * plan.rate / (std::max(c.typical, 1e-6) * c.doors);
        const double wanted = std::max((demand(c, plan) + c.lately) / (1 + here), 1e-9);
        const double used = std::max(use(c, plan), c.doors * c.own / (plan.rate * lag));
        const double left = c.store + (1 - used) * lag - units / plan.rate;
        const double aim = 1 - kMargin * clamp(plan.over_quota_penalty - plan.over_quota_weight, 0.0, 1.0);
        c.share = clamp((aim + (repeat ? 0.0 : std::max(0.0, left)) / lag) / wanted, 0.0, 1.0);
        c.asks += 1;
        c.lately += 1;
        return c.share;
    }

    void sent(Customer& c, double units) { c.own += units; }

    // Passes with chance `share`, from a random start, as runs of single draws are more than the store
    // holds. All tries count alike against a quota, so a class of more worth (here over the dearest one's)
    // may borrow from later draws: of a surplus the dear tries pass first. A customer of many doors may
    // make no later draw here: then its classes part the share by worth over the mean one's (`dear`).
    bool draw(Customer& c, const Plan& plan, double share, double worth, double dear, Random& random) {
        if (!c.drawn) c.drawn = true, c.phase = random.unit();
        const double here = kAgain * plan.rate / (std::max(c.typical, 1e-6) * c.doors);
        const double again = plan.rate > 0 ? 1 - std::exp(-here) : 1.0;
        share = std::min(1.0, share * std::pow(std::max(dear, 0.1), kDearPart * (1 - again)));
        return sampled(c.phase, share, kBorrow * worth * std::max(again, kBorrowLeast));
    }

    // Answers repeat a period's figure: it is applied once, when it changes or a period has passed.
    void metered(Customer& c, const Plan& plan, double quota_use, double now) {
        if (quota_use < 1 || period_ <= 0 || plan.rate <= 0) return;
        if (now - c.told < (quota_use == c.last_use ? 1.0 : 0.5) * period_) return;
        advance(c, plan, now);
        const double told = (quota_use - 1) / 100;
        const double tries = plan.rate * period_ / std::max(c.typical, 1e-6);   // at the plan's rate
        const double keep = std::exp(-tries / kEvidence);
        c.store = clamp(c.store + (use(c, plan) - told) * period_, 0.0, store_time(plan));
        c.tries = c.tries * keep + told * tries;
        c.exposure = c.exposure * keep + c.share * tries;
        c.told_tries = c.told_tries * keep + tries;
        c.told = now, c.last_use = quota_use;
    }

    void sweep(double now) {
        for (auto at = customers_.begin(); at != customers_.end();)
            at = now - at->second.seen > kCustomerIdle && at->second.out == 0 ? customers_.erase(at)
                                                                              : std::next(at);
    }

  private:
    double store_time(const Plan& plan) const { return std::max(plan.burst / plan.rate, period_); }
    // Of all gateways, over the plan's rate: what the meter told, and what comes through this door of many.
    double demand(const Customer& c, const Plan& plan) const {
        // Against one store's time at least: a burst inside the store is no surplus.
        const double seen =
            std::max(store_time(plan), kUseFade * (1 - std::exp(-(c.at - start_) / kUseFade)));
        const double here = seen * plan.rate / (std::max(c.typical, 1e-6) * c.doors);
        // Doors carry uneven parts, so what comes through one is worth few tries; of few doors, more.
        const double worth = 1 + kEvidence / std::max(c.doors - 1, 0.1);
        const double part = worth / (worth + here + c.asks);
        // Through many doors the light customers are rarely heard, so one that comes is likely a heavy one.
        const double prior = kPriorUse + kStrangerUse * std::exp(-here * kUseFade / seen);
        return (prior * kPrior + c.tries + part * c.asks) / (kPrior + c.exposure + part * here);
    }
    // What all gateways together send on of it.
    double use(const Customer& c, const Plan& plan) const {
        return (kPrior * demand(c, plan) * c.share + c.tries) / (kPrior + c.told_tries);
    }
    // Time passes: the store refills by the rate less the use last told, which fades.
    void advance(Customer& c, const Plan& plan, double now) {
        const double gap = now - c.at;
        if (gap <= 0 || plan.rate <= 0) return;
        c.at = now;
        c.store = clamp(c.store + gap * (1 - use(c, plan)), 0.0, store_time(plan));
        const double fade = std::exp(-gap / kUseFade);
        for (double* count : {&c.tries, &c.exposure, &c.told_tries, &c.asks}) *count *= fade;
        const double unmetered = std::exp(-gap / std::max(kMeterLag * period_, 1e-3));
        for (double* count : {&c.own, &c.lately}) *count *= unmetered;
    }
    std::map<std::uint64_t, Customer> customers_;
    double period_ = 0, start_ = 0;
};

// Evidence that fades toward what the fleet shows as a whole: one figure for failures, one for each kind of
// request that is turned away.
struct Evidence {
    double level = 0;
    double at = -1e18;
    int streak = 0;   // failures since the last success: each makes it fade more slowly

    double now(double time, double prior) const {
        return prior + (level - prior) * std::exp(-(time - at) / (kFailMemory * (1 + streak)));
    }
    void bad(double time, double prior, double weight) {
        level = now(time, prior);
        level += weight * (1 - level);
        at = time;
        streak = std::min(streak + 1, kStreakMost);
    }
    void good(double time, double prior) {
        level = kGoodNews * now(time, prior);
        at = time;
        streak = 0;
    }
};

struct Server {
    std::string id, zone;
    std::int64_t cell = 0;
    double weight = 1, born = 0;
    std::uint64_t subsets = 0;
    bool listed = true;
    int open = 0;
    double latency = 0, heard = -1e18;   // aims, averaged; last answer
    double silent_since = 0;
    Evidence failing;
    std::vector<Evidence> full;   // by kind of request
};

// The servers: the list, their health, the cold budget and the choice.
class ServerPool {
  public:
    void configure(const Settings* settings, std::size_t kinds) {
        settings_ = settings;
        full_.assign(kinds, 0);
    }

    // Returns how much of the fleet changed.
    double update(const EndpointUpdate& list, double now) {
        const double before = std::max<double>(1.0, static_cast<double>(usable()));
        double changed = 0;
        if (list.kind != EndpointUpdateKind::delta)
            for (auto& [id, s] : servers_) s.listed = false;
        for (const Endpoint& e : list.endpoints) {
            if (e.state != EndpointState::serving) {
                if (Server* s = find(e.backend)) s->listed = false, changed += 1;
                continue;
            }
            auto [at, fresh] = servers_.try_emplace(e.backend);
            Server& s = at->second;
            const double born = sane(e.started_at_s);
            if (fresh || born != s.born) {
                const int open = s.open;
                s = Server{};
                s.open = open;
                s.id = e.backend;
                s.born = born;
                s.silent_since = now;
                s.full.resize(full_.size());
                changed += 1;
            }
            s.listed = true;
            s.zone = e.zone;
            s.cell = e.cell;
            s.subsets = e.subsets;
            s.weight = sane(e.capacity_hint) > 0 ? sane(e.capacity_hint) : 1.0;
        }
        rebuild();
        return std::max(changed, std::abs(static_cast<double>(usable()) - before)) / before;
    }

    Server* find(const std::string& id) { return servers_.count(id) ? &servers_.at(id) : nullptr; }

    struct Need {
        bool unsafe = false;
        std::size_t kind = 0;
        const std::vector<std::string>* avoid = nullptr;   // always given
        IdempotencyScope group = IdempotencyScope::all;
        const Server* anchor = nullptr;
        std::size_t part = 0;
    };

    // A few servers drawn by weight, as many gateways would herd on what they learn late; where this one
    // has not heard of them lately, those that answered it last as well. The lowest cost wins.
    Server* choose(const Need& need, double now, Random& random) {
        if (usable(need.part) == 0) return nullptr;
        const Part& part = parts_[need.part];
        Server* best = nullptr;
        Server* bad = nullptr;   // the best of those that are avoided
        double least = 0, least_bad = 0;
        const auto consider = [&](Server* s) {
            if (!s->listed || !in_group(*s, need) || !in_part(*s, need.part)) return;
            const double score = (1 + kChance * random.unit()) * cost(*s, need, now);
            const bool tried =
                need.avoid && std::find(need.avoid->begin(), need.avoid->end(), s->id) != need.avoid->end();
            if (tried || suspect(*s, now) || full(*s, need.kind, now) > kSuspect) {
                if (!bad || score < least_bad) bad = s, least_bad = score;
            } else if (!best || score < least) {
                best = s, least = score;
            }
        };
        if (need.anchor && need.group != IdempotencyScope::all) {
            for (Server* s : part.usable)
                if (warmth(*s, now) >= 1 || random.unit() < cold_part(*s, now)) consider(s);
            return best ? best : bad;
        }
        for (int i = 0; i < kDraws; ++i) {
            Server* s = draw(part, random);
            if (warmth(*s, now) >= 1) {
                consider(s);
            } else if (i == 0 && need.avoid->empty() && random.unit() < cold_part(*s, now)) {
                consider(s);   // it alone: a cold server is never preferred to others, nor gets what failed
                if (best) return best;
            }
        }
        const bool strange = !best || now - best->heard > kStrange;
        for (Server* s : recent_)
            if (s && strange && warmth(*s, now) >= 1) consider(s);
        return best ? best : bad;
    }

    void sent(Server& s, double now) {
        if (s.open++ == 0) s.silent_since = now;
        borne_ -= kBorneNews * borne_;
    }

    void answered(Server& s, std::size_t kind, double aims, double now) {
        s.silent_since = now;
        s.latency = latency(s, now) + kLatencyNews * (aims - latency(s, now));
        s.heard = now;
        mean_ += kFleetNews * (aims - mean_);
        borne_ = std::min(1 + kBorneNews, borne_ + kBorneNews);
        s.failing.good(now, bad_);
        s.full[kind].good(now, full_[kind]);
        bad_ -= kPriorNews * bad_;
        full_[kind] -= kPriorNews * full_[kind];
        if (std::find(recent_.begin(), recent_.end(), &s) == recent_.end())
            recent_[recent_at_++ % recent_.size()] = &s;
    }

    // Any failure of an attempt, quick or by silence, tells of its server and a little of the whole fleet.
    // Covers fast errors, hangs, broken connections; harm: each server costs an attempt now and then.
    void failed(Server& s, double now, double weight = kFailWeight) {
        s.failing.bad(now, bad_, weight);
        bad_ += kPriorNews * (kPriorMost - bad_);
    }
    // Turned away: kept by kind of request, as a server may have room for the others.
    void turned_away(Server& s, std::size_t kind, double now) {
        s.silent_since = now;
        s.full[kind].bad(now, full_[kind], kFailWeight);
        full_[kind] += kPriorNews * (kPriorMost - full_[kind]);
    }
    bool suspect(const Server& s, double now) const { return s.failing.now(now, bad_) > kSuspect; }
    // Silence and failures of half of what was sent lately are a queue or an outage, not single servers:
    // then they count as load, and nothing is called off. Harm: with most servers dead, requests wait.
    bool wide() const { return bad_ > kWide; }
    bool counts(const Server& s, double now) const { return wide() || !suspect(s, now); }
    auto suspects(double now) const {
        return std::count_if(parts_[0].usable.begin(), parts_[0].usable.end(),
                             [&](const Server* s) { return suspect(*s, now); });
    }

    double mean() const { return mean_; }
    // Of a part of the fleet; 0 is the whole.
    std::size_t usable(std::size_t part = 0) const {
        return part < parts_.size() ? parts_[part].usable.size() : 0;
    }

    // Forgets servers that are off the list and owe no answer.
    void rebuild() {
        recent_.fill(nullptr);
        parts_.assign(1, {});
        for (auto at = servers_.begin(); at != servers_.end();) {
            if (!at->second.listed && at->second.open == 0) {
                at = servers_.erase(at);
                continue;
            }
            Server& s = (at++)->second;
            if (!s.listed) continue;
            parts_[0].add(s);
            for (std::uint64_t left = s.subsets; left != 0; left &= left - 1) {
                const auto part = static_cast<std::size_t>(std::countr_zero(left)) + 1;
                if (part >= parts_.size()) parts_.resize(part + 1);
                parts_[part].add(s);
            }
        }
    }

  private:
    // The whole fleet, or a named part of it: its listed servers in the order of their ids.
    struct Part {
        std::vector<Server*> usable;
        std::vector<double> upto;   // sums of their weights
        void add(Server& s) {
            upto.push_back((upto.empty() ? 0 : upto.back()) + s.weight);
            usable.push_back(&s);
        }
    };
    static bool in_part(const Server& s, std::size_t part) {
        return part == 0 || (s.subsets >> (part - 1) & 1) != 0;
    }
    static bool in_group(const Server& s, const Need& need) {
        if (!need.anchor || need.group == IdempotencyScope::all) return true;
        return need.group == IdempotencyScope::zone ? s.zone == need.anchor->zone
                                                    : s.cell == need.anchor->cell;
    }

    static Server* draw(const Part& part, Random& random) {
        const auto& upto = part.upto;
        const auto at = std::upper_bound(upto.begin(), upto.end(), random.unit() * upto.back());
        return part.usable[std::min(static_cast<std::size_t>(at - upto.begin()), upto.size() - 1)];
    }

    // The least part of its capacity that a server can have by now.
    double warmth(const Server& s, double now) const {
        if (s.born <= 0 || settings_->slow_start_window_s <= 0 || settings_->overload_window_s <= 0)
            return 1;
        const double age = std::max(0.0, now - s.born) / settings_->slow_start_window_s;
        const double from = clamp(settings_->slow_start_min_capacity, 0.01, 1.0);
        return age >= 1 ? 1 : from + (1 - from) * age;
    }

    // Rule 4, its bound. Of its even part of what the fleet bears (attempts that are answered), by weight,
    // a cold server gets what the budget allows, by chance, so that any number of gateways keep it together
    // and no warm server is needed to judge by. At first less, as some gateways may not have been told yet.
    double cold_part(const Server& s, double now) const {
        const double age = clamp((now - s.born) / std::max(settings_->overload_window_s, 1e-3), 0.0, 1.0);
        return std::min(1.0, kColdSafety * settings_->overload_multiple * warmth(s, now)) * borne_ *
               (1 - kUntold * (1 - age));
    }

    double latency(const Server& s, double now) const {
        return mean_ + (s.latency - mean_) * std::exp(-(now - s.heard) / kLatencyAge);
    }
    double full(const Server& s, std::size_t kind, double now) const {
        return s.full[kind].now(now, full_[kind]);
    }

    double cost(const Server& s, const Need& need, double now) const {
        // By unit of weight: the draw has favoured the larger already.
        const double held = 1 + s.open / s.weight;
        const double pace = latency(s, now);
        const double quiet = s.open > 0 ? now - s.silent_since : 0;   // s, against aims: about one s each
        double score = held * (mean_ + pace + std::max(0.0, quiet - pace));
        if (s.zone != settings_->zone) score *= 1 + kCrossZone;
        return score * (1 + (need.unsafe ? 20 : 5) * s.failing.now(now, bad_)) *
               (1 + 5 * full(s, need.kind, now));
    }

    std::map<std::string, Server> servers_;
    std::vector<Part> parts_{1};
    std::array<Server*, 4> recent_{};
    std::size_t recent_at_ = 0;
    const Settings* settings_ = nullptr;
    double mean_ = 0.1;
    double borne_ = 1;   // part of the attempts that is answered
    double bad_ = 0;     // share of attempts that fail, over the fleet
    std::vector<double> full_;
};

bool never_ran(AttemptResult o) {
    return o == AttemptResult::rejected || o == AttemptResult::connect_failed ||
           o == AttemptResult::not_started;
}

struct Attempt {
    std::string server;
    double sent = 0;
    bool open = true;
    bool ran = true;        // may have run: true until an outcome proves otherwise
    bool silent = false;    // overdue while its server answers nothing: no part of the open work
    std::size_t part = 0;   // of the fleet, that it was sent to
};

struct Job {
    std::uint64_t number = 0;
    Request request;
    const ServiceClass* service = nullptr;
    const Plan* plan = nullptr;
    std::vector<Attempt> attempts;
    std::vector<std::string> tried;
    std::size_t kind = 0;   // class and plan
    std::size_t part = 0;   // of the fleet, that it is for now
    bool streaming = false, ended = false;
    int open = 0;

    const Attempt* first_run() const {
        for (const Attempt& a : attempts)
            if (a.ran) return &a;
        return nullptr;
    }
};

}   // namespace

class Gateway::Impl {
  public:
    Impl(Settings settings, std::uint64_t seed) : settings_(std::move(settings)), random_(seed) {
        servers_.configure(&settings_, settings_.classes.size() * (settings_.plans.size() + 1));
        balancers_ = sane(settings_.ingress_count);
        for (const ServiceClass& c : settings_.classes)
            top_worth_ = std::max(top_worth_, sane(c.priority_weight));
    }

    void handle(double now, const Event& event, std::vector<Action>& actions) {
        // The upkeep timer is never far: a gap means that this gateway stood still. What is silent or
        // overdue then has its answer waiting here, so nothing is judged by it for a tick. Harm: a tick's
        // delay.
        if (started_ && now - now_ > kStall) resumed_ = now;
        if (std::isfinite(now)) now_ = started_clock_ ? std::max(now_, now) : now;
        started_clock_ = true;
        out_ = &actions;
        std::visit([this](const auto& e) { on(e); }, event);
        out_ = nullptr;
    }

    std::size_t open() const { return jobs_.size(); }

  private:
    void on(const Start&) {
        if (started_) return;
        started_ = true;
        start_ = retries_at_ = now_;
        shares_.configure(sane(settings_.meter_period_s), start_);
        if (settings_.discovery == DiscoveryMode::subscribe) listen();
        act(SetTimer{now_ + kTick, 0});
    }

    void listen() { asked_ = now_, act(WatchEndpoints{true}); }

    void on(const EndpointUpdate& list) {
        if (list.kind == EndpointUpdateKind::watch_lost)
            relisten_ = now_ + kRelisten;
        else if (servers_.update(list, now_) > kFleetShift)
            for (Lane& lane : lanes_) lane.load.fleet_changed();
    }

    void on(const Request& request) {
        if (!started_ || jobs_by_id_.count(request.id)) return;
        const auto& classes = settings_.classes;
        const auto& plans = settings_.plans;
        const auto service = std::find_if(classes.begin(), classes.end(),
                                          [&](const auto& s) { return s.name == request.service_class; });
        if (service == classes.end() || !(request.deadline_at_s > now_))
            return act(RejectRequest{request.id, 0, RejectReason::malformed});
        static const Plan no_plan;
        const auto named =
            std::find_if(plans.begin(), plans.end(), [&](const auto& p) { return p.name == request.plan; });
        const Plan* plan = named == plans.end() ? &no_plan : &*named;
        const double units = sane(request.units);
        Customer& c = shares_.find(request.customer, now_, *plan, request.ingress_count);
        const double share = shares_.share(c, *plan, units, request.is_client_retry);
        c.ceiling.refill(now_, start_, *plan, c.doors);
        const double class_worth = sane(service->priority_weight);
        if (!shares_.draw(c, *plan, share, class_worth / top_worth_, against(class_worth_, class_worth),
                          random_))
            return refuse(RejectReason::quota, request, kSurplusStay * service->latency_objective_s);
        if (request.rate_limit_retry_after_s > 0)
            return act(
                RejectRequest{request.id, request.rate_limit_retry_after_s, RejectReason::rate_limit});
        if ((plan->hard_limit_rate > 0 && !c.ceiling.holds(units)) ||
            (plan->max_in_flight > 0 && c.out >= plan->max_in_flight))
            return refuse(RejectReason::hard_limit, request, kSurplusStay * service->latency_objective_s);
        Job job;
        job.part = request.subset == 0 ? 0 : static_cast<std::size_t>(std::countr_zero(request.subset)) + 1;
        if (job.part >= lanes_.size()) lanes_.resize(job.part + 1);
        if (request.subset_fallback != SubsetFallback::never && servers_.usable(job.part) == 0)
            job.part = 0;
        const double worth =
            sane(service->priority_weight) * (sane(plan->plan_weight) > 0 ? plan->plan_weight : 1.0);
        const double dear = against(worth_, worth);
        auto why = pressed(job.part, dear);
        if (why && job.part != 0 && request.subset_fallback == SubsetFallback::when_overloaded)
            why = pressed(job.part = 0, dear);
        if (why) return refuse(*why, request, kPressedStay * service->latency_objective_s);

        job.number = ++numbers_;
        job.request = request;
        job.service = &*service;
        job.plan = plan;
        job.kind = static_cast<std::size_t>((named - plans.begin()) * std::ssize(classes) +
                                            (service - classes.begin()));
        if (!send(job))
            return refuse(RejectReason::no_backend, request, kPressedStay * service->latency_objective_s);
        shares_.sent(c, units);
        if (plan->hard_limit_rate > 0) c.ceiling.draw(units);
        retries_ = retries_ * std::exp(-(now_ - retries_at_) / kRetryTime) + kRetryTokens;
        retries_at_ = now_;
        act(SetTimer{std::max(now_, request.deadline_at_s - sane(settings_.tick_interval_s)),
                     2 * job.number});
        jobs_by_id_[request.id] = job.number;
        jobs_.emplace(job.number, std::move(job));
    }

    // A worth over the mean of what was asked for, in which it counts from now on.
    static double against(double& mean, double worth) {
        mean += (mean > 0 ? kWorthNews : 1) * (worth - mean);
        return mean > 0 ? worth / mean : 1.0;
    }

    // What keeps a request out of a part of the fleet: its load, or what is open there. The fraction is
    // sampled as shares are: one worth `dear` of the mean goes first by so much, and as many pass in all.
    std::optional<RejectReason> pressed(std::size_t part, double dear) {
        Lane& lane = lanes_[part];
        if (lane.load.fraction() >= 1) lane.phase = 0;   // nothing is owed once all may pass
        if (!sampled(lane.phase, lane.load.fraction(), kDearFirst * dear))
            return RejectReason::admitted_fraction;
        const double fleet = static_cast<double>(servers_.usable(part)) / std::max(1.0, balancers_);
        if (lane.load.swamped(lane.open, lane.open_aims, fleet, std::max(dear, kEaseLeast), now_))
            return RejectReason::concurrency_limit;
        return std::nullopt;
    }

    // One line every few seconds in which a guard acted, for those on call.
    void tell() {
        static const std::array<const char*, 5> names{"share ", ", ceiling or cap ", ", fraction ",
                                                      ", open work ", ", no server "};
        const auto suspects = servers_.suspects(now_);
        std::string text = "refused: ";
        for (std::size_t i = 0; i < names.size(); ++i) text += names[i] + std::to_string(refused_[i]);
        text += "; admitted fraction " + std::to_string(static_cast<int>(100 * lanes_[0].load.fraction())) +
                "%; suspect servers " + std::to_string(suspects);
        if (suspects > 0 || refused_ != decltype(refused_){}) act(LogMessage{std::move(text)});
        refused_ = {};
        told_ = now_;
    }

    void refuse(RejectReason reason, const Request& r, double stay) {
        if (static_cast<std::size_t>(reason) < refused_.size())
            ++refused_[static_cast<std::size_t>(reason)];
        // Advised even where the site says that clients aren't told: one that is comes back when it helps.
        const double top = sane(settings_.max_retry_after_s);
        act(RejectRequest{r.id, top > 0 ? std::min(stay, top) : stay, reason});
    }

    bool spent(const Job& job) const {
        return static_cast<double>(job.attempts.size()) >= std::max(1.0, settings_.max_attempts);
    }
    bool may_send(const Job& job) const {
        if (job.ended || job.streaming || spent(job)) return false;
        if (job.open > 0 && !settings_.hedging_allowed) return false;
        const Attempt* ran = job.first_run();
        if (!ran || job.service->idempotency == Idempotency::idempotent) return true;
        return job.service->idempotency == Idempotency::idempotency_key &&
               now_ <= window_end(*ran, *job.service);
    }
    // Until when a keyed request that may have run may begin again: it has to arrive in time.
    double window_end(const Attempt& ran, const ServiceClass& service) const {
        return ran.sent + sane(service.idempotency_window_s) - kTick;
    }

    // Sends the next attempt if the class allows it and a server can take it.
    bool send(Job& job) {
        if (!may_send(job)) return false;
        ServerPool::Need need;
        need.unsafe = job.service->idempotency != Idempotency::idempotent;
        need.kind = job.kind;
        need.avoid = &job.tried;
        need.group = job.service->idempotency_scope;
        const Attempt* ran = job.first_run();
        if (ran && job.service->idempotency == Idempotency::idempotency_key &&
            need.group != IdempotencyScope::all) {
            need.anchor = servers_.find(ran->server);
            if (!need.anchor) return false;
        }
        need.part = job.part;
        Server* s = servers_.choose(need, now_, random_);
        const bool spills =
            job.request.subset_fallback == SubsetFallback::when_overloaded ||
            (job.request.subset_fallback == SubsetFallback::when_empty && servers_.usable(job.part) == 0);
        if (!s && job.part != 0 && spills) {
            need.part = job.part = 0;
            s = servers_.choose(need, now_, random_);
        }
        if (!s) return false;
        const double by = ran && job.service->idempotency == Idempotency::idempotency_key
                              ? window_end(*ran, *job.service)
                              : 0;
        job.attempts.push_back({s->id, now_, true, true, false, job.part});
        job.tried.push_back(s->id);
        ++job.open;
        servers_.sent(*s, now_);
        lanes_[job.part].opened(job.service->latency_objective_s, 1);
        if (Customer* c = shares_.known(job.request.customer)) ++c->out;
        act(StartAttempt{job.request.id, s->id, 0, job.request.subset != 0 && job.part == 0, by});
        act(SetTimer{now_ + patience(job), 2 * job.number + 1});
        return true;
    }

    // How long an attempt may stay silent before its server is looked at.
    double patience(const Job& job) const {
        return std::max(kSilence * servers_.mean(), kSilenceFloor) *
               std::max(job.service->latency_objective_s, 0.01);
    }

    Job* find(const std::string& id) {
        const auto at = jobs_by_id_.find(id);
        return at == jobs_by_id_.end() ? nullptr : &jobs_.at(at->second);
    }

    void on(const AttemptEnded& e) {
        Job* job = find(e.id);
        if (!job || e.attempt < 0 || static_cast<std::size_t>(e.attempt) >= job->attempts.size()) return;
        Attempt& attempt = job->attempts[static_cast<std::size_t>(e.attempt)];
        if (!attempt.open) return;
        attempt.open = false;
        --job->open;
        const bool stalled = attempt.sent < resumed_ && now_ - resumed_ < kTick;   // how long is not known
        const double took = now_ - attempt.sent - sane(e.write_duration_s);
        const double aims =
            stalled ? servers_.mean() : took / std::max(job->service->latency_objective_s, 1e-3);
        if (Customer* c = shares_.known(job->request.customer)) {
            --c->out;
            shares_.metered(*c, *job->plan, sane(e.quota_use), now_);
        }
        if (!attempt.silent) lanes_[attempt.part].opened(job->service->latency_objective_s, -1);
        if (Server* s = servers_.find(attempt.server)) {
            --s->open;
            const bool counts = servers_.counts(*s, now_);
            if (e.result == AttemptResult::ok) {
                servers_.answered(*s, job->kind, aims, now_);
                lanes_[attempt.part].load.answered(now_);
            } else if (e.result == AttemptResult::rejected) {
                servers_.turned_away(*s, job->kind, now_);
            } else if (e.result != AttemptResult::cancelled && e.result != AttemptResult::not_started) {
                servers_.failed(*s, now_, e.stale_connection ? kStaleWeight : kFailWeight);
            }
            const bool lost =
                e.result == AttemptResult::timeout || attempt.silent;   // timed out or called off
            if (counts && (lost || e.result == AttemptResult::ok)) lanes_[attempt.part].load.sample(aims);
            if (!s->listed && s->open == 0) servers_.rebuild();
        }
        attempt.ran = !never_ran(e.result);
        if (e.request_ended || job->ended || e.result == AttemptResult::ok) return finish(*job);
        if (job->open > 0) return;
        if (e.result != AttemptResult::timeout && retries_ >= 1 &&
            job->request.deadline_at_s - now_ > kTick && send(*job)) {
            retries_ -= 1;
            return;
        }
        close(*job);
    }

    // The final answer, as soon as no attempt can bring one any more: never later to keep a client quiet.
    void close(Job& job) {
        const bool may_refuse = job.service->idempotency == Idempotency::idempotent || !job.first_run() ||
                                (job.service->idempotency == Idempotency::idempotency_key &&
                                 job.service->idempotency_scope == IdempotencyScope::all);
        if (may_refuse)
            refuse(RejectReason::attempts_exhausted, job.request,
                   kPressedStay * job.service->latency_objective_s);
        else
            act(FailRequest{job.request.id});
        finish(job);
    }

    // Ends a request: calls off what is still out and forgets it once all of it has come back.
    void finish(Job& job) {
        if (!job.ended && job.open > 0 && settings_.cancellation_allowed && !job.streaming)
            for (std::size_t i = 0; i < job.attempts.size(); ++i)
                if (job.attempts[i].open) act(CancelAttempt{job.request.id, static_cast<std::int64_t>(i)});
        job.ended = true;
        if (job.open > 0) return;
        jobs_by_id_.erase(job.request.id);
        jobs_.erase(job.number);
    }

    void on(const StreamStarted& b) {
        Job* job = find(b.id);
        if (job && !job->ended) job->streaming = true;
    }

    void on(const HealthCheckEnded&) {}   // none is asked for: reports tell of latency, which answers show

    void on(const ClientDisconnected& g) {
        if (Job* job = find(g.id)) finish(*job);
    }

    void on(const TimerFired& t) {
        if (t.tag == 0) return upkeep();
        const auto at = jobs_.find(t.tag / 2);
        if (at == jobs_.end() || at->second.ended || at->second.streaming) return;
        if (t.tag % 2 == 0)
            close(at->second);
        else
            look_after(at->second);
    }

    // An attempt is late and its server has answered nothing since it went out: silence. A class that may
    // be repeated goes elsewhere, beside the first attempt where that is allowed, else in its place.
    void look_after(Job& job) {
        Attempt& attempt = job.attempts.back();
        Server* s = servers_.find(attempt.server);
        const double wait = patience(job);
        if (now_ - resumed_ < kTick) return act(SetTimer{now_ + kTick, 2 * job.number + 1});
        if (!attempt.open || now_ - attempt.sent < 0.9 * wait) return;
        if (job.request.deadline_at_s - now_ > wait) act(SetTimer{now_ + wait, 2 * job.number + 1});
        if (!s || s->silent_since > attempt.sent + 1e-9) return;
        servers_.failed(*s, now_, kSilentWeight);
        if (servers_.wide()) return;
        const bool again = attempt.silent;   // a copy or a cancellation has been asked for
        if (!again) lanes_[attempt.part].opened(job.service->latency_objective_s, -1);
        attempt.silent = true;
        if (again || retries_ < 1 || job.service->idempotency == Idempotency::not_idempotent || spent(job))
            return;
        if (settings_.hedging_allowed) {
            if (send(job)) retries_ -= 1;
        } else if (settings_.cancellation_allowed) {
            act(CancelAttempt{job.request.id, static_cast<std::int64_t>(job.attempts.size() - 1)});
        }
    }

    void upkeep() {
        act(SetTimer{now_ + kTick, 0});
        if (settings_.discovery == DiscoveryMode::subscribe &&
            (now_ >= relisten_ ||
             now_ - asked_ > std::max(kTick, 0.5 * sane(settings_.watch_retry_within_s)))) {
            relisten_ = 1e18, listen();
        }
        bool due = false;
        for (Lane& lane : lanes_) due |= lane.due = lane.load.due(now_) && now_ - resumed_ >= kTick;
        if (due) {
            for (const auto& [number, job] : jobs_) {
                if (job.ended) continue;
                for (const Attempt& a : job.attempts) {
                    if (!lanes_[a.part].due) continue;
                    const double aims = (now_ - a.sent) / std::max(job.service->latency_objective_s, 1e-3);
                    Server* s = servers_.find(a.server);
                    // Lost requests report nothing until timed out: the age of an overdue attempt counts.
                    if (a.open && aims > 1 && s && servers_.counts(*s, now_))
                        lanes_[a.part].load.sample(aims);
                }
            }
            for (std::size_t part = 0; part < lanes_.size(); ++part) {
                Lane& lane = lanes_[part];
                if (!lane.due) continue;
                lane.load.close(now_);
                if (lane.load.fraction() == lane.admitted) continue;
                act(AdmittedFraction{lane.admitted = lane.load.fraction(),
                                     (std::uint64_t{1} << part) >> 1});
            }
        }
        if (now_ - told_ > kTellEvery) tell();
        if (now_ - swept_ > 10) swept_ = now_, shares_.sweep(now_);
    }

    template <class A>
    void act(A action) {
        out_->emplace_back(std::move(action));
    }

    // Each part of the fleet that requests are for is held to its own load: one that is slow or flooded
    // closes no door of the others. Harm: a server of several parts is judged by each for itself.
    struct Lane {
        LoadController load;
        double open = 0, open_aims = 0;   // attempts out, and each over its class's aim
        double admitted = 1;              // as it was last said
        double phase = 0;                 // of the fraction's draws
        bool due = false;
        void opened(double aim_s, int more) {
            open += more;
            open_aims = open > 0 ? open_aims + more / std::max(aim_s, 1e-3) : 0;
        }
    };

    Settings settings_;
    Random random_;
    std::vector<Lane> lanes_{1};   // by part of the fleet
    QuotaShares shares_;
    ServerPool servers_;
    std::map<std::uint64_t, Job> jobs_;
    std::unordered_map<std::string, std::uint64_t> jobs_by_id_;   // looked up only, never walked
    std::vector<Action>* out_ = nullptr;
    std::uint64_t numbers_ = 0;
    double now_ = 0, start_ = 0, asked_ = 0;
    double relisten_ = 1e18;
    double swept_ = 0, told_ = 0, resumed_ = -1e18;
    std::array<int, 5> refused_{};   // by the first reasons, since the last log line
    double retries_ = kRetryFirst;
    double retries_at_ = 0;
    double top_worth_ = 1e-9, balancers_ = 0;   // of the dearest class; gateways
    double worth_ = 0, class_worth_ = 0;        // means of what is asked for, with its price and without
    bool started_ = false, started_clock_ = false;
};

Gateway::Gateway(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Gateway::~Gateway() = default;
Gateway::Gateway(Gateway&&) noexcept = default;
Gateway& Gateway::operator=(Gateway&&) noexcept = default;

void Gateway::handle(double now, const Event& event, std::vector<Action>& actions) {
    impl_->handle(now, event, actions);
}
std::size_t Gateway::open_requests() const { return impl_->open(); }

}   // namespace slatejunction
