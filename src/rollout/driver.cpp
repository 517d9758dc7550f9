#include "rollout/driver.hpp"

#include <sys/stat.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace slatejunction::rollout {
namespace {

constexpr double kCutOff = 8;                   // s without a word of a source, or of a parent
constexpr double kTellEvery = 1;                // s, between reports to the source
constexpr double kVersionsEvery = 60;           // s, between log lines of versions in force
constexpr std::size_t kWaitingMost = 1'000;     // proposals that are waited for
constexpr std::size_t kProposedMost = 10'000;   // whose time to everywhere is measured
constexpr std::uint64_t kCommittedTold = 256;   // records told one by one, at most so many at once
constexpr const char* kWhat[] = {"ready",        "committed", "cleared",       "refused",  "reverted",
                                 "irrevertible", "fenced",    "majority_lost", "admitted", "diverged"};

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

unsigned long long wide(std::uint64_t number) { return number; }

}   // namespace

std::string digest(const State& state) { return hexadecimal(check_of({}, 0, state)); }

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
      ways_(std::move(ways)),
      log_(log),
      home_(std::move(home)),
      endpoint_(
          [&] {
              Transport::Settings settings{name, options.listen, {}};
              for (const ParentAddress& one : parents_of(options))
                  settings.parents[one.parent.name] = one.address;
              return settings;
          }(),
          process, keys,
          [this](const std::string& from, std::uint64_t its, std::string_view body) {
              heard_child_or_parent(from, its, body);
          },
          timers, log),
      timer_(timers, [this] { wake(); }) {
    for (const std::string& path : home_->set_aside())
        log_.write(Logger::Level::error, net::now(), "rollout: a broken file was put aside as %s",
                   path.c_str());
    if (options.follows()) {
        tell_in_force("begins_with", home_->version(), home_->state());
        follower_ = std::make_unique<Follower>(follower_of(options, name), std::move(home_->stored_),
                                               *home_->follower_, ways_.check, seed ^ process);
        if (options.feeds()) feeder_ = std::make_unique<Publisher>(feeder_of(options), follower_->log());
        return;
    }
    ReplicaSettings settings;
    settings.name = name;
    replica_ =
        std::make_unique<Replica>(settings, process, home_->replica_->take_stored(), *home_->replica_);
    if (!replica_->remembers())
        log_.write(Logger::Level::warning, net::now(),
                   "rollout: nothing whole is kept here; this control machine counts in no majority until "
                   "it has caught up");
    source_ = std::make_unique<Leader>(source_of(options, replicas), seed ^ process);
    feeder_ = std::make_unique<Publisher>(feeder_of(options), replica_->log());
    committed_told_ = replica_->committed();
    const std::pair<std::string_view, std::string> fields[] = {
        {"number", std::to_string(committed_told_)},
        {"chain", hexadecimal(replica_->log().version(committed_told_).chain)},
        {"remembers", replica_->remembers() ? "yes" : "no"}};
    log_.event("replica_begins", fields);
}

void Driver::start() {
    endpoint_.start();
    const double now = started_ = net::now();
    tell_at_ = feeder_ ? now + kTellEvery : 1e18;
    if (follower_) follower_->start(now);
    pump();
}

void Driver::stop() {
    if (std::exchange(stopped_, true)) return;
    timer_.disarm();
    for (const Waiting& one : std::exchange(waiting_, {})) one.answer({one.number, {}, true});
    endpoint_.stop();
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
    const bool reads = source_->stage() == Leader::Stage::fetching;
    const bool part = std::holds_alternative<SnapshotPart>(message);
    if (!part || !reads) replica_->receive(now, from, message);
    if (!part || reads) source_->receive(now, from, message);
}

void Driver::heard_child_or_parent(const std::string& from, std::uint64_t process, std::string_view body) {
    const auto message = decode(body);
    if (!message || stopped_) return;
    const double now = net::now();
    if (endpoint_.parent(from)) {
        if (follower_) follower_->receive(now, from, *message);
    } else if (feeder_ && may_feed(now)) {
        feeder_->receive(now, from, process, *message);
    }
    pump();
}

// Guards against children that stay with a parent which has nothing new to give, as it can't keep it or is
// cut off: unanswered they ask another. Longer than nobody is the source after one died.
bool Driver::may_feed(double now) const {
    if (follower_) return now - std::max(follower_->heard_at(), started_) < kCutOff;
    return !replica_->disk_failed() && now - std::max(replica_->heard_at(), started_) < kCutOff;
}

void Driver::on_leadership_change(bool on) {
    if (!source_ || stopped_) return;
    conducts_ = on;
    if (!on && std::exchange(held_, 0) != 0) source_->end_term();
    pump();
}

void Driver::recheck() {
    if (!follower_ || stopped_) return;
    follower_->recheck(net::now());
    pump();
}

