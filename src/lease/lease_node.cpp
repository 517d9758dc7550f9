#include "lease/lease_node.hpp"

#include <algorithm>
#include <utility>

namespace slatejunction::lease {

LeaseNode::LeaseNode(const LeaseNodeSettings& settings, std::uint64_t holder, std::uint64_t seed,
                     double now, std::uint64_t token_floor, const AcceptorState* state,
                     AcceptorStorage* storage)
    : settings_(settings), holder_(holder), token_floor_(token_floor), random_(seed), storage_(storage) {
    if (!settings_.acceptors.members().contains(settings_.name)) return;
    const AcceptorState stored = state ? *state : AcceptorState{};
    acceptor_ = std::make_unique<Acceptor>(settings_.times, now, token_floor, state != nullptr,
                                           stored.grants, stored.epoch);
    acceptor_->set_epoch(settings_.acceptors.epoch);
}

std::string LeaseNode::slot_name(const std::string& lease, const Campaign& campaign, unsigned slot) const {
    return campaign.slots == 1 ? lease : lease + "/" + std::to_string(slot + 1);
}

// Candidates are never destroyed while the process runs, because their rounds must only increase.
LeaseNode::Campaign& LeaseNode::find_or_create_campaign(const std::string& lease, unsigned slots) {
    const auto [entry, is_new] = campaigns_.try_emplace(lease);
    Campaign& campaign = entry->second;
    if (!is_new) return campaign;
    campaign.slots = std::clamp(slots, 1U, kMaxSlots);
    for (unsigned slot = 0; slot < campaign.slots; ++slot)
        campaign.candidates.push_back(std::make_unique<Candidate>(slot_name(lease, campaign, slot),
                                                                  settings_.name, holder_, settings_.times,
                                                                  settings_.acceptors, random_()));
    campaign.slot = static_cast<unsigned>(random_() % campaign.slots);
    return campaign;
}

void LeaseNode::campaign(double now, const std::string& lease, unsigned slots) {
    Campaign& campaign = find_or_create_campaign(lease, slots);
    if (std::exchange(campaign.active, true)) return;
    campaign.slot_tried_since = now;
    campaign.candidates[campaign.slot]->campaign(now);
    deliver_candidate_messages(now);
}

void LeaseNode::release(double now, const std::string& lease) {
    const auto entry = campaigns_.find(lease);
    if (entry == campaigns_.end() || !std::exchange(entry->second.active, false)) return;
    for (const auto& candidate : entry->second.candidates) candidate->release(now);
    deliver_candidate_messages(now);
}

bool LeaseNode::answer_as_acceptor(double now, const Message& message, Message& answer) {
    if (!acceptor_) return false;
    const bool has_answer = acceptor_->receive(now, message, answer);
    return save_acceptor() && has_answer;
}

// Saves the acceptor's state if it has changed. Returns false if it could not be saved; then the acceptor
// must not answer, as a restart would lose the state that the answer depends on.
bool LeaseNode::save_acceptor() {
    const bool is_saved = acceptor_->revision() == saved_revision_ && epoch_saved_;
    if (!storage_ || is_saved) return true;
    if (!storage_->save(acceptor_->epoch(), acceptor_->grants())) {
        ++failed_saves_;
        return false;
    }
    saved_revision_ = acceptor_->revision();
    epoch_saved_ = true;
    return true;
}

void LeaseNode::receive(double now, const std::string& from, std::string_view body) {
    Message message;
    if (!decode(body, message)) {
        ++malformed_;
        return;
    }
    if (message.kind == MessageKind::request || message.kind == MessageKind::release) {
        Message answer;
        if (answer_as_acceptor(now, message, answer)) outgoing_.push_back({from, encode(answer)});
        return;
    }
    for (auto& [lease, campaign] : campaigns_)
        for (const auto& candidate : campaign.candidates)
            if (candidate->lease() == message.lease) candidate->receive(now, from, message);
    deliver_candidate_messages(now);
}

// Delivers the candidates' messages: to the acceptor of this process directly, to the others by datagram.
void LeaseNode::deliver_candidate_messages(double now) {
    bool answered = true;
    while (answered) {
        answered = false;
        for (auto& [lease, campaign] : campaigns_)
            for (const auto& candidate : campaign.candidates)
                if (deliver_messages_of(now, *candidate)) answered = true;
    }
    update_campaigns(now);
}

// Returns true if the acceptor of this process answered, as the candidate may then have more to send.
bool LeaseNode::deliver_messages_of(double now, Candidate& candidate) {
    bool answered = false;
    for (const AddressedMessage& outgoing : candidate.take_outgoing()) {
        if (outgoing.to != settings_.name) {
            outgoing_.push_back({outgoing.to, encode(outgoing.message)});
            continue;
        }
        Message answer;
        if (!answer_as_acceptor(now, outgoing.message, answer)) continue;
        candidate.receive(now, settings_.name, answer);
        answered = true;
    }
    return answered;
}

void LeaseNode::update_campaigns(double now) {
    for (auto& [lease, campaign] : campaigns_) {
        report_token_change(lease, campaign);
        try_next_slot(now, campaign);
    }
}

void LeaseNode::report_token_change(const std::string& lease, Campaign& campaign) {
    const Candidate& candidate = *campaign.candidates[campaign.slot];
    const std::uint64_t token = candidate.fencing_token();
    const std::uint64_t before = campaign.reported_token;
    if (token == before) return;
    LeaseEvent::Kind kind = LeaseEvent::Kind::token_changed;
    if (before == 0)
        kind = LeaseEvent::Kind::gained;
    else if (token == 0)
        kind = LeaseEvent::Kind::lost;
    events_.push_back({kind, lease, campaign.slot, token == 0 ? before : token, candidate.valid_until()});
    campaign.reported_token = token;
}

// Moves on to the next slot if the requested one is held by another process.
void LeaseNode::try_next_slot(double now, Campaign& campaign) {
    if (!campaign.active || campaign.slots == 1) return;
    Candidate& denied = *campaign.candidates[campaign.slot];
    if (denied.state() != Candidate::State::backoff) return;
    if (denied.denied_at() <= campaign.slot_tried_since) return;
    denied.release(now);
    campaign.slot = (campaign.slot + 1) % campaign.slots;
    campaign.slot_tried_since = now;
    campaign.candidates[campaign.slot]->campaign(now);
}

void LeaseNode::on_timer(double now) {
    for (auto& [lease, campaign] : campaigns_)
        for (const auto& candidate : campaign.candidates)
            if (candidate->next_deadline() <= now) candidate->on_timer(now);
    deliver_candidate_messages(now);
}

double LeaseNode::next_deadline() const {
    double next = 1e18;
    for (const auto& [lease, campaign] : campaigns_)
        for (const auto& candidate : campaign.candidates) next = std::min(next, candidate->next_deadline());
    return next;
}

bool LeaseNode::permit(double now, const std::string& lease, Permit& permit) const {
    const auto entry = campaigns_.find(lease);
    if (entry == campaigns_.end()) return false;
    const Candidate& candidate = *entry->second.candidates[entry->second.slot];
    if (!candidate.may_act(now)) return false;
    permit = {candidate.fencing_token(), candidate.valid_until()};
    return true;
}

bool LeaseNode::holds(double now, const std::string& lease) const {
    const auto entry = campaigns_.find(lease);
    return entry != campaigns_.end() && entry->second.candidates[entry->second.slot]->holds(now);
}

bool LeaseNode::has_quorum(double now, double window_s) const {
    for (const auto& [lease, campaign] : campaigns_)
        for (const auto& candidate : campaign.candidates)
            if (now - candidate->last_quorum_at() <= window_s) return true;
    return false;
}

std::vector<LeaseStatus> LeaseNode::statuses() const {
    std::vector<LeaseStatus> all;
    for (const auto& [lease, campaign] : campaigns_) {
        const Candidate& candidate = *campaign.candidates[campaign.slot];
        all.push_back({lease, campaign.slots, campaign.slot, candidate.state(), candidate.fencing_token(),
                       candidate.valid_until(), candidate.held_since(), candidate.other_holder()});
    }
    return all;
}

void LeaseNode::set_acceptors(double now, const AcceptorSet& acceptors) {
    settings_.acceptors = acceptors;
    // A process that becomes an acceptor may have been one before and does not know what it granted then.
    if (!acceptor_ && acceptors.members().contains(settings_.name))
        acceptor_ = std::make_unique<Acceptor>(settings_.times, now, token_floor_, false);
    if (acceptor_) acceptor_->set_epoch(acceptors.epoch);
    epoch_saved_ = false;
    for (auto& [lease, campaign] : campaigns_)
        for (const auto& candidate : campaign.candidates) candidate->set_acceptors(now, acceptors);
    deliver_candidate_messages(now);
}

std::uint64_t LeaseNode::gained() const {
    std::uint64_t sum = 0;
    for (const auto& [lease, campaign] : campaigns_)
        for (const auto& candidate : campaign.candidates) sum += candidate->gained();
    return sum;
}

std::uint64_t LeaseNode::lost() const {
    std::uint64_t sum = 0;
    for (const auto& [lease, campaign] : campaigns_)
        for (const auto& candidate : campaign.candidates) sum += candidate->lost();
    return sum;
}

std::vector<Candidate::HeldLease> LeaseNode::export_holds(double now) {
    std::vector<Candidate::HeldLease> holds;
    for (auto& [lease, campaign] : campaigns_) {
        campaign.active = false;
        for (const auto& candidate : campaign.candidates) {
            const Candidate::HeldLease hold = candidate->export_hold(now);
            if (hold.fencing_token != 0) holds.push_back(hold);
        }
    }
    update_campaigns(now);
    return holds;
}

void LeaseNode::restore_acceptor(double now, const AcceptorState& state) {
    if (!acceptor_) return;
    const std::uint32_t epoch = std::max(state.epoch, settings_.acceptors.epoch);
    acceptor_ = std::make_unique<Acceptor>(settings_.times, now, 0, true, state.grants, epoch);
    saved_revision_ = 0;
    epoch_saved_ = false;
}

void LeaseNode::import_holds(double now, const std::vector<Candidate::HeldLease>& holds) {
    for (const Candidate::HeldLease& hold : holds)
        for (auto& [lease, campaign] : campaigns_)
            for (unsigned slot = 0; slot < campaign.slots; ++slot)
                if (campaign.candidates[slot]->lease() == hold.lease)
                    import_hold(now, lease, campaign, slot, hold);
    deliver_candidate_messages(now);
}

void LeaseNode::import_hold(double now, const std::string& lease, Campaign& campaign, unsigned slot,
                            const Candidate::HeldLease& hold) {
    campaign.candidates[campaign.slot]->release(now);
    campaign.slot = slot;
    campaign.active = true;
    campaign.candidates[slot]->import_hold(now, hold);
    if (campaign.candidates[slot]->fencing_token() == 0) return;
    campaign.reported_token = hold.fencing_token;
    events_.push_back({LeaseEvent::Kind::adopted, lease, slot, hold.fencing_token, hold.valid_until});
}

}   // namespace slatejunction::lease
