#include "discovery/endpoint_watch.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace slatejunction::discovery {
namespace {

// A change counts as notified 6 s after it, whether or not it has arrived. So a silent poll must
// be detected soon, and no poll after a failure may wait for a change: it could be silent in turn.
constexpr int kWatchWaitMs = 2000;              // a poll waits so long for a change
constexpr double kWatchGraceS = 0.8;            // after the wait, until the whole answer
constexpr int kNoWaitMs = 1;                    // the same after a failure or a move
constexpr double kNoWaitTimeoutS = 0.8;         // until the whole answer to such a poll
constexpr double kNoWaitLongerTimeoutS = 2.0;   // the same after one that timed out
// A slow discovery service gets more time for its answer; the poll waits less, and ends as soon as any
// other.
constexpr double kSlowWatchGraceS = 2.0;
constexpr int kSlowWatchWaitMs = 800;
constexpr double kPromptAnswerS = 0.4;   // a longer answer time means slow
static_assert(kSlowWatchWaitMs / 1000.0 + kSlowWatchGraceS <= kWatchWaitMs / 1000.0 + kWatchGraceS);
constexpr double kDialTimeoutS = 0.8;
// After so long with nothing but older lists their revisions are taken to have begun anew.
constexpr double kMaxStaleListsS = 2.5;
// After a 429 or 503; with jitter from 0.5 to 1.5 times.
constexpr double kFirstRejectedBackoffS = 0.2, kMaxRejectedBackoffS = 0.8, kRejectedBackoffJitter = 0.5;
constexpr double kFirstBackoffS = 0.05, kMaxBackoffS = 0.5;   // after another failure
// After a failed dial or a timeout: the discovery agent is on this machine, and what it has counts at once.
constexpr double kMaxUnansweredBackoffS = 0.1;
constexpr double kNotificationRuleS = 6.0;

}   // namespace

double EndpointWatch::notification_bound_s() {
    // The poll that is out when the change comes is silent: detected at the latest after this.
    constexpr double kDetectionS =
        std::max(kWatchWaitMs / 1000.0 + kWatchGraceS, kDialTimeoutS + kNoWaitLongerTimeoutS);
    constexpr double kBackoffS =
        std::max(kMaxBackoffS, kMaxRejectedBackoffS * (1 + kRejectedBackoffJitter));
    constexpr double kNextPollS = kDialTimeoutS + kNoWaitTimeoutS;   // brings the change
    // Revisions that begin anew: polls are answered meanwhile.
    static_assert(kDetectionS + kBackoffS + kNextPollS <
                  kNotificationRuleS - 0.1);   // for delays of the loop
    static_assert(kMaxStaleListsS + kMaxBackoffS + kNextPollS < kNotificationRuleS - 0.1);
    return std::max(kDetectionS + kBackoffS, kMaxStaleListsS + kMaxBackoffS) + kNextPollS;
}

EndpointWatch::EndpointWatch(WatchCallbacks& host, net::Timers& timers, const UnixTimeConverter& clock,
                             std::string authority, std::uint64_t seed)
    : callbacks_(host),
      clock_(clock),
      timer_(timers, [this] { on_timer(); }),
      authority_(std::move(authority)),
      parser_(http::Parser::Kind::response, false, kMaxListBytes),
      random_(static_cast<std::minstd_rand::result_type>(seed ^ (seed >> 32)) | 1) {}

void EndpointWatch::attach(net::Transport& transport, std::function<bool()> dial) {
    transport_ = &transport;
    dial_ = std::move(dial);
}

void EndpointWatch::start(std::optional<std::int64_t> known_revision, bool moved) {
    revision_ = known_revision;
    newest_revision_ = known_revision;
    no_wait_ = moved;
    longer_timeout_ = false;
    discovery_slow_ = false;
    dial();
}

void EndpointWatch::poll_now() {
    if (state_ == State::waiting && consecutive_rejections_ == 0) dial();
}

void EndpointWatch::dial() {
    buffer_.clear();
    parser_.reset();
    state_ = State::dialling;
    timer_.arm(net::now() + kDialTimeoutS);
    if (!dial_()) fail("it can't be dialled", kMaxUnansweredBackoffS);
}

void EndpointWatch::on_open() { send_poll(); }

int EndpointWatch::wait_ms() const {
    if (no_wait_) return kNoWaitMs;
    return discovery_slow_ ? kSlowWatchWaitMs : kWatchWaitMs;
}

// s; from the next poll to its whole answer.
double EndpointWatch::answer_timeout_s() const {
    if (!revision_ || no_wait_) return longer_timeout_ ? kNoWaitLongerTimeoutS : kNoWaitTimeoutS;
    return wait_ms() / 1000.0 + (discovery_slow_ ? kSlowWatchGraceS : kWatchGraceS);
}

// By the answer that has come. That of a watch poll counts only after its wait: a change may come within
// it.
void EndpointWatch::estimate_pace() {
    const bool watched = revision_ && !no_wait_;
    const double answer_time_s = net::now() - poll_sent_at_ - (watched ? wait_ms() / 1000.0 : 0);
    longer_timeout_ = false;
    if (!watched || answer_time_s > 0) discovery_slow_ = answer_time_s > kPromptAnswerS;
}

