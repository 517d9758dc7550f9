#include "backend/connection_pool.hpp"

#include <algorithm>

namespace slatejunction::backend {

using slatejunction::ListKind;
using slatejunction::Outcome;
using slatejunction::ServerState;

namespace {
constexpr double kIdlePart = 0.5;    // of the providers' keep-alive: a race with their close loses a call
constexpr double kProbeTime = 0.5;   // s; a probe that takes longer tells nothing
}   // namespace

struct Pool::Linked : Connection {
    template <class... Args>
    explicit Linked(Args&&... args) : Connection(std::forward<Args>(args)...) {
        attach(stream);
    }
    net::Stream stream{*this};
};

Pool::Pool(CallHost& host, net::Timers& timers, PoolLimits limits, http::Budget& bytes,
           std::vector<std::string> report_fields)
    : host_(host),
      timers_(timers),
      limits_(limits),
      bytes_(bytes),
      report_fields_(std::move(report_fields)) {}

void Pool::update(const discovery::Listing& listing) {
    const bool whole = listing.update.kind != ListKind::changes;
    if (whole)
        for (auto& [id, provider] : providers_) provider.named = false;
    for (std::size_t i = 0; i < listing.update.entries.size(); ++i) {
        const slatejunction::ListEntry& entry = listing.update.entries[i];
        if (entry.state != ServerState::in) {
            const auto at = providers_.find(entry.server);
            if (at == providers_.end()) continue;
            at->second.named = true;
            stop(at->first, at->second);
            // Guards against growth: on a long day new providers under new ids replace the old ones.
            if (entry.state == ServerState::out) providers_.erase(at);
            continue;
        }
        Provider& provider = providers_[entry.server];
        provider.named = true;
        // At another address it may be another machine: nothing that is idle or dialling there is of use.
        if (provider.host_port != listing.addresses[i]) stop(entry.server, provider);
        provider.accepting = true;
        if (provider.host_port == listing.addresses[i]) continue;
        provider.host_port = listing.addresses[i];
        provider.address = net::parse_address(provider.host_port);
    }
    if (whole) forget_unnamed();
}

// Those that a complete list does not name.
void Pool::forget_unnamed() {
    for (auto at = providers_.begin(); at != providers_.end();) {
        if (at->second.named) {
            ++at;
            continue;
        }
        stop(at->first, at->second);
        at = providers_.erase(at);
    }
}

// Guards the rule on drains: once it is told, no idle connection and no dial in flight may bring the
// provider anything new. What is being written or answered goes on.
void Pool::stop(const std::string& id, Provider& provider) {
    provider.accepting = false;
    for (const auto idle = std::move(provider.idle); const auto& connection : idle) connection->close();
    provider.idle.clear();
    std::vector<std::shared_ptr<Connection>> dialling;
    for (const auto& [key, connection] : connections_)
        if (connection->dialling() && connection->provider() == id) dialling.push_back(connection);
    for (const auto& connection : dialling) connection->abandon(Outcome::connect_failed);
}

std::shared_ptr<Connection> Pool::take_idle(Provider& provider) {
    auto& idle = provider.idle;
    const double now = net::now();
    const double limit = freshness_.limit(now);
    while (!idle.empty()) {
        const std::shared_ptr<Connection> connection = std::move(idle.back());
        idle.pop_back();
        if (now - connection->free_since() > limit) {
            connection->close();
            continue;
        }
        // Guards against a connection that its provider has ended meanwhile: a call written to it would
        // count as one that may have run.
        const auto at = connections_.find(connection.get());
        if (at != connections_.end() && !at->second->stream.readable()) return connection;
        connection->close();
    }
    return nullptr;
}

bool Pool::make_room() {
    if (connections_.size() < limits_.connections) return true;
    Provider* oldest = nullptr;
    for (auto& [id, provider] : providers_)
        if (!provider.idle.empty() &&
            (!oldest || provider.idle.front()->free_since() < oldest->idle.front()->free_since()))
            oldest = &provider;
    if (!oldest) return false;
    close_oldest(*oldest);
    return true;
}

std::shared_ptr<Connection> Pool::start(const std::string& id, CallTag tag,
                                        std::shared_ptr<client::Invocation> invocation,
                                        std::string_view probe_path, double until, double begin_by,
                                        Outcome& failure) {
    const auto at = providers_.find(id);
    failure = Outcome::connect_failed;
    if (at == providers_.end() || !at->second.accepting) return nullptr;
    Provider& provider = at->second;
    if (const auto connection = take_idle(provider)) {
        connection->begin(tag, std::move(invocation), probe_path, until, 0);
        connection->write_call();
        return connection;
    }
    // Out of descriptors: that says nothing of the provider, so it is told as never sent.
    failure = Outcome::moot;
    if (!make_room()) return nullptr;
    failure = Outcome::connect_failed;
    auto linked = std::make_shared<Linked>(*this, timers_, bytes_, id, provider.host_port, report_fields_);
    connections_.emplace(linked.get(), linked);
    linked->begin(tag, std::move(invocation), probe_path, until,
                  std::min(begin_by, net::now() + limits_.dial_timeout_s));
    if (!linked->stream.dial(provider.address.get())) linked->on_end(false);
    return linked;
}

std::shared_ptr<Connection> Pool::call(const std::string& provider, CallTag tag,
                                       std::shared_ptr<client::Invocation> invocation, double until,
                                       double begin_by) {
    CallEnd end;
    // Of a large request that has begun to go some bytes are gone: it can't be sent again.
    end.outcome = Outcome::moot;
    std::shared_ptr<Connection> connection;
    // Guards against work for nobody: while this program stood still who asked may have gone, and the end
    // of that connection wait unread. Harm: a look at it for each call.
    end.left = invocation->left();
    if (!invocation->passed && !end.left)
        connection = start(provider, tag, std::move(invocation), {}, until, begin_by, end.outcome);
    if (!connection) host_.on_call_end(tag, end);
    return connection && connection->calling() ? connection : nullptr;
}

void Pool::probe(const std::string& provider, std::string_view path) {
    CallEnd end;
    if (!start(provider, {}, nullptr, path, net::now() + kProbeTime, kNever, end.outcome))
        host_.on_probe_end(provider, end);
}

void Pool::sweep(double now) {
    double limit = std::min(kIdlePart * limits_.keepalive_s, freshness_.limit(now));
    if (idle_most_ >= 0) limit = std::min(limit, idle_most_);
    for (auto& [id, provider] : providers_)
        while (!provider.idle.empty() && now - provider.idle.front()->free_since() > limit)
            close_oldest(provider);
}

// Out of the list first, so that whoever clears a list comes to its end.
void Pool::close_oldest(Provider& provider) {
    const auto connection = std::move(provider.idle.front());
    provider.idle.erase(provider.idle.begin());
    connection->close();
}

std::size_t Pool::ready() const {
    return static_cast<std::size_t>(std::count_if(providers_.begin(), providers_.end(),
                                                  [](const auto& one) { return one.second.accepting; }));
}

void Pool::on_call_end(Connection& connection, CallTag tag, const CallEnd& end) {
    // A dial that failed or was given up tells nothing of connections that are up.
    if (end.outcome != Outcome::connect_failed || end.broke)
        freshness_.used(end.idle_s, end.broke, net::now());
    if (connection.probing())
        host_.on_probe_end(connection.provider(), end);
    else
        host_.on_call_end(tag, end);
}

void Pool::on_free(Connection& connection) {
    const auto at = providers_.find(connection.provider());
    const auto known = connections_.find(&connection);
    if (known == connections_.end()) return;   // it has closed
    const auto linked = known->second;
    if (at == providers_.end() || !at->second.accepting || at->second.host_port != connection.host_port())
        return linked->close();
    at->second.idle.push_back(linked);
}

void Pool::on_closed(Connection& connection) {
    if (const auto at = providers_.find(connection.provider()); at != providers_.end())
        std::erase_if(at->second.idle, [&](const auto& idle) { return idle.get() == &connection; });
    connections_.erase(&connection);
}

}   // namespace slatejunction::backend
