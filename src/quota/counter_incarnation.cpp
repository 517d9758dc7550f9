#include "quota/counter_incarnation.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstring>

#include "quota/shared_quota.hpp"

namespace slatejunction::quota {
namespace {

constexpr double kNear = 0.5;   // totals are whole numbers

}   // namespace

double sentinel_within_s(double call_s, double way_s) { return kSentinelEvery + 2 * call_s + 2 * way_s; }

std::string write(const IncarnationMessage& message) {
    char text[64];
    const int size = std::snprintf(text, sizeof text, "%d %u %llu", static_cast<int>(message.kind),
                                   message.part, static_cast<unsigned long long>(message.epoch));
    return {text, static_cast<std::size_t>(size)};
}

bool read(std::string_view bytes, IncarnationMessage& message) {
    if (bytes.size() > 60) return false;
    int kind = 0, used = 0;
    unsigned long long epoch = 0;
    const std::string text(bytes);
    if (std::sscanf(text.c_str(), "%d %u %llu%n", &kind, &message.part, &epoch, &used) != 3 ||
        static_cast<std::size_t>(used) != text.size() || kind < 1 || kind > 2)
        return false;
    message.kind = static_cast<IncarnationMessage::Kind>(kind);
    message.epoch = epoch;
    return true;
}

void CounterIncarnation::on_leadership_change(double now, bool on) {
    conducts_ = on;
    for (Part& part : parts_) part.read_at = part.tell_at = 0, part.doubt = false;
    on_timer(now);
}

void CounterIncarnation::on_lost(double now, unsigned number) {
    Part& part = parts_[number];
    part.told_here = true;   // the bank knows
    find(now, number);
}

// Something is gone that was there.
void CounterIncarnation::find(double now, unsigned number) {
    Part& part = parts_[number];
    part.found = true;
    if (conducts_) {
        part.doubt = true;
        read_now(now, number);
        return;
    }
    posts_.push_back({false, {IncarnationMessage::Kind::found, number, part.epoch}});
    part.told_at = now;
    due_ = std::min(due_, now + kSentinelAgain);
}

void CounterIncarnation::read_now(double now, unsigned number) {
    parts_[number].read_at = now;
    adds_.push_back({number, generation_of(now), 0});
}

void CounterIncarnation::on_read(double now, unsigned number, std::int64_t generation, double total) {
    Part& part = parts_[number];
    if (generation < part.generation) return;   // late
    // Lower than it was: what was there is gone. A generation's name that was never seen set tells nothing.
    const bool gone = generation == part.generation && total < part.total - kNear;
    part.generation = generation;
    part.total = total;
    if (!conducts_) {
        if (gone && !part.found) find(now, number);
        return;
    }
    if (total < kNear) adds_.push_back({number, generation, 1});
    if (gone) return raise(now, number);
    // Whoever has found a loss was wrong, or it is the one that was told already.
    if (!std::exchange(part.doubt, false)) return;
    ++not_so_;
    part.found = part.told_here = false;
    tell(now, number);
}

void CounterIncarnation::raise(double now, unsigned number) {
    Part& part = parts_[number];
    ++part.epoch;
    ++raised_;
    if (!part.told_here) lost_.push_back(number);
    part.found = part.told_here = part.doubt = false;
    tell(now, number);
}

void CounterIncarnation::tell(double now, unsigned number) {
    parts_[number].tell_at = now + kSentinelTell;
    posts_.push_back({true, {IncarnationMessage::Kind::epoch, number, parts_[number].epoch}});
}

// The fleet counts more losses than this one did.
void CounterIncarnation::learn(double now, unsigned number, std::uint64_t epoch) {
    Part& part = parts_[number];
    if (epoch <= part.epoch) return;
    // The first that is heard is no loss: it may have been long ago, before this process began.
    if (part.epoch != 0 && now >= part.fresh_until && !part.told_here) lost_.push_back(number);
    part.epoch = epoch;
    part.found = part.told_here = false;
}

void CounterIncarnation::on_message(double now, const IncarnationMessage& message) {
    if (message.part >= parts_.size()) return;
    Part& part = parts_[message.part];
    if (message.kind == IncarnationMessage::Kind::found) {
        if (!conducts_) return;
        if (message.epoch < part.epoch) {   // it has missed the last one
            tell(now, message.part);
        } else if (!part.doubt) {
            learn(now, message.part, message.epoch);
            part.doubt = true;
            read_now(now, message.part);
        }
        return;
    }
    if (message.epoch < part.epoch && !conducts_)   // a new conductor, which does not know of the last one
        posts_.push_back({false, {IncarnationMessage::Kind::epoch, message.part, part.epoch}});
    if (message.epoch == part.epoch) part.found = part.told_here = false;   // the conductor has looked
    learn(now, message.part, message.epoch);
}

void CounterIncarnation::on_timer(double now) {
    due_ = now + kSentinelEvery;
    for (unsigned number = 0; number < parts_.size(); ++number) {
        Part& part = parts_[number];
        if (now >= part.read_at + kSentinelEvery) read_now(now, number);
        if (conducts_) {
            if (part.epoch == 0) part.epoch = 1, part.fresh_until = now + 2 * kSentinelTell;
            if (now >= part.tell_at) tell(now, number);
        } else if (part.found && now >= part.told_at + kSentinelAgain) {
            part.told_at = now;
            posts_.push_back({false, {IncarnationMessage::Kind::found, number, part.epoch}});
        }
        if (part.found && !conducts_) due_ = std::min(due_, part.told_at + kSentinelAgain);
        due_ = std::min(due_, part.read_at + kSentinelEvery);
    }
}

}   // namespace slatejunction::quota
