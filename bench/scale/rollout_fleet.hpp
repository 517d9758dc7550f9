// A rollout of configuration at size, in one process: control machines (the real Replica, Source, Feeder),
// hollow ingresses (the real Follower) and relays on a simulated network of regions and zones. Time is the
// model's own and the seed repeats all of it; CPU is this process's, booked to each node. The lease is
// taken as given. The glue between the cores is that of the driver, without sockets and without files: a
// home keeps, in memory, what would be on the disk.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "events.hpp"
#include "links.hpp"
#include "membership/datagram_auth.hpp"
#include "meter.hpp"
#include "rollout/follower.hpp"
#include "rollout/leader.hpp"
#include "rollout/publisher.hpp"
#include "rollout/replica.hpp"

namespace slatejunction::scale {

struct RolloutPlan {
    std::size_t ingresses = 100;
    std::size_t controls = 5, regions = 5, zones = 17;   // control c is in zone c
    std::size_t relays = 0;                              // in each zone: its first ingresses
    double loss = 0;
    bool sealed = true;   // false: only the seal's bytes are counted
    std::size_t keys = 40, value_bytes = 250;
    std::size_t kept_bytes = 0;   // of a state that all control machines hold from the start
    bool started = true;          // the ingresses, over the first second
};

// What one node sent and heard, with the seal, without IP and UDP headers; CPU s of its cores and seal.
struct RolloutSpent {
    double cpu_s = 0;
    std::uint64_t sent_bytes = 0, heard_bytes = 0, sent = 0, heard = 0;
    double bytes() const { return static_cast<double>(sent_bytes + heard_bytes); }
};

// Of a kind of node over a stretch of time; all a second.
struct RolloutLoad {
    double sent_bytes = 0, heard_bytes = 0, sent = 0, heard = 0, cpu_s = 0;   // mean of all nodes
    double most_bytes = 0, most_cpu_s = 0;                                    // the dearest node's mean
    double second_bytes = 0, second_cpu_s = 0;   // the dearest second of the dearest node
    double bytes() const { return sent_bytes + heard_bytes; }
};

// Delays in s, counted in steps of 1 ms.
class DelayCounts {
  public:
    void add(double s);
    double part(double of) const;   // the delay that this part of all is within; NaN: there are none
    double worst() const { return worst_; }
    std::uint64_t count() const { return count_; }

  private:
    std::vector<std::uint32_t> counts_;
    std::uint64_t count_ = 0;
    double worst_ = 0;
};

// Of the changes of a stretch of time, from proposal until in force.
struct RolloutDelays {
    DelayCounts each;       // at each ingress
    DelayCounts all;        // at the last one of those that no fault met
    DelayCounts met;        // at each ingress that a fault met
    std::size_t late = 0;   // changes that some ingress never had in force
};

class RolloutFleet {
  public:
    RolloutFleet(const RolloutPlan& plan, std::uint64_t seed);
    ~RolloutFleet();

    double now() const { return events_.now(); }
    // False: it took more of this machine's time than limit_wall() allows.
    bool run_for(double s);
    bool run_until(double most_s, const std::function<bool()>& holds);
    void limit_wall(double s) { wall_end_ = wall_s() + s; }
    double wall_left() const { return wall_end_ - wall_s(); }   // s

    // Nodes: control machines come first, then the ingresses.
    std::size_t ingress(std::size_t i) const { return plan_.controls + i; }
    std::size_t nodes() const { return nodes_.size(); }
    std::size_t zone(std::size_t node) const;
    std::size_t region(std::size_t node) const { return zone(node) % plan_.regions; }
    bool up(std::size_t node) const { return nodes_[node].up; }

    void start(std::size_t node);
    void kill(std::size_t node);
    void restart(std::size_t node, double down_s) {
        kill(node);
        events_.at(now() + down_s, [this, node] { start(node); });
    }
    void at(double time, std::function<void()> call) { events_.at(time, std::move(call)); }
    void hold(std::size_t control);   // it has the lease
    std::size_t source() const { return source_; }
    void set_zone_cut(std::size_t zone, bool on) { zone_cut_[zone] = on; }
    void set_regions_apart(bool on) { regions_apart_ = on; }   // 0 and 1
    void set_loss(double loss) { links_.set_loss(loss); }
    // A fault meets it: its delays are counted apart from now on.
    void meet(std::size_t node) { met_[node] = true; }

    // Changes come at random at this rate, a second, until the next call; 0: none.
    void set_rate(double rate);
    // Of the changes proposed from now on; until the next call.
    void measure(RolloutDelays* delays);
    void end_measure();   // fills `all` and `late`

