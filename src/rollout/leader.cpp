#include "rollout/leader.hpp"

#include <algorithm>
#include <limits>

#include "rollout/batch.hpp"

namespace slatejunction::rollout {
namespace {

constexpr std::size_t kInFlight = 2'000;   // records sent to a replica and not answered
constexpr unsigned kInspectsMost = 3;      // tries, until all is begun anew
constexpr double kReadmitEvery = 5;        // s between readings for the sake of a replica
constexpr std::uint64_t kRoundsMost = (1u << kRoundBits) - 1;

// A log is ahead of another by its last term, then by its length.
bool ahead(std::uint64_t term, std::uint64_t number, std::uint64_t than_term, std::uint64_t than_number) {
    return term != than_term ? term > than_term : number > than_number;
}

}   // namespace

Leader::Leader(const LeaderSettings& settings, std::uint64_t seed) : settings_(settings), random_(seed) {}

void Leader::begin_term(double now, std::uint64_t fencing, const Log& own) {
    end_term();
    fencing_ = fencing;
    nonce_ = random_();
    log_ = own;
    for (const std::string& name : settings_.replicas) peers_[name] = {};
    begin(now);
}

void Leader::end_term() {
    stage_ = Stage::off;
    term_ = round_ = fencing_ = 0;
    committed_ = known_committed_ = 0;
    staging_ = {};
    log_ = {};
    peers_.clear();
    told_.clear();
    canaries_.clear();
    commits_.clear();
    refused_.clear();
    taker_.drop();
    given_.reset();
    again_at_ = stage_at_ = 1e18;
    readmit_at_ = 0;
}

// --- reading

void Leader::begin(double now) {
    if (round_ >= kRoundsMost) return fence();
    ++round_;
    term_ = term_of(fencing_, round_);
    stage_ = Stage::preparing;
    stage_at_ = 1e18;   // staging goes on when this one is ready again
    taker_.drop();
    tries_ = 0;
    for (auto& [name, peer] : peers_) {
        const std::uint64_t lost = peer.lost;
        peer = {};
        peer.lost = peer.learner = lost;
        post(name, Prepare{term_, nonce_});
    }
    again_at_ = now + settings_.retry_s;
}

void Leader::fence() {
    if (stage_ == Stage::fenced) return;
    stage_ = Stage::fenced;
    again_at_ = stage_at_ = 1e18;
    events_.push_back({LeaderEvent::Kind::fenced, 0, {}, {}});
}

// Whether a higher term was promised to somebody; the reading begins anew, or ends.
bool Leader::fenced_by(double now, std::uint64_t promised) {
    if (promised <= term_) return false;
    if (fencing_of(promised) > fencing_) {
        fence();
        return true;
    }
    // Another process of this very lease, before this one.
    round_ = promised & kRoundsMost;
    begin(now);
    return true;
}

void Leader::on(double now, const std::string& from, const Promise& message) {
    Peer& peer = peers_[from];
    if (fenced_by(now, message.promised) || message.term != term_) return;
    if (stage_ != Stage::preparing) return;
    if (!message.granted) return begin(now);
    peer.process = message.process;
    peer.promised = true;
    peer.remembers = message.remembers;
    if (!message.remembers) peer.lost = message.process;
    if (!enough([](const Peer& one) { return one.promised; })) return;
    stage_ = Stage::inspecting;
    tries_ = 0;
    inspect(now);
}

// A majority of those that remember, or all there are: then nothing is anywhere else.
template <class Has>
bool Leader::enough(Has has) const {
    std::size_t all = 0, remember = 0;
    for (const auto& [name, peer] : peers_) {
        all += has(peer);
        remember += has(peer) && peer.remembers;
    }
    return remember >= majority() || all == peers_.size();
}

void Leader::inspect(double now) {
    again_at_ = now + settings_.retry_s;
    if (++tries_ > kInspectsMost + round_) return begin(now);   // patience grows, for links that are slow
    for (auto& [name, peer] : peers_)
        if (peer.promised && !peer.holding) post(name, Inspect{term_});
}

void Leader::on(double now, const std::string& from, const Holding& message) {
    if (stage_ != Stage::inspecting || message.term != term_) return;
    Peer& peer = peers_[from];
    if (!peer.promised) return;
    // What promised is not what answers: the promise may be forgotten with the rest.
    if (peer.process != message.process) return begin(now);
    peer.holding = message;
    peer.remembers = message.remembers;
    if (enough([](const Peer& one) { return one.holding.has_value(); })) choose(now);
}

// Adopts the log that is ahead of all others.
void Leader::choose(double now) {
    std::size_t remember = 0;
    bool any = false;
    for (const auto& [name, peer] : peers_) {
        if (!peer.holding) continue;
        remember += peer.remembers;
        any = any || peer.remembers || peer.holding->last.number > 0;
    }
    if (remember < majority() && any) events_.push_back({LeaderEvent::Kind::majority_lost, 0, {}, {}});
    best_.clear();
    std::uint64_t term = log_.last_term(), number = log_.last().number;
    for (const auto& [name, peer] : peers_) {
        if (!peer.holding) continue;
        known_committed_ = std::max(known_committed_, peer.holding->committed);
        // What is cleared is committed, whoever says it.
        staging_.cleared = std::max(staging_.cleared, peer.holding->cleared);
        known_committed_ = std::max(known_committed_, staging_.cleared);
        if (!peer.remembers && remember >= majority()) continue;
        if (!ahead(peer.holding->last_term, peer.holding->last.number, term, number)) continue;
        best_ = name;
        term = peer.holding->last_term;
        number = peer.holding->last.number;
    }
    if (best_.empty()) return become_ready(now);
    stage_ = Stage::fetching;
    tries_ = 0;
    fetch_step_ = 1;
    fetch_after_ = std::min(number, log_.last().number);
    fetch(now);
}

void Leader::fetch(double now) {
    again_at_ = now + settings_.retry_s;
    post(best_, Fetch{term_, fetch_after_});
}

void Leader::on(double now, const std::string& from, const Fetched& message) {
    if (stage_ != Stage::fetching || message.term != term_ || from != best_) return;
    tries_ = 0;
    const Version wanted = peers_[best_].holding->last;
    if (!log_.holds(message.previous)) {
        // An answer that came out of order is not one to what was asked last.
        if (message.previous.number != fetch_after_) return;
        if (fetch_after_ <= log_.base().number) {
            log_ = {};
            fetch_after_ = 0;
        } else {
            fetch_after_ = std::max(log_.base().number, fetch_after_ - std::min(fetch_after_, fetch_step_));
            fetch_step_ *= 2;
        }
        return fetch(now);
    }
    Version version = message.previous;
    for (const Record& one : message.records) {
        version = after(version, one);
        if (log_.holds(version)) continue;
        log_.truncate(one.number - 1);
        log_.push(one);
    }
    if (log_.holds(wanted)) {
        log_.truncate(wanted.number);
        return become_ready(now);
    }
    fetch_after_ = std::min(version.number, wanted.number);
    if (message.end) fetch(now);
}

void Leader::on(double now, const std::string& from, const SnapshotPart& message) {
    if (stage_ != Stage::fetching || from != best_) return;
    tries_ = 0;
    taker_.receive(now, message);
    if (const auto ask = taker_.ask(now)) post(best_, *ask);
    auto whole = taker_.take();
    if (!whole) return;
    log_ = Log(whole->version, whole->term, std::move(whole->state));
    fetch_after_ = whole->version.number;
    if (log_.last() == peers_[best_].holding->last) return become_ready(now);
    fetch(now);
}

void Leader::become_ready(double now) {
    stage_ = Stage::ready;
    again_at_ = 1e18;
    committed_ = std::max(committed_, std::min(known_committed_, log_.last().number));
    staging_.term = term_;
    if (staging_.cleared < committed_ && commits_.empty()) commits_.emplace_back(now, committed_);
    for (auto& [name, peer] : peers_) {
        peer.probing = true;
        peer.probe = peer.holding && log_.knows(peer.holding->last.number) ? peer.holding->last.number
                                                                           : log_.last().number;
    }
    events_.push_back({LeaderEvent::Kind::ready, committed_, {}, {}});
    // What is adopted counts once a record of this term that follows it has a majority.
    if (log_.last().number > committed_)
        append(now, {0, 0, Kind::none, {}, {}, 0});
    else
        replicate_all(now);
    stage(now);
}

// --- replication

void Leader::replicate_all(double now) {
    for (auto& [name, peer] : peers_) replicate(now, name, peer);
}

void Leader::replicate(double now, const std::string& name, Peer& peer) {
    if (now < peer.full_until) {
        peer.again_at = peer.full_until;
        return;
    }
    // What waits for an answer is sent again in its time, however much comes after it.
    const bool lacks = peer.matched < log_.last().number;
    const double again = now + (lacks ? settings_.retry_s : settings_.heartbeat_s);
    peer.again_at = lacks && peer.again_at > now ? std::min(peer.again_at, again) : again;
    if (peer.diverged) return;
    const std::uint64_t last = log_.last().number;
    if (peer.probing && peer.probe < log_.base().number) return give_snapshot(name);
    std::uint64_t at = peer.probing ? peer.probe : std::max(peer.sent, log_.base().number);
    if (!peer.probing && at < peer.matched) at = peer.matched;
    bool first = true;
    while (first || (!peer.probing && at < last && at < peer.matched + kInFlight)) {
        first = false;
        Append message{term_, log_.version(at), {}, committed_, staging_, false};
        if (!peer.probing) message.records = batch(log_, at, last);
        at += message.records.size();
        message.admit = peer.admitting && at == last;
        post(name, message);
    }
    if (!peer.probing) peer.sent = at;
}

void Leader::give_snapshot(const std::string& name) {
    if (!given_ || given_->version().number < log_.base().number)
        given_.emplace(log_.version(committed_), log_.term(committed_), log_.state_at(committed_));
    post(name, given_->part(0, staging_));
    // Is answered as one that matches once the snapshot is taken.
    post(name, Append{term_, given_->version(), {}, committed_, staging_, false});
}

void Leader::on(double, const std::string& from, const PartPull& message) {
    if (stage_ != Stage::ready || !given_) return;
    if (given_->version() != message.version) return post(from, given_->part(0, staging_));
    for (std::uint32_t i = 0; i < std::min(message.count, SnapshotTaker::kWindow); ++i)
        if (message.from + i < given_->parts()) post(from, given_->part(message.from + i, staging_));
}

void Leader::on(double now, const std::string& from, const Appended& message) {
    if (fenced_by(now, message.promised) || stage_ != Stage::ready || message.term != term_) return;
    Peer& peer = peers_[from];
    if (peer.process != message.process) {
        // It began anew, perhaps without what it had: nothing of before counts.
        peer.process = message.process;
        peer.matched = peer.sent = 0;
        peer.probing = true;
        peer.probe = log_.last().number;
        peer.admitting = false;
    }
    const bool was_learner = peer.admitting && !peer.remembers;
    peer.remembers = message.remembers;
    if (!message.remembers) peer.lost = message.process;
    if (was_learner && message.remembers) {
        peer.admitting = false;
        events_.push_back({LeaderEvent::Kind::admitted, 0, from, {}});
    }
    if (!message.matches) return probe(now, from, peer, message);
    if (!log_.holds(message.last)) return;
    peer.heard_at = now;
    peer.probing = false;
    if (message.last.number > peer.matched) {
        peer.matched = message.last.number;
        peer.again_at = now + settings_.retry_s;
    }
    peer.sent = std::max(peer.sent, peer.matched);
    // Told before this reading began: it may be admitted in this term.
    peer.admitting = !peer.remembers && !message.disk_failed && peer.learner == message.process;
    commit(now);
    const bool lacks = peer.sent < log_.last().number || peer.admitting;
    if (lacks && (peer.sent < log_.last().number || peer.matched == log_.last().number))
        replicate(now, from, peer);
    readmit(now);
}

// What a replica has does not fit: looks further back.
void Leader::probe(double now, const std::string& from, Peer& peer, const Appended& message) {
    if (message.disk_failed) {
        peer.full_until = now + settings_.retry_s;
        peer.sent = peer.matched;
        return;
    }
    const std::uint64_t next = std::min(message.last.number, log_.last().number);
    // Committed here and there, and not the same.
    if (next <= message.committed && next <= committed_ && log_.knows(next) &&
        message.last.number == next && !log_.holds(message.last)) {
        if (!peer.diverged) events_.push_back({LeaderEvent::Kind::diverged, 0, from, {}});
        peer.diverged = true;
        return;
    }
    const bool progress = !peer.probing || next != peer.probe;
    peer.probing = true;
    peer.probe = peer.sent = next;
    if (progress) replicate(now, from, peer);
}

void Leader::commit(double now) {
    std::vector<std::uint64_t> matched;
    for (const auto& [name, peer] : peers_) matched.push_back(peer.remembers ? peer.matched : 0);
    std::sort(matched.rbegin(), matched.rend());
    const std::uint64_t number = matched[majority() - 1];
    if (number <= committed_ || log_.record(number).term != term_) return;
    committed_ = number;
    commits_.emplace_back(now, number);
    events_.push_back({LeaderEvent::Kind::committed, number, {}, {}});
    log_.trim(settings_.records_kept, settings_.bytes_kept, std::min(committed_, staging_.cleared));
    replicate_all(now);
    stage(now);
}

// For a replica that has everything and still does not count a reading is begun that began after its loss.
void Leader::readmit(double now) {
    if (stage_ != Stage::ready || now < readmit_at_) return;
    const bool wanted = std::any_of(peers_.begin(), peers_.end(), [&](const auto& one) {
        const Peer& peer = one.second;
        return !peer.remembers && peer.lost != 0 && peer.lost == peer.process &&
               peer.learner != peer.process && peer.matched == log_.last().number && !peer.probing;
    });
    if (!wanted) return;
    readmit_at_ = now + kReadmitEvery;
    begin(now);
}

// --- changes

bool Leader::append(double now, Record record) {
    record.number = log_.last().number + 1;
    record.term = term_;
    if (!log_.push(record)) return false;
    replicate_all(now);
    return true;
}

Proposed Leader::propose(double now, const std::string& key, const std::optional<std::string>& value) {
    if (stage_ == Stage::off || stage_ == Stage::fenced) return {0, ProposeError::not_leader};
    if (stage_ != Stage::ready) return {0, ProposeError::not_ready};
    if (key.empty() || key.size() > kKeyMost || (value && value->size() > kValueMost))
        return {0, ProposeError::too_large};
    if (log_.last().number - committed_ >= settings_.backlog) return {0, ProposeError::backlog_full};
    const Kind kind = value ? Kind::put : Kind::erase;
    append(now, {0, 0, kind, key, value.value_or(std::string()), 0});
    return {log_.last().number, ProposeError::none};
}

// --- staging

void Leader::on(double now, const std::string& from, const FollowerReport& message) {
    told_[from] = {now, message.report};
    stage(now);
}

Report Leader::fleet(double now) const {
    Report all;
    for (const auto& [name, told] : told_)
        if (now - told.at <= settings_.silence_s) add(all, told.report);
    return all;
}

void Leader::refuse(double now, const Refusal& refusal) {
    if (refusal.number > committed_ || !refused_.insert(refusal.number).second) return;
    events_.push_back({LeaderEvent::Kind::refused, refusal.number, refusal.name, refusal.reason});
    if (log_.reverted_by(refusal.number) != 0) return;   // by the source before
    const auto revert = log_.revert_of(refusal.number);
    const bool made = revert && append(now, *revert);
    events_.push_back(
        {made ? LeaderEvent::Kind::reverted : LeaderEvent::Kind::irrevertible, refusal.number, {}, {}});
}

// Who the canaries are now, and since when each has what in force.
void Leader::choose_canaries(double now, const Report& fleet) {
    const std::size_t count = std::min(settings_.canaries, fleet.canaries.size());
    std::map<std::string, Canary> kept;
    std::uint64_t below = 0;
    for (std::size_t i = 0; i < count; ++i) {
        const Standing& one = fleet.canaries[i];
        Canary& canary = kept[one.name];
        const auto known = canaries_.find(one.name);
        if (known != canaries_.end()) canary = std::move(known->second);
        if (canary.in_force.empty() || one.in_force > canary.in_force.back().second)
            canary.in_force.emplace_back(now, one.in_force);
        // Of those that have stood for long enough the last one tells all.
        while (canary.in_force.size() > 1 && canary.in_force[1].first + settings_.canary_s <= now)
            canary.in_force.pop_front();
        const std::uint64_t hash = hash_of(one.name);
        below = hash == std::numeric_limits<std::uint64_t>::max() ? hash : hash + 1;
    }
    canaries_ = std::move(kept);
    staging_.canary_below = below;
}

// When this number, committed at `at`, may be cleared by what the canaries say.
double Leader::clear_at(double at, std::uint64_t number) const {
    const double waited = at + settings_.canary_wait_s;
    if (canaries_.empty()) return waited;
    double when = at;
    for (const auto& [name, canary] : canaries_) {
        const auto has = std::find_if(canary.in_force.begin(), canary.in_force.end(),
                                      [&](const auto& one) { return one.second >= number; });
        const double ok = has == canary.in_force.end() ? waited : has->first + settings_.canary_s;
        when = std::max(when, ok);
    }
    return std::min(when, waited + settings_.canary_s);
}

void Leader::stage(double now) {
    if (stage_ != Stage::ready) return;
    const Report fleet = this->fleet(now);
    const Staging before = staging_;
    choose_canaries(now, fleet);
    for (const Refusal& one : fleet.refusals) refuse(now, one);
    stage_at_ = 1e18;
    std::uint64_t cleared = staging_.cleared;
    for (const auto& [at, number] : commits_) {
        // Who is cut off from a majority clears nothing.
        const bool heard = heard_by_majority() >= at;
        const double when = std::max(clear_at(at, number), heard ? at : now + settings_.retry_s / 4);
        if (when > now) {
            stage_at_ = std::min(stage_at_, when);
            continue;
        }
        cleared = std::max(cleared, log_.whole_at_most(number, log_.last().number));
    }
    if (cleared > staging_.cleared) {
        staging_.cleared = cleared;
        events_.push_back({LeaderEvent::Kind::cleared, cleared, {}, {}});
    }
    while (!commits_.empty() && commits_.front().second <= staging_.cleared) commits_.pop_front();
    if (staging_ != before) replicate_all(now);
}

// Since when a majority has taken this source's appends.
double Leader::heard_by_majority() const {
    std::vector<double> times;
    for (const auto& [name, peer] : peers_) times.push_back(peer.heard_at);
    std::sort(times.rbegin(), times.rend());
    return times[majority() - 1];
}

// --- time

void Leader::receive(double now, const std::string& from, const Message& message) {
    if (stage_ == Stage::off || stage_ == Stage::fenced) return;
    const bool told = std::holds_alternative<FollowerReport>(message);
    if (!told && !peers_.contains(from)) return;
    std::visit([&](const auto& one) { on(now, from, one); }, message);
}

void Leader::on_timer(double now) {
    if (stage_ == Stage::off || stage_ == Stage::fenced) return;
    if (const auto ask = taker_.ask(now)) post(best_, *ask);
    if (now >= again_at_) retry(now);
    if (stage_ != Stage::ready) return;
    for (auto& [name, peer] : peers_) {
        if (now < peer.again_at) continue;
        peer.sent = peer.matched;   // what was not answered is sent again
        replicate(now, name, peer);
    }
    if (now >= stage_at_) stage(now);
    readmit(now);
}

// Of the reading.
void Leader::retry(double now) {
    again_at_ = now + settings_.retry_s;
    if (stage_ == Stage::preparing)
        for (const auto& [name, peer] : peers_)
            if (!peer.promised) post(name, Prepare{term_, nonce_});
    if (stage_ == Stage::inspecting) inspect(now);
    if (stage_ != Stage::fetching) return;
    // Whose log is wanted may have died: a majority without it has what is committed.
    if (++tries_ > kInspectsMost + round_) return begin(now);
    if (!taker_.active()) fetch(now);
}

double Leader::next_deadline() const {
    if (stage_ == Stage::off || stage_ == Stage::fenced) return 1e18;
    double next = std::min({again_at_, taker_.due(), stage_at_});
    if (stage_ != Stage::ready) return next;
    for (const auto& [name, peer] : peers_) next = std::min(next, peer.again_at);
    return next;
}

}   // namespace slatejunction::rollout
