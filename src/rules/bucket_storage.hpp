// Keeps the states of limits in the state directory, so that a restart gives no key a new full store. A
// driver: one timer, one journal. All keys are written once every kEvery, a part at each tick. After a kill
// each key's state is at most that old (older where a limit holds over a million keys): it may take again
// what it took since, so at most its rate times kEvery and what its store held then.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "log/log.hpp"
#include "net/timers.hpp"
#include "rules/rules.hpp"
#include "storage/segmented_log.hpp"

namespace slatejunction::rules {

class BucketStorage {
  public:
    static constexpr double kEvery = 5;    // s
    static constexpr double kTick = 0.1;   // s

    // `rules`: those in force, or null. Takes what an earlier process left for limits of the same
    // definition. Throws storage::Error when the directory can't be read.
    BucketStorage(const std::string& directory, std::function<Rules*()> rules, net::Timers& timers,
                  Log& log);
    void start();
    // Writes all that is left of this round and a whole one; the program ends.
    void stop();

  private:
    // When a state was written: by the wall clock, and by the machine's clock since its boot, which no step
    // of the wall clock touches.
    struct Stamp {
        std::int64_t unix_ms = 0, boot_ms = 0;
        std::uint64_t boot = 0;   // which boot of which machine; 0: not known
        static Stamp now();
        double age_s(const Stamp& now) const;   // never below 0
    };
    struct Found {
        Stamp at;
        Limiter::Saved saved;
    };
    void read_record(std::uint32_t type, std::string_view payload,
                     std::map<std::string, Found>& found) const;
    void restore(const std::map<std::string, Found>& found);
    bool step();   // false: the round has ended, or can't be written
    bool begin_round();
    void tick();

    const std::function<Rules*()> rules_;
    Log& log_;
    net::Timer timer_;
    std::unique_ptr<storage::SegmentedLog> journal_;
    std::vector<std::uint64_t> older_;   // segments of rounds before this one
    std::size_t limit_ = 0, slot_ = 0;   // what is written next
    double round_began_ = -1e18;
    bool writing_ = false, failing_ = false;
};

}   // namespace slatejunction::rules
