#include "rollout_fleet.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "names.hpp"

namespace slatejunction::scale {
namespace {

using rollout::Message;

constexpr double kNever = 1e17;
constexpr double kStep = 1e-3;                // s, of DelayCounts
constexpr double kTellEvery = 1;              // s; as in the driver
constexpr double kCutOff = 8;                 // s; as in the driver
constexpr std::size_t kEnvelope = 70;         // bytes that membership puts around what control machines say
constexpr std::uint64_t kKeptNumber = 1000;   // of the state that all hold from the start

std::string control_name(std::size_t i) { return "control-" + std::to_string(i); }
std::string key_of(std::size_t i) { return "[route r" + std::to_string(i) + "]"; }

}   // namespace

// Delays. ---------------------------------------------------------------------------------------------

void DelayCounts::add(double s) {
    const auto at = static_cast<std::size_t>(std::max(s, 0.0) / kStep);
    if (at >= counts_.size()) counts_.resize(at + 1);
    ++counts_[at];
    ++count_;
    worst_ = std::max(worst_, s);
}

double DelayCounts::part(double of) const {
    if (count_ == 0) return std::numeric_limits<double>::quiet_NaN();
    const double wanted = of * static_cast<double>(count_);
    double seen = 0;
    for (std::size_t i = 0; i < counts_.size(); ++i) {
        seen += counts_[i];
        if (seen >= wanted) return std::min(worst_, (static_cast<double>(i) + 1) * kStep);
    }
    return worst_;
}

// Homes: what would be on the disk. --------------------------------------------------------------------

struct RolloutFleet::ReplicaDisk : rollout::ReplicaStorage {
    bool save_promise(std::uint64_t term, bool to_remember) override {
        promised = term;
        storage_intact = to_remember;
        return true;
    }
    bool append(const std::vector<rollout::Record>& records) override {
        for (const rollout::Record& one : records)
            if (!log.push(one)) return false;
        return true;
    }
    bool truncate(std::uint64_t number) override {
        log.truncate(number);
        return true;
    }
    bool replace(const rollout::Log& whole, std::uint64_t upto) override {
        log = whole;
        committed = upto;
        return true;
    }
    void save_commit_index(std::uint64_t number) override { committed = number; }

    std::uint64_t promised = 0, committed = 0;
    bool storage_intact = false;
    rollout::Log log;
};

// The number alone: the fleet has the committed sequence once, for all of them.
struct RolloutFleet::FollowerDisk : rollout::FollowerStorage {
    bool append(const std::vector<rollout::Record>& records) override {
        number = records.back().number;
        return true;
    }
    bool replace(const rollout::Log& log) override {
        number = log.last().number;
        return true;
    }
    std::uint64_t number = 0;
};

// A fleet. --------------------------------------------------------------------------------------------

RolloutFleet::RolloutFleet(const RolloutPlan& plan, std::uint64_t seed)
    : plan_(plan),
      random_(seed),
      links_(random_, plan.loss, 0.0001, 0.0004),
      nodes_(plan.controls + plan.ingresses),
      spent_(nodes_.size()),
      marked_(nodes_.size()),
      second_(nodes_.size()),
      second_bytes_(nodes_.size()),
      second_cpu_(nodes_.size()),
      zone_cut_(plan.zones),
      met_(nodes_.size()),
      highest_(nodes_.size()) {
    links_.set_distance(
        [this](std::size_t from, std::size_t to) { return distance(zone(from), zone(to), plan_.regions); });
    links_.set_apart([this](std::size_t from, std::size_t to) {
        if (zone(from) != zone(to) && (zone_cut_[zone(from)] || zone_cut_[zone(to)])) return true;
        const std::size_t a = region(from), b = region(to);
        return regions_apart_ && a + b == 1;
    });
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        names_.push_back(is_control(i) ? control_name(i) : ingress_name(i - plan.controls));
        by_name_[names_.back()] = i;
        if (is_control(i)) control_names_.push_back(names_.back());
    }
    versions_.push_back({});
    if (plan.kept_bytes > 0) {
        base_ = kKeptNumber;
        versions_ = {{kKeptNumber, 1}};
        for (std::size_t i = 0; i * plan.value_bytes < plan.kept_bytes; ++i)
            base_state_[key_of(i)] = std::string(plan.value_bytes, 'k');
    }
    replayed_ = base_;
    replayed_state_ = base_state_;
    for (std::size_t i = 0; i < plan.controls; ++i) {
        nodes_[i].replica_disk = std::make_unique<ReplicaDisk>();
        ReplicaDisk& disk = *nodes_[i].replica_disk;
        disk.storage_intact = true;
        disk.promised = disk.committed = base_;
        disk.log = rollout::Log(versions_.front(), base_ > 0 ? 1 : 0, base_state_);
        start(i);
    }
    for (std::size_t i = plan.controls; i < nodes_.size(); ++i) {
        nodes_[i].follower_disk = std::make_unique<FollowerDisk>();
        if (plan.started) events_.at(draw(0, 1), [this, i] { start(i); });
    }
    hold(0);
    look();
}

