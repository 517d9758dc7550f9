#include "rollout/driver.hpp"

#include <sys/stat.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace slatejunction::rollout {
namespace {

constexpr double kDisconnectedAfterS = 8;             // s without a word of a source, or of a parent
constexpr double kReportIntervalS = 1;                // s, between reports to the source
constexpr double kVersionLogIntervalS = 60;           // s, between log lines of versions in force
constexpr std::size_t kMaxPendingProposals = 1'000;   // proposals that are waited for
constexpr std::size_t kMaxPropagating = 10'000;       // whose time to everywhere is measured
constexpr std::uint64_t kMaxCommittedLogged = 256;    // records told one by one, at most so many at once
constexpr const char* kLeaderEventNames[] = {"ready",    "committed",    "cleared", "refused",
                                             "reverted", "irrevertible", "fenced",  "majority_lost",
                                             "admitted", "diverged"};

std::string folder_of(const std::string& directory) {
    const std::string path = directory + "/rollout";
    if (::mkdir(path.c_str(), 0700) != 0 && errno != EEXIST)
        throw storage::Error(path + " can't be made: " + std::strerror(errno));
    return path;
}

std::string hexadecimal(std::uint64_t number) {
    char text[20];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
    return text;
}

unsigned long long as_ull(std::uint64_t number) { return number; }

}   // namespace

std::string state_digest(const State& state) { return hexadecimal(snapshot_checksum({}, 0, state)); }

// Home. -----------------------------------------------------------------------------------------------

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

// Driver. ---------------------------------------------------------------------------------------------

Driver::Driver(const Options& options, const std::string& name, std::vector<std::string> replicas,
               std::uint64_t process, std::uint64_t seed, const std::vector<membership::AuthKey>& keys,
               std::unique_ptr<RolloutStorage> home, Callbacks ways, net::Timers& timers, Logger& log)
    : options_(options),
      name_(name),
      callbacks_(std::move(ways)),
      log_(log),
      storage_(std::move(home)),
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
    if (!replica_->storage_intact())
        log_.write(Logger::Level::warning, net::now(),
                   "rollout: nothing whole is kept here; this control machine counts in no majority until "
                   "it has caught up");
    leader_ = std::make_unique<Leader>(leader_settings(options, replicas), seed ^ process);
    publisher_ = std::make_unique<Publisher>(publisher_settings(options), replica_->log());
    last_committed_logged_ = replica_->commit_index();
    const std::pair<std::string_view, std::string> fields[] = {
        {"number", std::to_string(last_committed_logged_)},
        {"chain", hexadecimal(replica_->log().version(last_committed_logged_).chain)},
        {"remembers", replica_->storage_intact() ? "yes" : "no"}};
    log_.event("replica_begins", fields);
}

