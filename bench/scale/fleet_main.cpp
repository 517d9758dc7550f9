// slatejunction-scale-fleet: what duties of the fleet cost by its size, and rules beyond
// their cap. Built with raised caps.
#include "command.hpp"

int main(int argc, char** argv) {
    using namespace slatejunction::scale;
    return command({{"membership", membership},
                    {"crowd", crowd},
                    {"seal", seal},
                    {"leases", leases},
                    {"sums", sums},
                    {"limits", limits},
                    {"together", together},
                    {"disorder", disorder},
                    {"rollout", rollout_plain},
                    {"rollout_loss", rollout_loss},
                    {"rollout_relays", rollout_relays},
                    {"rollout_faults", rollout_faults},
                    {"rollout_empty", rollout_empty},
                    {"rules", rules},
                    {"fits", fits}},
                   argc, argv);
}