RolloutFleet::~RolloutFleet() = default;

std::size_t RolloutFleet::zone(std::size_t node) const {
    return is_control(node) ? node % plan_.zones : (node - plan_.controls) % plan_.zones;
}

bool RolloutFleet::is_relay(std::size_t node) const {
    return !is_control(node) && (node - plan_.controls) / plan_.zones < plan_.relays;
}

// A node's life. --------------------------------------------------------------------------------------

void RolloutFleet::start(std::size_t node) {
    Node& it = nodes_[node];
    if (it.up) return;
    it.up = true;
    it.process = ++processes_;
    it.armed = 1e18;
    it.started_at = now();
    it.changes = it.urgent = 0;
    if (plan_.sealed)
        it.seal = std::make_unique<membership::DatagramAuth>(
            std::vector<membership::AuthKey>{membership::AuthKey{}}, it.process);
    is_control(node) ? start_control(node) : start_follower(node);
    if (it.feeder) tell_every_second(node, it.life);
    pump(node);
}

void RolloutFleet::start_control(std::size_t node) {
    Node& it = nodes_[node];
    const ReplicaDisk& disk = *it.replica_disk;
    rollout::ReplicaSettings replica;
    replica.name = names_[node];
    it.replica = std::make_unique<rollout::Replica>(
        replica, it.process,
        rollout::ReplicaStored{disk.storage_intact, disk.promised, disk.committed, disk.log},
        *it.replica_disk);
    it.feeder = std::make_unique<rollout::Publisher>(rollout::PublisherSettings{}, it.replica->log());
    it.feeder->advance(now(), it.replica->commit_index(), it.replica->staging());
    rollout::LeaderSettings source;
    source.replicas = control_names_;
    it.source = std::make_unique<rollout::Leader>(source, random_());
}

void RolloutFleet::start_follower(std::size_t node) {
    Node& it = nodes_[node];
    const Booked booked(meter_, account(node));
    rollout::FollowerSettings settings;
    settings.name = names_[node];
    settings.region = "region-" + std::to_string(region(node));
    for (std::size_t i = 0; i < plan_.controls; ++i)
        settings.parents.push_back({names_[i], "region-" + std::to_string(region(i))});
    if (is_relay(node)) {
        settings.max_log_records = rollout::kMaxLogRecords;
        settings.max_log_bytes = rollout::kMaxLogBytes;
    } else if (plan_.relays > 0) {
        // The zone's own relays first, then the control machines by region.
        for (rollout::Parent& one : settings.parents) one.region = "of no relay";
        for (std::size_t r = 0; r < plan_.relays; ++r)
            settings.parents.push_back({names_[ingress(r * plan_.zones + zone(node))], settings.region});
    }
    it.follower = std::make_unique<rollout::Follower>(
        settings, rollout::FollowerStored{stored(it.follower_disk->number)}, *it.follower_disk,
        [](const rollout::State&, const rollout::Changes&) { return std::string(); }, random_());
    if (is_relay(node))
        it.feeder = std::make_unique<rollout::Publisher>(rollout::PublisherSettings{}, it.follower->log());
    it.follower->start(now());
}

void RolloutFleet::kill(std::size_t node) {
    Node& it = nodes_[node];
    if (!it.up) return;
    it.up = false;
    ++it.life;
    it.feeder.reset();
    it.source.reset();
    it.replica.reset();
    it.follower.reset();
    it.seal.reset();
}

// What a follower's home gives at its start: the committed state of that number.
rollout::Log RolloutFleet::stored(std::uint64_t number) {
    if (number < base_ || number == 0) return {};
    if (number < replayed_) {
        replayed_ = base_;
        replayed_state_ = base_state_;
    }
    while (replayed_ < number) rollout::apply(replayed_state_, records_[replayed_++ - base_]);
    const std::uint64_t term = number > base_ ? records_[number - base_ - 1].term : 1;
    return {version(number), term, replayed_state_};
}

