// A simulated fleet of lease nodes, driven by a seeded schedule. The processes have clocks of different
// rates; the network loses, duplicates, delays and reorders messages; processes are killed with and without
// losing their stored state, paused, and cut off. Holders perform actions at random times, and a checker
// that sees only the actions reports when two holders act at once. All times are simulated.
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
    double begins_at = 0, ends_at = 0;   // s; a killed process is restarted at ends_at
    std::size_t process = 0;             // index, or kCurrentHolder for the holder at begins_at
    double loss_probability = 0;         // of packet_loss
};

struct Scenario {
    std::size_t processes = 5, acceptors = 3, spare_acceptors = 0;   // spare ones may become acceptors
    LeaseTimes times{1, 0.05, 0.02, 0.1};
    std::vector<double> clock_rates;   // 1 for the processes that have none
    double loss_probability = 0, duplication_probability = 0, min_delay_s = 0.001, max_delay_s = 0.02;
    unsigned slots = 1;
    bool persistent_storage = false;   // stored state survives a kill, except for Kind::kill_with_amnesia
    double duration_s = 20;
    std::vector<Fault> faults;
};

struct Result {
    std::string violation;   // the first one; empty if there was none
    std::uint64_t actions = 0, acquisitions = 0, expired = 0, messages = 0;
    std::vector<double> vacancies_s;   // times without a holder, after the first acquisition
    double held_s = 0;                 // total time with a holder
};

class Simulation {
  public:
    Simulation(Scenario scenario, std::uint64_t seed) : scenario_(std::move(scenario)), random_(seed) {
        scenario_.clock_rates.resize(scenario_.processes, 1.0);
        nodes_.reserve(scenario_.processes);   // nodes point to their storage
        for (std::size_t i = 0; i < scenario_.acceptors; ++i) acceptors_.push_back(name(i));
        for (std::size_t i = 0; i < scenario_.processes; ++i) {
            nodes_.push_back({});
            nodes_[i].clock_offset_s = 1000.0 * static_cast<double>(i + 1);
            start_process(i);
        }
        for (const Fault& one : scenario_.faults) {
            schedule(one.begins_at, [this, one] {
                Fault fault = one;
                if (fault.process == kCurrentHolder) fault.process = current_holder();
                begin_fault(fault);
                schedule(fault.ends_at, [this, fault] { end_fault(fault); });
            });
        }
    }

    Result run() {
        // All acceptors start without state, so nobody holds the lease before their recovery ends.
        while (!events_.empty() && result_.violation.empty()) {
            const auto [time, order, callback] = events_.top();
            if (time > scenario_.duration_s) break;
            events_.pop();
            now_ = time;
            callback();
            update_occupancy();
        }
        for (const Node& one : nodes_)
            if (one.lease_node) result_.expired += one.lease_node->lost();
        return result_;
    }
    // Digest of all outputs of the nodes so far: messages, lease events, permits, and stored states.
    std::uint64_t digest() const { return digest_.value(); }

  private:
    struct InMemoryStorage : AcceptorStorage {
        bool save(std::uint32_t epoch, const std::map<std::string, Grant>& grants) override {
            saved = AcceptorState{epoch, grants};
            return true;
        }
        std::optional<AcceptorState> saved;
    };
    struct Node {
        std::unique_ptr<LeaseNode> lease_node;
        InMemoryStorage storage;
        double clock_offset_s = 0;
        std::uint64_t incarnation = 0;   // incremented by each start and kill
        std::uint64_t holder = 0;
        bool paused = false;
        std::vector<std::pair<std::string, std::string>> queued_messages;   // received while it was paused
        double timer_armed_at = 1e18, last_action_at = 0;
    };
    struct Event {
        double time;
        std::uint64_t order;
        std::function<void()> callback;
        bool operator<(const Event& other) const {
            return time != other.time ? time > other.time : order > other.order;
        }
    };
    struct Action {
        std::size_t process = 0;
        std::uint64_t incarnation = 0, fencing_token = 0;
        double ends_at = 0;
    };

