// Rooms of a fleet's limits on a net that loses, doubles and delays, with kills, restarts, stops, cuts and
// a list of who is there that is late: judged by exact stores that see only what passed.
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

namespace limit_world {

using namespace slatejunction::fleet_rate_limit;

struct Plan {
    std::size_t ingresses = 3, keys = 4;
    LimitSpec spec{4, 12, 1};
    double credit = 2, load = 1.3;   // of the rate, asked of each key
    double loss = 0, twice = 0, delay_most = 0.003, known_s = 2, length = 60;
    enum class Fault { none, cut, split, kill, stop, restart } fault = Fault::none;
    double skew = 1;   // how unevenly ingresses are asked: the first gets most
};

struct Result {
    double worst = 0, stated = 0;   // units beyond burst + rate t, in any window, of any key
    std::uint64_t asked = 0, passed = 0, with_room = 0;   // refused although the exact store had room
    std::uint64_t datagrams = 0;
    std::string breach;
};

class World {
  public:
    World(const Plan& plan, std::uint64_t seed) : plan_(plan), random_(seed), nodes_(plan.ingresses) {
        for (std::size_t i = 0; i < nodes_.size(); ++i) names_.push_back(name(i));
        std::sort(names_.begin(), names_.end());
        for (std::size_t i = 0; i < nodes_.size(); ++i) begin(i);
        stores_.resize(plan.keys);
        over_.resize(plan.keys);
    }
    Result run() {
        const ErrorBound stated =
            error_bound(plan_.spec, plan_.credit, plan_.ingresses, apart(), plan_.known_s);
        result_.stated = stated.healthy;
        if (plan_.fault != Plan::Fault::none) schedule_faults();
        using Fault = Plan::Fault;
        if (plan_.fault == Fault::cut || plan_.fault == Fault::split) result_.stated = stated.cut_off;
        if (plan_.fault == Fault::kill || plan_.fault == Fault::restart)
            result_.stated = stated.owner_lost + stated.restarted;
        if (plan_.fault == Fault::stop) result_.stated = stated.stopped;
        if (plan_.loss > 0 || 2 * plan_.delay_most >= kSilentAfter) result_.stated += stated.late;
        for (std::size_t key = 0; key < plan_.keys; ++key) ask_later(key);
        events_.run_until(plan_.length);
        if (result_.worst > result_.stated + 1e-6) result_.breach = "over the bound";
        return result_;
    }
    // Of all that the rooms have put out so far: how long each request is to wait, and their datagrams.
    std::uint64_t digest() const { return digest_.value(); }

  private:
    struct Node {
        std::unique_ptr<RateLimitNode> room;
        std::uint64_t process = 0;
        double stopped_until = 0, armed = 1e18;
    };
    static std::string name(std::size_t i) { return "n" + std::to_string(i); }
    double draw(double from, double to) {
        return std::uniform_real_distribution<double>(from, to)(random_);
    }
    std::size_t apart() const { return plan_.fault == Plan::Fault::split ? plan_.ingresses / 2 : 1; }