void Driver::propose(const std::string& key, const std::optional<std::string>& value,
                     std::function<void(const ProposeResult&)> answer) {
    if (!source_ || stopped_) return answer({0, ProposeError::not_leader});
    if (waiting_.size() >= kWaitingMost) return answer({0, ProposeError::backlog_full});
    const double now = net::now();
    const Proposed made = source_->propose(now, key, value);
    if (made.number == 0) return answer({0, made.error});
    if (proposed_.size() < kProposedMost) proposed_.emplace_back(now, made.number);
    waiting_.push_back({made.number, now + kProposeMost, std::move(answer)});
    pump();
}

// What goes out. --------------------------------------------------------------------------------------

void Driver::wake() {
    if (stopped_) return;
    const double now = net::now();
    if (follower_ && follower_->next_deadline() <= now) follower_->on_timer(now);
    if (replica_ && replica_->due() <= now) replica_->wake(now);
    if (source_ && source_->next_deadline() <= now) source_->on_timer(now);
    if (feeder_ && feeder_->next_deadline() <= now) feeder_->on_timer(now);
    if (now >= tell_at_) tell_above(now);
    pump();
}

double Driver::due() const {
    double next = tell_at_;
    if (follower_) next = std::min(next, follower_->next_deadline());
    if (replica_) next = std::min({next, replica_->due(), source_->next_deadline()});
    if (feeder_) next = std::min(next, feeder_->next_deadline());
    if (!waiting_.empty()) next = std::min(next, waiting_.front().until);
    return next;
}

// The number changes while the lease is held where another's was seen: the source begins anew under it.
void Driver::hold() {
    if (!conducts_) return;
    const std::uint64_t number = ways_.fencing_token();
    if (number == 0 || number == held_) return;
    held_ = number;
    source_->begin_term(net::now(), number, replica_->log());
}

void Driver::route(const OutgoingMessage& post) {
    if (post.to == name_)
        own_.emplace_back(name_, post.body);
    else
        ways_.send_to_replica(post.to, *post.body);
}

void Driver::pump() {
    if (stopped_ || std::exchange(pumping_, true)) return;
    for (bool more = true; more;) {
        more = false;
        if (replica_) more = pump_control() || more;
        if (follower_) more = pump_follower() || more;
        if (feeder_) pump_feeder();
    }
    pumping_ = false;
    const double now = net::now();
    answer_waiting(now);
    tell_disk();
    if (const double next = due(); next < 1e17)
        timer_.arm(std::max(next, now));
    else
        timer_.disarm();
}

// Whether there may be more to carry.
bool Driver::pump_control() {
    hold();
    bool more = false;
    for (const OutgoingMessage& post : source_->take_outgoing()) route(post);
    for (const OutgoingMessage& post : replica_->take_posts()) route(post);
    for (const auto& [from, body] : std::exchange(own_, {})) {
        more = true;
        if (const auto message = decode(*body)) deliver(from, *message);
    }
    for (const LeaderEvent& event : source_->take_events()) told(event);
    if (replica_->changes() != std::exchange(replica_changes_, replica_->changes())) {
        tell_committed();
        feeder_->advance(net::now(), replica_->committed(), replica_->staging());
    }
    return more;
}

// Now and then: there are tens of thousands a day.
void Driver::tell_version(const Version& version) {
    ++versions_;
    const double now = net::now();
    if (now - version_told_ < kVersionsEvery) return;
    version_told_ = now;
    log_.write(Logger::Level::info, now, "rollout: version %llu is in force, %llu since the last such line",
               wide(version.number), wide(std::exchange(versions_, 0)));
}

bool Driver::pump_follower() {
    for (const OutgoingMessage& post : follower_->take_outgoing()) endpoint_.send(post.to, post.body);
    for (const InForce& one : follower_->take_in_force()) {
        ways_.in_force(follower_->state(), one.changes);
        tell_version(one.version);
        tell_in_force("in_force", one.version, follower_->state());
    }
    const std::uint64_t refused = follower_->refused();
    if (refused != std::exchange(told_refused_, refused) && refused != 0) {
        log_.write(Logger::Level::warning, net::now(), "rollout: version %llu can't be used here: %s",
                   wide(refused), follower_->reason().c_str());
        const std::pair<std::string_view, std::string> fields[] = {{"number", std::to_string(refused)},
                                                                   {"reason", follower_->reason()}};
        log_.event("refuses", fields);
    }
    const bool diverged = follower_->fault() == FollowerFault::diverged;
    if (diverged && !std::exchange(told_diverged_, true))
        log_.write(Logger::Level::error, net::now(),
                   "rollout: what is in force here (version %llu) is of another sequence than what %s has",
                   wide(follower_->in_force().number), follower_->parent().c_str());
    told_diverged_ = diverged;
    return false;
}

void Driver::pump_feeder() {
    const double now = net::now();
    if (follower_) {
        const std::uint64_t last = follower_->log().last().number;
        if (last != fed_version_ || follower_->staging() != fed_staging_) {
            fed_version_ = last;
            fed_staging_ = follower_->staging();
            feeder_->advance(now, last, fed_staging_);
        }
    }
    for (const OutgoingMessage& post : feeder_->take_outgoing()) endpoint_.send(post.to, post.body);
    if (feeder_->urgent() == std::exchange(urgent_, feeder_->urgent())) return;
    tell_above(now);
    if (follower_) follower_->report_now(now);
}

