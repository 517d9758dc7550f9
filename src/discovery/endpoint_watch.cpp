#include "discovery/endpoint_watch.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace slatejunction::discovery {
namespace {

// An ingress counts as notified of a change 6 s after it, whether or not the change has arrived. So an
// unanswered poll must be detected early, and a poll after a failure must not wait for a change, as it may
// go unanswered too.
constexpr int kWatchWaitMs = 2000;     // how long a poll waits for a change
constexpr double kWatchGraceS = 0.8;   // from the end of the wait to the whole response
constexpr int kNoWaitMs = 1;           // the wait of a poll after a failure or a move
// From such a poll to the whole response, and the same after one that timed out.
constexpr double kNoWaitTimeoutS = 0.8;
constexpr double kNoWaitLongerTimeoutS = 2.0;
// A slow discovery service gets more time to respond. The poll waits less, so that it does not last longer
// than any other.
constexpr double kSlowWatchGraceS = 2.0;
constexpr int kSlowWatchWaitMs = 800;
constexpr double kMaxPromptResponseS = 0.4;   // discovery is slow if its response takes longer
static_assert(kSlowWatchWaitMs / 1000.0 + kSlowWatchGraceS <= kWatchWaitMs / 1000.0 + kWatchGraceS);
constexpr double kDialTimeoutS = 0.8;
// After this time with only older lists, discovery is taken to have restarted its revisions.
constexpr double kMaxStaleListsS = 2.5;
// The backoff after a 429 or 503, multiplied by a random factor from 0.5 to 1.5.
constexpr double kFirstRejectedBackoffS = 0.2, kMaxRejectedBackoffS = 0.8, kRejectedBackoffJitter = 0.5;
// The backoff after other failures.
constexpr double kFirstBackoffS = 0.05, kMaxBackoffS = 0.5;
// The maximum after a failed dial or a timeout. It is short, as the discovery agent is on this machine and
// its changes count as soon as it has them.
constexpr double kMaxUnansweredBackoffS = 0.1;
constexpr double kMaxNotificationS = 6.0;

}   // namespace

double EndpointWatch::notification_bound_s() {
    // The longest time to detect that the poll in flight at the time of the change is not answered.
    constexpr double kDetectionS =
        std::max(kWatchWaitMs / 1000.0 + kWatchGraceS, kDialTimeoutS + kNoWaitLongerTimeoutS);
    constexpr double kBackoffS =
        std::max(kMaxBackoffS, kMaxRejectedBackoffS * (1 + kRejectedBackoffJitter));
    // The next poll returns the change.
    constexpr double kNextPollS = kDialTimeoutS + kNoWaitTimeoutS;
    // 0.1 s is left for delays of the event loop. The second bound is that of restarted revisions, where
    // polls are answered.
    static_assert(kDetectionS + kBackoffS + kNextPollS < kMaxNotificationS - 0.1);
    static_assert(kMaxStaleListsS + kMaxBackoffS + kNextPollS < kMaxNotificationS - 0.1);
    return std::max(kDetectionS + kBackoffS, kMaxStaleListsS + kMaxBackoffS) + kNextPollS;
}

EndpointWatch::EndpointWatch(WatchCallbacks& callbacks, net::Timers& timers, const UnixTimeConverter& clock,
                             std::string authority, std::uint64_t seed)
    : callbacks_(callbacks),
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
    if (!dial_()) fail("cannot connect", kMaxUnansweredBackoffS);
}

void EndpointWatch::on_open() { send_poll(); }

int EndpointWatch::wait_ms() const {
    if (no_wait_) return kNoWaitMs;
    return discovery_slow_ ? kSlowWatchWaitMs : kWatchWaitMs;
}

// From the next poll to its whole response, in s.
double EndpointWatch::response_timeout_s() const {
    if (!revision_ || no_wait_) return longer_timeout_ ? kNoWaitLongerTimeoutS : kNoWaitTimeoutS;
    return wait_ms() / 1000.0 + (discovery_slow_ ? kSlowWatchGraceS : kWatchGraceS);
}

// Determines from the response time of the last poll whether discovery is slow. The response to a poll that
// waits for a change counts only if it came after the wait, as a change may end the wait early.
void EndpointWatch::update_timeouts() {
    const bool waited_for_change = revision_ && !no_wait_;
    const double response_time_s =
        net::now() - poll_sent_at_ - (waited_for_change ? wait_ms() / 1000.0 : 0);
    longer_timeout_ = false;
    if (!waited_for_change || response_time_s > 0) discovery_slow_ = response_time_s > kMaxPromptResponseS;
}

// Called immediately after each response, as discovery ends a watch that pauses for 200 ms.
void EndpointWatch::send_poll() {
    std::array<char, 96> query{};
    if (revision_)
        std::snprintf(query.data(), query.size(), "?index=%lld&wait=%d", static_cast<long long>(*revision_),
                      wait_ms());
    const std::array<std::string_view, 5> parts{"GET /registry/instances", query.data(),
                                                " HTTP/1.1\r\nHost: ", authority_, "\r\n\r\n"};
    state_ = State::polling;
    poll_sent_at_ = net::now();
    timer_.arm(poll_sent_at_ + response_timeout_s());
    if (!transport_->send(parts)) fail("connection broken while sending a poll");
}

