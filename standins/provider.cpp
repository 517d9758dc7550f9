#include "provider.hpp"

#include <algorithm>

namespace standin {

namespace net = slatejunction::net;

Provider::Provider(net::Timers& timers, const ProviderSettings& settings)
    : settings_(settings),
      server_(timers, [this](const auto& client, Request& request) { on_request(client, request); }),
      free_at_(static_cast<std::size_t>(std::max(1, settings.cores))),
      random_(settings.seed) {}

void Provider::on_request(const std::shared_ptr<Client>& client, Request& request) {
    if (request.target == "/stats" || request.target == "/health/live")
        return client->answer(
            200, request.target == "/stats" ? "latency_ms=" + std::to_string(settings_.read_ms) : "");
    if (request.field("x-request-id").empty()) return client->answer(404, "");
    if (open_ >= free_at_.size() + settings_.queue) {
        ++turned_away_;
        return client->answer(503, "", "X-Not-Run: 1\r\n");
    }
    const double now = net::now();
    const double mean = 1e-3 * (request.method == "GET" ? settings_.read_ms : settings_.write_ms);
    std::uniform_real_distribution<double> part(1 - settings_.spread, 1 + settings_.spread);
    const auto core = std::min_element(free_at_.begin(), free_at_.end());
    *core = std::max(*core, now) + mean * part(random_);
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
        std::size_t& open;
        ~Over() { --open; }
    };
    client->context = std::make_shared<Over>(open_);
}

std::string Provider::summary() const {
    return "{\"id\":\"" + settings_.id + "\",\"served\":" + std::to_string(served_) +
           ",\"turned_away\":" + std::to_string(turned_away_) +
           ",\"most_open\":" + std::to_string(most_open_) + "}";
}

}   // namespace standin
