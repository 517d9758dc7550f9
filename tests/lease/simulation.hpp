// A simulated fleet of lease nodes: processes with clocks of their own rates, a network that loses,
// doubles, delays and reorders, kills with and without memory, pauses and cuts, by a seeded schedule.
// Holders act at random times; a checker that sees only acts says whether two acted at once. Time is the
// model's own.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "digest.hpp"
#include "lease/lease_node.hpp"

namespace lease_simulation {

using namespace slatejunction::lease;

inline constexpr std::size_t kCurrentHolder = ~std::size_t{0};

struct Fault {
    enum class Kind {
        kill,
        kill_with_amnesia,
        pause,
        isolate,
        isolate_outgoing,
        packet_loss,
        hot_restart,
        change_acceptors
    };
    Kind kind = Kind::kill;
    double begins_at = 0, ends_at = 0;   // s; a killed one is started again at `until`
    std::size_t process = 0;             // kCurrentHolder: whoever holds then
    double loss_probability = 0;         // of loss
};

struct Scenario {
    std::size_t processes = 5, acceptors = 3, spare_acceptors = 0;   // spare: may become acceptors
    LeaseTimes times{1, 0.05, 0.02, 0.1};
    std::vector<double> clock_rates;   // of the clocks; 1 where none is given
    double loss_probability = 0, duplication_probability = 0, min_delay_s = 0.001, max_delay_s = 0.02;
    unsigned slots = 1;
    bool persistent_storage = false;   // acceptors' memories outlive them, but for Kind::kill_with_amnesia
    double duration_s = 20;
    std::vector<Fault> faults;
};

struct Result {
    std::string violation;   // the first; empty: none
    std::uint64_t actions = 0, acquisitions = 0, expired = 0, messages = 0;
    std::vector<double> vacancies_s;   // s without a holder after one was gained first
    double held_s = 0;                 // part of the time
};

class Simulation {
  public:
    Simulation(Scenario scenario, std::uint64_t seed) : scenario_(std::move(scenario)), random_(seed) {
        scenario_.clock_rates.resize(scenario_.processes, 1.0);
        nodes_.reserve(scenario_.processes);   // nodes point to their storage
        for (std::size_t i = 0; i < scenario_.acceptors; ++i) acceptors_.push_back(name(i));
        for (std::size_t i = 0; i < scenario_.processes; ++i) {
            nodes_.push_back({});
            nodes_[i].offset = 1000.0 * static_cast<double>(i + 1);
            start(i);
        }
        for (const Fault& one : scenario_.faults) {
            at(one.begins_at, [this, one] {
                Fault fault = one;
                if (fault.process == kCurrentHolder) fault.process = holder();
                begin(fault);
                at(fault.ends_at, [this, fault] { end(fault); });
            });
        }
    }

    Result run() {
        // The acceptors have waited for what they could have forgotten: nobody holds before that.
        while (!events_.empty() && result_.violation.empty()) {
            const auto [time, order, call] = events_.top();
            if (time > scenario_.duration_s) break;
            events_.pop();
            now_ = time;
            call();
            measure();
        }
        for (const Node& one : nodes_)
            if (one.lease_node) result_.expired += one.lease_node->lost();
        return result_;
    }
    // Of all that the nodes have put out so far: messages, changes of leases, permits, what acceptors keep.
    std::uint64_t digest() const { return digest_.value(); }

  private:
    struct SavedState : AcceptorStorage {
        bool save(std::uint32_t step, const std::map<std::string, Grant>& grants) override {
            memory = AcceptorState{step, grants};
            return true;
        }
        std::optional<AcceptorState> memory;
    };
    struct Node {
        std::unique_ptr<LeaseNode> lease_node;
        SavedState storage;
        double offset = 0;
        std::uint64_t life = 0;   // goes up with each start and kill
        std::uint64_t holder = 0;
        bool paused = false;
        std::vector<std::pair<std::string, std::string>> waiting;   // came while it was paused
        double armed = 1e18, last_act = 0;
    };
    struct Event {
        double time;
        std::uint64_t order;
        std::function<void()> call;
        bool operator<(const Event& other) const {
            return time != other.time ? time > other.time : order > other.order;
        }
    };
    struct Act {
        std::size_t who = 0;
        std::uint64_t life = 0, number = 0;
        double until = 0;
    };