    static std::string name(std::size_t i) { return "p" + std::to_string(i); }
    static std::size_t index_of(const std::string& name) { return std::stoul(name.substr(1)); }
    double clock(std::size_t i) const { return nodes_[i].clock_offset_s + scenario_.clock_rates[i] * now_; }
    double draw(double from, double to) {
        return std::uniform_real_distribution<double>(from, to)(random_);
    }
    void schedule(double time, std::function<void()> callback) {
        events_.push({time, ++last_event_order_, std::move(callback)});
    }

    void start_process(std::size_t i) {
        Node& node = nodes_[i];
        ++node.incarnation;
        node.paused = false;
        node.queued_messages.clear();
        AcceptorSet acceptors{acceptors_, previous_acceptors_, epoch_};
        const AcceptorState* saved =
            scenario_.persistent_storage && node.storage.saved ? &*node.storage.saved : nullptr;
        // Grows with time, as the wall clock does that the daemon uses, so that tokens exceed earlier ones.
        const auto token_floor = static_cast<std::uint64_t>(1e6 + now_ * 1e3);
        node.holder = ++last_holder_id_;
        node.lease_node = std::make_unique<LeaseNode>(
            LeaseNodeSettings{name(i), scenario_.times, acceptors}, node.holder, random_(), clock(i),
            token_floor, saved, scenario_.persistent_storage ? &node.storage : nullptr);
        node.lease_node->campaign(clock(i), "job", scenario_.slots);
        handle_outputs(i);
        schedule_random_action(i);
    }
    void kill_process(std::size_t i) {
        ++nodes_[i].incarnation;
        nodes_[i].lease_node.reset();
        nodes_[i].timer_armed_at = 1e18;
    }

    void handle_outputs(std::size_t i) {
        Node& node = nodes_[i];
        for (const auto& message : node.lease_node->take_outgoing()) {
            digest_.add(now_, i, message.to, message.body);
            send(i, index_of(message.to), message.body);
        }
        for (const auto& event : node.lease_node->take_events()) {
            digest_.add(now_, i, event.kind, event.lease, event.slot, event.fencing_token,
                        event.valid_until);
            if (event.kind == LeaseEvent::Kind::lost) continue;
            ++result_.acquisitions;
            // The two processes of a hot restart are the same holder.
            const std::string token_key =
                event.lease + "/" + std::to_string(event.slot) + "=" + std::to_string(event.fencing_token);
            const std::string owner = name(i) + "." + std::to_string(node.holder);
            const auto [known, is_new] = token_owners_.emplace(token_key, owner);
            if (known->second != owner)
                report_violation("fencing token " + std::to_string(event.fencing_token) + " acquired by " +
                                 owner + " and " + known->second);
        }
        digest_state(i);
        schedule_last_action(i);
        const double deadline = node.lease_node->next_deadline();
        if (deadline > 1e17) return;
        const double time =
            std::max(now_, (deadline - node.clock_offset_s) / scenario_.clock_rates[i]) + 1e-9;
        if (time >= node.timer_armed_at - 1e-9 && node.timer_armed_at > now_) return;
        node.timer_armed_at = time;
        schedule(time, [this, i, incarnation = node.incarnation] { fire_timer(i, incarnation); });
    }
    // Adds the statuses that the lease node reports and the stored state of its acceptor to the digest.
    void digest_state(std::size_t i) {
        const Node& node = nodes_[i];
        for (const LeaseStatus& status : node.lease_node->statuses())
            digest_.add(status.lease, status.slot, status.state, status.fencing_token, status.valid_until,
                        status.held_since, status.other_holder);
        digest_.add(node.lease_node->next_deadline(), node.lease_node->gained(), node.lease_node->lost(),
                    node.lease_node->failed_saves());
        if (!node.storage.saved) return;
        digest_.add(node.storage.saved->epoch);
        for (const auto& [lease, grant] : node.storage.saved->grants)
            digest_.add(lease, grant.holder, grant.round, grant.fencing_token, grant.token_owner,
                        grant.expires_at, grant.holder_name);
    }
    void fire_timer(std::size_t i, std::uint64_t incarnation) {
        Node& node = nodes_[i];
        if (node.incarnation != incarnation || node.paused) return;
        node.timer_armed_at = 1e18;
        node.lease_node->on_timer(clock(i));
        handle_outputs(i);
    }

