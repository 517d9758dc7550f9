#include "backend/connection_pool.hpp"

#include <algorithm>

namespace slatejunction::backend {

using slatejunction::AttemptResult;
using slatejunction::EndpointState;
using slatejunction::EndpointUpdateKind;

namespace {
constexpr double kIdlePart = 0.5;    // of the providers' keep-alive: a race with their close loses a call
constexpr double kProbeTime = 0.5;   // s; a probe that takes longer tells nothing
}   // namespace

struct ConnectionPool::Linked : Connection {
    template <class... Args>
    explicit Linked(Args&&... args) : Connection(std::forward<Args>(args)...) {
        attach(stream);
    }
    net::Stream stream{*this};
};

ConnectionPool::ConnectionPool(CallCallbacks& host, net::Timers& timers, ConnectionPoolLimits limits,
                               http::ByteBudget& bytes, std::vector<std::string> report_fields)
    : host_(host),
      timers_(timers),
      limits_(limits),
      bytes_(bytes),
      report_fields_(std::move(report_fields)) {}

void ConnectionPool::update(const discovery::EndpointList& listing) {
    const bool whole = listing.update.kind != EndpointUpdateKind::delta;
    if (whole)
        for (auto& [id, provider] : providers_) provider.named = false;
    for (std::size_t i = 0; i < listing.update.endpoints.size(); ++i) {
        const slatejunction::Endpoint& entry = listing.update.endpoints[i];
        if (entry.state != EndpointState::serving) {
            const auto at = providers_.find(entry.backend);
            if (at == providers_.end()) continue;
            at->second.named = true;
            stop(at->first, at->second);
            // Guards against growth: on a long day new providers under new ids replace the old ones.
            if (entry.state == EndpointState::removed) providers_.erase(at);
            continue;
        }
        Provider& provider = providers_[entry.backend];
        provider.named = true;
        // At another address it may be another machine: nothing that is idle or dialling there is of use.
        if (provider.host_port != listing.addresses[i]) stop(entry.backend, provider);
        provider.accepting = true;
        if (provider.host_port == listing.addresses[i]) continue;
        provider.host_port = listing.addresses[i];
        provider.address = net::parse_address(provider.host_port);
    }
    if (whole) forget_unnamed();
}

// Those that a complete list does not name.
void ConnectionPool::forget_unnamed() {
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
void ConnectionPool::stop(const std::string& id, Provider& provider) {
    provider.accepting = false;
    for (const auto idle = std::move(provider.idle); const auto& connection : idle) connection->close();
    provider.idle.clear();
    std::vector<std::shared_ptr<Connection>> dialling;
    for (const auto& [key, connection] : connections_)
        if (connection->dialling() && connection->backend_id() == id) dialling.push_back(connection);
    for (const auto& connection : dialling) connection->abandon(AttemptResult::connect_failed);
}

std::shared_ptr<Connection> ConnectionPool::take_idle(Provider& provider) {
    auto& idle = provider.idle;
    const double now = net::now();
    const double limit = freshness_.limit_s(now);
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

bool ConnectionPool::make_room() {
    if (connections_.size() < limits_.max_connections) return true;
    Provider* oldest = nullptr;
    for (auto& [id, provider] : providers_)
        if (!provider.idle.empty() &&
            (!oldest || provider.idle.front()->free_since() < oldest->idle.front()->free_since()))
            oldest = &provider;
    if (!oldest) return false;
    close_oldest(*oldest);
    return true;
}

std::shared_ptr<Connection> ConnectionPool::start(const std::string& id, AttemptTag tag,
                                                  std::shared_ptr<client::ClientRequest> invocation,
                                                  std::string_view probe_path, double until,
                                                  double begin_by, AttemptResult& failure) {
    const auto at = providers_.find(id);
    failure = AttemptResult::connect_failed;
    if (at == providers_.end() || !at->second.accepting) return nullptr;
    Provider& provider = at->second;
    if (const auto connection = take_idle(provider)) {
        connection->begin(tag, std::move(invocation), probe_path, until, 0);
        connection->write_call();
        return connection;
    }
    // Out of descriptors: that says nothing of the provider, so it is told as never sent.
    failure = AttemptResult::not_started;
    if (!make_room()) return nullptr;
    failure = AttemptResult::connect_failed;
    auto linked = std::make_shared<Linked>(*this, timers_, bytes_, id, provider.host_port, report_fields_);
    connections_.emplace(linked.get(), linked);
    linked->begin(tag, std::move(invocation), probe_path, until,
                  std::min(begin_by, net::now() + limits_.dial_timeout_s));
    if (!linked->stream.dial(provider.address.get())) linked->on_end(false);
    return linked;
}

std::shared_ptr<Connection> ConnectionPool::start_call(const std::string& provider, AttemptTag tag,
                                                       std::shared_ptr<client::ClientRequest> invocation,
                                                       double until, double begin_by) {
    CallResult end;
    // Of a large request that has begun to go some bytes are gone: it can't be sent again.
    end.result = AttemptResult::not_started;
    std::shared_ptr<Connection> connection;
    // Guards against work for nobody: while this program stood still who asked may have gone, and the end
    // of that connection wait unread. Harm: a look at it for each call.
    end.client_disconnected = invocation->client_disconnected();
    if (!invocation->body_streamed && !end.client_disconnected)
        connection = start(provider, tag, std::move(invocation), {}, until, begin_by, end.result);
    if (!connection) host_.on_call_end(tag, end);
    return connection && connection->call_active() ? connection : nullptr;
}

void ConnectionPool::start_health_check(const std::string& provider, std::string_view path) {
    CallResult end;
    if (!start(provider, {}, nullptr, path, net::now() + kProbeTime, kNever, end.result))
        host_.on_health_check_end(provider, end);
}

void ConnectionPool::close_expired(double now) {
    double limit = std::min(kIdlePart * limits_.keepalive_s, freshness_.limit_s(now));
    if (idle_most_ >= 0) limit = std::min(limit, idle_most_);
    for (auto& [id, provider] : providers_)
        while (!provider.idle.empty() && now - provider.idle.front()->free_since() > limit)
            close_oldest(provider);
}

// Out of the list first, so that whoever clears a list comes to its end.
void ConnectionPool::close_oldest(Provider& provider) {
    const auto connection = std::move(provider.idle.front());
    provider.idle.erase(provider.idle.begin());
    connection->close();
}

std::size_t ConnectionPool::serving_backends() const {
    return static_cast<std::size_t>(std::count_if(providers_.begin(), providers_.end(),
                                                  [](const auto& one) { return one.second.accepting; }));
}

void ConnectionPool::on_call_end(Connection& connection, AttemptTag tag, const CallResult& end) {
    // A dial that failed or was given up tells nothing of connections that are up.
    if (end.result != AttemptResult::connect_failed || end.reset_before_response)
        freshness_.record_use(end.idle_s, end.reset_before_response, net::now());
    if (connection.health_checking())
        host_.on_health_check_end(connection.backend_id(), end);
    else
        host_.on_call_end(tag, end);
}

void ConnectionPool::on_idle(Connection& connection) {
    const auto at = providers_.find(connection.backend_id());
    const auto known = connections_.find(&connection);
    if (known == connections_.end()) return;   // it has closed
    const auto linked = known->second;
    if (at == providers_.end() || !at->second.accepting || at->second.host_port != connection.host_port())
        return linked->close();
    at->second.idle.push_back(linked);
}

void ConnectionPool::on_closed(Connection& connection) {
    if (const auto at = providers_.find(connection.backend_id()); at != providers_.end())
        std::erase_if(at->second.idle, [&](const auto& idle) { return idle.get() == &connection; });
    connections_.erase(&connection);
}

}   // namespace slatejunction::backend
