#include "discovery/endpoint_watch.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace slatejunction::discovery {
namespace {

// After a call that failed what the directory has to tell counts as told 6 s later, heard or not. So a
// watch that falls silent must be found out soon, and no call that follows a failure may wait for news: one
// that falls silent in turn would hide all that the directory has meanwhile.
constexpr int kWaitMs = 2000;           // how long a watch call waits for news
constexpr double kGrace = 0.8;          // s; over that, a silent directory's call is given up
constexpr int kAtOnceMs = 1;            // how long a call waits that follows a failure or a move
constexpr double kAtOnce = 0.8;         // s; until such a call's answer is whole
constexpr double kAtOnceSlowly = 2.0;   // s; the same, of each call after one that was given up
// s; of the time of a watch call, what is left for the answer of a directory that is slow. The call is
// given up as soon as any other: it waits for news the less.
constexpr double kGraceSlowly = 2.0;
constexpr int kWaitSlowlyMs = 800;
constexpr double kPromptly = 0.4;   // s; an answer that takes no longer comes from one that is not slow
static_assert(kWaitSlowlyMs / 1000.0 + kGraceSlowly <= kWaitMs / 1000.0 + kGrace);
constexpr double kDial = 0.8;   // s
// s; a directory that tells nothing but lists older than the one in force for so long counts anew
constexpr double kOlder = 2.5;
// s; where the directory is there and turns callers away: half of it to half as much again is waited.
constexpr double kFirstTurned = 0.2, kLongestTurned = 0.8, kTurnedSpread = 0.5;
constexpr double kFirstPause = 0.05, kLongestPause = 0.5;   // s; before asking again after a failure
// s; the longest such pause after a call that was not taken, or not heard of again: the agent is on this
// machine, and what it gets at the return of discovery counts at once.
constexpr double kLongestUnheard = 0.1;
constexpr double kTold = 6.0;   // s; the rule's figure

}   // namespace

double EndpointWatch::notification_bound_s() {
    // What is out when the directory comes to have news: a watch call that has just fallen silent, or a
    // call after a failure that it can't answer any more. After one that was given up late the next has the
    // shorter time.
    constexpr double kLost = std::max(kWaitMs / 1000.0 + kGrace, kDial + kAtOnceSlowly);
    constexpr double kPause = std::max(kLongestPause, kLongestTurned * (1 + kTurnedSpread));
    constexpr double kNext = kDial + kAtOnce;   // the call that brings it
    // One that counts anew is asked again and again by calls that it answers.
    static_assert(kLost + kPause + kNext < kTold - 0.1);   // the loop's own delays
    static_assert(kOlder + kLongestPause + kNext < kTold - 0.1);
    return std::max(kLost + kPause, kOlder + kLongestPause) + kNext;
}

EndpointWatch::EndpointWatch(WatchCallbacks& host, net::Timers& timers, const UnixTimeConverter& clock,
                             std::string authority, std::uint64_t seed)
    : host_(host),
      clock_(clock),
      timer_(timers, [this] { overdue(); }),
      authority_(std::move(authority)),
      parser_(http::Parser::Kind::response, false, kMaxListBytes),
      random_(static_cast<std::minstd_rand::result_type>(seed ^ (seed >> 32)) | 1) {}

void EndpointWatch::attach(net::Transport& transport, std::function<bool()> dial) {
    transport_ = &transport;
    dial_ = std::move(dial);
}

void EndpointWatch::start(std::optional<std::int64_t> known_revision, bool moved) {
    revision_ = newest_ = known_revision;
    at_once_ = moved;
    patient_ = slow_ = false;
    dial();
}

void EndpointWatch::poll_now() {
    if (state_ == State::waiting && turned_away_ == 0) dial();
}

void EndpointWatch::dial() {
    buffer_.clear();
    parser_.reset();
    state_ = State::dialling;
    timer_.arm(net::now() + kDial);
    if (!dial_()) fail("it can't be dialled", kLongestUnheard);
}

void EndpointWatch::on_open() { ask(); }

int EndpointWatch::wait_ms() const {
    if (at_once_) return kAtOnceMs;
    return slow_ ? kWaitSlowlyMs : kWaitMs;
}

// s; until the whole answer of the next call.
double EndpointWatch::answer_within() const {
    if (!revision_ || at_once_) return patient_ ? kAtOnceSlowly : kAtOnce;
    return wait_ms() / 1000.0 + (slow_ ? kGraceSlowly : kGrace);
}

// What the answer that has come tells of the time that the directory takes. Of a watch call only one that
// came after its wait does: news come within it.
void EndpointWatch::learn_pace() {
    const bool watched = revision_ && !at_once_;
    const double took = net::now() - asked_at_ - (watched ? wait_ms() / 1000.0 : 0);
    patient_ = false;
    if (!watched || took > 0) slow_ = took > kPromptly;
}