    // Loads since the last call of it.
    struct Loads {
        RolloutLoad ingress, control;
    };
    Loads loads();

    std::uint64_t committed() const;
    std::uint64_t in_force(std::size_t node) const;
    bool everywhere(std::uint64_t number) const;   // at all ingresses that are up
    rollout::Report report() const { return nodes_[source_].source->fleet_report(now()); }
    const rollout::FollowerCounts& tally(std::size_t node) const { return nodes_[node].follower->counts(); }
    const RolloutSpent& spent(std::size_t node) const { return spent_[node]; }
    std::uint64_t proposed() const { return proposed_; }
    std::uint64_t refused() const { return refused_; }   // proposals that no source took
    std::uint64_t diverged() const {
        return diverged_;
    }   // versions in force that are not the committed ones
    std::uint64_t went_back() const { return went_back_; }   // versions in force below an earlier one

  private:
    struct ReplicaDisk;
    struct FollowerDisk;
    struct Node {
        bool up = false;
        std::uint64_t life = 0, process = 0;
        double armed = 1e18, started_at = 0;   // s
        std::unique_ptr<membership::DatagramAuth> seal;
        std::unique_ptr<ReplicaDisk> replica_disk;
        std::unique_ptr<FollowerDisk> follower_disk;
        std::unique_ptr<rollout::Replica> replica;
        std::unique_ptr<rollout::Leader> source;
        std::unique_ptr<rollout::Publisher> feeder;
        std::unique_ptr<rollout::Follower> follower;
        std::uint64_t changes = 0, urgent = 0;
    };
    struct Change {
        double at = 0, last_at = 0;   // s; proposed, in force at the last one that no fault met
        std::size_t count = 0;        // ingresses that had it in force
    };

    bool is_control(std::size_t node) const { return node < plan_.controls; }
    bool is_relay(std::size_t node) const;
    double draw(double from, double to) {
        return std::uniform_real_distribution<double>(from, to)(random_);
    }
    double* account(std::size_t node) { return &spent_[node].cpu_s; }
    void start_control(std::size_t node);
    void start_follower(std::size_t node);
    void post(std::size_t from, const std::vector<rollout::OutgoingMessage>& posts);
    void send(std::size_t from, std::size_t to, const rollout::Body& body);
    void arrive(std::size_t from, std::size_t to, std::uint64_t process, std::uint64_t sender,
                const std::string& bytes);
    void hear(std::size_t from, std::size_t to, std::uint64_t sender, std::string_view body);
    void pump(std::size_t node);
    void pump_source(std::size_t node);
    void pump_follower(std::size_t node);
    void pump_feeder(std::size_t node);
    void enter(std::size_t node, const rollout::Version& version);
    void tell(std::size_t node);
    void tell_every_second(std::size_t node, std::uint64_t life);
    void arm(std::size_t node);
    void wake(std::size_t node);
    void propose();
    void propose_later(std::uint64_t era);
    void look();
    rollout::Log stored(std::uint64_t number);
    const rollout::Version& version(std::uint64_t number) const { return versions_[number - base_]; }
    RolloutLoad load(std::size_t from, std::size_t to) const;

    const RolloutPlan plan_;
    std::mt19937_64 random_;
    Events events_;
    Links links_;
    Meter meter_;
    std::vector<Node> nodes_;
    std::vector<std::string> names_, control_names_;
    std::unordered_map<std::string, std::size_t> by_name_;
    std::vector<RolloutSpent> spent_, marked_, second_;
    std::vector<double> second_bytes_, second_cpu_;   // the dearest second of each node since marked
    double marked_at_ = 0;
    std::vector<bool> zone_cut_, met_;
    bool regions_apart_ = false;
    std::uint64_t processes_ = 0, fencing_ = 0, era_ = 0;
    std::size_t source_ = 0;
    double rate_ = 0, wall_end_ = 1e18;

    // The committed sequence, of which all followers' versions must be: from `base_` on.
    std::uint64_t base_ = 0;
    rollout::State base_state_;
    std::vector<rollout::Version> versions_;
    std::vector<rollout::Record> records_;
    std::uint64_t replayed_ = 0;
    rollout::State replayed_state_;

    std::unordered_map<std::uint64_t, Change> changes_;
    RolloutDelays* delays_ = nullptr;
    std::vector<std::uint64_t> highest_;   // in force, by node, over all its lives
    std::uint64_t proposed_ = 0, refused_ = 0, diverged_ = 0, went_back_ = 0;
};

}   // namespace slatejunction::scale