void Driver::start() {
    transport_.start();
    const double now = started_at_ = net::now();
    report_at_ = publisher_ ? now + kReportIntervalS : 1e18;
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

// What comes in. --------------------------------------------------------------------------------------

void Driver::on_replica_message(const std::string& from, std::string_view body) {
    const auto message = decode(body);
    if (!message || stopped_ || !replica_) return;
    deliver(from, *message);
    pump();
}

// Of a control machine; those that are not for a core are passed over by it.
void Driver::deliver(const std::string& from, const Message& message) {
    const double now = net::now();
    // Parts of a snapshot go either way: to a source that reads, else to a replica that is far behind.
    const bool reads = leader_->phase() == Leader::Phase::fetching_log;
    const bool part = std::holds_alternative<SnapshotPart>(message);
    if (!part || !reads) replica_->receive(now, from, message);
    if (!part || reads) leader_->receive(now, from, message);
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

// Guards against children that stay with a parent which has nothing new to give, as it can't keep it or is
// cut off: unanswered they ask another. Longer than nobody is the source after one died.
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

void Driver::recheck() {
    if (!follower_ || stopped_) return;
    follower_->recheck(net::now());
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

// What goes out. --------------------------------------------------------------------------------------

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

// The number changes while the lease is held where another's was seen: the source begins anew under it.
void Driver::update_term() {
    if (!leads_) return;
    const std::uint64_t number = callbacks_.fencing_token();
    if (number == 0 || number == term_token_) return;
    term_token_ = number;
    leader_->begin_term(net::now(), number, replica_->log());
}

void Driver::route(const OutgoingMessage& post) {
    if (post.to == name_)
        loopback_.emplace_back(name_, post.body);
    else
        callbacks_.send_to_replica(post.to, *post.body);
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

// Whether there may be more to carry.
bool Driver::pump_control_machine() {
    update_term();
    bool more = false;
    for (const OutgoingMessage& post : leader_->take_outgoing()) route(post);
    for (const OutgoingMessage& post : replica_->take_outgoing()) route(post);
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

// Now and then: there are tens of thousands a day.
void Driver::log_active_version(const Version& version) {
    ++versions_since_logged_;
    const double now = net::now();
    if (now - version_logged_at_ < kVersionLogIntervalS) return;
    version_logged_at_ = now;
    log_.write(Logger::Level::info, now, "rollout: version %llu is in force, %llu since the last such line",
               as_ull(version.number), as_ull(std::exchange(versions_since_logged_, 0)));
}

bool Driver::pump_follower() {
    for (const OutgoingMessage& post : follower_->take_outgoing()) transport_.send(post.to, post.body);
    for (const Activation& one : follower_->take_activations()) {
        callbacks_.activated(follower_->state(), one.changes);
        log_active_version(one.version);
        record_active_state("in_force", one.version, follower_->state());
    }
    const std::uint64_t refused = follower_->refused();
    if (refused != std::exchange(refusal_logged_, refused) && refused != 0) {
        log_.write(Logger::Level::warning, net::now(), "rollout: version %llu can't be used here: %s",
                   as_ull(refused), follower_->reason().c_str());
        const std::pair<std::string_view, std::string> fields[] = {{"number", std::to_string(refused)},
                                                                   {"reason", follower_->reason()}};
        log_.event("refuses", fields);
    }
    const bool diverged = follower_->fault() == FollowerFault::diverged;
    if (diverged && !std::exchange(divergence_logged_, true))
        log_.write(Logger::Level::error, net::now(),
                   "rollout: what is in force here (version %llu) is of another sequence than what %s has",
                   as_ull(follower_->active_version().number), follower_->parent().c_str());
    divergence_logged_ = diverged;
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
    for (const OutgoingMessage& post : publisher_->take_outgoing()) transport_.send(post.to, post.body);
    if (publisher_->urgent_changes() == std::exchange(urgent_changes_seen_, publisher_->urgent_changes()))
        return;
    report_upstream(now);
    if (follower_) follower_->report_now(now);
}

// What is known of the children: to the source, or with a relay's next pull.
void Driver::report_upstream(double now) {
    report_at_ = now + kReportIntervalS;
    if (follower_) return follower_->set_subtree(publisher_->report(now));
    if (!replica_->leader().empty()) {
        const OutgoingMessage post{replica_->leader(), body_of(FollowerReport{publisher_->report(now)})};
        route(post);
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

// What is told. ---------------------------------------------------------------------------------------

void Driver::answer_proposals(double now) {
    const bool lost = !is_leader();
    while (!pending_proposals_.empty()) {
        PendingProposal& one = pending_proposals_.front();
        const bool committed = leader_->commit_index() >= one.number && !lost;
        if (!committed && !lost && now < one.deadline) break;
        const auto answer = std::move(one.answer);
        const ProposeResult said{one.number, ProposeError::none, !committed};
        pending_proposals_.pop_front();
        answer(said);
    }
    if (lost) propagating_.clear();
}

void Driver::on_leader_event(const LeaderEvent& event) {
    using Kind = LeaderEvent::Kind;
    ++event_counts_[static_cast<std::size_t>(event.kind)];
    const char* const what = kLeaderEventNames[static_cast<std::size_t>(event.kind)];
    const std::pair<std::string_view, std::string> fields[] = {{"number", std::to_string(event.number)},
                                                               {"term", std::to_string(leader_->term())},
                                                               {"name", event.name},
                                                               {"reason", event.reason}};
    log_.event(std::string("source_") + what, fields);
    const double now = net::now();
    const auto number = as_ull(event.number);
    switch (event.kind) {
        case Kind::ready:
            log_.write(Logger::Level::info, now, "rollout: this is the source from number %llu on", number);
            break;
        case Kind::refused:
            log_.write(Logger::Level::warning, now, "rollout: %s can't use change %llu: %s",
                       event.name.c_str(), number, event.reason.c_str());
            break;
        case Kind::reverted:
            log_.write(Logger::Level::warning, now, "rollout: change %llu is taken back", number);
            break;
        case Kind::irrevertible:
            log_.write(Logger::Level::error, now,
                       "rollout: change %llu is refused and can't be taken back; propose one that mends it",
                       number);
            break;
        case Kind::fenced:
            log_.write(Logger::Level::warning, now,
                       "rollout: another source goes on; this one has stopped");
            break;
        case Kind::majority_lost:
            log_.write(Logger::Level::error, now,
                       "rollout: fewer than a majority of the control machines remembered; changes may be "
                       "missing (nothing, on the first start)");
            break;
        case Kind::learner_admitted:
            log_.write(Logger::Level::info, now, "rollout: %s has caught up and counts again",
                       event.name.c_str());
            break;
        case Kind::committed:
        case Kind::cleared:
            break;
        default:
            log_.write(Logger::Level::error, now, "rollout: %s: %s", what, event.name.c_str());
    }
}

void Driver::log_committed() {
    const std::uint64_t committed = replica_->commit_index();
    const Log& log = replica_->log();
    std::uint64_t from = std::max(last_committed_logged_, log.base().number);
    if (committed - from > kMaxCommittedLogged) from = committed - kMaxCommittedLogged;
    while (from < committed) {
        const Record& one = log.record(++from);
        const std::pair<std::string_view, std::string> fields[] = {
            {"number", std::to_string(one.number)},
            {"term", std::to_string(one.term)},
            {"chain", hexadecimal(log.version(one.number).chain)},
            {"kind", std::to_string(static_cast<unsigned>(one.kind))},
            {"key", one.key},
            {"value", one.value},
            {"reverts", std::to_string(one.reverts)}};
        log_.event("committed", fields);
    }
    last_committed_logged_ = std::max(last_committed_logged_, committed);
}

void Driver::record_active_state(const char* event, const Version& version, const State& state) {
    const std::pair<std::string_view, std::string> fields[] = {{"number", std::to_string(version.number)},
                                                               {"chain", hexadecimal(version.chain)},
                                                               {"state", state_digest(state)}};
    log_.event(event, fields);
}

const std::string& Driver::disk_fault() const {
    return storage_->follower_ ? storage_->follower_->file().last_error()
                               : storage_->replica_->last_error();
}

// Once, until it can be written again.
void Driver::log_disk_fault() {
    const bool failed = follower_ ? follower_->fault() == FollowerFault::disk : replica_->disk_failed();
    if (failed == std::exchange(disk_fault_logged_, failed)) return;
    if (failed)
        log_.write(Logger::Level::error, net::now(),
                   "rollout: the state directory can't be written, this process stays at what it has: %s",
                   disk_fault().c_str());
    else
        log_.write(Logger::Level::info, net::now(), "rollout: the state directory is written again");
    log_.event(failed ? "disk_failed" : "disk_written", {});
}

}   // namespace slatejunction::rollout