void EndpointWatch::on_bytes(std::size_t size) {
    buffer_.commit(size);
    if (state_ != State::polling) return fail("unexpected bytes without a poll in flight");
    const http::ParseResult result = parser_.feed(buffer_);
    if (result == http::ParseResult::need_more) return;
    if (result != http::ParseResult::done) return fail("malformed HTTP response");
    handle_response();
}

void EndpointWatch::handle_response() {
    if (parser_.head().status == 503 || parser_.head().status == 429) return on_rejected();
    if (parser_.head().status != 200) return fail("response status is not 200");
    rapidjson::Document json;
    parse_json(parser_.body(), json);
    EndpointList endpoint_list;
    int invalid_entries = 0;
    if (json.HasParseError() || !read_endpoint_list(json, clock_, endpoint_list, invalid_entries)) {
        revision_.reset();   // so that the next poll requests a snapshot
        return fail("malformed endpoint list");
    }
    if (is_stale(endpoint_list)) {
        apply_removals(endpoint_list);
        return fail(
            "endpoint list older than the current one ignored, except for draining and removed backends");
    }
    const bool reusable = parser_.head().keep_alive && parser_.used() == buffer_.view().size();
    update_timeouts();
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
    if (invalid_entries > 0) callbacks_.on_watch_lost("invalid entries of the endpoint list ignored");
}

// Returns whether the list must not be applied, as it is older than the current one and would restore
// removed backends. If discovery returns only older lists for kMaxStaleListsS, it is taken to have
// restarted its revisions, and its next snapshot is applied.
bool EndpointWatch::is_stale(const EndpointList& endpoint_list) {
    const double now = net::now();
    if (!newest_revision_ || *endpoint_list.revision >= *newest_revision_) {
        stale_lists_since_ = 0;
        return false;
    }
    if (stale_lists_since_ == 0) stale_lists_since_ = now;
    revision_.reset();   // as a delta to another sequence of revisions is meaningless
    if (now - stale_lists_since_ < kMaxStaleListsS) return true;
    const bool is_snapshot = endpoint_list.update.kind == slatejunction::EndpointUpdateKind::snapshot;
    if (is_snapshot) stale_lists_since_ = 0;
    return !is_snapshot;
}

// Applies the draining and removed backends of a stale list, so that these get no new attempts. A snapshot
// follows.
void EndpointWatch::apply_removals(EndpointList& endpoint_list) {
    EndpointList removals;
    removals.update.kind = slatejunction::EndpointUpdateKind::delta;
    for (std::size_t i = 0; i < endpoint_list.update.endpoints.size(); ++i) {
        if (endpoint_list.update.endpoints[i].state == slatejunction::EndpointState::serving) continue;
        removals.update.endpoints.push_back(std::move(endpoint_list.update.endpoints[i]));
        removals.addresses.push_back(std::move(endpoint_list.addresses[i]));
        removals.up_since_ms.push_back(endpoint_list.up_since_ms[i]);
    }
    if (!removals.update.endpoints.empty()) callbacks_.on_endpoint_list(removals);
}

void EndpointWatch::on_end(bool) {
    if (state_ == State::polling && parser_.feed(buffer_, true) == http::ParseResult::done)
        return handle_response();
    fail("connection failed or closed", state_ == State::dialling ? kMaxUnansweredBackoffS : kMaxBackoffS);
}

void EndpointWatch::on_timer() {
    if (state_ == State::waiting) return dial();
    const bool waited_for_change = revision_ && !no_wait_;
    if (state_ == State::polling && !waited_for_change) longer_timeout_ = !longer_timeout_;
    fail("timed out while connecting or waiting for a response", kMaxUnansweredBackoffS);
}

// Backs off with jitter, so that many ingresses do not poll a busy discovery service in step.
void EndpointWatch::on_rejected() {
    const double backoff_s = std::min(
        kMaxRejectedBackoffS, kFirstRejectedBackoffS * (1 << std::min(consecutive_rejections_, 10)));
    fail("poll rejected with status 429 or 503");
    ++consecutive_rejections_;
    std::uniform_real_distribution<double> jitter_factor(1 - kRejectedBackoffJitter,
                                                         1 + kRejectedBackoffJitter);
    timer_.arm(net::now() + backoff_s * jitter_factor(random_));
}

void EndpointWatch::fail(const char* error) { fail(error, kMaxBackoffS); }

void EndpointWatch::fail(const char* error, double max_backoff_s) {
    transport_->close();
    state_ = State::waiting;
    timer_.arm(net::now() + std::min(max_backoff_s, kFirstBackoffS * (1 << std::min(failures_, 5))));
    ++failures_;
    no_wait_ = true;
    callbacks_.on_watch_lost(error);
}

}   // namespace slatejunction::discovery