void RolloutFleet::hold(std::size_t control) {
    source_ = control;
    Node& it = nodes_[control];
    {
        const Booked booked(meter_, account(control));
        it.source->begin_term(now(), ++fencing_, it.replica->log());
    }
    pump(control);
}

// The network. ----------------------------------------------------------------------------------------

void RolloutFleet::post(std::size_t from, const std::vector<rollout::OutgoingMessage>& posts) {
    for (const rollout::OutgoingMessage& one : posts) send(from, by_name_.at(one.to), one.body);
}

void RolloutFleet::send(std::size_t from, std::size_t to, const rollout::Body& body) {
    Node& it = nodes_[from];
    const std::uint64_t process = nodes_[to].process;
    if (from == to) {
        events_.at(now(), [this, to, process, body] {
            if (nodes_[to].up && nodes_[to].process == process) hear(to, to, process, *body);
        });
        return;
    }
    rollout::Body bytes = body;
    if (it.seal) {
        const Booked booked(meter_, account(from));
        bytes = std::make_shared<const std::string>(it.seal->seal(process, *body));
    }
    const std::size_t around = (it.seal ? 0 : membership::kAuthOverheadBytes) +
                               (is_control(from) && is_control(to) ? kEnvelope : 0);
    spent_[from].sent_bytes += bytes->size() + around;
    ++spent_[from].sent;
    if (!nodes_[to].up) return;
    const auto delay = links_.delay(from, to);
    if (!delay) return;
    events_.at(now() + *delay, [this, from, to, process, sender = it.process, bytes, around] {
        if (!nodes_[to].up || nodes_[to].process != process) return;
        spent_[to].heard_bytes += bytes->size() + around;
        ++spent_[to].heard;
        arrive(from, to, process, sender, *bytes);
    });
}

void RolloutFleet::arrive(std::size_t from, std::size_t to, std::uint64_t, std::uint64_t sender,
                          const std::string& bytes) {
    std::string_view payload = bytes;
    if (plan_.sealed) {
        const Booked booked(meter_, account(to));
        std::uint64_t who = sender;
        const membership::OpenResult opened = nodes_[to].seal->open(bytes, who, payload);
        if (opened != membership::OpenResult::accepted &&
            opened != membership::OpenResult::not_for_this_process)
            return;
    }
    hear(from, to, sender, payload);
}

void RolloutFleet::hear(std::size_t from, std::size_t to, std::uint64_t sender, std::string_view body) {
    Node& it = nodes_[to];
    {
        const Booked booked(meter_, account(to));
        const auto message = rollout::decode(body);
        if (!message) return;
        if (is_control(from) && it.replica) {
            const bool reads = it.source->phase() == rollout::Leader::Phase::fetching_log;
            const bool part = std::holds_alternative<rollout::SnapshotPart>(*message);
            if (!part || !reads) it.replica->receive(now(), names_[from], *message);
            if (!part || reads) it.source->receive(now(), names_[from], *message);
        } else if (it.feeder && !is_control(from)) {
            const double heard = it.replica ? it.replica->last_append_at() : it.follower->last_contact_at();
            // As in the driver: one cut off from the source leaves children to other parents.
            const bool cut_off = now() - std::max(heard, it.started_at) > kCutOff;
            const bool own_parent = it.follower && !std::holds_alternative<rollout::Pull>(*message) &&
                                    !std::holds_alternative<rollout::SnapshotPartRequest>(*message);
            if (own_parent)
                it.follower->receive(now(), names_[from], *message);
            else if (!cut_off)
                it.feeder->receive(now(), names_[from], sender, *message);
        } else if (it.follower) {
            it.follower->receive(now(), names_[from], *message);
        }
    }
    pump(to);
}

// Effects out. ----------------------------------------------------------------------------------------

void RolloutFleet::pump(std::size_t node) {
    Node& it = nodes_[node];
    if (!it.up) return;
    if (it.source) pump_source(node);
    if (it.follower) pump_follower(node);
    if (it.feeder) pump_feeder(node);
    if (it.follower) post(node, it.follower->take_outgoing());
    arm(node);
}