// What is known of the children: to the source, or with a relay's next pull.
void Driver::tell_above(double now) {
    tell_at_ = now + kTellEvery;
    if (follower_) return follower_->set_subtree(feeder_->report(now));
    if (!replica_->leader().empty()) {
        const OutgoingMessage post{replica_->leader(), body_of(FollowerReport{feeder_->report(now)})};
        route(post);
    }
    if (is_leader()) measure_everywhere(now);
}

Report Driver::children() const { return feeder_ ? feeder_->report(net::now()) : Report{}; }

Report Driver::fleet() const { return is_leader() ? source_->fleet(net::now()) : children(); }

void Driver::measure_everywhere(double now) {
    if (proposed_.empty()) return;
    const std::uint64_t number = in_force_everywhere(source_->fleet(now));
    while (!proposed_.empty() && proposed_.front().second <= number) {
        everywhere_s_ = now - proposed_.front().first;
        proposed_.pop_front();
    }
}

// What is told. ---------------------------------------------------------------------------------------

void Driver::answer_waiting(double now) {
    const bool lost = !is_leader();
    while (!waiting_.empty()) {
        Waiting& one = waiting_.front();
        const bool committed = source_->committed() >= one.number && !lost;
        if (!committed && !lost && now < one.until) break;
        const auto answer = std::move(one.answer);
        const ProposeResult said{one.number, ProposeError::none, !committed};
        waiting_.pop_front();
        answer(said);
    }
    if (lost) proposed_.clear();
}

void Driver::told(const LeaderEvent& event) {
    using What = LeaderEvent::Kind;
    ++event_counts_[static_cast<std::size_t>(event.kind)];
    const char* const what = kWhat[static_cast<std::size_t>(event.kind)];
    const std::pair<std::string_view, std::string> fields[] = {{"number", std::to_string(event.number)},
                                                               {"term", std::to_string(source_->term())},
                                                               {"name", event.name},
                                                               {"reason", event.reason}};
    log_.event(std::string("source_") + what, fields);
    const double now = net::now();
    const auto number = wide(event.number);
    switch (event.kind) {
        case What::ready:
            log_.write(Logger::Level::info, now, "rollout: this is the source from number %llu on", number);
            break;
        case What::refused:
            log_.write(Logger::Level::warning, now, "rollout: %s can't use change %llu: %s",
                       event.name.c_str(), number, event.reason.c_str());
            break;
        case What::reverted:
            log_.write(Logger::Level::warning, now, "rollout: change %llu is taken back", number);
            break;
        case What::irrevertible:
            log_.write(Logger::Level::error, now,
                       "rollout: change %llu is refused and can't be taken back; propose one that mends it",
                       number);
            break;
        case What::fenced:
            log_.write(Logger::Level::warning, now,
                       "rollout: another source goes on; this one has stopped");
            break;
        case What::majority_lost:
            log_.write(Logger::Level::error, now,
                       "rollout: fewer than a majority of the control machines remembered; changes may be "
                       "missing (nothing, on the first start)");
            break;
        case What::admitted:
            log_.write(Logger::Level::info, now, "rollout: %s has caught up and counts again",
                       event.name.c_str());
            break;
        case What::committed:
        case What::cleared:
            break;
        default:
            log_.write(Logger::Level::error, now, "rollout: %s: %s", what, event.name.c_str());
    }
}

void Driver::tell_committed() {
    const std::uint64_t committed = replica_->committed();
    const Log& log = replica_->log();
    std::uint64_t from = std::max(committed_told_, log.base().number);
    if (committed - from > kCommittedTold) from = committed - kCommittedTold;
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
    committed_told_ = std::max(committed_told_, committed);
}

void Driver::tell_in_force(const char* event, const Version& version, const State& state) {
    const std::pair<std::string_view, std::string> fields[] = {{"number", std::to_string(version.number)},
                                                               {"chain", hexadecimal(version.chain)},
                                                               {"state", digest(state)}};
    log_.event(event, fields);
}

const std::string& Driver::disk_why() const {
    return home_->follower_ ? home_->follower_->file().why() : home_->replica_->why();
}

// Once, until it can be written again.
void Driver::tell_disk() {
    const bool failed = follower_ ? follower_->fault() == FollowerFault::disk : replica_->disk_failed();
    if (failed == std::exchange(told_disk_, failed)) return;
    if (failed)
        log_.write(Logger::Level::error, net::now(),
                   "rollout: the state directory can't be written, this process stays at what it has: %s",
                   disk_why().c_str());
    else
        log_.write(Logger::Level::info, net::now(), "rollout: the state directory is written again");
    log_.event(failed ? "disk_failed" : "disk_written", {});
}

}   // namespace slatejunction::rollout
