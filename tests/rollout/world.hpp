// A rollout in one process: control machines (replica, feeder, at times the source), followers and relays,
// on a network that loses, doubles, delays and reorders, with cuts, nodes that stand still, kills with
// durable homes that may be full or lost. The lease is taken as given (tests/lease): its numbers rise, and
// one who has lost it may not know yet. Everything is in the order of one queue of events, by a seed.
#pragma once

#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "digest.hpp"
#include "events.hpp"
#include "rollout/follower.hpp"
#include "rollout/history.hpp"
#include "rollout/leader.hpp"
#include "rollout/propagation_bounds.hpp"
#include "rollout/publisher.hpp"
#include "rollout/replica.hpp"

namespace rollout_world {

struct Plan {
    std::size_t controls = 3, followers = 6;
    std::size_t relays = 0;   // of the followers, the first ones; the others have them as parents too
    double loss = 0, twice = 0, delay_least = 0.001, delay_most = 0.02;
    // Not negative: of the datagrams between two nodes no more are lost within kLossWindow.
    int losses_most = -1;
    double length = 30;
    double propose_every = 0.5, burst_every = 1e9;
    double refuse = 0;   // part of the changes that some can't use
    double kill_every = 1e9, down_most = 4, stop_every = 1e9, stop_most = 4, cut_every = 1e9, cut_most = 6;
    double full_every = 1e9, lose_every = 1e9;
    double change_every = 1e9, gap_most = 1.5;   // of the source; nobody is it for so long at most
    double stale_most = 0;                       // for so long one may hold itself for the source still
    std::size_t records_kept = kMaxLogRecords;   // by replicas and relays
    std::size_t canaries = 2;
    // The bound that is kept in such a run; 0: none is promised.
    double bound_s = 0;
};

inline constexpr double kLossWindow = 12;   // s

inline Plan random_plan(std::uint64_t seed) {
    std::mt19937_64 random(seed * 7919 + 5);
    const auto draw = [&](double from, double to) {
        return std::uniform_real_distribution<double>(from, to)(random);
    };
    const auto one_of = [&](std::size_t n) { return random() % n == 0; };
    Plan plan;
    plan.controls = one_of(3) ? 5 : 3;
    plan.followers = 2 + random() % 7;
    plan.relays = one_of(3) ? 1 + random() % 2 : 0;
    plan.canaries = random() % 4;
    plan.propose_every = draw(0.05, 1.5);
    if (one_of(4)) plan.burst_every = draw(3, 10);
    if (one_of(3)) plan.records_kept = 5 + random() % 30;
    if (one_of(4)) {   // what the bound is stated for
        BoundTimes times;
        times.max_losses = one_of(3) ? 0 : 2;
        times.hops = plan.relays > 0 ? 2 : 1;
        plan.losses_most = times.max_losses;
        plan.loss = times.max_losses > 0 ? draw(0.05, 0.6) : 0;
        plan.delay_most = draw(0.01, times.one_way_s);
        plan.records_kept = kMaxLogRecords;
        plan.burst_every = 1e9;
        plan.propose_every = std::max(plan.propose_every, 0.2);
        plan.bound_s = active_within_s(times);
        if (one_of(2)) {
            plan.gap_most = 4.7;
            plan.change_every = 40;
            plan.length = 45;
            plan.bound_s = active_after_leader_failure_s(times, plan.gap_most);
        }
        return plan;
    }
    plan.loss = one_of(2) ? draw(0, 0.5) : 0;
    plan.twice = one_of(2) ? draw(0, 0.3) : 0;
    plan.delay_most = one_of(2) ? draw(0.02, 1.0) : 0.02;
    if (one_of(2)) plan.refuse = draw(0.02, 0.3);
    if (one_of(2)) plan.kill_every = draw(0.7, 8);
    if (one_of(3)) plan.down_most = 15;
    if (one_of(2)) plan.stop_every = draw(1, 8);
    if (one_of(2)) plan.cut_every = draw(2, 10);
    if (one_of(3)) plan.full_every = draw(2, 10);
    if (one_of(3)) plan.lose_every = draw(3, 12);
    if (!one_of(4)) plan.change_every = draw(1, 10);
    if (one_of(2)) plan.stale_most = draw(0.5, 6);
    return plan;
}

struct Result {
    std::string violation;
    std::uint64_t messages = 0, committed = 0, versions = 0, reverts = 0, leader_changes = 0, snapshots = 0,
                  kills = 0, lost_disks = 0, admitted_learners = 0;
    double worst_bound_fraction = 0;   // part of the bound, where one is promised
};

class World {
  public:
    World(const Plan& plan, std::uint64_t seed) : plan_(plan), random_(seed) {
        for (std::size_t i = 0; i < plan.controls; ++i) control_names_.push_back(control(i));
        for (std::size_t i = 0; i < plan.controls; ++i) add(control(i));
        for (std::size_t i = 0; i < plan.followers; ++i) add(follower(i));
    }

