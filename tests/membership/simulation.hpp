// Simulates members on a network that loses, delays and reorders datagrams, with processes that are killed,
// restarted, isolated or starved of CPU. Time is simulated, and a run depends on its seed alone.
#pragma once

#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "digest.hpp"
#include "events.hpp"
#include "links.hpp"
#include "membership/datagram_auth.hpp"
#include "membership/swim.hpp"

namespace membership_simulation {

using namespace slatejunction::membership;

/// The parameters of a run.
struct Scenario {
    std::size_t members = 5, sites = 3;
    double protocol_period_s = 1, loss_probability = 0, min_delay_s = 0.001, max_delay_s = 0.01;
};

class Simulation {
  public:
    Simulation(const Scenario& scenario, std::uint64_t seed)
        : scenario_(scenario),
          random_(seed),
          links_(random_, scenario.loss_probability, scenario.min_delay_s, scenario.max_delay_s) {
        nodes_.resize(scenario.members);
        for (std::size_t i = 0; i < scenario.members; ++i)
            events_.at(draw(0, scenario.protocol_period_s), [this, i] { start(i); });
    }

    static std::string name(std::size_t i) { return "m" + std::to_string(i); }
    static std::string address(std::size_t i) { return "a" + std::to_string(i); }
    double now() const { return events_.now(); }
    SwimMembership& member(std::size_t i) { return *nodes_[i].members; }
    bool is_running(std::size_t i) const { return nodes_[i].members != nullptr; }

    // Starts node i, by default with its own name and address; `claimed_name` is the name of another node.
    void start(std::size_t i, const std::string& claimed_name = {}, const std::string& other_address = {}) {
        Node& node = nodes_[i];
        Settings settings;
        settings.name = claimed_name.empty() ? name(i) : claimed_name;
        settings.address = other_address.empty() ? address(i) : other_address;
        settings.site = std::string(1, static_cast<char>('a' + i % scenario_.sites));
        settings.version = "0.1.0";
        settings.protocol_period_s = scenario_.protocol_period_s;
        for (std::size_t s = 0; s < 3 && s < scenario_.members; ++s) settings.seeds.push_back(address(s));
        node.address = settings.address;
        node.process = ++last_process_;
        ++node.generation;
        node.armed_deadline = 1e18;
        node.members = std::make_unique<SwimMembership>(settings, node.process, random_());
        node.members->start(now());
        process_outputs(i);
    }
    void kill(std::size_t i) {
        nodes_[i].members.reset();
        ++nodes_[i].generation;
    }
    void leave(std::size_t i) {
        nodes_[i].members->leave(now());
        process_outputs(i);
        kill(i);
    }
    // Lets node i run only at multiples of `run_interval_s`; 0: without such a limit.
    void starve(std::size_t i, double run_interval_s) { nodes_[i].run_interval_s = run_interval_s; }
    void cut(std::size_t from, std::size_t to, bool on) { links_.cut(from, to, on); }
    void isolate(std::size_t i, bool on) {
        for (std::size_t j = 0; j < nodes_.size(); ++j)
            if (j != i) cut(i, j, on), cut(j, i, on);
    }
    void set_loss(double loss) { links_.set_loss(loss); }

