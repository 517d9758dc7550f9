// Effects of received member updates, and name conflicts.
#include <utility>

#include "membership/packet_codec.hpp"
#include "membership/swim.hpp"

namespace slatejunction::membership {
namespace {

constexpr double kNameConflictPeriods = 30;   // protocol periods for which a conflict is remembered
constexpr double kNameAssertPeriods = 5;      // protocol periods between assertions of a name in conflict

// Returns the member whose suspicion this update is: the named accuser, else the sender.
const std::string& accuser_of(const wire::Member& update, const std::string& sender) {
    return update.accuser().empty() ? sender : update.accuser();
}

}   // namespace

void SwimMembership::apply_update(double now, const wire::Member& update, const std::string& from) {
    const auto state = static_cast<MemberState>(update.state());
    const auto found = peers_.find(update.name());
    if (found == peers_.end()) {
        if (counts_as_alive(state) && peers_.size() + 1 < kMaxMembers) add_peer(now, update, from);
        return;
    }
    Peer& peer = found->second;
    detect_name_conflict(now, update, peer);
    const bool confirms_suspicion =
        update.process() == peer.member.process && update.incarnation() == peer.member.incarnation &&
        state == MemberState::suspected && peer.member.state == MemberState::suspected;
    if (confirms_suspicion) return suspect(now, peer, accuser_of(update, from));
    if (supersedes(update, peer.member)) apply_newer_update(now, update, from, peer);
}

void SwimMembership::add_peer(double now, const wire::Member& update, const std::string& from) {
    Peer& peer = peers_[update.name()];
    peer.member = decode_new_member(update, now);
    ++alive_;
    changes_.push_back({peer.member, MemberChange::Kind::joined});
    enqueue_update(update.name());
    if (static_cast<MemberState>(update.state()) == MemberState::suspected)
        suspect(now, peer, accuser_of(update, from));
}

void SwimMembership::detect_name_conflict(double now, const wire::Member& update, Peer& peer) {
    Member& member = peer.member;
    const bool both_alive =
        counts_as_alive(member.state) && counts_as_alive(static_cast<MemberState>(update.state()));
    // Two processes at the same address are a restart, not a conflict: the earlier one has ended.
    if (!both_alive || update.process() == member.process || update.address() == member.address) return;
    peer.name_conflict_until = now + kNameConflictPeriods * settings_.protocol_period_s;
    if (!std::exchange(member.name_conflict, true))
        changes_.push_back({member, MemberChange::Kind::name_conflict});
}

void SwimMembership::apply_newer_update(double now, const wire::Member& update, const std::string& from,
                                        Peer& peer) {
    Member& member = peer.member;
    const auto state = static_cast<MemberState>(update.state());
    if (update.process() != member.process) {
        if (!counts_as_alive(state)) return;   // the end of a process that is not known here
        adopt_restarted_process(now, update, peer);
    }
    member.incarnation = update.incarnation();
    member.address = update.address();
    member.site = update.site();
    member.version = update.version();
    enqueue_update(update.name());
    if (state != MemberState::suspected) {
        change_state(now, peer, state);
    } else if (member.state == MemberState::alive) {
        suspect(now, peer, accuser_of(update, from));
    } else if (!counts_as_alive(member.state)) {
        change_state(now, peer, MemberState::alive);
        suspect(now, peer, from);
    }
}

void SwimMembership::adopt_restarted_process(double now, const wire::Member& update, Peer& peer) {
    peer.member.process = update.process();
    peer.member.last_received_at = 0;
    peer.member.state_since = now;
    peer.accusers.clear();
    store_state(peer, MemberState::alive);
    changes_.push_back({peer.member, MemberChange::Kind::restarted});
}

// Stores the state, and updates alive_ and suspected_ accordingly.
void SwimMembership::store_state(Peer& peer, MemberState state) {
    const bool was_alive = counts_as_alive(peer.member.state);
    const bool is_alive = counts_as_alive(state);
    if (is_alive && !was_alive) ++alive_;
    if (!is_alive && was_alive) --alive_;
    peer.member.state = state;
    if (state == MemberState::suspected)
        suspected_.insert(peer.member.name);
    else
        suspected_.erase(peer.member.name);
}

void SwimMembership::change_state(double now, Peer& peer, MemberState state) {
    if (peer.member.state == state) return;
    store_state(peer, state);
    peer.member.state_since = now;
    if (state != MemberState::suspected) peer.accusers.clear();
    changes_.push_back({peer.member, MemberChange::Kind::state_changed});
}

void SwimMembership::apply_update_about_self(double now, const wire::Member& update) {
    if (leaving_) return;
    if (update.process() == self_.process) return refute_suspicion(update);
    // Two processes cannot share an address, so an earlier process at this address has ended.
    const bool other_has_ended =
        !counts_as_alive(static_cast<MemberState>(update.state())) || update.address() == self_.address;
    if (other_has_ended)
        take_over_name(now, update);
    else
        contest_name(now, update);
}

// Refutes a suspicion with a higher incarnation, which replaces the updates of other members. Only this
// process may raise its incarnation.
void SwimMembership::refute_suspicion(const wire::Member& update) {
    const bool is_alive = static_cast<MemberState>(update.state()) == MemberState::alive;
    if (is_alive || update.incarnation() < self_.incarnation) return;
    self_.incarnation = update.incarnation() + 1;
    ++traffic_.refutations;
    adjust_local_health(-1);
    enqueue_update(self_.name);
}

// Claims the name of a process that has ended.
void SwimMembership::take_over_name(double now, const wire::Member& update) {
    if (update.incarnation() < self_.incarnation) return;
    self_.incarnation = update.incarnation() + 1;
    if (std::exchange(awaiting_name_, false)) self_.state_since = now;
    self_.name_conflict = false;
    enqueue_update(self_.name);
}

// Handles another live process with the name of this one. The later process waits until the other is gone.
// If both have served for some time without contact, both continue, and the conflict is reported.
void SwimMembership::contest_name(double now, const wire::Member& update) {
    const double period = settings_.protocol_period_s;
    const bool is_newcomer =
        now - self_.state_since < kNameConflictPeriods * period && self_.incarnation == 0;
    if (!std::exchange(self_.name_conflict, true)) {
        Member other = self_;
        other.address = update.address();
        other.process = update.process();
        changes_.push_back({other, MemberChange::Kind::name_conflict});
    }
    if (is_newcomer) {
        awaiting_name_ = true;
        self_.state_since = now;
        pending_updates_.erase(self_.name);
        return;
    }
    const bool may_assert = now - name_asserted_at_ > kNameAssertPeriods * period;
    if (update.incarnation() < self_.incarnation || !may_assert) return;
    name_asserted_at_ = now;
    self_.incarnation = update.incarnation() + 1;
    enqueue_update(self_.name);
}

}   // namespace slatejunction::membership