    void begin(std::size_t i) {
        Node& node = nodes_[i];
        node.process = ++processes_;
        node.armed = 1e18;
        node.room =
            std::make_unique<RateLimitNode>(Settings{name(i), names_, plan_.credit, 1000}, random_());
        node.room->define(1, plan_.spec);
        tell_there(i);
    }
    // What i sees of the others: late by up to known_s, drawn anew with each change.
    void tell_there(std::size_t i) {
        std::vector<std::string> there;
        for (std::size_t j = 0; j < nodes_.size(); ++j)
            if (j == i || (!down_.contains(j) && side(j) == side(i))) there.push_back(name(j));
        std::sort(there.begin(), there.end());
        if (nodes_[i].room) nodes_[i].room->set_alive_members(events_.now(), there);
        pump(i);
    }
    int side(std::size_t i) const { return away_.contains(i) ? 1 : 0; }
    void changed() {
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            events_.at(events_.now() + draw(0.2, 1) * plan_.known_s, [this, i] {
                if (nodes_[i].room) tell_there(i);
            });
    }
    void schedule_faults() {
        const double from = draw(10, 20), until = from + draw(3, 15);
        const std::size_t who = random_() % nodes_.size();
        using Fault = Plan::Fault;
        events_.at(from, [this, who] {
            if (plan_.fault == Fault::cut) away_ = {who};
            if (plan_.fault == Fault::split)
                for (std::size_t i = 0; i < apart(); ++i) away_.insert(i);
            if (plan_.fault == Fault::kill || plan_.fault == Fault::restart)
                nodes_[who].room.reset(), down_.insert(who);
            if (plan_.fault == Fault::stop)
                nodes_[who].stopped_until = events_.now() + 4, down_.insert(who);
            if (plan_.fault == Fault::restart)
                down_.clear(), begin(who);
            else
                changed();
        });
        if (plan_.fault == Fault::cut || plan_.fault == Fault::split)
            events_.at(until, [this] { away_.clear(), changed(); });
        if (plan_.fault == Fault::stop) events_.at(from + 4, [this] { down_.clear(), changed(); });
    }
    void ask_later(std::size_t key) {
        events_.at(
            events_.now() + std::exponential_distribution<double>(plan_.spec.rate * plan_.load)(random_),
            [this, key] {
                ask(key);
                ask_later(key);
            });
    }
    void ask(std::size_t key) {
        std::size_t i = draw(0, 1) < plan_.skew * 0.6 ? key % nodes_.size() : random_() % nodes_.size();
        Node& node = nodes_[i];
        if (!node.room || events_.now() < node.stopped_until) return;
        ++result_.asked;
        double& full_at = stores_[key];
        const double room = plan_.spec.burst - std::max(0.0, full_at - events_.now()) * plan_.spec.rate;
        const double wait_s = node.room->retry_after_s(events_.now(), 1, key, 1);
        digest_.add(events_.now(), i, key, wait_s);
        if (wait_s > 0) {
            result_.with_room += room >= 1;
            return;
        }
        ++result_.passed;
        node.room->consume(events_.now(), 1, key, 1);
        pump(i);
        full_at = std::max(full_at, events_.now()) + 1 / plan_.spec.rate;
        // The most that was sent beyond rate * t in any window that ends now.
        auto& [sum, last] = over_[key];
        sum = std::max(0.0, sum - plan_.spec.rate * (events_.now() - last)) + 1;
        last = events_.now();
        result_.worst = std::max(result_.worst, sum - plan_.spec.burst);
    }
    void pump(std::size_t i) {
        Node& node = nodes_[i];
        if (!node.room) return;
        if (node.room->next_deadline() <= events_.now() && events_.now() >= node.stopped_until)
            node.room->on_timer(events_.now());
        for (const auto& post : node.room->take_outgoing()) {
            digest_.add(events_.now(), i, post.to, post.body);
            send(i, std::stoul(post.to.substr(1)), post.body);
        }
        const double due = node.room->next_deadline();
        digest_.add(due, node.room->process_pauses(), node.room->forgotten(), node.room->unreadable());
        if (due > 1e17 || (node.armed <= due && node.armed > events_.now())) return;
        node.armed = std::max(due, events_.now() + 1e-4);
        events_.at(node.armed, [this, i, process = node.process, time = node.armed] {
            if (nodes_[i].process != process || !nodes_[i].room || nodes_[i].armed != time) return;
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
        const int copies = draw(0, 1) < plan_.twice ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            if (draw(0, 1) < plan_.loss) continue;
            events_.at(
                events_.now() + draw(0.0002, plan_.delay_most),
                [this, from, to, body, process = nodes_[from].process, for_process = nodes_[to].process] {
                    arrive(from, to, process, for_process, body);
                });
        }
    }
    void arrive(std::size_t from, std::size_t to, std::uint64_t process, std::uint64_t for_process,
                const std::string& body) {
        Node& node = nodes_[to];
        if (!node.room || node.process != for_process) return;   // peers seal for one process
        if (events_.now() < node.stopped_until) {
            events_.at(node.stopped_until, [this, from, to, process, for_process, body] {
                arrive(from, to, process, for_process, body);
            });
            return;
        }
        node.room->receive(events_.now(), name(from), process, body);
        pump(to);
    }

    Plan plan_;
    std::mt19937_64 random_;
    std::vector<Node> nodes_;
    std::vector<std::string> names_;
    Events events_;
    std::vector<double> stores_;   // exact: full again at
    std::vector<std::pair<double, double>> over_;
    std::set<std::size_t> away_, down_;
    std::uint64_t processes_ = 0;
    Result result_;
    Digest digest_;
};

inline Plan random_plan(std::uint64_t seed) {
    std::mt19937_64 random(seed * 104729 + 7);
    const auto draw = [&](double from, double to) {
        return std::uniform_real_distribution<double>(from, to)(random);
    };
    Plan plan;
    plan.ingresses = 2 + random() % 9;
    plan.spec.rate = draw(0.5, 20);
    plan.spec.burst = draw(1, 30);
    plan.credit = draw(1, 4);
    plan.load = draw(0.3, 4);
    plan.skew = draw(0, 1);
    if (random() % 2 == 0) plan.loss = draw(0, 0.3), plan.twice = draw(0, 0.3);
    if (random() % 3 == 0) plan.delay_most = draw(0.003, 0.3);
    plan.fault = static_cast<Plan::Fault>(random() % 6);
    return plan;
}

}   // namespace limit_world