void RolloutFleet::pump_source(std::size_t node) {
    Node& it = nodes_[node];
    for (const rollout::LeaderEvent& event : it.source->take_events()) {
        if (event.kind == rollout::LeaderEvent::Kind::fenced) it.source->end_term();
        if (event.kind != rollout::LeaderEvent::Kind::committed) continue;
        for (std::uint64_t k = base_ + records_.size() + 1; k <= event.number; ++k) {
            records_.push_back(it.source->log().record(k));
            versions_.push_back(it.source->log().version(k));
        }
    }
    post(node, it.source->take_outgoing());
    post(node, it.replica->take_outgoing());
    if (it.replica->changes() == it.changes) return;
    it.changes = it.replica->changes();
    const Booked booked(meter_, account(node));
    it.feeder->advance(now(), it.replica->commit_index(), it.replica->staging());
}

void RolloutFleet::pump_follower(std::size_t node) {
    Node& it = nodes_[node];
    const auto entered = it.follower->take_activations();
    for (const rollout::Activation& one : entered) enter(node, one.version);
    if (it.feeder && !entered.empty()) {
        const Booked booked(meter_, account(node));
        it.feeder->advance(now(), it.follower->log().last().number, it.follower->staging());
    }
}

void RolloutFleet::enter(std::size_t node, const rollout::Version& entered) {
    const std::uint64_t number = entered.number;
    const bool committed = number >= base_ && number - base_ < versions_.size();
    if (!committed || version(number) != entered) ++diverged_;
    if (number < highest_[node]) ++went_back_;
    const std::uint64_t from = std::max(highest_[node], base_) + 1;
    highest_[node] = std::max(highest_[node], number);
    if (!delays_) return;
    for (std::uint64_t k = from; k <= number; ++k) {
        const auto change = changes_.find(k);
        if (change == changes_.end()) continue;
        const double s = now() - change->second.at;
        ++change->second.count;
        if (met_[node]) {
            delays_->met.add(s);
            continue;
        }
        delays_->each.add(s);
        change->second.last_at = now();
    }
}

void RolloutFleet::pump_feeder(std::size_t node) {
    Node& it = nodes_[node];
    post(node, it.feeder->take_outgoing());
    if (it.feeder->urgent_changes() == it.urgent) return;
    it.urgent = it.feeder->urgent_changes();
    tell(node);
    if (it.follower) it.follower->report_now(now());
}

void RolloutFleet::tell(std::size_t node) {
    Node& it = nodes_[node];
    const Booked booked(meter_, account(node));
    if (it.follower) return it.follower->set_subtree(it.feeder->report(now()));
    if (it.replica->leader().empty()) return;
    // As in the driver, for those behind once nothing new is cleared.
    it.feeder->advance(now(), it.replica->commit_index(), it.replica->staging());
    rollout::Report report = it.feeder->report(now());
    shrink_to(report, rollout::kMaxReportBytes);
    post(node, {{it.replica->leader(), rollout::body_of(rollout::FollowerReport{report})}});
}

void RolloutFleet::tell_every_second(std::size_t node, std::uint64_t life) {
    events_.at(now() + kTellEvery, [this, node, life] {
        if (nodes_[node].life != life || !nodes_[node].up) return;
        tell(node);
        pump(node);
        tell_every_second(node, life);
    });
}

// Time. -----------------------------------------------------------------------------------------------

void RolloutFleet::arm(std::size_t node) {
    Node& it = nodes_[node];
    double due = 1e18;
    if (it.replica) due = std::min({due, it.replica->next_deadline(), it.source->next_deadline()});
    if (it.feeder) due = std::min(due, it.feeder->next_deadline());
    if (it.follower) due = std::min(due, it.follower->next_deadline());
    if (due > kNever || (it.armed >= now() && it.armed <= due + 1e-9)) return;
    it.armed = std::max(due, now());
    events_.at(it.armed, [this, node, life = it.life, at = it.armed] {
        if (!nodes_[node].up || nodes_[node].life != life || nodes_[node].armed != at) return;
        nodes_[node].armed = -1;
        wake(node);
    });
}

void RolloutFleet::wake(std::size_t node) {
    Node& it = nodes_[node];
    {
        const Booked booked(meter_, account(node));
        if (it.replica) it.replica->on_timer(now());
        if (it.source) it.source->on_timer(now());
        if (it.feeder) it.feeder->on_timer(now());
        if (it.follower) it.follower->on_timer(now());
    }
    pump(node);
}