    // --- a random schedule

    Result run() {
        gain(pick_control());
        every(plan_.propose_every, [this] { propose_random(); });
        every(plan_.burst_every, [this] {
            for (int i = 0; i < 60; ++i) propose_random();
        });
        every(plan_.change_every, [this] { change(); });
        every(plan_.kill_every, [this] { kill_for(pick(), draw(0.05, plan_.down_most)); });
        every(plan_.stop_every, [this] { stop(pick(), draw(0.1, plan_.stop_most)); });
        every(plan_.cut_every, [this] { cut_random(); });
        every(plan_.full_every, [this] { fill(pick(), draw(0.5, 8)); });
        every(plan_.lose_every, [this] { lose_disk_random(); });
        events_.run_until(plan_.length);
        calm();
        judge();
        return result_;
    }
    // Of all that the cores have put out so far: messages, what they wrote to their homes, proposals taken
    // and refused, events of sources, versions in force with their states.
    std::uint64_t digest() const { return digest_.value(); }

    // --- by hand

    double now() const { return events_.now(); }
    void run_until(double time) { events_.run_until(time); }
    void run_for(double s) { events_.run_until(now() + s); }
    void at(double time, std::function<void()> call) { events_.at(time, std::move(call)); }
    static std::string control(std::size_t i) { return "c" + std::to_string(i); }
    static std::string follower(std::size_t i) { return "f" + std::to_string(i); }

    void gain(const std::string& name) {
        Node& node = nodes_.at(name);
        holder_ = name;
        ++result_.leader_changes;
        node.held = ++fencing_;
        if (!node.up) return;
        node.source->begin_term(now(), node.held, node.replica->log());
        pump(name);
    }
    // It knows that it is the source no longer.
    void lose(const std::string& name) {
        Node& node = nodes_.at(name);
        if (holder_ == name) holder_.clear();
        node.held = 0;
        if (node.up && node.source) node.source->end_term();
    }
    ProposeOutcome propose(const std::string& name, const std::string& key,
                           const std::optional<std::string>& value) {
        Node& node = nodes_.at(name);
        if (!node.up || stopped(node)) return {0, ProposeError::not_leader};
        const ProposeOutcome proposed = node.source->propose(now(), key, value);
        digest_.add(now(), name, proposed.number, proposed.error);
        if (proposed.number != 0)
            note({Fact::What::proposed,
                  now(),
                  name,
                  proposed.number,
                  node.source->log().record(proposed.number),
                  {},
                  true});
        pump(name);
        return proposed;
    }
    void kill(const std::string& name) {
        Node& node = nodes_.at(name);
        if (!node.up) return;
        ++result_.kills;
        count(node);
        node.up = false;
        node.held = 0;
        if (holder_ == name) holder_.clear();
        node.replica.reset();
        node.feeder.reset();
        node.source.reset();
        node.follower.reset();
        node.waiting.clear();
        node.stopped_until = 0;
        ++node.life;
    }
    void start(const std::string& name) {
        if (!nodes_.at(name).up) begin(name);
    }
    void stop(const std::string& name, double s) {
        nodes_.at(name).stopped_until = std::max(nodes_.at(name).stopped_until, now() + s);
    }
    void set_full(const std::string& name, bool full) { nodes_.at(name).full = full; }
    // Of one that is not up.
    void lose_disk(const std::string& name) {
        Node& node = nodes_.at(name);
        ++result_.lost_disks;
        node.replica_home = {};
        node.replica_home.remembers = false;
        node.follower_home = {};
        note(
            {is_control(name) ? Fact::What::disk_new : Fact::What::home_new, now(), name, 0, {}, {}, true});
    }
    // Cut off from all others of another group.
    void set_group(const std::string& name, int group) { nodes_.at(name).group = group; }
    void heal() {
        for (auto& [name, node] : nodes_) node.group = 0;
    }
    // True: the message is lost. It may change the message.
    using Filter = std::function<bool(const std::string& from, const std::string& to, Message& message)>;
    void set_filter(Filter filter) { filter_ = std::move(filter); }
    // A message that was kept back comes now.
    void inject(const std::string& from, const std::string& to, const Message& message) {
        arrive(from, to, nodes_.at(to).process, nodes_.at(from).process, encode(message));
    }
    // What a follower can't use: beside what the values themselves say.
    std::function<std::string(const std::string& name, const State& state)> also_check;
    void set_loss(double loss) { plan_.loss = loss; }

