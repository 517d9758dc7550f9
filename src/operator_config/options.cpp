#include "operator_config/options.hpp"

#include <utility>

#include "rules/rules.hpp"

namespace slatejunction::operator_config {
namespace {

std::vector<ini::Section*> pointers(std::vector<ini::Section>& sections) {
    std::vector<ini::Section*> all;
    for (ini::Section& section : sections) all.push_back(&section);
    return all;
}

// What [rollout] wants of other sections; empty: it is there.
std::string fault_of_rollout(const Options& options) {
    if (options.metrics.directory.empty())
        return (options.rollout.follows() ? "from" : "listen") +
               std::string(": wants [state] directory, where what is in force outlives the process");
    if (options.rollout.key_file.empty() && options.membership.key_file.empty())
        return "key_file: is wanted, here or in [peers]: what nodes say is authenticated";
    if (options.rollout.is_control_machine() && !options.lease.on())
        return "listen: wants [lease] voters, which are the control machines; or `from`, for a relay";
    return {};
}

}   // namespace

std::vector<ini::Section> Options::sections() {
    std::vector<ini::Section> all;
    all.push_back(log.section());
    all.push_back(metrics.section());
    all.push_back(metrics.state());
    all.push_back(remote_write.section());
    all.push_back(rules.section());
    all.push_back(quota.section());
    all.push_back(membership.section());
    all.push_back(lease.section());
    all.push_back(lease.announce_section());
    all.push_back(fleet_counters.section());
    all.push_back(fleet_rate_limits.section());
    all.push_back(rollout.section());
    return all;
}

std::vector<std::string> load(const std::string& path, Options& options) {
    std::string text;
    if (!ini::load(path, text)) return {path + ": can't be read"};
    return load_text(path, text, options);
}

std::vector<std::string> parse_text(const std::string& path, const std::string& text, Options& options) {
    Options fresh;
    auto sections = fresh.sections();
    std::vector<std::string> faults =
        ini::read_text(path, text, pointers(sections), fresh.rules.families());
    if (faults.empty() && !fresh.metrics.directory.empty() &&
        fresh.metrics.directory == fresh.remote_write.backlog_directory)
        faults.push_back(path +
                         ": [remote_write] backlog_directory: is [state] directory too; each has its own");
    if (faults.empty() && fresh.lease.on() && !fresh.membership.on())
        faults.push_back(path + ": [lease] voters: [peers] listen is wanted, leases are carried by it");
    if (faults.empty() && !fresh.lease.announce_url.empty() && !fresh.lease.on())
        faults.push_back(path +
                         ": [announce] url: [lease] voters are wanted, only a holder announces itself");
    if (faults.empty() && fresh.membership.static_members.empty())
        for (const auto& one : fresh.rules.limits)
            if (one.scope == 1)
                faults.push_back(path + ": [limit " + one.name +
                                 "] scope: fleet wants [peers] members, every ingress by name");
    if (faults.empty() && fresh.fleet_counters.on() &&
        (!fresh.lease.on() || fresh.remote_write.url.empty()))
        faults.push_back(path + ": [fleet_sums] every_s: wants " +
                         (fresh.lease.on() ? "[remote_write] url, where the sums are written"
                                           : "[lease] voters, one of all ingresses writes them"));
    if (faults.empty() && fresh.lease.on() &&
        fresh.lease.token_persistence == lease::Options::state_directory && fresh.metrics.directory.empty())
        faults.push_back(path + ": [lease] numbers: kept wants [state] directory");
    if (faults.empty() && fresh.rollout.on()) {
        const std::string fault = fault_of_rollout(fresh);
        if (!fault.empty()) faults.push_back(path + ": [rollout] " + fault);
    }
    if (faults.empty()) options = std::move(fresh);
    return faults;
}

std::vector<std::string> load_text(const std::string& path, const std::string& text, Options& options) {
    Options fresh;
    std::vector<std::string> faults = parse_text(path, text, fresh);
    if (!faults.empty()) return faults;
    std::vector<std::string> of_rules;
    rules::Rules::load(fresh.rules, {}, of_rules);
    for (const std::string& fault : of_rules) faults.push_back(path + ": " + fault);
    if (faults.empty()) options = std::move(fresh);
    return faults;
}

std::string sample() {
    Options standard;
    auto sections = standard.sections();
    return "# slatejunction: the operator's own file, given with --operator FILE. Every key stands here "
           "with its\n"
           "# default. The platform's settings are not here but in the file that NODE_CONFIG names.\n\n" +
           ini::sample(pointers(sections), standard.rules.families());
}

}   // namespace slatejunction::operator_config