    static std::string name(std::size_t i) { return "p" + std::to_string(i); }
    static std::size_t place(const std::string& name) { return std::stoul(name.substr(1)); }
    double clock(std::size_t i) const { return nodes_[i].offset + scenario_.clock_rates[i] * now_; }
    double draw(double from, double to) {
        return std::uniform_real_distribution<double>(from, to)(random_);
    }
    void at(double time, std::function<void()> call) { events_.push({time, ++order_, std::move(call)}); }

    void start(std::size_t i) {
        Node& node = nodes_[i];
        ++node.life;
        node.paused = false;
        node.waiting.clear();
        AcceptorSet set{acceptors_, before_, step_};
        const AcceptorState* memory =
            scenario_.persistent_storage && node.storage.memory ? &*node.storage.memory : nullptr;
        // A fleet that is started for the first time has granted nothing; a later start can't know that.
        const auto floor = static_cast<std::uint64_t>(1e6 + now_ * 1e3);
        node.holder = ++lives_;
        node.lease_node = std::make_unique<LeaseNode>(
            LeaseNodeSettings{name(i), scenario_.times, set}, node.holder, random_(), clock(i), floor,
            memory, scenario_.persistent_storage ? &node.storage : nullptr);
        node.lease_node->campaign(clock(i), "job", scenario_.slots);
        settle(i);
        act_later(i);
    }
    void kill(std::size_t i) {
        ++nodes_[i].life;
        nodes_[i].lease_node.reset();
        nodes_[i].armed = 1e18;
    }

    void settle(std::size_t i) {
        Node& node = nodes_[i];
        for (const auto& post : node.lease_node->take_outgoing()) {
            digest_.add(now_, i, post.to, post.body);
            send(i, place(post.to), post.body);
        }
        for (const auto& change : node.lease_node->take_events()) {
            digest_.add(now_, i, change.kind, change.lease, change.slot, change.fencing_token,
                        change.valid_until);
            if (change.kind == LeaseEvent::Kind::lost) continue;
            ++result_.acquisitions;
            // The two processes of an upgrade are one holder.
            const std::string place = change.lease + "/" + std::to_string(change.slot) + "=" +
                                      std::to_string(change.fencing_token);
            const std::string who = name(i) + "." + std::to_string(node.holder);
            const auto [old, made] = numbers_.emplace(place, who);
            if (old->second != who)
                breach("number " + std::to_string(change.fencing_token) + " gained by " + who + " and " +
                       old->second);
        }
        digest_views(i);
        act_last(i);
        const double due = node.lease_node->next_deadline();
        if (due > 1e17) return;
        const double time = std::max(now_, (due - node.offset) / scenario_.clock_rates[i]) + 1e-9;
        if (time >= node.armed - 1e-9 && node.armed > now_) return;
        node.armed = time;
        at(time, [this, i, life = node.life] { wake(i, life); });
    }
    // What the lease_node holds or seeks, as it says itself, and what its acceptor has made durable.
    void digest_views(std::size_t i) {
        const Node& node = nodes_[i];
        for (const LeaseStatus& view : node.lease_node->statuses())
            digest_.add(view.lease, view.slot, view.state, view.fencing_token, view.valid_until,
                        view.held_since, view.other_holder);
        digest_.add(node.lease_node->next_deadline(), node.lease_node->gained(), node.lease_node->lost(),
                    node.lease_node->failed_saves());
        if (!node.storage.memory) return;
        digest_.add(node.storage.memory->epoch);
        for (const auto& [lease, grant] : node.storage.memory->grants)
            digest_.add(lease, grant.holder, grant.round, grant.fencing_token, grant.token_owner,
                        grant.expires_at, grant.holder_name);
    }
    void wake(std::size_t i, std::uint64_t life) {
        Node& node = nodes_[i];
        if (node.life != life || node.paused) return;
        node.armed = 1e18;
        node.lease_node->on_timer(clock(i));
        settle(i);
    }