    const Leader& source(const std::string& name) const { return *nodes_.at(name).source; }
    const Replica& replica(const std::string& name) const { return *nodes_.at(name).replica; }
    const Follower& follower_of(const std::string& name) const { return *nodes_.at(name).follower; }
    const Publisher& feeder(const std::string& name) const { return *nodes_.at(name).feeder; }
    bool up(const std::string& name) const { return nodes_.at(name).up; }
    const std::vector<Fact>& history() const { return history_; }
    const std::vector<LeaderEvent>& events() const { return source_events_; }
    Report fleet(const std::string& name) const { return source(name).fleet_report(now()); }
    std::string violation() {
        if (!result_.violation.empty()) return result_.violation;
        return Checker(plan_.controls).judge(history_);
    }
    std::size_t messages() const { return result_.messages; }

    static std::string usable(const std::string& name, const State& state) {
        const bool odd = (name.back() - '0') % 2 == 1;
        for (const auto& [key, value] : state) {
            if (value.starts_with("bad-all")) return "nobody can use " + key;
            if (value.starts_with("bad-odd") && odd) return "odd ones can't use " + key;
            if (value.starts_with("needs:") && !state.contains(value.substr(6, value.find(' ') - 6)))
                return key + " needs another key";
        }
        return {};
    }

  private:
    struct ReplicaDisk {
        std::uint64_t promised = 0, committed = 0;
        bool remembers = false;
        Log log;
    };
    struct FollowerDisk {
        Log log;
    };
    struct Node {
        bool up = false, full = false;
        std::uint64_t life = 0, process = 0, held = 0;
        int group = 0;
        double stopped_until = 0, armed = 1e18;
        std::vector<std::function<void()>> waiting;   // came while it stood still
        ReplicaDisk replica_home;
        FollowerDisk follower_home;
        std::unique_ptr<ReplicaStorage> replica_access;
        std::unique_ptr<FollowerStorage> follower_access;
        std::unique_ptr<Replica> replica;
        std::unique_ptr<Leader> source;
        std::unique_ptr<Publisher> feeder;
        std::unique_ptr<Follower> follower;
        std::uint64_t changes = 0, urgent = 0, known = 0;
    };

