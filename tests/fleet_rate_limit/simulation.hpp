// A simulation of RateLimitNodes on a network that drops, duplicates and delays, with crashes, restarts,
// pauses, partitions and late membership; compared with exact buckets that see only what was admitted.
#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "digest.hpp"
#include "events.hpp"
#include "fleet_rate_limit/rate_limit_node.hpp"

namespace rate_limit_simulation {

using namespace slatejunction::fleet_rate_limit;

struct Scenario {
    std::size_t ingresses = 3, keys = 4;
    LimitSpec spec{4, 12, 1};
    double max_unreported_units = 2, load = 1.3;   // of the rate, asked of each key
    double loss_fraction = 0, duplicate_fraction = 0, max_delay_s = 0.003, detection_s = 2, length_s = 60;
    enum class Fault { none, one_cut_off, partition, crash, pause, restart } fault = Fault::none;
    double skew = 1;   // how unevenly ingresses are asked: the first gets most
};

struct Result {
    double worst_excess = 0, bound = 0;   // units beyond burst + rate t, in any window, of any key
    std::uint64_t requests = 0, admitted = 0,
                  rejected_with_units = 0;   // refused although the exact bucket had room
    std::uint64_t datagrams = 0;
    std::string violation;
};

class Simulation {
  public:
    Simulation(const Scenario& scenario, std::uint64_t seed)
        : scenario_(scenario), random_(seed), nodes_(scenario.ingresses) {
        for (std::size_t i = 0; i < nodes_.size(); ++i) names_.push_back(name(i));
        std::sort(names_.begin(), names_.end());
        for (std::size_t i = 0; i < nodes_.size(); ++i) begin(i);
        buckets_.resize(scenario.keys);
        over_.resize(scenario.keys);
    }
    Result run() {
        const ErrorBound stated = error_bound(scenario_.spec, scenario_.max_unreported_units,
                                              scenario_.ingresses, apart(), scenario_.detection_s);
        result_.bound = stated.healthy;
        if (scenario_.fault != Scenario::Fault::none) schedule_faults();
        using Fault = Scenario::Fault;
        if (scenario_.fault == Fault::one_cut_off || scenario_.fault == Fault::partition)
            result_.bound = stated.partition;
        if (scenario_.fault == Fault::crash || scenario_.fault == Fault::restart)
            result_.bound = stated.owner_lost + stated.per_restart;
        if (scenario_.fault == Fault::pause) result_.bound = stated.process_pause;
        if (scenario_.loss_fraction > 0 || 2 * scenario_.max_delay_s >= kUnresponsiveAfterS)
            result_.bound += stated.late_replies;
        for (std::size_t key = 0; key < scenario_.keys; ++key) schedule_request(key);
        events_.run_until(scenario_.length_s);
        if (result_.worst_excess > result_.bound + 1e-6) result_.violation = "over the bound";
        return result_;
    }
    // Of all that the nodes have put out so far: how long each request is to wait, and their datagrams.
    std::uint64_t digest() const { return digest_.value(); }

  private:
    struct Node {
        std::unique_ptr<RateLimitNode> limits;
        std::uint64_t process = 0;
        double stopped_until = 0, armed = 1e18;
    };
    static std::string name(std::size_t i) { return "n" + std::to_string(i); }
    double draw(double from, double to) {
        return std::uniform_real_distribution<double>(from, to)(random_);
    }
    std::size_t apart() const {
        return scenario_.fault == Scenario::Fault::partition ? scenario_.ingresses / 2 : 1;
    }