    void send(std::size_t from, std::size_t to, const std::string& body) {
        ++result_.messages;
        if (cut_.contains({from, to}) || draw(0, 1) < std::max(scenario_.loss_probability, loss_)) return;
        for (int copies = draw(0, 1) < scenario_.duplication_probability ? 2 : 1; copies > 0; --copies)
            at(now_ + draw(scenario_.min_delay_s, scenario_.max_delay_s) * (draw(0, 1) < 0.05 ? 10 : 1),
               [this, from, to, body] { deliver(from, to, body); });
    }
    void deliver(std::size_t from, std::size_t to, const std::string& body) {
        Node& node = nodes_[to];
        if (!node.lease_node) return;
        if (node.paused) return node.waiting.emplace_back(name(from), body), void();
        node.lease_node->receive(clock(to), name(from), body);
        settle(to);
    }

    // Acts come at any time, those that take longest and those right before the end of a hold among them.
    void act_later(std::size_t i) {
        at(now_ + draw(0, 0.15), [this, i, life = nodes_[i].life] {
            if (nodes_[i].life != life) return;
            act(i);
            act_later(i);
        });
    }
    std::size_t holder() {
        for (std::size_t i = 0; i < scenario_.processes; ++i)
            if (nodes_[i].lease_node && nodes_[i].lease_node->holds(clock(i), "job")) return i;
        return random_() % scenario_.processes;
    }
    // The latest moment at which an act may begin by this hold, as it stands now.
    void act_last(std::size_t i) {
        Node& node = nodes_[i];
        for (const LeaseStatus& view : node.lease_node->statuses()) {
            const double time =
                (view.valid_until - scenario_.times.max_action_s - node.offset) / scenario_.clock_rates[i] -
                1e-6;
            if (view.state != Candidate::State::held || time < now_ || time == node.last_act) continue;
            node.last_act = time;
            at(time, [this, i, life = node.life] {
                if (nodes_[i].life == life) act(i, true);
            });
        }
    }
    void act(std::size_t i, bool longest = false) {
        Node& node = nodes_[i];
        Permit permit;
        const bool permitted = !node.paused && node.lease_node->permit(clock(i), "job", permit);
        digest_.add(permitted, permit.fencing_token, permit.valid_until);
        if (!permitted) return;
        std::string slot = "job";
        for (const LeaseStatus& view : node.lease_node->statuses()) slot += "/" + std::to_string(view.slot);
        ++result_.actions;
        const double takes = longest || draw(0, 1) < 0.5 ? scenario_.times.max_action_s
                                                         : draw(0, scenario_.times.max_action_s);
        Act& last = acts_[slot];
        if (last.until > now_ && (last.who != i || last.life != node.life) &&
            last.number != permit.fencing_token)
            breach(name(i) + " acts with number " + std::to_string(permit.fencing_token) + " while " +
                   name(last.who) + " does with " + std::to_string(last.number) + " until " +
                   std::to_string(last.until));
        if (permit.fencing_token < last.number)
            breach(name(i) + " acts with number " + std::to_string(permit.fencing_token) + " after " +
                   std::to_string(last.number));
        last = {i, node.life, permit.fencing_token,
                std::max(last.until, now_ + takes / scenario_.clock_rates[i])};
    }
    void breach(const std::string& what) {
        if (result_.violation.empty()) result_.violation = std::to_string(now_) + " s: " + what;
    }

