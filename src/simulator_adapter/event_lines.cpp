#include "simulator_adapter/event_lines.hpp"

#include <cmath>
#include <map>

namespace slatejunction::simulator {
namespace {

/// The `key=value` columns of a BEGIN line. Unknown keys are ignored.
class WireConfig {
  public:
    WireConfig(const Columns& columns, std::size_t first) {
        for (std::size_t i = first; i < columns.size(); ++i) {
            const std::size_t separator = columns[i].find('=');
            if (separator == std::string_view::npos)
                throw BadLine("a setting without '=': '" + std::string(columns[i]) + "'");
            const std::string key(columns[i].substr(0, separator));
            values_[key] = std::string(columns[i].substr(separator + 1));
        }
    }
    std::string text(const std::string& key) const {
        const auto found = values_.find(key);
        return found == values_.end() ? std::string() : found->second;
    }
    double number(const std::string& key) const {
        const auto found = values_.find(key);
        return found == values_.end() ? 0 : parse_number(found->second, key.c_str());
    }
    double required_number(const std::string& key) const {
        if (values_.find(key) == values_.end()) throw BadLine("setting " + key + " is missing");
        return number(key);
    }
    bool flag(const std::string& key) const {
        const std::string value = text(key);
        return value == "true" || value == "1";
    }

  private:
    std::map<std::string, std::string> values_;
};

Idempotency parse_idempotency(const std::string& name) {
    if (name == "pure") return Idempotency::idempotent;
    if (name == "token") return Idempotency::idempotency_key;
    if (name == "side_effect") return Idempotency::not_idempotent;
    throw BadLine("an unknown Effect: '" + name + "'");
}

IdempotencyScope parse_scope(const std::string& name) {
    if (name == "zone") return IdempotencyScope::zone;
    if (name == "cell") return IdempotencyScope::cell;
    return IdempotencyScope::all;
}

ServiceClass parse_service_class(const WireConfig& config, const std::string& prefix) {
    ServiceClass c;
    c.name = config.text(prefix + "Name");
    if (c.name.empty()) throw BadLine("setting " + prefix + "Name is missing");
    c.latency_objective_s = config.required_number(prefix + "AimS");
    c.deadline_s = config.number(prefix + "DeadlineS");
    c.idempotency = parse_idempotency(config.text(prefix + "Effect"));
    c.idempotency_scope = parse_scope(config.text(prefix + "Group"));
    c.idempotency_window_s = config.number(prefix + "WindowS");
    c.streaming = config.flag(prefix + "Stream");
    c.priority_weight = config.number(prefix + "Worth");
    c.late_priority_weight = config.number(prefix + "LateWorth");
    return c;
}

Plan parse_plan(const WireConfig& config, const std::string& prefix) {
    Plan p;
    p.name = config.text(prefix + "Name");
    p.rate = config.number(prefix + "UnitsPerS");
    p.burst = config.number(prefix + "Depth");
    p.hard_limit_rate = config.number(prefix + "CeilingRate");
    p.hard_limit_burst = config.number(prefix + "HardBurst");
    p.hard_limit_slack = config.number(prefix + "Tolerance");
    p.max_in_flight = config.number(prefix + "MaxOut");
    p.plan_weight = config.number(prefix + "Price");
    p.over_quota_weight = config.number(prefix + "ExtraWorth");
    p.over_quota_penalty = config.number(prefix + "OverCost");
    return p;
}

void parse_reports(const WireConfig& config, Settings& s) {
    const std::string source = config.text("Telemetry.How");
    if (source == "inline" || source == "on_probe")
        for (const std::string_view field : split(config.text("Telemetry.Fields"), ','))
            s.report_fields.emplace_back(field);
    s.reports_on_health_check_only = source == "on_probe";
}

/// M, column StageState.
EndpointState parse_endpoint_state(const std::string& state) {
    if (state == "IN") return EndpointState::serving;
    if (state == "LAME") return EndpointState::draining;
    if (state == "OUT") return EndpointState::removed;
    throw BadLine("an unknown StageState: '" + state + "'");
}

/// CALL, column Bits: bit value 2 marks a client's retry.
bool is_client_retry(double bits) { return bits >= 0 && bits < 1024 && (static_cast<int>(bits) & 2) != 0; }

/// Column Result: the numbers are those of AttemptResult.
AttemptResult parse_attempt_result(ColumnReader& columns) {
    const int code = columns.integer<int>("Result");
    if (code < 0 || code > 7) throw BadLine("Result is not a known outcome");
    return static_cast<AttemptResult>(code);
}

/// CALL
Request parse_request(ColumnReader columns) {
    Request r;
    r.id = columns.string("Job");
    r.service_class = columns.string("Class");
    r.plan = columns.string("Contract");
    r.units = columns.number("CostUnits");
    columns.number_or_0("Base");
    r.customer = columns.integer<std::uint64_t>("Customer");
    r.deadline_at_s = columns.number("DueS");
    r.is_client_retry = is_client_retry(columns.number_or_0("Bits"));
    r.ingress_count = columns.number_or_0("Doors");
    return r;
}

/// ATTEMPT_END
AttemptEnded parse_attempt_ended(ColumnReader columns) {
    AttemptEnded e;
    e.id = columns.string("Job");
    e.attempt = columns.integer<std::int64_t>("SeqNo");
    columns.text("Server");
    e.result = parse_attempt_result(columns);
    e.duration_s = columns.number("TookS");
    e.request_ended = columns.flag("NoMore");
    e.quota_use = columns.number_or_0("QuotaUse");
    e.charged_units = columns.number_or_0("Charged");
    e.report = columns.numbers("Telemetry");
    return e;
}

/// FIRST
StreamStarted parse_stream_started(ColumnReader columns) {
    StreamStarted started;
    started.id = columns.string("Job");
    columns.text("Server");
    started.attempt = columns.integer<std::int64_t>("SeqNo");
    return started;
}

/// CHECK_RESULT
HealthCheckEnded parse_health_check_ended(ColumnReader columns) {
    HealthCheckEnded check;
    check.backend = columns.string("Server");
    check.result = parse_attempt_result(columns);
    check.duration_s = columns.number("TookS");
    check.report = columns.numbers("Telemetry");
    return check;
}

/// TICK_DUE
TimerFired parse_timer_fired(ColumnReader columns) {
    return TimerFired{columns.integer<std::uint64_t>("Tag")};
}

/// CLIENT_GONE
ClientDisconnected parse_client_disconnected(ColumnReader columns) {
    return ClientDisconnected{columns.string("Job")};
}

}   // namespace

Columns split(std::string_view text, char separator) {
    Columns columns;
    std::size_t begin = 0;
    while (true) {
        const std::size_t end = text.find(separator, begin);
        columns.push_back(text.substr(begin, end - begin));
        if (end == std::string_view::npos) return columns;
        begin = end + 1;
    }
}

double parse_number(std::string_view text, const char* name) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value))
        throw BadLine(std::string(name) + " is not a number: '" + std::string(text) + "'");
    return value;
}

