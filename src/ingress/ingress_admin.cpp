// Ingress: admin calls.
#include <optional>
#include <utility>

#include "ingress/ingress.hpp"

namespace slatejunction::ingress {

using hot_restart::OperatorCommand;
using lifecycle::GracefulShutdown;

namespace {

std::optional<OperatorCommand::Kind> command_kind(admin::AdminCall::Kind kind) {
    switch (kind) {
        case admin::AdminCall::Kind::suspend:
            return OperatorCommand::Kind::suspend;
        case admin::AdminCall::Kind::resume:
            return OperatorCommand::Kind::resume;
        case admin::AdminCall::Kind::drain:
            return OperatorCommand::Kind::drain;
        case admin::AdminCall::Kind::activate:
            return OperatorCommand::Kind::activate;
        default:
            return std::nullopt;
    }
}

// The result of a command, for the reply and the log.
const char* result_text(OperatorCommand::Kind kind) {
    switch (kind) {
        case OperatorCommand::Kind::suspend:
            return "suspended";
        case OperatorCommand::Kind::resume:
            return "may serve again";
        case OperatorCommand::Kind::drain:
            return "drained";
        case OperatorCommand::Kind::activate:
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
    const std::optional<OperatorCommand::Kind> kind = command_kind(call.kind);
    if (!kind) return reply({404, "unknown call"});
    OperatorCommand command;
    command.kind = *kind;
    command.id = call.id;
    switch (execute(command, false)) {
        case admin::OverrideResult::never_listed:
            return reply({404, "no backend with this id was ever listed"});
        case admin::OverrideResult::too_many:
            return reply({503, "too many backends are suspended"});
        case admin::OverrideResult::done:
            break;
    }
    // During a hot restart the command applies to both processes: the reply waits for the other one.
    const char* const text = result_text(*kind);
    restart_channel_.forward_command(command, [reply = std::move(reply), text](bool confirmed) {
        if (confirmed) {
            reply({200, text});
        } else {
            reply({503, "the other process of the hot restart has not confirmed; retry"});
        }
    });
}

admin::AdminReply Ingress::readiness() const {
    if (restart_channel_.role().draining()) return {503, "handed over to a new process"};
    if (shutdown_.stop_requested()) return {503, "stopping"};
    if (!restart_channel_.role().accepts()) return {503, "taking over"};
    return {200, operator_overrides_.drained() ? "ready, and drained" : "ready"};
}

// Applies the change to the pool and the gateway before the operator gets the reply, so that no attempt
// starts after it.
admin::OverrideResult Ingress::execute(const OperatorCommand& command, bool from_other_process) {
    const double now = net::now();
    discovery::EndpointList change;
    admin::OverrideResult result = admin::OverrideResult::done;
    switch (command.kind) {
        case OperatorCommand::Kind::suspend:
            result = from_other_process ? operator_overrides_.adopt_suspension(command.id, change)
                                        : operator_overrides_.suspend(command.id, change);
            break;
        case OperatorCommand::Kind::resume:
            result = operator_overrides_.resume(command.id, change);
            break;
        case OperatorCommand::Kind::drain:
            if (!operator_overrides_.drain()) break;
            drained_at_ = now;
            sweep_timer_.arm(now + GracefulShutdown::kCheckIntervalS);
            break;
        case OperatorCommand::Kind::activate:
            operator_overrides_.activate();
            break;
    }
    if (result != admin::OverrideResult::done) return result;
    log_.write(Log::Level::info, now, "admin call: %s%s%s%s, %zu backends suspended in total",
               command.id.c_str(), command.id.empty() ? "" : " ", result_text(command.kind),
               from_other_process ? " (call received by the other process)" : "",
               operator_overrides_.suspensions());
    endpoint_updates_.apply_operator_change(change);
    return result;
}

void Ingress::on_admin_accept_error(const char* error) {
    log_.write(Log::Level::warning, net::now(), "accepting an admin connection failed: %s", error);
}

}   // namespace slatejunction::ingress
