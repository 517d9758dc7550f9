#include "rollout/driver.hpp"

#include <sys/stat.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace slatejunction::rollout {
namespace {

constexpr double kDisconnectedAfterS = 8;             // without a message of a leader or a parent
constexpr double kReportIntervalS = 1;                // between reports to the leader
constexpr std::size_t kMaxPendingProposals = 1'000;   // proposals awaiting their commit
constexpr std::size_t kMaxPropagating = 10'000;       // whose propagation time is measured

std::string folder_of(const std::string& directory) {
    std::string path = directory + "/rollout";
    if (::mkdir(path.c_str(), 0700) != 0 && errno != EEXIST)
        throw storage::Error(path + " can't be made: " + std::strerror(errno));
    return path;
}

}   // namespace

RolloutStorage::RolloutStorage(const std::string& directory, const Options& options)
    : path_(folder_of(directory)), lock_(path_) {
    if (!options.follows()) {
        replica_ = std::make_unique<ReplicaFileStorage>(path_);
        return;
    }
    follower_ = std::make_unique<FollowerFileStorage>(path_);
    stored_ = follower_->take_stored();
    version_ = stored_.log.last();
    state_ = stored_.log.state_at(version_.number);
}

const std::vector<std::string>& RolloutStorage::set_aside() const {
    return follower_ ? follower_->file().set_aside() : replica_->file().set_aside();
}

Driver::Driver(const Options& options, const std::string& name, std::vector<std::string> replicas,
               std::uint64_t process, std::uint64_t seed, const std::vector<membership::AuthKey>& keys,
               std::unique_ptr<RolloutStorage> storage, Callbacks callbacks, net::Timers& timers,
               Logger& log)
    : options_(options),
      name_(name),
      callbacks_(std::move(callbacks)),
      log_(log),
      storage_(std::move(storage)),
      transport_(
          [&] {
              Transport::Settings settings{name, options.listen, {}};
              for (const ParentAddress& one : parents_of(options))
                  settings.parents[one.parent.name] = one.address;
              return settings;
          }(),
          process, keys,
          [this](const std::string& from, std::uint64_t its, std::string_view body) {
              on_transport_message(from, its, body);
          },
          timers, log),
      timer_(timers, [this] { on_timer(); }) {
    for (const std::string& path : storage_->set_aside())
        log_.write(Logger::Level::error, net::now(), "rollout: a broken file was put aside as %s",
                   path.c_str());
    if (options.follows()) {
        record_active_state("begins_with", storage_->version(), storage_->state());
        follower_ =
            std::make_unique<Follower>(follower_settings(options, name), std::move(storage_->stored_),
                                       *storage_->follower_, callbacks_.validate, seed ^ process);
        if (options.publishes())
            publisher_ = std::make_unique<Publisher>(publisher_settings(options), follower_->log());
        return;
    }
    ReplicaSettings settings;
    settings.name = name;
    replica_ = std::make_unique<Replica>(settings, process, storage_->replica_->take_stored(),
                                         *storage_->replica_);
    leader_ = std::make_unique<Leader>(leader_settings(options, replicas), seed ^ process);
    publisher_ = std::make_unique<Publisher>(publisher_settings(options), replica_->log());
    log_replica_start();
}

void Driver::start() {
    transport_.start();
    const double now = net::now();
    started_at_ = now;
    report_at_ = publisher_ ? now + kReportIntervalS : kNever;
    if (follower_) follower_->start(now);
    pump();
}

void Driver::stop() {
    if (std::exchange(stopped_, true)) return;
    timer_.disarm();
    for (const PendingProposal& one : std::exchange(pending_proposals_, {}))
        one.answer({one.number, {}, true});
    transport_.stop();
}

void Driver::on_replica_message(const std::string& from, std::string_view body) {
    const auto message = decode(body);
    if (!message || stopped_ || !replica_) return;
    deliver(from, *message);
    pump();
}