bool RolloutFleet::run_for(double s) {
    return !run_until(s, [] { return false; }) && wall_s() < wall_end_;
}

bool RolloutFleet::run_until(double most_s, const std::function<bool()>& holds) {
    const double end = now() + most_s;
    while (!holds()) {
        if (now() >= end - 1e-9 || wall_s() >= wall_end_) return false;
        events_.run_until(std::min(end, now() + 0.1));
    }
    return true;
}

// Changes. --------------------------------------------------------------------------------------------

void RolloutFleet::set_rate(double rate) {
    rate_ = rate;
    ++era_;
    if (rate > 0) propose_later(era_);
}

void RolloutFleet::propose_later(std::uint64_t era) {
    events_.at(now() + std::exponential_distribution<double>(rate_)(random_), [this, era] {
        if (era != era_) return;
        propose();
        propose_later(era);
    });
}

void RolloutFleet::propose() {
    Node& it = nodes_[source_];
    if (!it.up) return void(++refused_);
    std::string value(plan_.value_bytes, 'v');
    const std::string unique = std::to_string(++proposed_);
    value.replace(0, unique.size(), unique);
    rollout::ProposeOutcome made;
    {
        const Booked booked(meter_, account(source_));
        made = it.source->propose(now(), key_of(random_() % plan_.keys), value);
    }
    if (made.number == 0)
        ++refused_;
    else if (delays_)
        changes_[made.number] = {now(), now(), 0};
    pump(source_);
}

void RolloutFleet::measure(RolloutDelays* delays) {
    delays_ = delays;
    changes_.clear();
}

void RolloutFleet::end_measure() {
    for (const auto& [number, change] : changes_)
        change.count == plan_.ingresses ? delays_->all.add(change.last_at - change.at)
                                        : void(++delays_->late);
    measure(nullptr);
}

// What was spent. -------------------------------------------------------------------------------------

void RolloutFleet::look() {
    meter_.enter(meter_.none());
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        second_bytes_[i] = std::max(second_bytes_[i], spent_[i].bytes() - second_[i].bytes());
        second_cpu_[i] = std::max(second_cpu_[i], spent_[i].cpu_s - second_[i].cpu_s);
    }
    second_ = spent_;
    events_.at(now() + 1, [this] { look(); });
}

RolloutLoad RolloutFleet::load(std::size_t from, std::size_t to) const {
    RolloutLoad load;
    const double s = now() - marked_at_, parts = s * static_cast<double>(to - from);
    for (std::size_t i = from; i < to; ++i) {
        const RolloutSpent &now_spent = spent_[i], &before = marked_[i];
        load.sent_bytes += static_cast<double>(now_spent.sent_bytes - before.sent_bytes) / parts;
        load.heard_bytes += static_cast<double>(now_spent.heard_bytes - before.heard_bytes) / parts;
        load.sent += static_cast<double>(now_spent.sent - before.sent) / parts;
        load.heard += static_cast<double>(now_spent.heard - before.heard) / parts;
        load.cpu_s += (now_spent.cpu_s - before.cpu_s) / parts;
        load.most_bytes = std::max(load.most_bytes, (now_spent.bytes() - before.bytes()) / s);
        load.most_cpu_s = std::max(load.most_cpu_s, (now_spent.cpu_s - before.cpu_s) / s);
        load.second_bytes = std::max(load.second_bytes, second_bytes_[i]);
        load.second_cpu_s = std::max(load.second_cpu_s, second_cpu_[i]);
    }
    return load;
}

RolloutFleet::Loads RolloutFleet::loads() {
    const Loads made{load(plan_.controls, nodes_.size()), load(0, plan_.controls)};
    marked_ = spent_;
    marked_at_ = now();
    std::fill(second_bytes_.begin(), second_bytes_.end(), 0);
    std::fill(second_cpu_.begin(), second_cpu_.end(), 0);
    return made;
}

std::uint64_t RolloutFleet::committed() const { return base_ + records_.size(); }

std::uint64_t RolloutFleet::in_force(std::size_t node) const {
    return nodes_[node].up ? nodes_[node].follower->active_version().number
                           : nodes_[node].follower_disk->number;
}

bool RolloutFleet::everywhere(std::uint64_t number) const {
    for (std::size_t i = plan_.controls; i < nodes_.size(); ++i)
        if (nodes_[i].up && nodes_[i].follower->active_version().number < number) return false;
    return true;
}

}   // namespace slatejunction::scale