    void begin(const Fault& fault) {
        switch (fault.kind) {
            case Fault::Kind::kill:
                return kill(fault.process);
            case Fault::Kind::kill_with_amnesia:
                nodes_[fault.process].storage.memory.reset();
                return kill(fault.process);
            case Fault::Kind::pause:
                // Not in the middle of an act: that is what the fencing number is for (tests/fleet).
                for (const auto& [slot, act] : acts_)
                    if (act.who == fault.process && act.until > now_) return;
                nodes_[fault.process].paused = nodes_[fault.process].lease_node != nullptr;
                return;
            case Fault::Kind::isolate:
            case Fault::Kind::isolate_outgoing:
                for (std::size_t i = 0; i < scenario_.processes; ++i) {
                    if (i == fault.process) continue;
                    cut_.insert({fault.process, i});
                    if (fault.kind == Fault::Kind::isolate) cut_.insert({i, fault.process});
                }
                return;
            case Fault::Kind::packet_loss:
                loss_ = fault.loss_probability;
                return;
            case Fault::Kind::hot_restart:
                return hot_restart(fault.process);
            case Fault::Kind::change_acceptors:
                return change_acceptors();
        }
    }
    void end(const Fault& fault) {
        switch (fault.kind) {
            case Fault::Kind::kill:
            case Fault::Kind::kill_with_amnesia:
                if (!nodes_[fault.process].lease_node) start(fault.process);
                return;
            case Fault::Kind::pause: {
                Node& node = nodes_[fault.process];
                if (!node.lease_node || !node.paused) return;
                node.paused = false;
                node.armed = 1e18;
                // Woken: what waits in its socket comes first, or its timers do.
                const bool timers_first = draw(0, 1) < 0.5;
                if (timers_first) wake(fault.process, node.life);
                for (const auto& [from, body] : std::exchange(node.waiting, {}))
                    node.lease_node->receive(clock(fault.process), from, body);
                settle(fault.process);
                wake(fault.process, node.life);
                return;
            }
            case Fault::Kind::isolate:
            case Fault::Kind::isolate_outgoing:
                std::erase_if(cut_, [&](const auto& one) {
                    return one.first == fault.process || one.second == fault.process;
                });
                return;
            case Fault::Kind::packet_loss:
                loss_ = 0;
                return;
            default:
                return;
        }
    }
    // An upgrade: the other process of this ingress goes on with what was held.
    void hot_restart(std::size_t i) {
        Node& node = nodes_[i];
        if (!node.lease_node || node.paused || node.lease_node->acceptor()) return;
        const auto holds = node.lease_node->export_holds(clock(i));
        for (const auto& hold : holds)
            digest_.add(hold.lease, hold.holder, hold.round, hold.fencing_token, hold.valid_until,
                        hold.held_since);
        settle(i);
        AcceptorSet set{acceptors_, before_, step_};
        node.lease_node = std::make_unique<LeaseNode>(LeaseNodeSettings{name(i), scenario_.times, set},
                                                      ++lives_, random_(), clock(i), 0);
        node.lease_node->campaign(clock(i), "job", scenario_.slots);
        node.lease_node->import_holds(clock(i), holds);
        node.armed = 1e18;
        settle(i);
    }
    // One acceptor is exchanged for a spare one in two steps, told to each process at a time of its own.
    void change_acceptors() {
        if (scenario_.spare_acceptors == 0) return;
        before_ = acceptors_;
        const std::string spare = name(scenario_.acceptors);
        const auto at_spare = std::find(acceptors_.begin(), acceptors_.end(), spare);
        at_spare == acceptors_.end() ? acceptors_.push_back(spare) : void(acceptors_.erase(at_spare));
        ++step_;
        for (std::size_t i = 0; i < scenario_.processes; ++i)
            at(now_ + draw(0, 1.5), [this, i, set = AcceptorSet{acceptors_, before_, step_}] {
                if (!nodes_[i].lease_node || nodes_[i].paused) return;
                if (set.epoch <= nodes_[i].lease_node->settings().acceptors.epoch) return;
                nodes_[i].lease_node->set_acceptors(clock(i), set);
                settle(i);
            });
    }

    void measure() {
        bool held = false;
        for (std::size_t i = 0; i < scenario_.processes && !held; ++i)
            held =
                nodes_[i].lease_node && !nodes_[i].paused && nodes_[i].lease_node->holds(clock(i), "job");
        if (held_) result_.held_s += now_ - measured_at_;
        measured_at_ = now_;
        if (held && !held_ && ever_) result_.vacancies_s.push_back(now_ - gone_at_);
        if (!held && held_) gone_at_ = now_;
        ever_ = ever_ || held;
        held_ = held;
    }

