#include "rollout/driver.hpp"

#include <sys/stat.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace slatejunction::rollout {
namespace {

constexpr double kDisconnectedAfterS = 8;             // without a message of a leader or a parent
constexpr double kReportIntervalS = 1;                // between reports upstream
constexpr std::size_t kMaxPendingProposals = 1'000;   // proposals that are not answered yet
constexpr std::size_t kMaxPropagating = 10'000;       // changes whose propagation time is measured

std::string create_rollout_directory(const std::string& directory) {
    std::string path = directory + "/rollout";
    if (::mkdir(path.c_str(), 0700) != 0 && errno != EEXIST)
        throw storage::Error("cannot create the directory " + path + ": " + std::strerror(errno));
    return path;
}

}   // namespace

RolloutStorage::RolloutStorage(const std::string& directory, const Options& options)
    : path_(create_rollout_directory(directory)), lock_(path_) {
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
              for (const ParentAddress& entry : parents_of(options))
                  settings.parents[entry.parent.name] = entry.address;
              return settings;
          }(),
          process, keys,
          [this](const std::string& from, std::uint64_t sender_process, std::string_view body) {
              on_transport_message(from, sender_process, body);
          },
          timers, log),
      timer_(timers, [this] { on_timer(); }) {
    for (const std::string& path : storage_->set_aside())
        log_.write(Logger::Level::error, net::now(), "rollout: a damaged file was set aside as %s",
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
    for (const PendingProposal& proposal : std::exchange(pending_proposals_, {}))
        proposal.answer({proposal.number, {}, true});
    transport_.stop();
}

void Driver::on_replica_message(const std::string& from, std::string_view body) {
    const auto message = decode(body);
    if (!message || stopped_ || !replica_) return;
    deliver(from, *message);
    pump();
}

// Passes a message to the cores of a control machine, which ignore messages that are not for them.
void Driver::deliver(const std::string& from, const Message& message) {
    const double now = net::now();
    // Snapshot parts are for the leader while it fetches a log, else for the replica, which may be far
    // behind.
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

// A node that is disconnected, or a replica whose disk failed, does not answer its children, so that they
// use another parent. kDisconnectedAfterS is longer than the vacancy after a leader failed.
bool Driver::may_publish(double now) const {
    if (follower_) return now - std::max(follower_->last_contact_at(), started_at_) < kDisconnectedAfterS;
    return !replica_->disk_failed() &&
           now - std::max(replica_->last_append_at(), started_at_) < kDisconnectedAfterS;
}

void Driver::on_leadership_change(bool is_leader) {
    if (!leader_ || stopped_) return;
    holds_lease_ = is_leader;
    if (!is_leader && std::exchange(term_token_, 0) != 0) leader_->end_term();
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
    const ProposeOutcome outcome = leader_->propose(now, key, value);
    if (outcome.number == 0) return answer({0, outcome.error});
    if (propagating_.size() < kMaxPropagating) propagating_.emplace_back(now, outcome.number);
    pending_proposals_.push_back({outcome.number, now + kProposeTimeoutS, std::move(answer)});
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

// Begins a new term when the fencing token has changed. It also changes during a lease, after a higher one
// was seen.
void Driver::update_term() {
    if (!holds_lease_) return;
    const std::uint64_t token = callbacks_.fencing_token();
    if (token == 0 || token == term_token_) return;
    term_token_ = token;
    leader_->begin_term(net::now(), token, replica_->log());
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

// Returns whether a message was delivered to this process, after which the cores may have further output.
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
    for (const Activation& activation : follower_->take_activations()) {
        callbacks_.activated(follower_->state(), activation.changes);
        log_active_version(activation.version);
        record_active_state("in_force", activation.version, follower_->state());
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

// Reports the children to the leader; on a relay, the report is sent with the next pull.
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
        PendingProposal& proposal = pending_proposals_.front();
        const bool committed = leader_->commit_index() >= proposal.number && !leadership_lost;
        if (!committed && !leadership_lost && now < proposal.deadline) break;
        const auto answer = std::move(proposal.answer);
        const ProposeResult result{proposal.number, ProposeError::none, !committed};
        pending_proposals_.pop_front();
        answer(result);
    }
    if (leadership_lost) propagating_.clear();
}

}   // namespace slatejunction::rollout
