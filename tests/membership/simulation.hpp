// Members on a simulated net: datagrams that are lost, delayed and reordered, processes that die, are
// started again, are cut off, or starve for CPU. Time is the model's own; the seed repeats all of it.
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

struct Scenario {
    std::size_t members = 5, sites = 3;
    double interval_s = 1, loss = 0, delay_least = 0.001, delay_most = 0.01;
};

class Simulation {
  public:
    Simulation(const Scenario& plan, std::uint64_t seed)
        : plan_(plan), random_(seed), links_(random_, plan.loss, plan.delay_least, plan.delay_most) {
        nodes_.resize(plan.members);
        for (std::size_t i = 0; i < plan.members; ++i)
            events_.at(draw(0, plan.interval_s), [this, i] { start(i); });
    }

    static std::string name(std::size_t i) { return "m" + std::to_string(i); }
    static std::string address(std::size_t i) { return "a" + std::to_string(i); }
    double now() const { return events_.now(); }
    SwimMembership& member(std::size_t i) { return *nodes_[i].members; }
    bool is_running(std::size_t i) const { return nodes_[i].members != nullptr; }

    // `other_address`: it claims the name from elsewhere.
    void start(std::size_t i, const std::string& claim = {}, const std::string& other_address = {}) {
        Node& node = nodes_[i];
        Settings settings;
        settings.name = claim.empty() ? name(i) : claim;
        settings.address = other_address.empty() ? address(i) : other_address;
        settings.site = std::string(1, static_cast<char>('a' + i % plan_.sites));
        settings.version = "0.1.0";
        settings.protocol_period_s = plan_.interval_s;
        for (std::size_t s = 0; s < 3 && s < plan_.members; ++s) settings.seeds.push_back(address(s));
        node.address = settings.address;
        node.process = ++processes_;
        ++node.life;
        node.armed = 1e18;
        node.members = std::make_unique<SwimMembership>(settings, node.process, random_());
        node.members->start(now());
        settle(i);
    }
    void kill(std::size_t i) {
        nodes_[i].members.reset();
        ++nodes_[i].life;
    }
    void leave(std::size_t i) {
        nodes_[i].members->leave(now());
        settle(i);
        kill(i);
    }
    // Runs for a moment only, once each `every` s; 0: as ever.
    void starve(std::size_t i, double every) { nodes_[i].every = every; }
    void cut(std::size_t from, std::size_t to, bool on) { links_.cut(from, to, on); }
    void cut_off(std::size_t i, bool on) {
        for (std::size_t j = 0; j < nodes_.size(); ++j)
            if (j != i) cut(i, j, on), cut(j, i, on);
    }
    void set_loss(double loss) { links_.set_loss(loss); }

    void run(double until) { events_.run_until(until); }
    // Runs until it holds; false: it did not within so long.
    bool run_until(double most_s, const std::function<bool()>& holds) {
        const double end = now() + most_s;
        while (now() < end) {
            if (holds()) return true;
            run(now() + plan_.interval_s / 10);
        }
        return holds();
    }
    bool sees(std::size_t i, std::size_t j, MemberState state) const {
        const Member* const one = nodes_[i].members->find(name(j));
        return one && one->state == state;
    }
    // All that are up have j so.
    bool all_see(std::size_t j, MemberState state) const {
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            if (i != j && is_running(i) && !sees(i, j, state)) return false;
        return true;
    }
    bool all_alive() const {
        for (std::size_t j = 0; j < nodes_.size(); ++j)
            if (!is_running(j) || !all_see(j, MemberState::alive)) return false;
        return true;
    }
    std::uint64_t sent_bytes() const { return bytes_; }
    std::uint64_t sent_datagrams() const { return datagrams_; }
    std::size_t largest_datagram_bytes() const { return largest_; }
    // Of members that were up: called gone by one that was up, without ever having been killed before.
    std::uint64_t false_deaths() const { return false_deaths_; }
    std::uint64_t name_conflicts() const { return disputes_; }
    const std::vector<ReceivedMessage>& messages(std::size_t i) const { return nodes_[i].messages; }
    // Of all that the members have put out so far: datagrams, changes, bodies for rooms above.
    std::uint64_t digest() const { return digest_.value(); }
    void settle(std::size_t i) {
        Node& node = nodes_[i];
        if (!node.members) return;
        for (const Datagram& one : node.members->take_datagrams()) send(i, one);
        for (auto& one : node.members->take_messages()) {
            digest_.add(now(), i, one.from, one.process, one.channel, one.body);
            node.messages.push_back(std::move(one));
        }
        for (const MemberChange& one : node.members->take_changes()) {
            digest_.add(now(), i, one.kind, one.member.name, one.member.address, one.member.site,
                        one.member.version, one.member.incarnation, one.member.process, one.member.state,
                        one.member.state_since, one.member.last_received_at, one.member.name_conflict);
            disputes_ += one.kind == MemberChange::Kind::name_conflict;
            if (one.kind != MemberChange::Kind::state_changed || one.member.state != MemberState::gone)
                continue;
            for (const Node& other : nodes_)
                false_deaths_ += other.members && other.process == one.member.process;
        }
        const double due = node.members->next_deadline();
        digest_.add(due, node.members->alive_count(), node.members->local_health_score(),
                    node.members->awaiting_name());
        if (due > 1e17 || (due >= node.armed - 1e-9 && node.armed >= now())) return;
        node.armed = std::max(due, now());
        events_.at(when(node, node.armed), [this, i, life = node.life] {
            Node& one = nodes_[i];
            if (one.life != life || !one.members) return;
            one.armed = 1e18;
            if (one.members->next_deadline() <= now()) one.members->on_timer(now());
            settle(i);
        });
    }

  private:
    struct Node {
        std::unique_ptr<SwimMembership> members;
        std::string address;
        std::uint64_t process = 0, life = 0;
        double armed = 1e18, every = 0;
        std::vector<ReceivedMessage> messages;
    };
    double draw(double from, double to) {
        return std::uniform_real_distribution<double>(from, to)(random_);
    }
    // A starved process does what is due at the next moment that it runs.
    double when(const Node& node, double time) const {
        return node.every > 0 ? std::ceil(time / node.every) * node.every : time;
    }
    void send(std::size_t from, const Datagram& one) {
        ++datagrams_;
        digest_.add(now(), from, one.address, one.process, one.payload);
        bytes_ += one.payload.size() + kAuthOverheadBytes;
        largest_ = std::max(largest_, one.payload.size() + kAuthOverheadBytes);
        for (std::size_t to = 0; to < nodes_.size(); ++to) {
            if (nodes_[to].address != one.address || !nodes_[to].members) continue;
            const auto delay = links_.delay(from, to);
            if (!delay) return;
            events_.at(when(nodes_[to], now() + *delay), [this, from, to, one,
                                                          process = nodes_[from].process] {
                if (!nodes_[to].members) return;
                nodes_[to].members->receive(now(), process, one.process == nodes_[to].process, one.payload);
                settle(to);
            });
            return;
        }
    }

    Scenario plan_;
    std::mt19937_64 random_;
    std::vector<Node> nodes_;
    Links links_;
    Events events_;
    std::uint64_t processes_ = 0, bytes_ = 0, datagrams_ = 0, false_deaths_ = 0, disputes_ = 0;
    std::size_t largest_ = 0;
    Digest digest_;
};

}   // namespace membership_simulation