    Scenario scenario_;
    std::mt19937_64 random_;
    std::vector<Node> nodes_;
    std::vector<std::string> acceptors_, before_;
    std::uint32_t step_ = 1;
    std::priority_queue<Event> events_;
    std::uint64_t order_ = 0, lives_ = 0;
    std::set<std::pair<std::size_t, std::size_t>> cut_;
    double now_ = 0, loss_ = 0;
    std::map<std::string, Act> acts_;   // by slot
    std::map<std::string, std::string> numbers_;
    bool held_ = false, ever_ = false;
    double gone_at_ = 0, measured_at_ = 0;
    Result result_;
    Digest digest_;
};

// The edge of what is promised: clocks as far apart as drift says, hardly a margin, answers as late as an
// ask waits for, and the holder loses the others time and again.
inline Scenario edge_scenario(std::uint64_t seed) {
    std::mt19937_64 random(seed * 104729 + 7);
    const auto draw = [&](double from, double to) {
        return std::uniform_real_distribution<double>(from, to)(random);
    };
    Scenario scenario;
    scenario.processes = 5;
    scenario.times = {1, draw(0, 0.1), 0.005, 0.02};
    for (std::size_t i = 0; i < scenario.processes; ++i)
        scenario.clock_rates.push_back(1 + (i < 3 ? 1 : -1) * scenario.times.drift);
    scenario.min_delay_s = draw(0, 0.06);
    scenario.max_delay_s = scenario.min_delay_s + draw(0.001, 0.02);
    scenario.duration_s = 10;
    for (double time = 2; time < scenario.duration_s;) {
        const double until = time + draw(1, 1.6);
        scenario.faults.push_back({draw(0, 1) < 0.5 ? Fault::Kind::isolate : Fault::Kind::isolate_outgoing,
                                   time, until, kCurrentHolder, 0});
        time = until + draw(0.1, 0.6);
    }
    return scenario;
}

inline Scenario random_scenario(std::uint64_t seed) {
    if (seed % 4 == 0) return edge_scenario(seed);
    std::mt19937_64 random(seed * 7919 + 13);
    const auto draw = [&](double from, double to) {
        return std::uniform_real_distribution<double>(from, to)(random);
    };
    const auto upto = [&](std::size_t most) { return static_cast<std::size_t>(random() % (most + 1)); };
    Scenario scenario;
    scenario.acceptors = upto(1) == 0 ? 3 : 5;
    scenario.processes = scenario.acceptors + 1 + upto(2);
    scenario.spare_acceptors = upto(3) == 0 ? 1 : 0;
    scenario.times = {1, draw(0, 0.1), draw(0.005, 0.05), draw(0.02, 0.2)};
    for (std::size_t i = 0; i < scenario.processes; ++i)
        scenario.clock_rates.push_back(
            1 + draw(-1, 1) * (upto(1) == 0 ? scenario.times.drift : 0.01 * scenario.times.drift));
    // The worst that is promised against: a slow holder and fast acceptors.
    if (upto(2) == 0)
        for (std::size_t i = 0; i < scenario.processes; ++i)
            scenario.clock_rates[i] =
                i < scenario.acceptors / 2 + 1 ? 1 + scenario.times.drift : 1 - scenario.times.drift;
    scenario.loss_probability = upto(2) == 0 ? draw(0, 0.5) : 0;
    scenario.duplication_probability = upto(1) == 0 ? draw(0, 0.3) : 0;
    scenario.max_delay_s = upto(2) == 0 ? draw(0.05, 0.6) : 0.02;
    scenario.slots = upto(4) == 0 ? 2 : 1;
    scenario.persistent_storage = upto(2) == 0;
    scenario.duration_s = 10;
    for (std::size_t count = 2 + upto(8); count > 0; --count) {
        Fault fault;
        fault.kind = static_cast<Fault::Kind>(upto(7));
        fault.begins_at = draw(1.5, scenario.duration_s);
        fault.ends_at = fault.begins_at + (upto(1) == 0 ? draw(0.01, 0.4) : draw(0.4, 4));
        fault.process = upto(1) == 0 ? kCurrentHolder : upto(scenario.processes - 1);
        fault.loss_probability = draw(0, 0.9);
        // A step follows the one before only once that is everywhere, as docs/fleet.md says.
        if (fault.kind == Fault::Kind::change_acceptors)
            for (const Fault& other : scenario.faults)
                if (other.kind == Fault::Kind::change_acceptors) fault.kind = Fault::Kind::isolate;
        scenario.faults.push_back(fault);
    }
    // Now and then a majority forgets within one grant, or all are killed at once.
    if (upto(4) == 0) {
        const double when = draw(2, 10);
        for (std::size_t i = 0; i < (upto(1) == 0 ? scenario.acceptors : scenario.acceptors / 2 + 1); ++i)
            scenario.faults.push_back({upto(1) == 0 ? Fault::Kind::kill_with_amnesia : Fault::Kind::kill,
                                       when + draw(0, 0.3), when + draw(0.31, 0.6), i, 0});
    }
    return scenario;
}

}   // namespace lease_simulation