    void send(std::size_t from, std::size_t to, const std::string& body) {
        ++result_.messages;
        if (blocked_links_.contains({from, to}) ||
            draw(0, 1) < std::max(scenario_.loss_probability, fault_loss_probability_))
            return;
        for (int copies = draw(0, 1) < scenario_.duplication_probability ? 2 : 1; copies > 0; --copies)
            schedule(
                now_ + draw(scenario_.min_delay_s, scenario_.max_delay_s) * (draw(0, 1) < 0.05 ? 10 : 1),
                [this, from, to, body] { deliver(from, to, body); });
    }
    void deliver(std::size_t from, std::size_t to, const std::string& body) {
        Node& node = nodes_[to];
        if (!node.lease_node) return;
        if (node.paused) return node.queued_messages.emplace_back(name(from), body), void();
        node.lease_node->receive(clock(to), name(from), body);
        handle_outputs(to);
    }

    // Actions begin at random times; perform_action() gives half of them the longest duration.
    void schedule_random_action(std::size_t i) {
        schedule(now_ + draw(0, 0.15), [this, i, incarnation = nodes_[i].incarnation] {
            if (nodes_[i].incarnation != incarnation) return;
            perform_action(i);
            schedule_random_action(i);
        });
    }
    std::size_t current_holder() {
        for (std::size_t i = 0; i < scenario_.processes; ++i)
            if (nodes_[i].lease_node && nodes_[i].lease_node->holds(clock(i), "job")) return i;
        return random_() % scenario_.processes;
    }
    // Schedules an action for the latest time at which the lease that is held now permits one.
    void schedule_last_action(std::size_t i) {
        Node& node = nodes_[i];
        for (const LeaseStatus& status : node.lease_node->statuses()) {
            const double time = (status.valid_until - scenario_.times.max_action_s - node.clock_offset_s) /
                                    scenario_.clock_rates[i] -
                                1e-6;
            if (status.state != Candidate::State::held || time < now_ || time == node.last_action_at)
                continue;
            node.last_action_at = time;
            schedule(time, [this, i, incarnation = node.incarnation] {
                if (nodes_[i].incarnation == incarnation) perform_action(i, true);
            });
        }
    }
    void perform_action(std::size_t i, bool longest = false) {
        Node& node = nodes_[i];
        Permit permit;
        const bool permitted = !node.paused && node.lease_node->permit(clock(i), "job", permit);
        digest_.add(permitted, permit.fencing_token, permit.valid_until);
        if (!permitted) return;
        std::string slot = "job";
        for (const LeaseStatus& status : node.lease_node->statuses())
            slot += "/" + std::to_string(status.slot);
        ++result_.actions;
        const double duration_s = longest || draw(0, 1) < 0.5 ? scenario_.times.max_action_s
                                                              : draw(0, scenario_.times.max_action_s);
        Action& last = last_actions_[slot];
        if (last.ends_at > now_ && (last.process != i || last.incarnation != node.incarnation) &&
            last.fencing_token != permit.fencing_token)
            report_violation(name(i) + " acts with fencing token " + std::to_string(permit.fencing_token) +
                             " while " + name(last.process) + " acts with " +
                             std::to_string(last.fencing_token) + " until " + std::to_string(last.ends_at));
        if (permit.fencing_token < last.fencing_token)
            report_violation(name(i) + " acts with fencing token " + std::to_string(permit.fencing_token) +
                             " after " + std::to_string(last.fencing_token));
        last = {i, node.incarnation, permit.fencing_token,
                std::max(last.ends_at, now_ + duration_s / scenario_.clock_rates[i])};
    }
    void report_violation(const std::string& what) {
        if (result_.violation.empty()) result_.violation = std::to_string(now_) + " s: " + what;
    }

