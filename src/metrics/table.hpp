// All measures of the program, named once: from here come the series that are kept and sent, what
// `slatejunction metrics` prints, and what docs/metrics.md is checked against.
#pragma once

#include <array>
#include <string>
#include <string_view>

namespace slatejunction::metrics {

enum class Type { counter, gauge, histogram };

struct Family {
    std::string_view name;
    Type type;
    std::string_view unit;     // of the figures; a count where it is empty
    std::string_view labels;   // names, by commas
    std::string_view help;
};

// The order is that of the table below.
enum class Id : std::size_t {
    requests,
    refusals,
    worth_offered,
    worth_served,
    worth_lost,
    duration,
    attempts,
    bad_requests,
    starts,
    log_left_out,
    rw_sent,
    rw_retried,
    rw_dropped,
    rw_batches,
    open_requests,
    admitted_fraction,
    quota_report_age,
    providers,
    directory_age,
    connections,
    bytes_held,
    bytes_budget,
    descriptors,
    descriptors_limit,
    resident,
    memory_limit,
    start_time,
    counters_created,
    rw_backlog_bytes,
    rw_backlog_limit,
    rw_backlog_age,
    rw_last_success,
    rule_matches,
    rule_errors,
    rule_cost,
    route_spills,
    limit_refusals,
    limit_keys,
    limit_forgotten,
    limit_passed,
    subset_providers,
    tagged,
    peers_members,
    peers_disputed,
    peers_sent,
    peers_sent_bytes,
    peers_dropped,
    lease_no_quorum,
    lease_held,
    lease_changes,
    lease_acts,
    drain_waits,
    sums_rows,
    sums_skipped,
    sums_left_out,
    sums_behind,
    counter_losses,
};

inline constexpr std::array<Family, 57> kFamilies{{
    {"slatejunction_requests_total", Type::counter, "requests", "class,plan,outcome",
     "Finished requests; outcome is served, refused or failed."},
    {"slatejunction_refusals_total", Type::counter, "requests", "class,plan,reason",
     "Refused requests by what refused them."},
    {"slatejunction_worth_offered_total", Type::counter, "worth", "class,plan",
     "Worth (class worth x plan price x units) of finished requests but those refused as beyond a quota."},
    {"slatejunction_worth_served_total", Type::counter, "worth", "class,plan",
     "Worth earned by answers: all of it within the aim, the class's late part after it."},
    {"slatejunction_worth_lost_total", Type::counter, "worth", "class,plan",
     "Worth offered and not served."},
    {"slatejunction_request_duration_seconds", Type::histogram, "seconds", "class,outcome",
     "From a request's last byte to its final answer; the bounds contain every class's aim and deadline."},
    {"slatejunction_attempts_total", Type::counter, "attempts", "outcome",
     "Invoker calls that have ended, by how."},
    {"slatejunction_bad_requests_total", Type::counter, "requests", "",
     "Requests that could not be taken: unreadable or not of the protocol's form."},
    {"slatejunction_starts_total", Type::counter, "starts", "",
     "Starts of this ingress since its counters began."},
    {"slatejunction_log_lines_left_out_total", Type::counter, "lines", "reason",
     "Log lines not written: over the rate, or without room as their reader is slow."},
    {"slatejunction_remote_write_samples_sent_total", Type::counter, "samples", "",
     "Samples that the receiver has taken."},
    {"slatejunction_remote_write_samples_retried_total", Type::counter, "samples", "",
     "Samples sent again because a batch had no answer or was put off."},
    {"slatejunction_remote_write_samples_dropped_total", Type::counter, "samples", "reason",
     "Samples that will never be sent: thinned in a full backlog, lost from it, or turned down."},
    {"slatejunction_remote_write_batches_total", Type::counter, "batches", "result",
     "Batches by how they ended: taken, put off (429, 5xx), turned down, broken, timed out, fallen back."},
    {"slatejunction_open_requests", Type::gauge, "requests", "", "Requests taken and not answered yet."},
    {"slatejunction_admitted_fraction", Type::gauge, "ratio", "",
     "The part of requests inside their quotas that the load controller lets in; 0.05 is its floor."},
    {"slatejunction_quota_report_age_seconds", Type::gauge, "seconds", "",
     "Since an answer last told a customer's use of its quota; since the start before the first."},
    {"slatejunction_providers", Type::gauge, "providers", "state",
     "Providers in the directory's list, ready or draining."},
    {"slatejunction_directory_age_seconds", Type::gauge, "seconds", "",
     "Since the directory last answered, be it with no change."},
    {"slatejunction_connections", Type::gauge, "connections", "side",
     "Open connections of consumers and to providers."},
    {"slatejunction_bytes_held", Type::gauge, "bytes", "side", "Bytes of requests and of answers held."},
    {"slatejunction_bytes_budget", Type::gauge, "bytes", "side", "The most that may be held of each."},
    {"slatejunction_descriptors", Type::gauge, "descriptors", "",
     "Descriptors in use: connections and a reserve."},
    {"slatejunction_descriptors_limit", Type::gauge, "descriptors", "",
     "Descriptors that the process may hold."},
    {"slatejunction_resident_bytes", Type::gauge, "bytes", "", "Resident size of the process."},
    {"slatejunction_memory_limit_bytes", Type::gauge, "bytes", "", "limits.memory_mb."},
    {"slatejunction_start_time_seconds", Type::gauge, "Unix seconds", "", "When this process started."},
    {"slatejunction_counters_created_seconds", Type::gauge, "Unix seconds", "",
     "When the counters began at 0."},
    {"slatejunction_remote_write_backlog_bytes", Type::gauge, "bytes", "", "Samples waiting to be sent."},
    {"slatejunction_remote_write_backlog_limit_bytes", Type::gauge, "bytes", "", "The most that may wait."},
    {"slatejunction_remote_write_backlog_age_seconds", Type::gauge, "seconds", "",
     "Age of the oldest sample that waits; 0 when none does."},
    {"slatejunction_remote_write_last_success_seconds", Type::gauge, "Unix seconds", "",
     "When the receiver last took a batch; the start before the first."},
    {"slatejunction_rule_matches_total", Type::counter, "matches", "rule",
     "Conditions of rules that held: of requests, of subsets each time that a provider was looked at."},
    {"slatejunction_rule_errors_total", Type::counter, "errors", "rule",
     "Expressions of rules that ended in an error, and so did not match."},
    {"slatejunction_rule_cost_units_total", Type::counter, "units", "", "Cost spent on all rules."},
    {"slatejunction_route_spills_total", Type::counter, "requests", "route",
     "Requests of a route that went to the whole fleet in place of its subset."},
    {"slatejunction_limit_refusals_total", Type::counter, "requests", "limit",
     "Requests refused as a key was over the limit."},
    {"slatejunction_limit_keys", Type::gauge, "keys", "limit", "Keys held by the limit."},
    {"slatejunction_limit_keys_forgotten_total", Type::counter, "keys", "limit",
     "Keys that gave way to others before their store was full again."},
    {"slatejunction_limit_passed_total", Type::counter, "requests", "limit",
     "Requests let pass as their key is not among those held."},
    {"slatejunction_subset_providers", Type::gauge, "providers", "subset",
     "Ready providers that the subset's condition names."},
    {"slatejunction_tagged_requests_total", Type::counter, "requests", "tag,value",
     "Finished requests by the tag's values; other stands for those that it does not name."},
    {"slatejunction_peers_members", Type::gauge, "ingresses", "state",
     "Ingresses that this one knows of, itself among them, by state; 0 where peers are off."},
    {"slatejunction_peers_disputed", Type::gauge, "names", "", "Names that two processes claim."},
    {"slatejunction_peers_sent_total", Type::counter, "datagrams", "",
     "Datagrams sent to other ingresses."},
    {"slatejunction_peers_sent_bytes_total", Type::counter, "bytes", "", "Bytes in them."},
    {"slatejunction_peers_dropped_total", Type::counter, "datagrams", "reason",
     "Datagrams that came and were dropped unread: size, version, a wrong key, replayed; held_back: not "
     "sent, over the "
     "budget."},
    {"slatejunction_lease_no_quorum", Type::gauge, "", "",
     "1 while no majority of the voters answers this ingress; 0 else, and where leases are off."},
    {"slatejunction_lease_held", Type::gauge, "leases", "", "Leases that this ingress holds."},
    {"slatejunction_lease_changes_total", Type::counter, "changes", "what",
     "Leases gained and lost here; what ends by itself, on an upgrade or with a drain is not lost."},
    {"slatejunction_lease_acts_total", Type::counter, "acts", "result",
     "Acts of [announce]: taken, turned down (another holds the lease by then), failed."},
    {"slatejunction_drain_waits", Type::gauge, "", "",
     "1 while a drain that was asked for waits for its slot."},
    {"slatejunction_fleet_sums_rows_total", Type::counter, "rows", "",
     "Rows of the fleet's sums that this ingress has handed to the receiver."},
    {"slatejunction_fleet_sums_skipped_total", Type::counter, "periods", "",
     "Periods without a row: a majority of the voters had forgotten, or the receiver was gone over a "
     "change of holder."},
    {"slatejunction_fleet_sums_left_out_total", Type::counter, "requests", "",
     "Finished requests that are in no row, as nobody told for long whether they were counted."},
    {"slatejunction_fleet_sums_behind_periods", Type::gauge, "periods", "",
     "Ended periods since the last one in which this ingress's counters are in the fleet's sums; 0 where "
     "they are off."},
    {"slatejunction_counter_losses_total", Type::counter, "losses", "",
     "Times that the shared counter had lost what it held, as far as this ingress knows."},
}};

constexpr const Family& family(Id id) { return kFamilies[static_cast<std::size_t>(id)]; }
constexpr std::string_view type_name(Type type) {
    return type == Type::counter ? "counter" : type == Type::gauge ? "gauge" : "histogram";
}

// One row a family, as docs/metrics.md holds them.
std::string markdown();

}   // namespace slatejunction::metrics