    // Homes outlive processes; each write is a fact.
    struct ReplicaAccess : ReplicaStorage {
        ReplicaAccess(World& in, std::string of) : world(in), name(std::move(of)) {}
        Node& node() { return world.nodes_.at(name); }
        bool save_promise(std::uint64_t term, bool remembers) override {
            if (node().full) return false;
            world.digest_.add(world.now(), name, term, remembers);
            node().replica_home.promised = term;
            node().replica_home.remembers = remembers;
            return true;
        }
        bool append(const std::vector<Record>& records) override {
            if (node().full) return false;
            for (const Record& one : records) {
                if (!node().replica_home.log.push(one)) world.fail(name + ": a home that does not fit");
                world.note({Fact::What::kept, world.now(), name, one.number, one, {}, true});
            }
            return true;
        }
        bool truncate(std::uint64_t number) override {
            if (node().full) return false;
            world.digest_.add(world.now(), name, number);
            node().replica_home.log.truncate(number);
            return true;
        }
        bool replace(const Log& log, std::uint64_t committed) override {
            if (node().full) return false;
            node().replica_home.log = log;
            node().replica_home.committed = committed;
            world.note({Fact::What::kept_whole, world.now(), name, log.base().number, {}, {}, true});
            return true;
        }
        void save_commit_index(std::uint64_t number) override { node().replica_home.committed = number; }
        World& world;
        const std::string name;
    };
    struct FollowerAccess : FollowerStorage {
        FollowerAccess(World& in, std::string of) : world(in), name(std::move(of)) {}
        Node& node() { return world.nodes_.at(name); }
        bool append(const std::vector<Record>& records) override {
            if (node().full) return false;
            for (const Record& one : records)
                if (!node().follower_home.log.push(one)) world.fail(name + ": a home that does not fit");
            return said();
        }
        bool replace(const Log& log) override {
            if (node().full) return false;
            node().follower_home.log = log;
            return said();
        }
        bool said() {
            world.note({Fact::What::durable,
                        world.now(),
                        name,
                        node().follower_home.log.last().number,
                        {},
                        {},
                        true});
            return true;
        }
        World& world;
        const std::string name;
    };

    static bool is_control(const std::string& name) { return name.front() == 'c'; }
    bool is_relay(const std::string& name) const {
        return !is_control(name) && std::stoul(name.substr(1)) < plan_.relays;
    }
    bool stopped(const Node& node) const { return now() < node.stopped_until; }
    double draw(double from, double to) {
        return std::uniform_real_distribution<double>(from, to)(random_);
    }
    std::string pick_control() { return control(random_() % plan_.controls); }
    std::string pick() {
        return random_() % 2 == 0 ? pick_control() : follower(random_() % plan_.followers);
    }
    void note(Fact fact) {
        digest_.add(fact.what, fact.time, fact.node, fact.number, fact.usable);
        digest_.add(fact.record.number, fact.record.term, fact.record.kind, fact.record.key,
                    fact.record.value, fact.record.reverts);
        digest_.add(fact.state.size());
        for (const auto& [key, value] : fact.state) digest_.add(key, value);
        history_.push_back(std::move(fact));
    }
    void fail(const std::string& why) {
        if (result_.violation.empty()) result_.violation = why;
    }
    void every(double s, std::function<void()> call) {
        if (s > 1e8) return;
        events_.at(now() + draw(0.5, 1.5) * s, [this, s, call = std::move(call)] {
            if (calm_) return;
            call();
            every(s, call);
        });
    }

    // --- lives