    void begin_fault(const Fault& fault) {
        switch (fault.kind) {
            case Fault::Kind::kill:
                return kill_process(fault.process);
            case Fault::Kind::kill_with_amnesia:
                nodes_[fault.process].storage.saved.reset();
                return kill_process(fault.process);
            case Fault::Kind::pause:
                // No pause during an action: the fencing token protects against that case (tests/fleet).
                for (const auto& [slot, action] : last_actions_)
                    if (action.process == fault.process && action.ends_at > now_) return;
                nodes_[fault.process].paused = nodes_[fault.process].lease_node != nullptr;
                return;
            case Fault::Kind::isolate:
            case Fault::Kind::isolate_outgoing:
                for (std::size_t i = 0; i < scenario_.processes; ++i) {
                    if (i == fault.process) continue;
                    blocked_links_.insert({fault.process, i});
                    if (fault.kind == Fault::Kind::isolate) blocked_links_.insert({i, fault.process});
                }
                return;
            case Fault::Kind::packet_loss:
                fault_loss_probability_ = fault.loss_probability;
                return;
            case Fault::Kind::hot_restart:
                return hot_restart(fault.process);
            case Fault::Kind::change_acceptors:
                return change_acceptors();
        }
    }
    void end_fault(const Fault& fault) {
        switch (fault.kind) {
            case Fault::Kind::kill:
            case Fault::Kind::kill_with_amnesia:
                if (!nodes_[fault.process].lease_node) start_process(fault.process);
                return;
            case Fault::Kind::pause: {
                Node& node = nodes_[fault.process];
                if (!node.lease_node || !node.paused) return;
                node.paused = false;
                node.timer_armed_at = 1e18;
                // After the pause either the queued messages are handled first or the expired timers.
                const bool timers_first = draw(0, 1) < 0.5;
                if (timers_first) fire_timer(fault.process, node.incarnation);
                for (const auto& [from, body] : std::exchange(node.queued_messages, {}))
                    node.lease_node->receive(clock(fault.process), from, body);
                handle_outputs(fault.process);
                fire_timer(fault.process, node.incarnation);
                return;
            }
            case Fault::Kind::isolate:
            case Fault::Kind::isolate_outgoing:
                std::erase_if(blocked_links_, [&](const auto& one) {
                    return one.first == fault.process || one.second == fault.process;
                });
                return;
            case Fault::Kind::packet_loss:
                fault_loss_probability_ = 0;
                return;
            default:
                return;
        }
    }
    // A hot restart: the new process of the ingress takes over the held leases.
    void hot_restart(std::size_t i) {
        Node& node = nodes_[i];
        if (!node.lease_node || node.paused || node.lease_node->acceptor()) return;
        const auto holds = node.lease_node->export_holds(clock(i));
        for (const auto& hold : holds)
            digest_.add(hold.lease, hold.holder, hold.round, hold.fencing_token, hold.valid_until,
                        hold.held_since);
        handle_outputs(i);
        AcceptorSet acceptors{acceptors_, previous_acceptors_, epoch_};
        node.lease_node =
            std::make_unique<LeaseNode>(LeaseNodeSettings{name(i), scenario_.times, acceptors},
                                        ++last_holder_id_, random_(), clock(i), 0);
        node.lease_node->campaign(clock(i), "job", scenario_.slots);
        node.lease_node->import_holds(clock(i), holds);
        node.timer_armed_at = 1e18;
        handle_outputs(i);
    }
    // Adds the spare acceptor to the set, or removes it. The processes apply the change at different times.
    void change_acceptors() {
        if (scenario_.spare_acceptors == 0) return;
        previous_acceptors_ = acceptors_;
        const std::string spare = name(scenario_.acceptors);
        const auto spare_position = std::find(acceptors_.begin(), acceptors_.end(), spare);
        spare_position == acceptors_.end() ? acceptors_.push_back(spare)
                                           : void(acceptors_.erase(spare_position));
        ++epoch_;
        for (std::size_t i = 0; i < scenario_.processes; ++i)
            schedule(now_ + draw(0, 1.5),
                     [this, i, set = AcceptorSet{acceptors_, previous_acceptors_, epoch_}] {
                         if (!nodes_[i].lease_node || nodes_[i].paused) return;
                         if (set.epoch <= nodes_[i].lease_node->settings().acceptors.epoch) return;
                         nodes_[i].lease_node->set_acceptors(clock(i), set);
                         handle_outputs(i);
                     });
    }

    void update_occupancy() {
        bool held = false;
        for (std::size_t i = 0; i < scenario_.processes && !held; ++i)
            held =
                nodes_[i].lease_node && !nodes_[i].paused && nodes_[i].lease_node->holds(clock(i), "job");
        if (held_) result_.held_s += now_ - occupancy_updated_at_;
        occupancy_updated_at_ = now_;
        if (held && !held_ && ever_held_) result_.vacancies_s.push_back(now_ - vacant_since_);
        if (!held && held_) vacant_since_ = now_;
        ever_held_ = ever_held_ || held;
        held_ = held;
    }

