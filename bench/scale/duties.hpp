// The measurements: each runs at several sizes and writes its tables. Which program has which: the fleet's
// are built with raised caps (CMakeLists.txt), those of one ingress are the product's own code.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace slatejunction::scale {

struct Run {
    std::string directory;                // of the tables
    bool quick = false;                   // small sizes, short stretches
    std::size_t most = ~std::size_t{0};   // the largest size
    double wall_s = 600;   // of this machine, for one size of one duty; beyond it the row is left out
    // Those sizes of `all` that are to be run.
    std::vector<std::size_t> sizes(const std::vector<std::size_t>& all, std::size_t quick_most) const;
};

// Of the fleet.
void membership(
    const Run& run);          // whole fleets: cold start, steady, a death, a tenth restarted, regions cut
void crowd(const Run& run);   // one real member among N
void seal(const Run& run);
void leases(const Run& run);
void sums(const Run& run);
void limits(const Run& run);
void together(const Run& run);   // all duties over real membership, with its budget of datagrams
void disorder(const Run& run);
// Configuration in force on the whole fleet: without loss, with it, by relays; through faults; at ingresses
// that come with nothing.
void rollout_plain(const Run& run);
void rollout_loss(const Run& run);
void rollout_relays(const Run& run);
void rollout_faults(const Run& run);
void rollout_empty(const Run& run);
void rules(const Run& run);

// Of one ingress.
void backends(const Run& run);
void configuration(const Run& run);
void requests(const Run& run);
void quotas(const Run& run);

// Reads all tables and writes fits.csv.
void fits(const Run& run);

}   // namespace slatejunction::scale
