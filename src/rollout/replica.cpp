#include "rollout/replica.hpp"

#include <algorithm>

#include "rollout/batch.hpp"

namespace slatejunction::rollout {
namespace {

constexpr std::size_t kFetchedMost = 32;   // messages in answer to one Fetch

}   // namespace

Replica::Replica(const ReplicaSettings& settings, std::uint64_t process, ReplicaStored stored,
                 ReplicaStorage& home)
    : settings_(settings),
      process_(process),
      home_(home),
      remembers_(stored.remembers),
      promised_(stored.promised),
      committed_(std::clamp(stored.committed, stored.log.base().number, stored.log.last().number)),
      log_(std::move(stored.log)) {}

void Replica::receive(double now, const std::string& from, const Message& message) {
    std::visit([&](const auto& one) { on(now, from, one); }, message);
}

void Replica::wake(double now) {
    if (const auto ask = taker_.ask(now)) post(taking_from_, *ask);
}

bool Replica::promise(std::uint64_t term) {
    if (term <= promised_) return term == promised_;
    disk_failed_ = !home_.keep_promise(term, remembers_);
    if (disk_failed_) return false;
    promised_ = term;
    promised_to_ = 0;
    return true;
}

void Replica::on(double, const std::string& from, const Prepare& message) {
    const bool newer = message.term > promised_;
    if (newer && !promise(message.term)) return;
    if (newer) promised_to_ = message.nonce;
    // The same term from another process, or from before this one began: it needs one of its own.
    const bool granted = message.term == promised_ && promised_to_ == message.nonce;
    post(from, Promise{message.term, promised_, process_, remembers_, granted});
}

void Replica::on(double, const std::string& from, const Inspect& message) {
    if (message.term < promised_) return post(from, Promise{message.term, promised_, process_, remembers_});
    if (!promise(message.term)) return;
    post(from, Holding{message.term, process_, remembers_, log_.last(), log_.last_term(), committed_,
                       log_.base().number, staging_.cleared});
}

void Replica::on(double, const std::string& from, const Fetch& message) {
    if (message.term != promised_) return;
    if (message.after < log_.base().number) {
        if (!given_ || !log_.knows(given_->version().number))
            given_.emplace(log_.version(committed_), log_.term(committed_), log_.state_at(committed_));
        return post(from, given_->part(0, staging_));
    }
    std::uint64_t at = std::min(message.after, log_.last().number);
    for (std::size_t sent = 0; sent < kFetchedMost; ++sent) {
        Fetched fetched{message.term, log_.version(at), {}, false};
        fetched.records = batch(log_, at, log_.last().number);
        at += fetched.records.size();
        fetched.end = at == log_.last().number || sent + 1 == kFetchedMost;
        post(from, fetched);
        if (fetched.end) return;
    }
}

Appended Replica::answer_to(std::uint64_t term) const {
    return {term, promised_, process_, remembers_, false, log_.last(), committed_, false};
}

void Replica::on(double now, const std::string& from, const Append& message) {
    if (message.term < promised_) return post(from, answer_to(message.term));
    Appended answer = answer_to(message.term);
    if (!promise(message.term)) {
        answer.disk_failed = true;
        return post(from, answer);
    }
    disk_failed_ = false;
    source_ = from;
    heard_at_ = now;
    const Staging before = staging_;
    staging_.merge(message.staging);
    if (staging_ != before) ++changes_;
    answer = answer_to(message.term);
    if (match(message, answer) && add(message)) {
        answer = answer_to(message.term);
        const std::uint64_t matched = message.previous.number + message.records.size();
        answer.matches = true;
        answer.last = log_.version(matched);
        commit(std::min(message.committed, matched));
        answer.committed = committed_;
        if (message.admit && !remembers_) {
            disk_failed_ = !home_.keep_promise(promised_, true);
            remembers_ = !disk_failed_;
            answer.remembers = remembers_;
        }
    }
    answer.disk_failed = disk_failed_;
    post(from, answer);
}

// Whether what comes before the append is here.
bool Replica::match(const Append& message, Appended& answer) {
    if (log_.holds(message.previous)) return true;
    const std::uint64_t number = message.previous.number;
    if (!log_.knows(number)) return false;   // the answer tells what the last one is
    // What conflicts is not committed: up to there all sources agree.
    if (number <= committed_) diverged_ = true;
    answer.last = log_.version(std::min(committed_, log_.last().number));
    return false;
}

// Takes the records that are not here yet, in place of what conflicts with them. False: none is kept.
bool Replica::add(const Append& message) {
    std::size_t known = 0;
    Version version = message.previous;
    for (const Record& one : message.records) {
        const Version next = after(version, one);
        if (!log_.holds(next)) break;
        version = next;
        ++known;
    }
    if (known == message.records.size()) return true;
    const std::uint64_t start = version.number;
    if (start < log_.last().number) {
        if (start < committed_) {
            diverged_ = true;
            return false;
        }
        disk_failed_ = !home_.truncate(start);
        if (disk_failed_) return false;
        log_.truncate(start);
    }
    const std::vector<Record> fresh(message.records.begin() + static_cast<std::ptrdiff_t>(known),
                                    message.records.end());
    for (const Record& one : fresh)
        if (!log_.push(one)) {
            log_.truncate(start);
            return false;
        }
    disk_failed_ = !home_.append(fresh);
    if (disk_failed_) {
        log_.truncate(start);
        return false;
    }
    since_compact_ += fresh.size();
    return true;
}

void Replica::commit(std::uint64_t number) {
    if (number <= committed_) return;
    committed_ = number;
    ++changes_;
    home_.note_committed(number);
    log_.trim(settings_.records_kept, settings_.bytes_kept, std::min(committed_, staging_.cleared));
    if (since_compact_ >= settings_.compact_after) compact();
}

void Replica::compact() {
    // What it replaces stands if this fails, and it is tried again later.
    since_compact_ = 0;
    home_.replace(log_, committed_);
}

void Replica::on(double, const std::string& from, const PartPull& message) {
    if (!given_ || given_->version() != message.version) return;
    for (std::uint32_t i = 0; i < std::min(message.count, SnapshotTaker::kWindow); ++i)
        if (message.from + i < given_->parts()) post(from, given_->part(message.from + i, staging_));
}

void Replica::on(double now, const std::string& from, const SnapshotPart& message) {
    // What a source gives is committed; the append that comes with it tells whether it is here.
    if (message.version.number <= committed_ || log_.holds(message.version)) return;
    taking_from_ = from;
    taker_.receive(now, message);
    if (const auto ask = taker_.ask(now)) post(from, *ask);
    take_whole();
}

void Replica::take_whole() {
    const auto whole = taker_.take();
    if (!whole || whole->version.number <= committed_ || log_.holds(whole->version)) return;
    const Log log(whole->version, whole->term, whole->state);
    disk_failed_ = !home_.replace(log, whole->version.number);
    if (disk_failed_) return;
    log_ = log;
    since_compact_ = 0;
    committed_ = whole->version.number;
    ++changes_;
}

}   // namespace slatejunction::rollout