    void add(const std::string& name) {
        nodes_[name];
        begin(name);
    }
    void begin(const std::string& name) {
        Node& node = nodes_.at(name);
        node.up = true;
        ++node.life;
        node.process = ++processes_;
        node.armed = 1e18;
        node.changes = node.urgent = 0;
        if (is_control(name))
            begin_control(name, node);
        else
            begin_follower(name, node);
        tell_every_second(name, node.life);
        pump(name);
    }
    void begin_control(const std::string& name, Node& node) {
        node.replica_access = std::make_unique<ReplicaAccess>(*this, name);
        ReplicaSettings settings;
        settings.name = name;
        settings.max_log_records = plan_.records_kept;
        settings.compact_after_records = 40;
        const ReplicaDisk& disk = node.replica_home;
        node.replica = std::make_unique<Replica>(
            settings, node.process, ReplicaStored{disk.remembers, disk.promised, disk.committed, disk.log},
            *node.replica_access);
        node.known = node.replica->commit_index();
        node.feeder = std::make_unique<Publisher>(feeder_settings(), node.replica->log());
        node.feeder->advance(now(), node.replica->commit_index(), node.replica->staging());
        LeaderSettings source;
        source.replicas = control_names_;
        source.canary_count = plan_.canaries;
        source.max_log_records = plan_.records_kept;
        node.source = std::make_unique<Leader>(source, random_());
    }
    static PublisherSettings feeder_settings() {
        PublisherSettings settings;
        settings.snapshot_interval_s = 1;
        return settings;
    }
    void begin_follower(const std::string& name, Node& node) {
        FollowerSettings settings;
        settings.name = name;
        settings.region = "r0";
        for (std::size_t i = 0; i < plan_.controls; ++i)
            settings.parents.push_back({control(i), "r" + std::to_string(1 + i % 2)});
        settings.max_log_bytes = kMaxLogBytes;
        if (is_relay(name))
            settings.max_log_records = plan_.records_kept;
        else
            for (std::size_t i = 0; i < plan_.relays; ++i) settings.parents.push_back({follower(i), "r0"});
        settings.compact_after_records = 30;
        settings.preferred_retry_s = 10;
        node.follower_access = std::make_unique<FollowerAccess>(*this, name);
        node.follower = std::make_unique<Follower>(
            settings, FollowerStored{node.follower_home.log}, *node.follower_access,
            [this, name](const State& state, const Changes&) { return check(name, state); }, random_());
        note({Fact::What::begun,
              now(),
              name,
              node.follower->active_version().number,
              {},
              node.follower->state(),
              true});
        if (is_relay(name)) {
            node.feeder = std::make_unique<Publisher>(feeder_settings(), node.follower->log());
            node.feeder->advance(now(), node.follower->log().last().number, node.follower->staging());
        }
        node.follower->start(now());
    }
    std::string check(const std::string& name, const State& state) const {
        if (also_check) {
            std::string why = also_check(name, state);
            if (!why.empty()) return why;
        }
        return usable(name, state);
    }
    void count(const Node& node) {
        if (node.follower) result_.snapshots += node.follower->counts().snapshots;
    }

    // --- effects out

