// A program of its own that uses the installed library: one request, its outcome and a timer.
#include <cstdio>
#include <slatejunction/gateway.hpp>
#include <variant>

namespace sj = slatejunction;

int main() {
    sj::Settings settings;
    settings.ingress_count = 1;
    settings.max_attempts = 1;
    settings.classes.push_back({"read", 1.0, 2.0});
    sj::Gateway gateway(settings, 7);
    std::vector<sj::Action> actions;

    gateway.handle(0.0, sj::Start{}, actions);
    const auto* timer = actions.empty() ? nullptr : std::get_if<sj::SetTimer>(&actions[0]);
    if (!timer) return std::puts("no timer was set"), 1;
    gateway.handle(0.0,
                   sj::EndpointUpdate{sj::EndpointUpdateKind::snapshot,
                                      {{sj::EndpointState::serving, "a:1", "", "", 1}}},
                   actions);

    actions.clear();
    gateway.handle(0.01, sj::Request{"r1", "read", "", 1, 5, 2.0, 1}, actions);
    const auto* send = actions.empty() ? nullptr : std::get_if<sj::StartAttempt>(&actions[0]);
    if (!send || send->backend != "a:1") return std::puts("the request was not sent"), 1;

    gateway.handle(timer->fire_at_s, sj::TimerFired{timer->tag}, actions);
    sj::AttemptEnded end;
    end.id = "r1";
    end.duration_s = 0.1;
    end.request_ended = true;
    gateway.handle(0.11, end, actions);
    if (gateway.open_requests() != 0) return std::puts("the request is still open"), 1;
    std::puts("1 passed, 0 failed");
    return 0;
}