// The next call follows each answer at once: the directory ends a watch that pauses for 200 ms.
void EndpointWatch::ask() {
    std::array<char, 96> query{};
    if (revision_)
        std::snprintf(query.data(), query.size(), "?index=%lld&wait=%d", static_cast<long long>(*revision_),
                      wait_ms());
    const std::array<std::string_view, 5> parts{"GET /registry/instances", query.data(),
                                                " HTTP/1.1\r\nHost: ", authority_, "\r\n\r\n"};
    state_ = State::asking;
    asked_at_ = net::now();
    timer_.arm(asked_at_ + answer_within());
    if (!transport_->send(parts)) fail("the connection broke");
}

void EndpointWatch::on_bytes(std::size_t size) {
    buffer_.commit(size);
    if (state_ != State::asking) return fail("an answer to no call");
    const http::Step step = parser_.feed(buffer_);
    if (step == http::Step::more) return;
    if (step != http::Step::done) return fail("an answer that can't be read");
    take();
}

void EndpointWatch::take() {
    if (parser_.head().status == 503 || parser_.head().status == 429) return turned_away();
    if (parser_.head().status != 200) return fail("an answer other than 200");
    rapidjson::Document json;
    parse_json(parser_.body(), json);
    EndpointList listing;
    int broken = 0;
    if (json.HasParseError() || !read_endpoint_list(json, clock_, listing, broken)) {
        revision_.reset();   // what it meant is lost: the whole list tells it again
        return fail("a list that can't be read");
    }
    if (older(listing)) {
        leave_by(listing);
        return fail("a list older than the one in force was left out");
    }
    const bool reusable = parser_.head().keep_alive && parser_.used() == buffer_.view().size();
    learn_pace();
    revision_ = newest_ = listing.revision;
    heard_at_ = net::now();
    failures_ = turned_away_ = 0;
    at_once_ = false;
    parser_.reset();
    buffer_ = http::Buffer();   // the room of a long list is not kept
    if (reusable) {
        ask();
    } else {
        transport_->close();
        dial();
    }
    host_.on_endpoint_list(listing);
    if (broken > 0) host_.on_watch_lost("entries that can't be read were left out");
}

// Guards against providers that come back from the dead: after a move, or behind one that can't be read, a
// directory may hold less than is known here. One that stays behind has begun its count anew: then its
// whole list is asked for and taken.
bool EndpointWatch::older(const EndpointList& listing) {
    const double now = net::now();
    if (!newest_ || *listing.revision >= *newest_) {
        older_since_ = 0;
        return false;
    }
    if (older_since_ == 0) older_since_ = now;
    revision_.reset();   // its next list is to be whole, as changes since another count tell nothing
    if (now - older_since_ < kOlder) return true;
    const bool whole = listing.update.kind == slatejunction::EndpointUpdateKind::snapshot;
    if (whole) older_since_ = 0;
    return !whole;
}

// Guards the rule on drains: who leaves by a list that is left out is told to leave all the same. Harm: a
// provider that came back since goes unused until the list is taken, which is whole then.
void EndpointWatch::leave_by(EndpointList& listing) {
    EndpointList leaving;
    leaving.update.kind = slatejunction::EndpointUpdateKind::delta;
    for (std::size_t i = 0; i < listing.update.endpoints.size(); ++i) {
        if (listing.update.endpoints[i].state == slatejunction::EndpointState::serving) continue;
        leaving.update.endpoints.push_back(std::move(listing.update.endpoints[i]));
        leaving.addresses.push_back(std::move(listing.addresses[i]));
        leaving.up_since_ms.push_back(listing.up_since_ms[i]);
    }
    if (!leaving.update.endpoints.empty()) host_.on_endpoint_list(leaving);
}

void EndpointWatch::on_end(bool) {
    if (state_ == State::asking && parser_.feed(buffer_, true) == http::Step::done) return take();
    fail("the connection ended", state_ == State::dialling ? kLongestUnheard : kLongestPause);
}

void EndpointWatch::overdue() {
    if (state_ == State::waiting) return dial();
    const bool watched = revision_ && !at_once_;
    if (state_ == State::asking && !watched) patient_ = !patient_;
    fail("no answer in time", kLongestUnheard);
}

// Guards against a release in which most ingresses ask at once, and whom a busy directory turns away ask it
// again in step. Harm: a list may come that much later; the last one serves meanwhile.
void EndpointWatch::turned_away() {
    const double pause = std::min(kLongestTurned, kFirstTurned * (1 << std::min(turned_away_, 10)));
    fail("it turns callers away");
    ++turned_away_;
    std::uniform_real_distribution<double> spread(1 - kTurnedSpread, 1 + kTurnedSpread);
    timer_.arm(net::now() + pause * spread(random_));
}

void EndpointWatch::fail(const char* why) { fail(why, kLongestPause); }

void EndpointWatch::fail(const char* why, double longest_pause_s) {
    transport_->close();
    state_ = State::waiting;
    timer_.arm(net::now() + std::min(longest_pause_s, kFirstPause * (1 << std::min(failures_, 5))));
    ++failures_;
    at_once_ = true;
    host_.on_watch_lost(why);
}

}   // namespace slatejunction::discovery
