#include "remotewrite/sender.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace slatejunction::remotewrite {
namespace {
constexpr double kJitter = 0.3;   // of a wait, to either side: ingresses must not come back in step
constexpr double kNever = std::numeric_limits<double>::infinity();
}   // namespace

Sender::Sender(const Settings& settings, std::uint64_t seed)
    : wanted_(settings.as()), protocol_(settings.as()), random_(seed) {
    configure(settings);
}

void Sender::configure(const Settings& settings) {
    limit_ = static_cast<std::size_t>(settings.backlog_mb) * 1024 * 1024;
    batch_samples_ = static_cast<std::size_t>(settings.batch_samples);
    pace_ = static_cast<double>(settings.catch_up_samples_per_s);
    if (settings.as() != wanted_) wanted_ = protocol_ = settings.as();
    fit();
}

// splitmix64, as in the module: the same on every platform.
double Sender::unit() {
    std::uint64_t z = (random_ += 0x9e3779b97f4a7c15ULL);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return static_cast<double>((z ^ (z >> 31)) >> 11) * 0x1.0p-53;
}

void Sender::restore(Frame frame) {
    next_number_ = std::max(next_number_, frame.number + 1);
    bytes_ += frame.bytes();
    if (!frames_.empty() && frames_.back().layout != frame.layout) frames_.back().keep = true;
    frames_.push_back(std::move(frame));
    fit();
}

void Sender::add(Frame frame) {
    frame.number = next_number_++;
    if (!frames_.empty() && frames_.back().layout != frame.layout) frames_.back().keep = true;
    bytes_ += frame.bytes();
    frames_.push_back(std::move(frame));
    fit();
    if (wake_at_ == kNever) wake_at_ = 0;
}

// Guards the memory of an ingress whose receiver is gone. What was given to a batch is not touched: the
// same bytes have to be sent again.
void Sender::fit() {
    while (bytes_ > limit_ && thin()) {
    }
    while (bytes_ > limit_ && frames_.size() > batch_frames_ + 1) {
        const auto oldest = frames_.begin() + static_cast<std::ptrdiff_t>(batch_frames_);
        tally_.backlog_full += oldest->values.size() - (batch_frames_ == 0 ? offset_ : 0);
        if (batch_frames_ == 0) offset_ = 0;
        bytes_ -= oldest->bytes();
        frames_.erase(oldest);
    }
}

// Takes every second one out of the older half of the frames of the lowest level, so that the oldest get
// coarser first and all of the time stays covered. The newest frame and ends of series stay.
bool Sender::thin() {
    const std::size_t from = batch_frames_ + (batch_frames_ == 0 && offset_ > 0 ? 1 : 0);
    if (frames_.size() < from + 3) return false;
    int lowest = kThinMost;
    for (std::size_t i = from; i + 1 < frames_.size(); ++i)
        if (!frames_[i].keep) lowest = std::min(lowest, frames_[i].level);
    if (lowest >= kThinMost) return false;
    std::size_t of_level = 0;
    for (std::size_t i = from; i + 1 < frames_.size(); ++i) of_level += frames_[i].level == lowest;
    const std::size_t touch = std::max<std::size_t>(2, of_level / 2);
    std::deque<Frame> kept;
    std::size_t seen = 0, gone = 0;
    for (std::size_t i = 0; i < frames_.size(); ++i) {
        Frame& frame = frames_[i];
        const bool newest = i + 1 == frames_.size();
        if (i >= from && !newest && frame.level == lowest && seen < touch) {
            ++seen;
            if (seen % 2 == 1 && !frame.keep) {   // its neighbour stands for both
                tally_.thinned += frame.values.size();
                bytes_ -= frame.bytes();
                ++gone;
                continue;
            }
            ++frame.level;
        }
        kept.push_back(std::move(frame));
    }
    frames_ = std::move(kept);
    return gone > 0 || seen > 0;
}