// Of a control machine. Each core ignores messages that are not for it.
void Driver::deliver(const std::string& from, const Message& message) {
    const double now = net::now();
    // Snapshot parts go to a leader that fetches a log, else to a replica that is far behind.
    const bool fetching = leader_->phase() == Leader::Phase::fetching_log;
    const bool part = std::holds_alternative<SnapshotPart>(message);
    if (!part || !fetching) replica_->receive(now, from, message);
    if (!part || fetching) leader_->receive(now, from, message);
}

void Driver::on_transport_message(const std::string& from, std::uint64_t process, std::string_view body) {
    const auto message = decode(body);
    if (!message || stopped_) return;
    const double now = net::now();
    if (transport_.is_parent(from)) {
        if (follower_) follower_->receive(now, from, *message);
    } else if (publisher_ && may_publish(now)) {
        publisher_->receive(now, from, process, *message);
    }
    pump();
}

// A node that is disconnected, or whose disk failed, stays silent, so that its children use another parent.
// kDisconnectedAfterS exceeds the vacancy after a leader died.
bool Driver::may_publish(double now) const {
    if (follower_) return now - std::max(follower_->last_contact_at(), started_at_) < kDisconnectedAfterS;
    return !replica_->disk_failed() &&
           now - std::max(replica_->last_append_at(), started_at_) < kDisconnectedAfterS;
}

void Driver::on_leadership_change(bool on) {
    if (!leader_ || stopped_) return;
    leads_ = on;
    if (!on && std::exchange(term_token_, 0) != 0) leader_->end_term();
    pump();
}

void Driver::revalidate() {
    if (!follower_ || stopped_) return;
    follower_->revalidate(net::now());
    pump();
}

void Driver::propose(const std::string& key, const std::optional<std::string>& value,
                     std::function<void(const ProposeResult&)> answer) {
    if (!leader_ || stopped_) return answer({0, ProposeError::not_leader});
    if (pending_proposals_.size() >= kMaxPendingProposals) return answer({0, ProposeError::backlog_full});
    const double now = net::now();
    const ProposeOutcome made = leader_->propose(now, key, value);
    if (made.number == 0) return answer({0, made.error});
    if (propagating_.size() < kMaxPropagating) propagating_.emplace_back(now, made.number);
    pending_proposals_.push_back({made.number, now + kProposeTimeoutS, std::move(answer)});
    pump();
}

void Driver::on_timer() {
    if (stopped_) return;
    const double now = net::now();
    if (follower_ && follower_->next_deadline() <= now) follower_->on_timer(now);
    if (replica_ && replica_->next_deadline() <= now) replica_->on_timer(now);
    if (leader_ && leader_->next_deadline() <= now) leader_->on_timer(now);
    if (publisher_ && publisher_->next_deadline() <= now) publisher_->on_timer(now);
    if (now >= report_at_) report_upstream(now);
    pump();
}

double Driver::next_deadline() const {
    double next = report_at_;
    if (follower_) next = std::min(next, follower_->next_deadline());
    if (replica_) next = std::min({next, replica_->next_deadline(), leader_->next_deadline()});
    if (publisher_) next = std::min(next, publisher_->next_deadline());
    if (!pending_proposals_.empty()) next = std::min(next, pending_proposals_.front().deadline);
    return next;
}

// The fencing token changes during a lease when a higher one was seen: the leader begins a new term.
void Driver::update_term() {
    if (!leads_) return;
    const std::uint64_t number = callbacks_.fencing_token();
    if (number == 0 || number == term_token_) return;
    term_token_ = number;
    leader_->begin_term(net::now(), number, replica_->log());
}

void Driver::route(const OutgoingMessage& message) {
    if (message.to == name_)
        loopback_.emplace_back(name_, message.body);
    else
        callbacks_.send_to_replica(message.to, *message.body);
}