    void begin(std::size_t i) {
        Node& node = nodes_[i];
        node.process = ++processes_;
        node.armed = 1e18;
        node.limits = std::make_unique<RateLimitNode>(
            Settings{name(i), names_, scenario_.max_unreported_units, 1000}, random_());
        node.limits->define(1, scenario_.spec);
        update_alive_members(i);
    }
    // The members that ingress i sees: late by up to detection_s, drawn anew with each change.
    void update_alive_members(std::size_t i) {
        std::vector<std::string> alive;
        for (std::size_t j = 0; j < nodes_.size(); ++j)
            if (j == i || (!down_.contains(j) && side(j) == side(i))) alive.push_back(name(j));
        std::sort(alive.begin(), alive.end());
        if (nodes_[i].limits) nodes_[i].limits->set_alive_members(events_.now(), alive);
        pump(i);
    }
    int side(std::size_t i) const { return away_.contains(i) ? 1 : 0; }
    void changed() {
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            events_.at(events_.now() + draw(0.2, 1) * scenario_.detection_s, [this, i] {
                if (nodes_[i].limits) update_alive_members(i);
            });
    }
    void schedule_faults() {
        const double from = draw(10, 20), until = from + draw(3, 15);
        const std::size_t who = random_() % nodes_.size();
        using Fault = Scenario::Fault;
        events_.at(from, [this, who] {
            if (scenario_.fault == Fault::one_cut_off) away_ = {who};
            if (scenario_.fault == Fault::partition)
                for (std::size_t i = 0; i < apart(); ++i) away_.insert(i);
            if (scenario_.fault == Fault::crash || scenario_.fault == Fault::restart)
                nodes_[who].limits.reset(), down_.insert(who);
            if (scenario_.fault == Fault::pause)
                nodes_[who].stopped_until = events_.now() + 4, down_.insert(who);
            if (scenario_.fault == Fault::restart)
                down_.clear(), begin(who);
            else
                changed();
        });
        if (scenario_.fault == Fault::one_cut_off || scenario_.fault == Fault::partition)
            events_.at(until, [this] { away_.clear(), changed(); });
        if (scenario_.fault == Fault::pause) events_.at(from + 4, [this] { down_.clear(), changed(); });
    }
    void schedule_request(std::size_t key) {
        events_.at(events_.now() +
                       std::exponential_distribution<double>(scenario_.spec.rate * scenario_.load)(random_),
                   [this, key] {
                       request(key);
                       schedule_request(key);
                   });
    }
    void request(std::size_t key) {
        std::size_t i = draw(0, 1) < scenario_.skew * 0.6 ? key % nodes_.size() : random_() % nodes_.size();
        Node& node = nodes_[i];
        if (!node.limits || events_.now() < node.stopped_until) return;
        ++result_.requests;
        double& full_at = buckets_[key];
        const double room =
            scenario_.spec.burst - std::max(0.0, full_at - events_.now()) * scenario_.spec.rate;
        const double wait_s = node.limits->retry_after_s(events_.now(), 1, key, 1);
        digest_.add(events_.now(), i, key, wait_s);
        if (wait_s > 0) {
            result_.rejected_with_units += room >= 1;
            return;
        }
        ++result_.admitted;
        node.limits->consume(events_.now(), 1, key, 1);
        pump(i);
        full_at = std::max(full_at, events_.now()) + 1 / scenario_.spec.rate;
        // The most that was sent beyond rate * t in any window that ends now.
        auto& [sum, last] = over_[key];
        sum = std::max(0.0, sum - scenario_.spec.rate * (events_.now() - last)) + 1;
        last = events_.now();
        result_.worst_excess = std::max(result_.worst_excess, sum - scenario_.spec.burst);
    }
    void pump(std::size_t i) {
        Node& node = nodes_[i];
        if (!node.limits) return;
        if (node.limits->next_deadline() <= events_.now() && events_.now() >= node.stopped_until)
            node.limits->on_timer(events_.now());
        for (const auto& datagram : node.limits->take_outgoing()) {
            digest_.add(events_.now(), i, datagram.to, datagram.body);
            send(i, std::stoul(datagram.to.substr(1)), datagram.body);
        }
        const double due = node.limits->next_deadline();
        digest_.add(due, node.limits->process_pauses(), node.limits->lossy_evictions(),
                    node.limits->malformed_datagrams());
        if (due > 1e17 || (node.armed <= due && node.armed > events_.now())) return;
        node.armed = std::max(due, events_.now() + 1e-4);
        events_.at(node.armed, [this, i, process = node.process, time = node.armed] {
            if (nodes_[i].process != process || !nodes_[i].limits || nodes_[i].armed != time) return;
            nodes_[i].armed = 1e18;
            if (events_.now() < nodes_[i].stopped_until) {
                events_.at(nodes_[i].stopped_until, [this, i] { pump(i); });
                return;
            }
            pump(i);
        });
    }
    void send(std::size_t from, std::size_t to, const std::string& body) {
        ++result_.datagrams;
        if (side(from) != side(to)) return;
        const int copies = draw(0, 1) < scenario_.duplicate_fraction ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            if (draw(0, 1) < scenario_.loss_fraction) continue;
            events_.at(
                events_.now() + draw(0.0002, scenario_.max_delay_s),
                [this, from, to, body, process = nodes_[from].process, for_process = nodes_[to].process] {
                    arrive(from, to, process, for_process, body);
                });
        }
    }
    void arrive(std::size_t from, std::size_t to, std::uint64_t process, std::uint64_t for_process,
                const std::string& body) {
        Node& node = nodes_[to];
        if (!node.limits || node.process != for_process)
            return;   // datagrams are authenticated for one process
        if (events_.now() < node.stopped_until) {
            events_.at(node.stopped_until, [this, from, to, process, for_process, body] {
                arrive(from, to, process, for_process, body);
            });
            return;
        }
        node.limits->on_datagram(events_.now(), name(from), process, body);
        pump(to);
    }

    Scenario scenario_;
    std::mt19937_64 random_;
    std::vector<Node> nodes_;
    std::vector<std::string> names_;
    Events events_;
    std::vector<double> buckets_;   // exact: full again at
    std::vector<std::pair<double, double>> over_;
    std::set<std::size_t> away_, down_;
    std::uint64_t processes_ = 0;
    Result result_;
    Digest digest_;
};

inline Scenario random_scenario(std::uint64_t seed) {
    std::mt19937_64 random(seed * 104729 + 7);
    const auto draw = [&](double from, double to) {
        return std::uniform_real_distribution<double>(from, to)(random);
    };
    Scenario scenario;
    scenario.ingresses = 2 + random() % 9;
    scenario.spec.rate = draw(0.5, 20);
    scenario.spec.burst = draw(1, 30);
    scenario.max_unreported_units = draw(1, 4);
    scenario.load = draw(0.3, 4);
    scenario.skew = draw(0, 1);
    if (random() % 2 == 0)
        scenario.loss_fraction = draw(0, 0.3), scenario.duplicate_fraction = draw(0, 0.3);
    if (random() % 3 == 0) scenario.max_delay_s = draw(0.003, 0.3);
    scenario.fault = static_cast<Scenario::Fault>(random() % 6);
    return scenario;
}

}   // namespace rate_limit_simulation