    void pump(const std::string& name) {
        Node& node = nodes_.at(name);
        if (!node.up) return;
        if (node.source) pump_source(name, node);
        if (node.replica) pump_replica(name, node);
        if (node.follower) pump_follower(name, node);
        if (node.feeder) pump_feeder(name, node);
        if (node.follower) post(name, node.follower->take_outgoing());
        arm(name, node);
    }
    void pump_source(const std::string& name, Node& node) {
        for (const LeaderEvent& event : node.source->take_events()) {
            digest_.add(now(), event.kind, event.number, event.name, event.reason);
            source_events_.push_back(event);
            if (event.kind == LeaderEvent::Kind::committed) {
                const std::uint64_t from = committed_told_ + 1;
                for (std::uint64_t at = std::max(from, node.source->log().base().number + 1);
                     at <= event.number; ++at)
                    note({Fact::What::committed, now(), name, at, node.source->log().record(at), {}, true});
                // What was told before is told again, so that the two are compared.
                note({Fact::What::committed,
                      now(),
                      name,
                      event.number,
                      node.source->log().record(event.number),
                      {},
                      true});
                committed_told_ = std::max(committed_told_, event.number);
            }
            if (event.kind == LeaderEvent::Kind::cleared)
                note({Fact::What::cleared, now(), name, event.number, {}, {}, true});
            if (event.kind == LeaderEvent::Kind::reverted) ++result_.reverts;
            if (event.kind == LeaderEvent::Kind::learner_admitted) ++result_.admitted_learners;
            if (event.kind == LeaderEvent::Kind::fenced) node.source->end_term();
            if (event.kind == LeaderEvent::Kind::diverged) fail(event.name + " has diverged");
        }
        post(name, node.source->take_outgoing());
    }
    void pump_replica(const std::string& name, Node& node) {
        post(name, node.replica->take_outgoing());
        if (node.replica->diverged()) fail(name + " has diverged");
        if (node.replica->changes() == node.changes) return;
        digest_.add(name, node.replica->changes(), node.replica->commit_index(), node.replica->promised());
        node.changes = node.replica->changes();
        const Log& log = node.replica->log();
        for (std::uint64_t at = std::max(node.known, log.base().number) + 1;
             at <= node.replica->commit_index(); ++at)
            note({Fact::What::known, now(), name, at, log.record(at), {}, true});
        node.known = node.replica->commit_index();
        node.feeder->advance(now(), node.replica->commit_index(), node.replica->staging());
    }
    void pump_follower(const std::string& name, Node& node) {
        for (const Activation& one : node.follower->take_activations()) {
            ++result_.versions;
            digest_.add(one.version.number, one.version.chain);
            const State& state = node.follower->state();
            note({Fact::What::in_force,
                  now(),
                  name,
                  one.version.number,
                  {},
                  state,
                  check(name, state).empty()});
        }
        if (node.follower->fault() == FollowerFault::diverged) fail(name + " has diverged");
        if (node.feeder)
            node.feeder->advance(now(), node.follower->log().last().number, node.follower->staging());
    }
    void pump_feeder(const std::string& name, Node& node) {
        post(name, node.feeder->take_outgoing());
        if (node.feeder->urgent_changes() == node.urgent) return;
        node.urgent = node.feeder->urgent_changes();
        tell(name, node);
        if (node.follower) node.follower->report_now(now());
    }
    void tell(const std::string& name, Node& node) {
        if (node.follower && node.feeder) node.follower->set_subtree(node.feeder->report(now()));
        if (!node.replica || node.replica->leader().empty()) return;
        Report report = node.feeder->report(now());
        shrink_to(report, kMaxReportBytes);
        post(name, {{node.replica->leader(), body_of(FollowerReport{report})}});
    }
    void tell_every_second(const std::string& name, std::uint64_t life) {
        events_.at(now() + 1, [this, name, life] {
            Node& node = nodes_.at(name);
            if (node.life != life) return;
            if (!stopped(node)) {
                tell(name, node);
                pump(name);
            }
            tell_every_second(name, life);
        });
    }
    void arm(const std::string& name, Node& node) {
        double due = 1e18;
        if (node.replica) due = std::min(due, node.replica->next_deadline());
        if (node.source) due = std::min(due, node.source->next_deadline());
        if (node.feeder) due = std::min(due, node.feeder->next_deadline());
        if (node.follower) due = std::min(due, node.follower->next_deadline());
        if (due > 1e17) return;
        due = std::max(due, now());
        if (node.armed > now() && node.armed <= due) return;
        node.armed = due;
        events_.at(due, [this, name, life = node.life, due] { wake(name, life, due); });
    }
    void wake(const std::string& name, std::uint64_t life, double due) {
        Node& node = nodes_.at(name);
        if (node.life != life || node.armed != due) return;
        if (stopped(node)) {
            node.armed = node.stopped_until;
            events_.at(node.armed, [this, name, life, at = node.armed] { wake(name, life, at); });
            return;
        }
        if (!moves_on()) return fail(name + ": due again and again at one time");
        node.armed = 1e18;
        if (node.replica) node.replica->on_timer(now());
        if (node.source) node.source->on_timer(now());
        if (node.feeder) node.feeder->on_timer(now());
        if (node.follower) node.follower->on_timer(now());
        pump(name);
    }

    // Whether time goes on between wake-ups.
    bool moves_on() {
        if (now() > woken_at_) wakes_ = 0;
        woken_at_ = now();
        return ++wakes_ < 20'000;
    }

    // --- the network