// Follows each answer at once: discovery ends a watch that pauses for 200 ms.
void EndpointWatch::send_poll() {
    std::array<char, 96> query{};
    if (revision_)
        std::snprintf(query.data(), query.size(), "?index=%lld&wait=%d", static_cast<long long>(*revision_),
                      wait_ms());
    const std::array<std::string_view, 5> parts{"GET /registry/instances", query.data(),
                                                " HTTP/1.1\r\nHost: ", authority_, "\r\n\r\n"};
    state_ = State::polling;
    poll_sent_at_ = net::now();
    timer_.arm(poll_sent_at_ + answer_timeout_s());
    if (!transport_->send(parts)) fail("the connection broke");
}

void EndpointWatch::on_bytes(std::size_t size) {
    buffer_.commit(size);
    if (state_ != State::polling) return fail("an answer to no call");
    const http::ParseResult step = parser_.feed(buffer_);
    if (step == http::ParseResult::need_more) return;
    if (step != http::ParseResult::done) return fail("an answer that can't be read");
    handle_answer();
}

void EndpointWatch::handle_answer() {
    if (parser_.head().status == 503 || parser_.head().status == 429) return on_rejected();
    if (parser_.head().status != 200) return fail("an answer other than 200");
    rapidjson::Document json;
    parse_json(parser_.body(), json);
    EndpointList endpoint_list;
    int broken = 0;
    if (json.HasParseError() || !read_endpoint_list(json, clock_, endpoint_list, broken)) {
        revision_.reset();   // the next poll gets a snapshot
        return fail("a list that can't be read");
    }
    if (is_stale(endpoint_list)) {
        apply_departures(endpoint_list);
        return fail("a list older than the one in force was left out");
    }
    const bool reusable = parser_.head().keep_alive && parser_.used() == buffer_.view().size();
    estimate_pace();
    revision_ = endpoint_list.revision;
    newest_revision_ = endpoint_list.revision;
    last_answer_at_ = net::now();
    failures_ = 0;
    consecutive_rejections_ = 0;
    no_wait_ = false;
    parser_.reset();
    buffer_ = http::Buffer();   // frees the memory of a long list
    if (reusable) {
        send_poll();
    } else {
        transport_->close();
        dial();
    }
    callbacks_.on_endpoint_list(endpoint_list);
    if (broken > 0) callbacks_.on_watch_lost("entries that can't be read were left out");
}

// An older list would bring removed backends back. If discovery stays behind for kMaxStaleListsS, its
// revisions have begun anew, and its next snapshot is applied.
bool EndpointWatch::is_stale(const EndpointList& endpoint_list) {
    const double now = net::now();
    if (!newest_revision_ || *endpoint_list.revision >= *newest_revision_) {
        stale_lists_since_ = 0;
        return false;
    }
    if (stale_lists_since_ == 0) stale_lists_since_ = now;
    revision_.reset();   // a delta to another count of revisions means nothing
    if (now - stale_lists_since_ < kMaxStaleListsS) return true;
    const bool whole = endpoint_list.update.kind == slatejunction::EndpointUpdateKind::snapshot;
    if (whole) stale_lists_since_ = 0;
    return !whole;
}

// Backends that a stale list names as draining or removed get nothing new all the same; a snapshot follows.
void EndpointWatch::apply_departures(EndpointList& endpoint_list) {
    EndpointList departures;
    departures.update.kind = slatejunction::EndpointUpdateKind::delta;
    for (std::size_t i = 0; i < endpoint_list.update.endpoints.size(); ++i) {
        if (endpoint_list.update.endpoints[i].state == slatejunction::EndpointState::serving) continue;
        departures.update.endpoints.push_back(std::move(endpoint_list.update.endpoints[i]));
        departures.addresses.push_back(std::move(endpoint_list.addresses[i]));
        departures.up_since_ms.push_back(endpoint_list.up_since_ms[i]);
    }
    if (!departures.update.endpoints.empty()) callbacks_.on_endpoint_list(departures);
}

void EndpointWatch::on_end(bool) {
    if (state_ == State::polling && parser_.feed(buffer_, true) == http::ParseResult::done)
        return handle_answer();
    fail("the connection ended", state_ == State::dialling ? kMaxUnansweredBackoffS : kMaxBackoffS);
}

void EndpointWatch::on_timer() {
    if (state_ == State::waiting) return dial();
    const bool watched = revision_ && !no_wait_;
    if (state_ == State::polling && !watched) longer_timeout_ = !longer_timeout_;
    fail("no answer in time", kMaxUnansweredBackoffS);
}

// With jitter, so that many ingresses do not poll a busy discovery service in step.
void EndpointWatch::on_rejected() {
    const double backoff_s = std::min(
        kMaxRejectedBackoffS, kFirstRejectedBackoffS * (1 << std::min(consecutive_rejections_, 10)));
    fail("it turns callers away");
    ++consecutive_rejections_;
    std::uniform_real_distribution<double> spread(1 - kRejectedBackoffJitter, 1 + kRejectedBackoffJitter);
    timer_.arm(net::now() + backoff_s * spread(random_));
}

void EndpointWatch::fail(const char* why) { fail(why, kMaxBackoffS); }

void EndpointWatch::fail(const char* why, double max_backoff_s) {
    transport_->close();
    state_ = State::waiting;
    timer_.arm(net::now() + std::min(max_backoff_s, kFirstBackoffS * (1 << std::min(failures_, 5))));
    ++failures_;
    no_wait_ = true;
    callbacks_.on_watch_lost(why);
}

}   // namespace slatejunction::discovery