Settings parse_settings(const Columns& columns, std::size_t first) {
    const WireConfig config(columns, first);
    Settings s;
    const auto classes = static_cast<int>(config.required_number("Services.count"));
    for (int i = 0; i < classes; ++i)
        s.classes.push_back(parse_service_class(config, "Services." + std::to_string(i) + "."));
    const auto plans = static_cast<int>(config.number("Contracts.count"));
    for (int i = 0; i < plans; ++i)
        s.plans.push_back(parse_plan(config, "Contracts." + std::to_string(i) + "."));
    parse_reports(config, s);
    s.zone = config.text("Zone");
    s.discovery =
        config.text("Discovery") == "subscribe" ? DiscoveryMode::subscribe : DiscoveryMode::automatic;
    s.ingress_index = static_cast<std::int64_t>(config.number("MyNumber"));
    s.ingress_count = config.required_number("Balancers");
    s.meter_period_s = config.number("FamilyInfo.MeterPeriodS");
    s.max_request_units = config.number("FamilyInfo.UnitsTop");
    s.max_attempts = config.required_number("Limits.AttemptsCap");
    s.hedging_allowed = config.flag("Limits.ParallelTries");
    s.cancellation_allowed = config.flag("Limits.Cancel");
    s.health_checks_allowed = config.flag("Limits.Probes");
    s.retry_after_allowed = config.flag("Limits.RetryAfter");
    s.max_retry_after_s = config.number("Limits.MaxRetryAfterS");
    s.timer_resolution_s = config.number("QuantumS");
    s.watch_retry_within_s = config.number("Rules.AskWithinS");
    s.slow_start_min_capacity = config.number("Rules.ColdFrom");
    s.slow_start_window_s = config.number("Rules.WarmWithinS");
    s.overload_multiple = config.number("Rules.FallMultiple");
    s.overload_window_s = config.number("Rules.FallS");
    return s;
}

EndpointUpdateKind parse_update_kind(const std::string& form) {
    if (form == "incr") return EndpointUpdateKind::delta;
    if (form == "total") return EndpointUpdateKind::snapshot;
    if (form == "warm_copy") return EndpointUpdateKind::cached_snapshot;
    if (form == "lost") return EndpointUpdateKind::watch_lost;
    throw BadLine("an unknown Form: '" + form + "'");
}

Endpoint parse_endpoint(ColumnReader columns) {
    Endpoint e;
    e.state = parse_endpoint_state(columns.string("StageState"));
    e.backend = columns.string("Server");
    if (e.state == EndpointState::removed) return e;
    e.flavor = columns.string("GenerationHw");
    e.zone = columns.string("Az");
    e.capacity_hint = columns.number_or_0("CapacityHint");
    e.cell = static_cast<std::int64_t>(columns.number_or_0("UnitGroup"));
    e.started_at_s = columns.number_or_0("BornS");
    return e;
}

bool is_event_name(std::string_view name) {
    for (const char* known : {"BEGIN", "DIRECTORY_UPDATE", "CALL", "MEMO", "CHECK_RESULT", "FIRST",
                              "TALLIED", "TICK_DUE", "CLIENT_GONE", "ATTEMPT_END", "SHUTDOWN"})
        if (name == known) return true;
    return false;
}

std::optional<Event> parse_event(std::string_view name, const ColumnReader& columns) {
    if (name == "CALL") return parse_request(columns);
    if (name == "ATTEMPT_END") return parse_attempt_ended(columns);
    if (name == "FIRST") return parse_stream_started(columns);
    if (name == "CHECK_RESULT") return parse_health_check_ended(columns);
    if (name == "TICK_DUE") return parse_timer_fired(columns);
    if (name == "CLIENT_GONE") return parse_client_disconnected(columns);
    return std::nullopt;
}

}   // namespace slatejunction::simulator