void Sender::make_batch() {
    const Frame& first = frames_.front();
    const std::size_t width = first.values.size();
    std::vector<const Frame*> rows{&first};
    batch_last_ = std::min(width, offset_ + batch_samples_);
    if (offset_ == 0 && batch_last_ == width)
        while (rows.size() < frames_.size() && (rows.size() + 1) * width <= batch_samples_ &&
               frames_[rows.size()].layout == first.layout)
            rows.push_back(&frames_[rows.size()]);
    batch_frames_ = rows.size();
    batch_.emplace();
    batch_->protocol = protocol_;
    batch_->samples = rows.size() * (batch_last_ - offset_);
    batch_->body = encode(rows, offset_, batch_last_, protocol_);
}

const Batch* Sender::next(double now) {
    if (out_ || now < wake_at_) return nullptr;
    if (!batch_) {
        if (frames_.empty()) {
            wake_at_ = kNever;
            return nullptr;
        }
        make_batch();
    }
    out_ = true;
    if (++batch_->tries > 1) tally_.retried += batch_->samples;
    wake_at_ = kNever;
    return &*batch_;
}

void Sender::finish_batch() {
    if (batch_last_ < frames_.front().values.size()) {
        offset_ = batch_last_;
    } else {
        offset_ = 0;
        for (std::size_t i = 0; i < batch_frames_; ++i) {
            bytes_ -= frames_.front().bytes();
            frames_.pop_front();
        }
    }
    drop_batch();
}

void Sender::drop_batch() {
    batch_.reset();
    batch_frames_ = 0;
}

void Sender::ended(double now, const Answer& answer) {
    if (!out_ || !batch_) return;
    out_ = false;
    const std::size_t samples = batch_->samples;
    const bool answered = answer.how == Answer::How::answered;
    if (answered && answer.status / 100 == 2) {
        // A receiver may write a part and say so; the rest was turned down and won't be taken later either.
        const std::uint64_t written =
            answer.written < 0
                ? samples
                : std::min<std::uint64_t>(samples, static_cast<std::uint64_t>(answer.written));
        tally_.sent += written;
        tally_.rejected += samples - written;
        ++tally_.taken;
        failures_ = 0;
        finish_batch();
        wake_at_ = frames_.empty() ? kNever : now + static_cast<double>(samples) / pace_;
        return;
    }
    if (answered && answer.status == 415 && batch_->protocol == Protocol::v2) {
        ++tally_.fallen_back;
        protocol_ = Protocol::v1;
        drop_batch();
        wake_at_ = now;
        return;
    }
    if (answered && answer.status != 429 && answer.status / 100 == 4) {
        ++tally_.turned_down;
        tally_.rejected += samples;
        failures_ = 0;
        finish_batch();
        wake_at_ = frames_.empty() ? kNever : now + static_cast<double>(samples) / pace_;
        return;
    }
    ++(answered ? tally_.put_off : answer.how == Answer::How::broke ? tally_.broken : tally_.timed_out);
    const double backoff = std::min(kBackoffMost, kBackoffFirst * std::exp2(std::min(failures_++, 16)));
    const double jittered = backoff * (1 - kJitter + 2 * kJitter * unit());
    wake_at_ = now + std::max(jittered, std::min(answer.retry_after_s, kRetryAfterMost));
    fit();
}

void Sender::moved(double now) {
    out_ = false;
    failures_ = 0;
    protocol_ = wanted_;
    if (batch_ && batch_->protocol != protocol_) drop_batch();
    wake_at_ = frames_.empty() ? kNever : now;
}

void Sender::give_up() {
    for (const Frame& frame : frames_) tally_.stopped += frame.values.size();
    tally_.stopped -= offset_;
    frames_.clear();
    bytes_ = offset_ = 0;
    out_ = false;
    drop_batch();
    wake_at_ = kNever;
}

}   // namespace slatejunction::remotewrite
