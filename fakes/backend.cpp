#include "backend.hpp"

#include <algorithm>

namespace fakes {

namespace net = slatejunction::net;

namespace {
constexpr double kNotifiedAfterS = 0.25;   // s; until an ingress knows that a backend has left the list
}   // namespace

Backend::Backend(net::Timers& timers, const BackendSettings& settings)
    : settings_(settings),
      server_(timers, [this](const auto& client, Request& request) { on_request(client, request); }),
      free_at_(static_cast<std::size_t>(std::max(1, settings.cores))),
      random_(settings.seed) {}

void Backend::on_request(const std::shared_ptr<Client>& client, Request& request) {
    if (request.target == "/stats" || request.target == "/health/live")
        return client->answer(
            200, request.target == "/stats" ? "latency_ms=" + std::to_string(settings_.read_ms) : "");
    if (request.field("x-request-id").empty()) return client->answer(404, "");
    const bool read = request.method == "GET";
    ++(read ? reads_ : writes_);
    if (drained_at_ > 0 && net::now() - drained_at_ > kNotifiedAfterS) ++late_;
    if (open_ >= free_at_.size() + settings_.queue) {
        ++turned_away_;
        return client->answer(503, "", "X-Not-Run: 1\r\n");
    }
    const double now = net::now();
    const double mean = 1e-3 * (read ? settings_.read_ms : settings_.write_ms);
    if (falls(now, mean)) return client->reset();
    std::uniform_real_distribution<double> part(1 - settings_.spread, 1 + settings_.spread);
    const auto core = std::min_element(free_at_.begin(), free_at_.end());
    *core = std::max(*core, now) + mean * part(random_) / pace(now);
    most_open_ = std::max(most_open_, ++open_);
    std::string used;
    if (settings_.used > 0) used = "X-RateLimit-Used: " + std::to_string(settings_.used) + "\r\n";
    // Work that nobody waits for any more is done all the same: the core stays taken.
    client->later(*core - now, [this, client, used] {
        ++served_;
        client->answer(200, "ok " + settings_.id, used);
    });
    // `later` does not call for a client that has gone; the request is over then too.
    struct Over {
        explicit Over(std::size_t& requests) : open(requests) {}
        ~Over() { --open; }
        Over(const Over&) = delete;
        Over& operator=(const Over&) = delete;
        std::size_t& open;
    };
    client->context = std::make_shared<Over>(open_);
}

// Of its whole pace, by how long ago it was restarted.
double Backend::pace(double now) const {
    const double age = std::min(1.0, (now - restarted_at_) / settings_.warm_s);
    return settings_.cold_from + (1 - settings_.cold_from) * age;
}

bool Backend::falls(double now, double work) {
    if (settings_.fall_multiple <= 0) return false;
    came_.emplace_back(now, work);
    while (came_.front().first < now - settings_.fall_s) came_.pop_front();
    double all = 0;
    for (const auto& [at, one] : came_) all += one;
    const double whole = static_cast<double>(free_at_.size()) * settings_.fall_s;
    if (falls_ == 0 && all > settings_.fall_multiple * pace(now) * whole) ++falls_;
    return falls_ > 0;
}

void Backend::drain() { drained_at_ = net::now(); }

void Backend::restart() {
    drained_at_ = 0;
    restarted_at_ = net::now();
    came_.clear();
    falls_ = 0;
}

std::string Backend::summary() const {
    return "{\"id\":\"" + settings_.id + "\",\"served\":" + std::to_string(served_) +
           ",\"turned_away\":" + std::to_string(turned_away_) +
           ",\"most_open\":" + std::to_string(most_open_) + ",\"reads\":" + std::to_string(reads_) +
           ",\"writes\":" + std::to_string(writes_) + ",\"late\":" + std::to_string(late_) +
           ",\"falls\":" + std::to_string(falls_) + "}";
}

}   // namespace fakes