    Scenario scenario_;
    std::mt19937_64 random_;
    std::vector<Node> nodes_;
    std::vector<std::string> acceptors_, previous_acceptors_;
    std::uint32_t epoch_ = 1;
    std::priority_queue<Event> events_;
    std::uint64_t last_event_order_ = 0, last_holder_id_ = 0;
    std::set<std::pair<std::size_t, std::size_t>> blocked_links_;
    double now_ = 0, fault_loss_probability_ = 0;
    std::map<std::string, Action> last_actions_;   // by lease and slot
    std::map<std::string, std::string> token_owners_;
    bool held_ = false, ever_held_ = false;
    double vacant_since_ = 0, occupancy_updated_at_ = 0;
    Result result_;
    Digest digest_;
};

// A scenario at the limits of the protocol's assumptions: clocks differ by the full drift, the margin is
// small, answers arrive just within the request timeout, and the holder is cut off repeatedly.
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
    const auto draw_up_to = [&](std::size_t max) { return static_cast<std::size_t>(random() % (max + 1)); };
    Scenario scenario;
    scenario.acceptors = draw_up_to(1) == 0 ? 3 : 5;
    scenario.processes = scenario.acceptors + 1 + draw_up_to(2);
    scenario.spare_acceptors = draw_up_to(3) == 0 ? 1 : 0;
    scenario.times = {1, draw(0, 0.1), draw(0.005, 0.05), draw(0.02, 0.2)};
    for (std::size_t i = 0; i < scenario.processes; ++i)
        scenario.clock_rates.push_back(
            1 + draw(-1, 1) * (draw_up_to(1) == 0 ? scenario.times.drift : 0.01 * scenario.times.drift));
    // The worst case that the protocol has to tolerate: a slow clock at the holder and fast ones at the
    // acceptors.
    if (draw_up_to(2) == 0)
        for (std::size_t i = 0; i < scenario.processes; ++i)
            scenario.clock_rates[i] =
                i < scenario.acceptors / 2 + 1 ? 1 + scenario.times.drift : 1 - scenario.times.drift;
    scenario.loss_probability = draw_up_to(2) == 0 ? draw(0, 0.5) : 0;
    scenario.duplication_probability = draw_up_to(1) == 0 ? draw(0, 0.3) : 0;
    scenario.max_delay_s = draw_up_to(2) == 0 ? draw(0.05, 0.6) : 0.02;
    scenario.slots = draw_up_to(4) == 0 ? 2 : 1;
    scenario.persistent_storage = draw_up_to(2) == 0;
    scenario.duration_s = 10;
    for (std::size_t count = 2 + draw_up_to(8); count > 0; --count) {
        Fault fault;
        fault.kind = static_cast<Fault::Kind>(draw_up_to(7));
        fault.begins_at = draw(1.5, scenario.duration_s);
        fault.ends_at = fault.begins_at + (draw_up_to(1) == 0 ? draw(0.01, 0.4) : draw(0.4, 4));
        fault.process = draw_up_to(1) == 0 ? kCurrentHolder : draw_up_to(scenario.processes - 1);
        fault.loss_probability = draw(0, 0.9);
        // Only one change of the acceptors, as the next one must wait until all processes have applied the
        // previous one (docs/fleet.md).
        if (fault.kind == Fault::Kind::change_acceptors)
            for (const Fault& other : scenario.faults)
                if (other.kind == Fault::Kind::change_acceptors) fault.kind = Fault::Kind::isolate;
        scenario.faults.push_back(fault);
    }
    // In some scenarios at least a majority of the acceptors is killed within one grant duration, with or
    // without amnesia.
    if (draw_up_to(4) == 0) {
        const double when = draw(2, 10);
        for (std::size_t i = 0; i < (draw_up_to(1) == 0 ? scenario.acceptors : scenario.acceptors / 2 + 1);
             ++i)
            scenario.faults.push_back(
                {draw_up_to(1) == 0 ? Fault::Kind::kill_with_amnesia : Fault::Kind::kill,
                 when + draw(0, 0.3), when + draw(0.31, 0.6), i, 0});
    }
    return scenario;
}

}   // namespace lease_simulation
