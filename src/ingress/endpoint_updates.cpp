#include "ingress/endpoint_updates.hpp"

#include <algorithm>
#include <utility>

#include "net/stream.hpp"

namespace slatejunction::ingress {

namespace {

// The shortest time between log lines of the same error of discovery, and of different ones: polls follow
// one another quickly while discovery is unavailable.
constexpr double kSameErrorLogIntervalS = 5.0;
constexpr double kNewErrorLogIntervalS = kSameErrorLogIntervalS / 5;

}   // namespace

struct EndpointUpdates::WatchConnection : discovery::EndpointWatch {
    WatchConnection(discovery::WatchCallbacks& callbacks, net::Timers& timers,
                    const discovery::UnixTimeConverter& clock, const std::string& authority,
                    std::uint64_t seed)
        : EndpointWatch(callbacks, timers, clock, authority, seed), address(net::parse_address(authority)) {
        attach(stream, [this] { return stream.dial(address.get()); });
    }
    net::Address address;
    // Has priority over client connections: behind hundreds of ready ones a list would be read late, and a
    // draining backend would still get requests.
    net::Stream stream{*this, G_PRIORITY_HIGH};
};

EndpointUpdates::EndpointUpdates(RequestDispatcher& dispatcher, admin::OperatorOverrides& overrides,
                                 hot_restart::RestartChannel& restart_channel, net::Timers& timers,
                                 const discovery::UnixTimeConverter& clock, Log& log,
                                 discovery::EndpointList cached, std::string discovery_address,
                                 std::uint64_t seed)
    : dispatcher_(dispatcher),
      overrides_(overrides),
      restart_channel_(restart_channel),
      timers_(timers),
      clock_(clock),
      log_(log),
      seed_(seed),
      discovery_address_(std::move(discovery_address)),
      cached_(std::move(cached)),
      watch_(make_watch()) {}

std::shared_ptr<EndpointUpdates::WatchConnection> EndpointUpdates::make_watch() {
    return std::make_shared<WatchConnection>(static_cast<discovery::WatchCallbacks&>(*this), timers_,
                                             clock_, discovery_address_, seed_);
}

void EndpointUpdates::adopt_list(discovery::EndpointList& list) {
    if (list.update.endpoints.empty()) return;
    for (slatejunction::Endpoint& endpoint : list.update.endpoints)
        endpoint.started_at_s = std::min(endpoint.started_at_s, net::now());
    list.update.kind = slatejunction::EndpointUpdateKind::cached_snapshot;
    start_times_.adopt(list);
    cached_ = std::move(list);
    start_times_adopted_ = true;
}

void EndpointUpdates::start() {
    address_owners_.resolve(cached_);
    if (!start_times_adopted_) start_times_.resolve_cached(cached_, net::now());
    overrides_.apply_to(cached_);
    dispatcher_.pool().update(cached_);
    slatejunction::EndpointUpdate update = cached_.update;
    apply_filters(update);
    dispatcher_.handle_event(std::move(update));
    watch_->start(cached_.revision);
}

void EndpointUpdates::move_watch(const std::string& discovery_address) {
    discovery_address_ = discovery_address;
    const auto newest_revision = watch_->newest_revision();
    watch_ = make_watch();
    watch_->start(newest_revision, true);
}

void EndpointUpdates::poll_now() { watch_->poll_now(); }

double EndpointUpdates::last_answer_at() const { return watch_->last_answer_at(); }

void EndpointUpdates::on_endpoint_list(discovery::EndpointList& list) {
    address_owners_.resolve(list);
    overrides_.restore_unparsed(list);
    start_times_.resolve(list, net::now());
    overrides_.apply_to(list);
    const bool preparing = restart_channel_.role().state() == hot_restart::RestartRole::State::preparing;
    update_pool_and_gateway(list);
    if (preparing) restart_channel_.ready_to_accept();
}

void EndpointUpdates::on_watch_lost(const char* error) {
    const double now = net::now();
    const double log_interval_s =
        last_logged_error_ == error ? kSameErrorLogIntervalS : kNewErrorLogIntervalS;
    if (now - last_error_logged_at_ >= log_interval_s) {
        log_.write(Log::Level::warning, now, "discovery: %s", error);
        last_logged_error_ = error;
        last_error_logged_at_ = now;
    }
    dispatcher_.handle_event(
        slatejunction::EndpointUpdate{slatejunction::EndpointUpdateKind::watch_lost, {}});
}

void EndpointUpdates::apply_operator_change(discovery::EndpointList& change) {
    if (!change.update.endpoints.empty()) update_pool_and_gateway(change);
}

// Updates the pool first, so that it closes connections to draining backends before the gateway starts an
// attempt.
void EndpointUpdates::update_pool_and_gateway(discovery::EndpointList& list) {
    dispatcher_.pool().update(list);
    apply_filters(list.update);
    dispatcher_.handle_event(std::move(list.update));
}

void EndpointUpdates::update_gateway(slatejunction::EndpointUpdate list) {
    if (!list.endpoints.empty()) dispatcher_.handle_event(std::move(list));
}

void EndpointUpdates::apply_filters(slatejunction::EndpointUpdate& list) {
    for (EndpointListFilter* filter : filters_) filter->apply_to(net::now(), list);
}

discovery::EndpointList EndpointUpdates::stated_list() const {
    discovery::EndpointList list = overrides_.current_list();
    list.revision = watch_->newest_revision();
    start_times_.restore_stated(list);
    return list;
}

}   // namespace slatejunction::ingress
