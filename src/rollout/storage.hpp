// What must outlive a process, as the cores ask for it. The cores call a home before they say, count or
// apply what it keeps; an implementation writes files, a test a map.
//
// Every method returns whether the effect is durable (a killed process finds it again). False: nothing of
// it may be found again, and the core goes on as if it had not asked.
#pragma once

#include <string>
#include <vector>

#include "rollout/log.hpp"

namespace slatejunction::rollout {

// What a replica finds at its start. `remembers`: all that it ever promised and took is in it; false: the
// disk is new, was lost or was set aside as broken, and the replica counts in no majority until a source
// admits it. A home that finds a broken file sets it aside and says false; it never says true for a part.
struct ReplicaStored {
    bool storage_intact = false;
    std::uint64_t promised = 0;       // the highest term
    std::uint64_t commit_index = 0;   // at least; may be older than what was told
    Log log;
};

class ReplicaStorage {
  public:
    virtual ~ReplicaStorage() = default;
    // Before a promise is told, and before an admitted replica says that it remembers.
    virtual bool save_promise(std::uint64_t term, bool remembers) = 0;
    // Before an append is answered. The records follow the last one kept.
    virtual bool append(const std::vector<Record>& records) = 0;
    // Before records of a conflicting suffix are replaced: none after `number` is found again.
    virtual bool truncate(std::uint64_t number) = 0;
    // The log as a whole, instead of what is kept: after a snapshot, and now and then to compact. Promise
    // and `remembers` stand.
    virtual bool replace(const Log& log, std::uint64_t committed) = 0;
    // A hint, for a quick start; need not be durable.
    virtual void save_commit_index(std::uint64_t number) = 0;
};

// What a follower finds at its start: the last version that was in force, whole. Nothing: version 0.
struct FollowerStored {
    Log log;   // last() is what was in force; a relay's keeps records before it
};

class FollowerStorage {
  public:
    virtual ~FollowerStorage() = default;
    // Before a version is in force: the records from the version in force to the next one. All or none of
    // them may be found again: a restart begins with whole versions only.
    virtual bool append(const std::vector<Record>& records) = 0;
    // Before a version that came as a snapshot is in force, and now and then to compact: log.last() is in
    // force.
    virtual bool replace(const Log& log) = 0;
};

}   // namespace slatejunction::rollout