    void post(const std::string& from, const std::vector<OutgoingMessage>& posts) {
        for (const OutgoingMessage& one : posts) {
            digest_.add(now(), from, one.to, *one.body);
            if (one.body->size() > kMaxBodyBytes)
                fail(from + ": a message of " + std::to_string(one.body->size()) + " bytes");
            send(from, one.to, *one.body);
        }
    }
    void send(const std::string& from, const std::string& to, std::string body) {
        ++result_.messages;
        const auto at = nodes_.find(to);
        if (at == nodes_.end() || !at->second.up) return;
        if (filter_) {
            auto message = decode(body);
            if (!message) return fail(from + ": a message that can't be read");
            if (filter_(from, to, *message)) return;
            body = encode(*message);
        }
        const std::uint64_t process = at->second.process, sender = nodes_.at(from).process;
        const int copies = from != to && draw(0, 1) < plan_.twice ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            if (from != to && loses(from, to)) continue;
            const double delay = from == to ? 0 : draw(plan_.delay_least, plan_.delay_most);
            events_.at(now() + delay, [this, from, to, process, sender, body] {
                if (nodes_.at(from).group == nodes_.at(to).group) arrive(from, to, process, sender, body);
            });
        }
    }
    bool loses(const std::string& from, const std::string& to) {
        if (draw(0, 1) >= plan_.loss) return false;
        if (plan_.losses_most < 0) return true;
        auto& lost = lost_[std::minmax(from, to)];
        std::erase_if(lost, [&](double time) { return time + kLossWindow < now(); });
        if (static_cast<int>(lost.size()) >= plan_.losses_most) return false;
        lost.push_back(now());
        return true;
    }
    // What is for an earlier process of that name is not read by this one (peers seal it for one process).
    void arrive(const std::string& from, const std::string& to, std::uint64_t process, std::uint64_t sender,
                const std::string& body) {
        Node& node = nodes_.at(to);
        if (!node.up || node.process != process) return;
        if (stopped(node)) {
            events_.at(node.stopped_until, [this, from, to, process, sender, body] {
                arrive(from, to, process, sender, body);
            });
            return;
        }
        const auto message = decode(body);
        if (!message) return fail(from + ": a message that can't be read");
        if (!moves_on()) return fail(to + ": messages without end at one time");
        if (node.replica) node.replica->receive(now(), from, *message);
        if (node.source) node.source->receive(now(), from, *message);
        if (node.feeder && !is_control(from)) node.feeder->receive(now(), from, sender, *message);
        if (node.follower) node.follower->receive(now(), from, *message);
        pump(to);
    }

    // --- faults

    void change() {
        const std::string old = holder_;
        if (!old.empty()) {
            holder_.clear();
            if (plan_.bound_s > 0)
                kill_for(old, draw(0.5, 3));
            else if (plan_.stale_most > 0)
                events_.at(now() + draw(0, plan_.stale_most), [this, old, held = nodes_.at(old).held] {
                    if (nodes_.at(old).held == held) lose_late(old);
                });
            else
                lose(old);
        }
        gain_after(draw(0.1, plan_.gap_most));
    }
    void lose_late(const std::string& name) {
        if (holder_ == name) return;
        nodes_.at(name).held = 0;
        if (nodes_.at(name).up) nodes_.at(name).source->end_term();
    }
    void gain_after(double s) {
        events_.at(now() + s, [this] {
            if (!holder_.empty()) return;
            const std::string name = pick_control();
            if (!nodes_.at(name).up || stopped(nodes_.at(name))) return gain_after(0.1);
            gain(name);
        });
    }
    void kill_for(const std::string& name, double s) {
        if (!nodes_.at(name).up) return;
        const bool held = holder_ == name;
        kill(name);
        if (held) gain_after(draw(0.1, plan_.gap_most));
        events_.at(now() + s, [this, name] { start(name); });
    }
    void cut_random() {
        for (auto& [name, node] : nodes_) node.group = random_() % 3 == 0 ? 1 : 0;
        events_.at(now() + draw(0.3, plan_.cut_most), [this] { heal(); });
    }
    void fill(const std::string& name, double s) {
        set_full(name, true);
        events_.at(now() + s, [this, name] { set_full(name, false); });
    }
    // Never more replicas than the others make up for.
    void lose_disk_random() {
        const std::string name = pick();
        if (is_control(name)) {
            std::size_t without = 1;
            for (const std::string& one : control_names_)
                without += one != name && !nodes_.at(one).replica_home.remembers;
            if (without > (plan_.controls - 1) / 2) return;
        }
        if (!nodes_.at(name).up) return;
        kill_for(name, draw(0.05, plan_.down_most));
        lose_disk(name);
    }

