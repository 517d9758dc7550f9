#include "remotewrite/sender.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace slatejunction::remotewrite {
namespace {
// Fraction of a backoff that is randomly added or subtracted, so that ingresses do not retry in step.
constexpr double kJitterFraction = 0.3;
constexpr int kMaxDoublings = 16;   // of the backoff
constexpr double kNever = std::numeric_limits<double>::infinity();
}   // namespace

Sender::Sender(const Settings& settings, std::uint64_t seed)
    : configured_protocol_(settings.protocol_version()),
      protocol_(settings.protocol_version()),
      random_state_(seed) {
    configure(settings);
}

void Sender::configure(const Settings& settings) {
    limit_ = static_cast<std::size_t>(settings.backlog_mb) * 1024 * 1024;
    batch_samples_ = static_cast<std::size_t>(settings.batch_samples);
    catch_up_samples_per_s_ = static_cast<double>(settings.catch_up_samples_per_s);
    if (settings.protocol_version() != configured_protocol_) {
        configured_protocol_ = settings.protocol_version();
        protocol_ = configured_protocol_;
    }
    enforce_limit();
}

// Returns a random number in [0, 1) by splitmix64, which is the same on every platform.
double Sender::uniform() {
    random_state_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t z = random_state_;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return static_cast<double>((z ^ (z >> 31)) >> 11) * 0x1.0p-53;
}

void Sender::insert(Frame frame) {
    // The last frame of a layout has the last values of its series, so it must not be thinned.
    if (!frames_.empty() && frames_.rbegin()->second.layout != frame.layout) {
        Frame& last = frames_.rbegin()->second;
        last.keep = true;
        levels_[static_cast<std::size_t>(last.level)].erase(last.number);
    }
    frame.level = std::clamp(frame.level, 0, kMaxThinningLevel);
    bytes_ += frame.bytes();
    if (!frame.keep) levels_[static_cast<std::size_t>(frame.level)].insert(frame.number);
    const std::uint64_t number = frame.number;
    frames_.insert_or_assign(frames_.end(), number, std::move(frame));
    enforce_limit();
}

void Sender::restore(Frame frame) {
    next_number_ = std::max(next_number_, frame.number + 1);
    insert(std::move(frame));
}

void Sender::add(Frame frame) {
    frame.number = next_number_++;
    insert(std::move(frame));
    if (next_deadline_ == kNever) next_deadline_ = 0;
}

void Sender::erase_frame(std::map<std::uint64_t, Frame>::iterator at) {
    const Frame& frame = at->second;
    bytes_ -= frame.bytes();
    levels_[static_cast<std::size_t>(frame.level)].erase(frame.number);
    frames_.erase(at);
}

// Keeps waiting frames within the limit while the receiver is unavailable. Frames of the current batch
// stay. Each step removes one frame, so that with a full backlog each new frame costs only a few steps.
void Sender::enforce_limit() {
    while (bytes_ > limit_ && thin_one()) {
    }
    while (bytes_ > limit_) {
        const auto oldest = frames_.lower_bound(batch_end_);
        if (oldest == frames_.end() || std::next(oldest) == frames_.end()) return;
        const bool partly_sent = oldest == frames_.begin() && first_unsent_series_ > 0;
        tally_.backlog_full += oldest->second.values.size() - (partly_sent ? first_unsent_series_ : 0);
        if (partly_sent) first_unsent_series_ = 0;
        erase_frame(oldest);
    }
}

// Removes the oldest frame of the largest level; the next frame of that level then covers both intervals
// and moves up a level. The levels converge to equal sizes, so that older data is coarser and the whole
// time stays covered. The newest frame, frames to keep and frames of the current batch stay. Returns
// whether a frame was removed.
bool Sender::thin_one() {
    std::size_t best = kMaxThinningLevel;
    std::size_t largest_size = 1;
    const std::uint64_t from =
        std::max(batch_end_, first_unsent_series_ > 0 ? frames_.begin()->first + 1 : 0);
    for (std::size_t level = 0; level < kMaxThinningLevel; ++level)
        if (levels_[level].size() > largest_size) {
            best = level;
            largest_size = levels_[level].size();
        }
    if (best == kMaxThinningLevel) return false;
    auto& numbers = levels_[best];
    const auto first = numbers.lower_bound(from);
    if (first == numbers.end() || std::next(first) == numbers.end()) return false;
    const std::uint64_t successor = *std::next(first);
    if (successor == frames_.rbegin()->first) return false;
    const auto removed = frames_.find(*first);
    tally_.thinned += removed->second.values.size();
    erase_frame(removed);
    numbers.erase(successor);
    ++frames_.at(successor).level;
    levels_[best + 1].insert(successor);
    return true;
}