    void run(double until) { events_.run_until(until); }
    // Runs until `condition` holds. Returns false if it does not within `max_duration_s`.
    bool run_until(double max_duration_s, const std::function<bool()>& condition) {
        const double end = now() + max_duration_s;
        while (now() < end) {
            if (condition()) return true;
            run(now() + scenario_.protocol_period_s / 10);
        }
        return condition();
    }
    // Whether node i lists node j in this state.
    bool sees(std::size_t i, std::size_t j, MemberState state) const {
        const Member* const member = nodes_[i].members->find(name(j));
        return member && member->state == state;
    }
    // Whether all other running nodes list node j in this state.
    bool all_see(std::size_t j, MemberState state) const {
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            if (i != j && is_running(i) && !sees(i, j, state)) return false;
        return true;
    }
    // Whether all nodes are running and list each other as alive.
    bool all_alive() const {
        for (std::size_t j = 0; j < nodes_.size(); ++j)
            if (!is_running(j) || !all_see(j, MemberState::alive)) return false;
        return true;
    }
    std::uint64_t sent_bytes() const { return sent_bytes_; }
    std::uint64_t sent_datagrams() const { return sent_datagrams_; }
    std::size_t largest_datagram_bytes() const { return largest_datagram_bytes_; }
    // How often a node listed a process as gone that was still running.
    std::uint64_t false_deaths() const { return false_deaths_; }
    // How many name conflicts were reported.
    std::uint64_t name_conflicts() const { return name_conflicts_; }
    const std::vector<ReceivedMessage>& messages(std::size_t i) const { return nodes_[i].messages; }
    // Digest of all outputs so far: datagrams, changes, user messages, deadlines.
    std::uint64_t digest() const { return digest_.value(); }
    // Sends the datagrams of node i, collects its messages and changes, and arms its timer.
    void process_outputs(std::size_t i) {
        Node& node = nodes_[i];
        if (!node.members) return;
        for (const Datagram& datagram : node.members->take_datagrams()) send(i, datagram);
        for (auto& message : node.members->take_messages()) {
            digest_.add(now(), i, message.from, message.process, message.channel, message.body);
            node.messages.push_back(std::move(message));
        }
        for (const MemberChange& change : node.members->take_changes()) {
            digest_.add(now(), i, change.kind, change.member.name, change.member.address,
                        change.member.site, change.member.version, change.member.incarnation,
                        change.member.process, change.member.state, change.member.state_since,
                        change.member.last_received_at, change.member.name_conflict);
            name_conflicts_ += change.kind == MemberChange::Kind::name_conflict;
            if (change.kind != MemberChange::Kind::state_changed ||
                change.member.state != MemberState::gone)
                continue;
            for (const Node& other : nodes_)
                false_deaths_ += other.members && other.process == change.member.process;
        }
        const double deadline = node.members->next_deadline();
        digest_.add(deadline, node.members->alive_count(), node.members->local_health_score(),
                    node.members->awaiting_name());
        if (deadline > 1e17 || (deadline >= node.armed_deadline - 1e-9 && node.armed_deadline >= now()))
            return;
        node.armed_deadline = std::max(deadline, now());
        events_.at(run_time(node, node.armed_deadline), [this, i, generation = node.generation] {
            Node& current = nodes_[i];
            if (current.generation != generation || !current.members) return;
            current.armed_deadline = 1e18;
            if (current.members->next_deadline() <= now()) current.members->on_timer(now());
            process_outputs(i);
        });
    }

  private:
    struct Node {
        std::unique_ptr<SwimMembership> members;
        std::string address;
        std::uint64_t process = 0, generation = 0;   // `generation` counts starts and kills
        double armed_deadline = 1e18, run_interval_s = 0;
        std::vector<ReceivedMessage> messages;
    };
    double draw(double from, double to) {
        return std::uniform_real_distribution<double>(from, to)(random_);
    }
    // Returns when the node runs next: at `time`, or later if it is starved.
    double run_time(const Node& node, double time) const {
        return node.run_interval_s > 0 ? std::ceil(time / node.run_interval_s) * node.run_interval_s : time;
    }
    void send(std::size_t from, const Datagram& datagram) {
        ++sent_datagrams_;
        digest_.add(now(), from, datagram.address, datagram.process, datagram.payload);
        sent_bytes_ += datagram.payload.size() + kAuthOverheadBytes;
        largest_datagram_bytes_ =
            std::max(largest_datagram_bytes_, datagram.payload.size() + kAuthOverheadBytes);
        for (std::size_t to = 0; to < nodes_.size(); ++to) {
            if (nodes_[to].address != datagram.address || !nodes_[to].members) continue;
            const auto delay = links_.delay(from, to);
            if (!delay) return;
            events_.at(run_time(nodes_[to], now() + *delay),
                       [this, from, to, datagram, process = nodes_[from].process] {
                           if (!nodes_[to].members) return;
                           nodes_[to].members->receive(
                               now(), process, datagram.process == nodes_[to].process, datagram.payload);
                           process_outputs(to);
                       });
            return;
        }
    }

    Scenario scenario_;
    std::mt19937_64 random_;
    std::vector<Node> nodes_;
    Links links_;
    Events events_;
    std::uint64_t last_process_ = 0, sent_bytes_ = 0, sent_datagrams_ = 0, false_deaths_ = 0,
                  name_conflicts_ = 0;
    std::size_t largest_datagram_bytes_ = 0;
    Digest digest_;
};

}   // namespace membership_simulation
