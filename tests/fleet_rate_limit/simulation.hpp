// Simulation of RateLimitNodes on a network that drops, duplicates and delays datagrams, with crashes,
// restarts, pauses, partitions and late membership changes. The oracle is an exact token bucket for each
// key that counts every admitted request. Times are in s, and the simulation has its own clock.
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
    double max_unreported_units = 2;
    double load = 1.3;   // requested of each key, as a multiple of the rate
    double loss_fraction = 0, duplicate_fraction = 0, max_delay_s = 0.003;   // of datagrams
    double detection_s = 2;   // longest time until an ingress knows of a membership change
    double length_s = 60;
    enum class Fault { none, one_cut_off, partition, crash, pause, restart } fault = Fault::none;
    double skew = 1;   // how unevenly a key's requests are spread: at 1 one ingress gets at least 60 %
};

struct Result {
    // Units beyond burst + rate * t: the most in any window for any key, and the bound.
    double worst_excess = 0, bound = 0;
    std::uint64_t requests = 0, admitted = 0;
    std::uint64_t rejected_with_units = 0;   // rejected although the exact bucket held the units
    std::uint64_t datagrams = 0;
    std::string violation;   // empty if the bound held
};

class Simulation {
  public:
    Simulation(const Scenario& scenario, std::uint64_t seed)
        : scenario_(scenario), random_(seed), nodes_(scenario.ingresses) {
        for (std::size_t i = 0; i < nodes_.size(); ++i) names_.push_back(name(i));
        std::sort(names_.begin(), names_.end());
        for (std::size_t i = 0; i < nodes_.size(); ++i) start_node(i);
        full_at_s_.resize(scenario.keys);
        window_usage_.resize(scenario.keys);
    }
    Result run() {
        const ErrorBound bounds = error_bound(scenario_.spec, scenario_.max_unreported_units,
                                              scenario_.ingresses, smaller_side(), scenario_.detection_s);
        result_.bound = bounds.healthy;
        if (scenario_.fault != Scenario::Fault::none) schedule_faults();
        using Fault = Scenario::Fault;
        if (scenario_.fault == Fault::one_cut_off || scenario_.fault == Fault::partition)
            result_.bound = bounds.partition;
        if (scenario_.fault == Fault::crash || scenario_.fault == Fault::restart)
            result_.bound = bounds.owner_lost + bounds.per_restart;
        if (scenario_.fault == Fault::pause) result_.bound = bounds.process_pause;
        if (scenario_.loss_fraction > 0 || 2 * scenario_.max_delay_s >= kUnresponsiveAfterS)
            result_.bound += bounds.late_replies;
        for (std::size_t key = 0; key < scenario_.keys; ++key) schedule_request(key);
        events_.run_until(scenario_.length_s);
        if (result_.worst_excess > result_.bound + 1e-6)
            result_.violation = "more units than the error bound allows";
        return result_;
    }
    // Digest of the nodes' outputs so far: the retry-after of each request, datagrams, deadlines and
    // counts.
    std::uint64_t digest() const { return digest_.value(); }

  private:
    struct Node {
        std::unique_ptr<RateLimitNode> rate_limits;
        std::uint64_t process = 0;
        double paused_until_s = 0, timer_at_s = 1e18;
    };
    static std::string name(std::size_t i) { return "n" + std::to_string(i); }
    double uniform(double low, double high) {
        return std::uniform_real_distribution<double>(low, high)(random_);
    }
    std::size_t smaller_side() const {
        return scenario_.fault == Scenario::Fault::partition ? scenario_.ingresses / 2 : 1;
    }