void Sender::make_batch() {
    const Frame& first = frames_.begin()->second;
    const std::size_t width = first.values.size();
    std::vector<const Frame*> rows{&first};
    batch_last_ = std::min(width, first_unsent_series_ + batch_samples_);
    if (first_unsent_series_ == 0 && batch_last_ == width)
        for (auto at = std::next(frames_.begin());
             at != frames_.end() && at->second.layout == first.layout &&
             (rows.size() + 1) * width <= batch_samples_;
             ++at)
            rows.push_back(&at->second);
    batch_end_ = rows.back()->number + 1;
    batch_.emplace();
    batch_->protocol = protocol_;
    batch_->samples = rows.size() * (batch_last_ - first_unsent_series_);
    batch_->body = encoder_.encode(rows, first_unsent_series_, batch_last_, protocol_);
}

const Batch* Sender::next(double now) {
    if (in_flight_ || now < next_deadline_) return nullptr;
    if (!batch_) {
        if (frames_.empty()) {
            next_deadline_ = kNever;
            return nullptr;
        }
        make_batch();
    }
    in_flight_ = true;
    ++batch_->tries;
    if (batch_->tries > 1) tally_.retried += batch_->samples;
    next_deadline_ = kNever;
    return &*batch_;
}

void Sender::finish_batch() {
    if (batch_last_ < frames_.begin()->second.values.size()) {
        first_unsent_series_ = batch_last_;
    } else {
        first_unsent_series_ = 0;
        while (!frames_.empty() && frames_.begin()->first < batch_end_) erase_frame(frames_.begin());
    }
    drop_batch();
}

void Sender::drop_batch() {
    batch_.reset();
    batch_end_ = 0;
}

void Sender::on_answer(double now, const Answer& answer) {
    if (!in_flight_ || !batch_) return;
    in_flight_ = false;
    const std::size_t samples = batch_->samples;
    const bool answered = answer.how == Answer::How::answered;
    if (answered && answer.status / 100 == 2) {
        // A 2.0 receiver may write only some samples; it rejected the others and would reject them again.
        const std::uint64_t written =
            answer.written < 0
                ? samples
                : std::min<std::uint64_t>(samples, static_cast<std::uint64_t>(answer.written));
        tally_.sent += written;
        tally_.rejected += samples - written;
        ++tally_.accepted_batches;
        failures_ = 0;
        finish_batch();
        next_deadline_ =
            frames_.empty() ? kNever : now + static_cast<double>(samples) / catch_up_samples_per_s_;
        return;
    }
    if (answered && answer.status == 415 && batch_->protocol == Protocol::v2) {
        ++tally_.protocol_fallbacks;
        protocol_ = Protocol::v1;
        drop_batch();
        next_deadline_ = now;
        return;
    }
    if (answered && answer.status != 429 && answer.status / 100 == 4) {
        ++tally_.rejected_batches;
        tally_.rejected += samples;
        failures_ = 0;
        finish_batch();
        next_deadline_ =
            frames_.empty() ? kNever : now + static_cast<double>(samples) / catch_up_samples_per_s_;
        return;
    }
    ++(answered                            ? tally_.deferred_batches
       : answer.how == Answer::How::failed ? tally_.failed_batches
                                           : tally_.timed_out_batches);
    const double backoff =
        std::min(kMaxBackoffS, kInitialBackoffS * std::exp2(std::min(failures_, kMaxDoublings)));
    ++failures_;
    const double jittered = backoff * (1 - kJitterFraction + 2 * kJitterFraction * uniform());
    next_deadline_ = now + std::max(jittered, std::min(answer.retry_after_s, kMaxRetryAfterS));
    enforce_limit();
}

void Sender::on_receiver_changed(double now) {
    in_flight_ = false;
    failures_ = 0;
    protocol_ = configured_protocol_;
    if (batch_ && batch_->protocol != protocol_) drop_batch();
    next_deadline_ = frames_.empty() ? kNever : now;
}

void Sender::drop_all() {
    for (const auto& [number, frame] : frames_) tally_.stopped += frame.values.size();
    tally_.stopped -= first_unsent_series_;
    frames_.clear();
    for (auto& level : levels_) level.clear();
    bytes_ = 0;
    first_unsent_series_ = 0;
    in_flight_ = false;
    drop_batch();
    next_deadline_ = kNever;
}

}   // namespace slatejunction::remotewrite