void Driver::pump() {
    if (stopped_ || std::exchange(pumping_, true)) return;
    for (bool more = true; more;) {
        more = false;
        if (replica_) more = pump_control_machine() || more;
        if (follower_) more = pump_follower() || more;
        if (publisher_) pump_publisher();
    }
    pumping_ = false;
    const double now = net::now();
    answer_proposals(now);
    log_disk_fault();
    if (const double next = next_deadline(); next < 1e17)
        timer_.arm(std::max(next, now));
    else
        timer_.disarm();
}

// Returns whether messages may be left.
bool Driver::pump_control_machine() {
    update_term();
    bool more = false;
    for (const OutgoingMessage& message : leader_->take_outgoing()) route(message);
    for (const OutgoingMessage& message : replica_->take_outgoing()) route(message);
    for (const auto& [from, body] : std::exchange(loopback_, {})) {
        more = true;
        if (const auto message = decode(*body)) deliver(from, *message);
    }
    for (const LeaderEvent& event : leader_->take_events()) on_leader_event(event);
    if (replica_->changes() != std::exchange(replica_changes_seen_, replica_->changes())) {
        log_committed();
        publisher_->advance(net::now(), replica_->commit_index(), replica_->staging());
    }
    return more;
}

bool Driver::pump_follower() {
    for (const OutgoingMessage& message : follower_->take_outgoing())
        transport_.send(message.to, message.body);
    for (const Activation& one : follower_->take_activations()) {
        callbacks_.activated(follower_->state(), one.changes);
        log_active_version(one.version);
        record_active_state("in_force", one.version, follower_->state());
    }
    log_follower_faults();
    return false;
}

void Driver::pump_publisher() {
    const double now = net::now();
    if (follower_) {
        const std::uint64_t last = follower_->log().last().number;
        if (last != published_number_ || follower_->staging() != published_staging_) {
            published_number_ = last;
            published_staging_ = follower_->staging();
            publisher_->advance(now, last, published_staging_);
        }
    }
    for (const OutgoingMessage& message : publisher_->take_outgoing())
        transport_.send(message.to, message.body);
    if (publisher_->urgent_changes() == std::exchange(urgent_changes_seen_, publisher_->urgent_changes()))
        return;
    report_upstream(now);
    if (follower_) follower_->report_now(now);
}

// Reports the children: to the leader, or with the next pull of a relay.
void Driver::report_upstream(double now) {
    report_at_ = now + kReportIntervalS;
    if (follower_) return follower_->set_subtree(publisher_->report(now));
    if (!replica_->leader().empty()) {
        const OutgoingMessage message{replica_->leader(), body_of(FollowerReport{publisher_->report(now)})};
        route(message);
    }
    if (is_leader()) measure_propagation(now);
}

Report Driver::children_report() const { return publisher_ ? publisher_->report(net::now()) : Report{}; }

Report Driver::fleet_report() const {
    return is_leader() ? leader_->fleet_report(net::now()) : children_report();
}

void Driver::measure_propagation(double now) {
    if (propagating_.empty()) return;
    const std::uint64_t number = active_everywhere(leader_->fleet_report(now));
    while (!propagating_.empty() && propagating_.front().second <= number) {
        last_propagation_s_ = now - propagating_.front().first;
        propagating_.pop_front();
    }
}

void Driver::answer_proposals(double now) {
    const bool leadership_lost = !is_leader();
    while (!pending_proposals_.empty()) {
        PendingProposal& one = pending_proposals_.front();
        const bool committed = leader_->commit_index() >= one.number && !leadership_lost;
        if (!committed && !leadership_lost && now < one.deadline) break;
        const auto answer = std::move(one.answer);
        const ProposeResult result{one.number, ProposeError::none, !committed};
        pending_proposals_.pop_front();
        answer(result);
    }
    if (leadership_lost) propagating_.clear();
}

}   // namespace slatejunction::rollout