    void start_node(std::size_t i) {
        Node& node = nodes_[i];
        node.process = ++process_count_;
        node.timer_at_s = 1e18;
        node.rate_limits = std::make_unique<RateLimitNode>(
            Settings{name(i), names_, scenario_.max_unreported_units, 1000}, random_());
        node.rate_limits->define(1, scenario_.spec);
        update_alive_members(i);
    }
    // Tells ingress i which members it can reach.
    void update_alive_members(std::size_t i) {
        std::vector<std::string> alive;
        for (std::size_t j = 0; j < nodes_.size(); ++j)
            if (j == i || (!down_.contains(j) && side(j) == side(i))) alive.push_back(name(j));
        std::sort(alive.begin(), alive.end());
        if (nodes_[i].rate_limits) nodes_[i].rate_limits->set_alive_members(events_.now(), alive);
        pump(i);
    }
    int side(std::size_t i) const { return cut_off_.contains(i) ? 1 : 0; }
    // Updates the members of each ingress after a random delay of up to detection_s.
    void schedule_membership_updates() {
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            events_.at(events_.now() + uniform(0.2, 1) * scenario_.detection_s, [this, i] {
                if (nodes_[i].rate_limits) update_alive_members(i);
            });
    }
    void schedule_faults() {
        const double begins_at_s = uniform(10, 20), ends_at_s = begins_at_s + uniform(3, 15);
        const std::size_t target = random_() % nodes_.size();
        using Fault = Scenario::Fault;
        events_.at(begins_at_s, [this, target] {
            if (scenario_.fault == Fault::one_cut_off) cut_off_ = {target};
            if (scenario_.fault == Fault::partition)
                for (std::size_t i = 0; i < smaller_side(); ++i) cut_off_.insert(i);
            if (scenario_.fault == Fault::crash || scenario_.fault == Fault::restart)
                nodes_[target].rate_limits.reset(), down_.insert(target);
            if (scenario_.fault == Fault::pause)
                nodes_[target].paused_until_s = events_.now() + 4, down_.insert(target);
            if (scenario_.fault == Fault::restart)
                down_.clear(), start_node(target);
            else
                schedule_membership_updates();
        });
        if (scenario_.fault == Fault::one_cut_off || scenario_.fault == Fault::partition)
            events_.at(ends_at_s, [this] { cut_off_.clear(), schedule_membership_updates(); });
        if (scenario_.fault == Fault::pause)
            events_.at(begins_at_s + 4, [this] { down_.clear(), schedule_membership_updates(); });
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
        std::size_t i =
            uniform(0, 1) < scenario_.skew * 0.6 ? key % nodes_.size() : random_() % nodes_.size();
        Node& node = nodes_[i];
        if (!node.rate_limits || events_.now() < node.paused_until_s) return;
        ++result_.requests;
        double& full_at_s = full_at_s_[key];
        const double available =
            scenario_.spec.burst - std::max(0.0, full_at_s - events_.now()) * scenario_.spec.rate;
        const double wait_s = node.rate_limits->retry_after_s(events_.now(), 1, key, 1);
        digest_.add(events_.now(), i, key, wait_s);
        if (wait_s > 0) {
            result_.rejected_with_units += available >= 1;
            return;
        }
        ++result_.admitted;
        node.rate_limits->consume(events_.now(), 1, key, 1);
        pump(i);
        full_at_s = std::max(full_at_s, events_.now()) + 1 / scenario_.spec.rate;
        // The most units admitted beyond rate * t in any window that ends now.
        auto& [window_units, last_at_s] = window_usage_[key];
        window_units = std::max(0.0, window_units - scenario_.spec.rate * (events_.now() - last_at_s)) + 1;
        last_at_s = events_.now();
        result_.worst_excess = std::max(result_.worst_excess, window_units - scenario_.spec.burst);
    }
    void pump(std::size_t i) {
        Node& node = nodes_[i];
        if (!node.rate_limits) return;
        if (node.rate_limits->next_deadline() <= events_.now() && events_.now() >= node.paused_until_s)
            node.rate_limits->on_timer(events_.now());
        for (const auto& datagram : node.rate_limits->take_outgoing()) {
            digest_.add(events_.now(), i, datagram.to, datagram.body);
            send(i, std::stoul(datagram.to.substr(1)), datagram.body);
        }
        const double deadline_s = node.rate_limits->next_deadline();
        digest_.add(deadline_s, node.rate_limits->process_pauses(), node.rate_limits->lossy_evictions(),
                    node.rate_limits->malformed_datagrams());
        if (deadline_s > 1e17 || (node.timer_at_s <= deadline_s && node.timer_at_s > events_.now())) return;
        node.timer_at_s = std::max(deadline_s, events_.now() + 1e-4);
        events_.at(node.timer_at_s, [this, i, process = node.process, at_s = node.timer_at_s] {
            if (nodes_[i].process != process || !nodes_[i].rate_limits || nodes_[i].timer_at_s != at_s)
                return;
            nodes_[i].timer_at_s = 1e18;
            if (events_.now() < nodes_[i].paused_until_s) {
                events_.at(nodes_[i].paused_until_s, [this, i] { pump(i); });
                return;
            }
            pump(i);
        });
    }
    void send(std::size_t from, std::size_t to, const std::string& body) {
        ++result_.datagrams;
        if (side(from) != side(to)) return;
        const int copies = uniform(0, 1) < scenario_.duplicate_fraction ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            if (uniform(0, 1) < scenario_.loss_fraction) continue;
            events_.at(events_.now() + uniform(0.0002, scenario_.max_delay_s),
                       [this, from, to, body, sender_process = nodes_[from].process,
                        receiver_process = nodes_[to].process] {
                           deliver(from, to, sender_process, receiver_process, body);
                       });
        }
    }
    void deliver(std::size_t from, std::size_t to, std::uint64_t sender_process,
                 std::uint64_t receiver_process, const std::string& body) {
        Node& node = nodes_[to];
        if (!node.rate_limits || node.process != receiver_process)
            return;   // a datagram is authenticated for one receiving process
        if (events_.now() < node.paused_until_s) {
            events_.at(node.paused_until_s, [this, from, to, sender_process, receiver_process, body] {
                deliver(from, to, sender_process, receiver_process, body);
            });
            return;
        }
        node.rate_limits->on_datagram(events_.now(), name(from), sender_process, body);
        pump(to);
    }

    Scenario scenario_;
    std::mt19937_64 random_;
    std::vector<Node> nodes_;
    std::vector<std::string> names_;
    Events events_;
    // By key: time at which the exact bucket is full again.
    std::vector<double> full_at_s_;
    // By key: units admitted beyond rate * t in the worst window that ends at the last request, and its
    // time.
    std::vector<std::pair<double, double>> window_usage_;
    std::set<std::size_t> cut_off_, down_;
    std::uint64_t process_count_ = 0;
    Result result_;
    Digest digest_;
};

// Returns the scenario of a seed: sizes, load, network and at most one fault.
inline Scenario random_scenario(std::uint64_t seed) {
    std::mt19937_64 random(seed * 104729 + 7);
    const auto uniform = [&](double low, double high) {
        return std::uniform_real_distribution<double>(low, high)(random);
    };
    Scenario scenario;
    scenario.ingresses = 2 + random() % 9;
    scenario.spec.rate = uniform(0.5, 20);
    scenario.spec.burst = uniform(1, 30);
    scenario.max_unreported_units = uniform(1, 4);
    scenario.load = uniform(0.3, 4);
    scenario.skew = uniform(0, 1);
    if (random() % 2 == 0)
        scenario.loss_fraction = uniform(0, 0.3), scenario.duplicate_fraction = uniform(0, 0.3);
    if (random() % 3 == 0) scenario.max_delay_s = uniform(0.003, 0.3);
    scenario.fault = static_cast<Scenario::Fault>(random() % 6);
    return scenario;
}

}   // namespace rate_limit_simulation