    // --- changes

    void propose_random() {
        const std::string name = !last_source_.empty() && random_() % 8 == 0 ? last_source_ : holder_;
        if (name.empty()) return;
        last_source_ = name;
        const std::string key = "k" + std::to_string(random_() % 12);
        const std::string unique = std::to_string(++values_);
        if (random_() % 6 == 0) return void(propose(name, key, std::nullopt));
        std::string value = "v " + unique;
        if (draw(0, 1) < plan_.refuse) {
            const std::string kinds[] = {"bad-all ", "bad-odd ", "bad-odd ",
                                         "needs:k" + std::to_string(random_() % 12) + " "};
            value = kinds[random_() % 4] + unique;
        }
        if (random_() % 10 == 0) value.resize(kMaxValueBytes, 'x');
        propose(name, key, value);
    }

    // --- the end

    // All faults are over: what everybody can use must come to be in force everywhere.
    void calm() {
        calm_ = true;
        plan_.loss = plan_.twice = 0;
        plan_.delay_most = std::min(plan_.delay_most, 0.02);
        heal();
        for (auto& [name, node] : nodes_) {
            node.full = false;
            node.stopped_until = 0;
            start(name);
        }
        for (const std::string& name : control_names_)
            if (name != holder_) lose_late(name);
        run_for(20);
        if (holder_.empty()) gain(pick_control());
        run_for(15);
        for (int i = 0; i < 12; ++i)
            if (propose(holder_, "k" + std::to_string(i), "last " + std::to_string(++values_)).number == 0)
                fail("the source takes no change: stage " +
                     std::to_string(static_cast<int>(source(holder_).phase())));
        run_for(80);   // a snapshot that was refused is tried again after 30 s, at each hop
    }
    void judge() {
        for (const auto& [name, node] : nodes_) count(node);
        if (!result_.violation.empty()) return;
        Checker checker(plan_.controls);
        result_.violation = checker.judge(history_);
        result_.committed = checker.last();
        if (!result_.violation.empty()) return;
        for (const auto& [name, number] : checker.in_force())
            if (number != checker.last())
                result_.violation = name + " has " + std::to_string(number) + " in force at the end, not " +
                                    std::to_string(checker.last());
        for (const std::string& name : control_names_)
            if (!nodes_.at(name).replica->storage_intact() && result_.violation.empty())
                result_.violation = name + " never counted again";
        if (plan_.bound_s <= 0 || !result_.violation.empty()) return;
        std::string which;
        result_.worst_bound_fraction =
            checker.worst(history_, plan_.followers, plan_.bound_s, plan_.length, which);
        if (result_.worst_bound_fraction > 1) result_.violation = "later than the bound: " + which;
    }

    Plan plan_;
    std::mt19937_64 random_;
    Events events_;
    std::map<std::string, Node> nodes_;
    std::vector<std::string> control_names_;
    std::vector<Fact> history_;
    std::vector<LeaderEvent> source_events_;
    std::map<std::pair<std::string, std::string>, std::vector<double>> lost_;
    std::string holder_, last_source_;
    std::uint64_t processes_ = 0, fencing_ = 0, values_ = 0, committed_told_ = 0;
    bool calm_ = false;
    double woken_at_ = 0;
    std::size_t wakes_ = 0;
    Filter filter_;
    Result result_;
    Digest digest_;
};

}   // namespace rollout_world
