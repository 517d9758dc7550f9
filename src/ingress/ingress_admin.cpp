// Ingress: operators' calls.
#include <optional>
#include <utility>

#include "ingress/ingress.hpp"

namespace slatejunction::ingress {

using hot_restart::OperatorOrder;
using lifecycle::GracefulShutdown;

namespace {

std::optional<OperatorOrder::Kind> order_kind(admin::AdminCall::Kind kind) {
    switch (kind) {
        case admin::AdminCall::Kind::suspend:
            return OperatorOrder::Kind::suspend;
        case admin::AdminCall::Kind::resume:
            return OperatorOrder::Kind::resume;
        case admin::AdminCall::Kind::drain:
            return OperatorOrder::Kind::drain;
        case admin::AdminCall::Kind::activate:
            return OperatorOrder::Kind::activate;
        default:
            return std::nullopt;
    }
}

// For the reply and the log.
const char* description(OperatorOrder::Kind kind) {
    switch (kind) {
        case OperatorOrder::Kind::suspend:
            return "suspended";
        case OperatorOrder::Kind::resume:
            return "may serve again";
        case OperatorOrder::Kind::drain:
            return "drained";
        case OperatorOrder::Kind::activate:
            return "active";
    }
    return "";
}

}   // namespace

void Ingress::on_call(const admin::AdminCall& call, std::function<void(admin::AdminReply)> reply) {
    for (AdminCallExtension* extension : admin_extensions_)
        if (extension->on_call(call, reply)) return;
    handle_admin_call(call, std::move(reply));
}

void Ingress::handle_admin_call(const admin::AdminCall& call,
                                std::function<void(admin::AdminReply)> reply) {
    if (call.kind == admin::AdminCall::Kind::readyz) return reply(readiness());
    const std::optional<OperatorOrder::Kind> kind = order_kind(call.kind);
    if (!kind) return reply({404, "no such call"});
    OperatorOrder order;
    order.kind = *kind;
    order.id = call.id;
    switch (execute(order, false)) {
        case admin::OverrideResult::never_listed:
            return reply({404, "no backend of that id was ever listed"});
        case admin::OverrideResult::too_many:
            return reply({503, "too many backends are suspended"});
        case admin::OverrideResult::done:
            break;
    }
    // During a hot restart the order counts for both processes: the reply waits for the other one.
    const char* const text = description(*kind);
    restart_channel_.forward_order(order, [reply = std::move(reply), text](bool confirmed) {
        if (confirmed) {
            reply({200, text});
        } else {
            reply({503, "the other process of this upgrade has not confirmed; ask again"});
        }
    });
}

admin::AdminReply Ingress::readiness() const {
    if (restart_channel_.role().draining()) return {503, "handed over to a new process"};
    if (shutdown_.stop_requested()) return {503, "stopping"};
    if (!restart_channel_.role().accepts()) return {503, "taking over"};
    return {200, operator_overrides_.drained() ? "ready, and drained" : "ready"};
}

// Pool and gateway have the change before the operator gets the reply, so that no attempt follows it.
admin::OverrideResult Ingress::execute(const OperatorOrder& order, bool from_other_process) {
    const double now = net::now();
    discovery::EndpointList change;
    admin::OverrideResult result = admin::OverrideResult::done;
    switch (order.kind) {
        case OperatorOrder::Kind::suspend:
            result = from_other_process ? operator_overrides_.adopt_suspension(order.id, change)
                                        : operator_overrides_.suspend(order.id, change);
            break;
        case OperatorOrder::Kind::resume:
            result = operator_overrides_.resume(order.id, change);
            break;
        case OperatorOrder::Kind::drain:
            if (!operator_overrides_.drain()) break;
            drained_at_ = now;
            sweep_timer_.arm(now + GracefulShutdown::kCheckIntervalS);
            break;
        case OperatorOrder::Kind::activate:
            operator_overrides_.activate();
            break;
    }
    if (result != admin::OverrideResult::done) return result;
    log_.write(Log::Level::info, now, "operators: %s%s%s%s, %zu suspended in all", order.id.c_str(),
               order.id.empty() ? "" : " ", description(order.kind),
               from_other_process ? " at the other process" : "", operator_overrides_.suspensions());
    endpoint_updates_.apply_operator_change(change);
    return result;
}

void Ingress::on_admin_error(const char* why) {
    log_.write(Log::Level::warning, net::now(), "operators' address: accepting failed: %s", why);
}

}   // namespace slatejunction::ingress
