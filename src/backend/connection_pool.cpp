#include "backend/connection_pool.hpp"

#include <algorithm>

namespace slatejunction::backend {

using slatejunction::AttemptResult;
using slatejunction::EndpointState;
using slatejunction::EndpointUpdateKind;

namespace {
// The part of the backends' keep-alive time after which idle connections are closed, so that this does not
// race with the backends' own close.
constexpr double kMaxIdleKeepaliveFraction = 0.5;
constexpr double kHealthCheckTimeoutS = 0.5;
}   // namespace

struct ConnectionPool::PooledConnection : Connection {
    template <class... Args>
    explicit PooledConnection(Args&&... args) : Connection(std::forward<Args>(args)...) {
        attach(stream);
    }
    net::Stream stream{*this};
};

ConnectionPool::ConnectionPool(CallCallbacks& callbacks, net::Timers& timers, ConnectionPoolLimits limits,
                               http::ByteBudget& bytes, std::vector<std::string> report_fields)
    : callbacks_(callbacks),
      timers_(timers),
      limits_(limits),
      bytes_(bytes),
      report_fields_(std::move(report_fields)) {}

void ConnectionPool::update(const discovery::EndpointList& endpoint_list) {
    const bool snapshot = endpoint_list.update.kind != EndpointUpdateKind::delta;
    if (snapshot)
        for (auto& [id, backend] : backends_) backend.in_latest_list = false;
    for (std::size_t i = 0; i < endpoint_list.update.endpoints.size(); ++i) {
        const slatejunction::Endpoint& entry = endpoint_list.update.endpoints[i];
        if (entry.state != EndpointState::serving) {
            const auto it = backends_.find(entry.backend);
            if (it == backends_.end()) continue;
            it->second.in_latest_list = true;
            stop(it->first, it->second);
            if (entry.state == EndpointState::removed) backends_.erase(it);
            continue;
        }
        Backend& backend = backends_[entry.backend];
        backend.in_latest_list = true;
        // A new address may be another machine, so connections to the old one cannot be used.
        if (backend.host_port != endpoint_list.addresses[i]) stop(entry.backend, backend);
        backend.accepting = true;
        if (backend.host_port == endpoint_list.addresses[i]) continue;
        backend.round_trip_s = kNever;
        backend.host_port = endpoint_list.addresses[i];
        backend.address = net::parse_address(backend.host_port);
    }
    if (snapshot) forget_unlisted();
}

// Removes the backends that a snapshot does not name.
void ConnectionPool::forget_unlisted() {
    for (auto it = backends_.begin(); it != backends_.end();) {
        if (it->second.in_latest_list) {
            ++it;
            continue;
        }
        stop(it->first, it->second);
        it = backends_.erase(it);
    }
}

// Stops sending attempts to a backend, including those that wait for a connection that is being dialled.
// Attempts on established connections continue.
void ConnectionPool::stop(const std::string& id, Backend& backend) {
    backend.accepting = false;
    for (const auto idle = std::move(backend.idle); const auto& connection : idle) connection->close();
    backend.idle.clear();
    std::vector<std::shared_ptr<Connection>> dialling;
    for (const auto& [key, connection] : connections_)
        if (connection->dialling() && connection->backend_id() == id) dialling.push_back(connection);
    for (const auto& connection : dialling) connection->abandon(AttemptResult::connect_failed);
}

std::shared_ptr<Connection> ConnectionPool::take_reusable(Backend& backend, double now) {
    const auto at = std::find_if(backend.idle.rbegin(), backend.idle.rend(), [now](const auto& connection) {
        return connection->reusable_at() <= now;
    });
    if (at == backend.idle.rend()) return nullptr;
    std::shared_ptr<Connection> connection = std::move(*at);
    backend.idle.erase(std::next(at).base());
    return connection;
}

std::shared_ptr<Connection> ConnectionPool::acquire_idle(Backend& backend) {
    const double now = net::now();
    const double limit = idle_lifetime_.limit_s(now);
    while (std::shared_ptr<Connection> connection = take_reusable(backend, now)) {
        if (now - connection->idle_since() > limit) {
            connection->close();
            continue;
        }
        // A readable idle connection has been closed by the backend, and an attempt written to it would
        // count as one that may have run.
        const auto it = connections_.find(connection.get());
        if (it != connections_.end() && !it->second->stream.readable()) return connection;
        connection->close();
    }
    return nullptr;
}

bool ConnectionPool::ensure_capacity() {
    if (connections_.size() < limits_.max_connections) return true;
    Backend* oldest = nullptr;
    for (auto& [id, backend] : backends_)
        if (!backend.idle.empty() &&
            (!oldest || backend.idle.front()->idle_since() < oldest->idle.front()->idle_since()))
            oldest = &backend;
    if (!oldest) return false;
    close_oldest(*oldest);
    return true;
}

std::shared_ptr<Connection> ConnectionPool::start(const std::string& id, AttemptTag tag,
                                                  std::shared_ptr<client::ClientRequest> request,
                                                  std::string_view health_check_path, double deadline,
                                                  double start_by, AttemptResult& failure) {
    const auto it = backends_.find(id);
    failure = AttemptResult::connect_failed;
    if (it == backends_.end() || !it->second.accepting) return nullptr;
    Backend& backend = it->second;
    if (auto connection = acquire_idle(backend)) {
        connection->set_round_trip_s(backend.round_trip_s);
        connection->begin(tag, std::move(request), health_check_path, deadline, 0);
        connection->write_call();
        return connection;
    }
    // Reaching the limit of connections says nothing about the backend.
    failure = AttemptResult::not_started;
    if (!ensure_capacity()) return nullptr;
    failure = AttemptResult::connect_failed;
    auto pooled =
        std::make_shared<PooledConnection>(*this, timers_, bytes_, id, backend.host_port, report_fields_);
    connections_.emplace(pooled.get(), pooled);
    pooled->begin(tag, std::move(request), health_check_path, deadline,
                  std::min(start_by, net::now() + limits_.dial_timeout_s));
    if (!pooled->stream.dial(backend.address.get())) pooled->on_end(false);
    return pooled;
}

std::shared_ptr<Connection> ConnectionPool::start_call(const std::string& backend, AttemptTag tag,
                                                       std::shared_ptr<client::ClientRequest> request,
                                                       double deadline, double start_by) {
    CallResult outcome;
    // Also the result of a large request that has been forwarded in part and cannot be sent again.
    outcome.result = AttemptResult::not_started;
    std::shared_ptr<Connection> connection;
    // The client's close may not have been read yet if this process was paused.
    outcome.client_disconnected = request->client_disconnected();
    if (!request->body_streamed && !outcome.client_disconnected)
        connection = start(backend, tag, std::move(request), {}, deadline, start_by, outcome.result);
    if (!connection) callbacks_.on_call_end(tag, outcome);
    return connection && connection->call_active() ? connection : nullptr;
}

void ConnectionPool::start_health_check(const std::string& backend, std::string_view path) {
    CallResult outcome;
    if (!start(backend, {}, nullptr, path, net::now() + kHealthCheckTimeoutS, kNever, outcome.result))
        callbacks_.on_health_check_end(backend, outcome);
}

void ConnectionPool::close_expired(double now) {
    double limit = std::min(kMaxIdleKeepaliveFraction * limits_.keepalive_s, idle_lifetime_.limit_s(now));
    if (max_idle_s_ >= 0) limit = std::min(limit, max_idle_s_);
    for (auto& [id, backend] : backends_)
        while (!backend.idle.empty() && now - backend.idle.front()->idle_since() > limit)
            close_oldest(backend);
}

// Removes the connection from the list before closing it, so that loops over the list terminate.
void ConnectionPool::close_oldest(Backend& backend) {
    const auto connection = std::move(backend.idle.front());
    backend.idle.erase(backend.idle.begin());
    connection->close();
}

std::size_t ConnectionPool::serving_backends() const {
    return static_cast<std::size_t>(std::count_if(
        backends_.begin(), backends_.end(), [](const auto& entry) { return entry.second.accepting; }));
}

void ConnectionPool::on_call_end(Connection& connection, AttemptTag tag, const CallResult& outcome) {
    // A failed dial says nothing about the idle time that connections survive.
    if (outcome.result != AttemptResult::connect_failed || outcome.reset_before_response)
        idle_lifetime_.record_use(outcome.idle_s, outcome.reset_before_response, net::now());
    if (connection.health_checking())
        callbacks_.on_health_check_end(connection.backend_id(), outcome);
    else
        callbacks_.on_call_end(tag, outcome);
}

void ConnectionPool::on_response_event(Connection& connection, AttemptTag tag, const ResponseEvent& event) {
    if (!connection.health_checking()) callbacks_.on_response_event(tag, connection.backend_id(), event);
}

void ConnectionPool::on_idle(Connection& connection) {
    const auto it = backends_.find(connection.backend_id());
    const auto pooled_it = connections_.find(&connection);
    if (pooled_it == connections_.end()) return;   // it is closed
    const auto pooled = pooled_it->second;
    if (it == backends_.end() || !it->second.accepting || it->second.host_port != connection.host_port())
        return pooled->close();
    Backend& backend = it->second;
    backend.round_trip_s =
        std::min(backend.round_trip_s, pooled->dial_duration_s().value_or(backend.round_trip_s));
    backend.idle.push_back(pooled);
}

void ConnectionPool::on_closed(Connection& connection) {
    if (const auto it = backends_.find(connection.backend_id()); it != backends_.end())
        std::erase_if(it->second.idle, [&](const auto& idle) { return idle.get() == &connection; });
    connections_.erase(&connection);
}

}   // namespace slatejunction::backend
