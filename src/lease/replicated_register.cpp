#include "lease/replicated_register.hpp"

#include <algorithm>

#include "lease.pb.h"

namespace slatejunction::lease {
namespace {

constexpr std::size_t kMaxNameBytes = 80;
constexpr double kNeverS = 1e18;
// Added to the sequence number when a process continues a term after a hot restart. It exceeds the number
// of writes that the other process may still complete.
constexpr std::uint64_t kHotRestartSequenceGap = 1000;

}   // namespace

std::string encode(const RegisterMessage& message) {
    wire::NoteMessage out;
    out.set_kind(static_cast<std::uint32_t>(message.kind));
    out.set_name(message.name);
    out.set_number(message.fencing_token);
    out.set_ask(message.request_id);
    out.set_of_number(message.value.fencing_token);
    out.set_sequence(message.value.sequence);
    out.set_text(message.value.text);
    out.set_knows(message.value_intact);
    out.set_step(message.epoch);
    return out.SerializeAsString();
}

bool decode(std::string_view bytes, RegisterMessage& message) {
    wire::NoteMessage in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return false;
    if (in.kind() < 1 || in.kind() > 5 || in.number() == 0) return false;
    if (in.name().empty() || in.name().size() > kMaxNameBytes) return false;
    if (in.text().size() > kMaxValueBytes) return false;
    message.kind = static_cast<RegisterMessage::Kind>(in.kind());
    message.name = in.name();
    message.fencing_token = in.number();
    message.request_id = in.ask();
    message.value = {in.of_number(), in.sequence(), in.text()};
    message.value_intact = in.knows();
    message.epoch = in.step();
    return true;
}

// RegisterAcceptor

bool RegisterAcceptor::receive(const RegisterMessage& message, RegisterMessage& answer) {
    using Kind = RegisterMessage::Kind;
    if (message.kind != Kind::read && message.kind != Kind::write) return false;
    auto found = registers_.find(message.name);
    if (found == registers_.end() && registers_.size() >= kMaxRegisters) return false;
    answer = message;
    answer.value = {};
    if (found != registers_.end() && message.fencing_token < found->second.promised_token) {
        answer.kind = Kind::superseded;
        return true;
    }
    // After a loss of state a register is intact again from its first write on, because the writer has read
    // it from the other acceptors.
    const bool was_written = found != registers_.end() && found->second.value.fencing_token != 0;
    if (found == registers_.end()) found = registers_.emplace(message.name, StoredRegister{}).first;
    StoredRegister& stored = found->second;
    if (message.fencing_token > stored.promised_token) {
        stored.promised_token = message.fencing_token;
        ++revision_;
    }
    if (message.kind == Kind::read) {
        answer.kind = Kind::read_reply;
        answer.value = stored.value;
        answer.value_intact = storage_intact_ || was_written;
        return true;
    }
    answer.kind = Kind::write_ack;
    return write(message.value, stored);
}

// Returns whether the value is stored, which includes a duplicate of the stored write; false if a later
// write of the same writer is stored.
bool RegisterAcceptor::write(const RegisterValue& value, StoredRegister& stored) {
    if (!stored.value.is_older_than(value)) return stored.value == value;
    stored.value = value;
    ++revision_;
    return true;
}

void RegisterAcceptor::restore(const Registers& stored) {
    for (const auto& [name, restored] : stored) {
        StoredRegister& current = registers_[name];
        current.promised_token = std::max(current.promised_token, restored.promised_token);
        if (current.value.is_older_than(restored.value)) current.value = restored.value;
    }
    storage_intact_ = true;
    ++revision_;
}

// RegisterClient

RegisterClient::RegisterClient(std::vector<std::string> names, const LeaseTimes& times,
                               const AcceptorSet& acceptors, std::uint64_t seed)
    : times_(times), acceptors_(acceptors), random_(static_cast<std::minstd_rand::result_type>(seed)) {
    for (std::string& name : names) registers_[std::move(name)];
}

void RegisterClient::begin_term(double now, std::uint64_t fencing_token) {
    fencing_token_ = fencing_token;
    superseded_ = false;
    may_have_lost_values_ = false;
    for (auto& [name, reg] : registers_) {
        reg = {};
        reg.state = State::reading;
        reg.read_started_at = now;
        begin_request(now, name, reg);
    }
}

void RegisterClient::end_term() {
    fencing_token_ = 0;
    outgoing_.clear();
    for (auto& [name, reg] : registers_) reg = {};
}

void RegisterClient::set_acceptors(double now, const AcceptorSet& acceptors) {
    if (acceptors == acceptors_) return;
    acceptors_ = acceptors;
    if (!has_term()) return;
    for (auto& [name, reg] : registers_) {
        if (reg.state == State::reading)
            begin_request(now, name, reg);
        else
            begin_write(now, name, reg);
    }
}

bool RegisterClient::all_known() const {
    if (!has_term() || superseded_) return false;
    return std::all_of(registers_.begin(), registers_.end(), [](const auto& entry) {
        const State state = entry.second.state;
        return state == State::known || state == State::writing;
    });
}

bool RegisterClient::committed(const std::string& name) const {
    return !superseded_ && registers_.at(name).state == State::known;
}

void RegisterClient::write(double now, const std::string& name, std::string text) {
    Register& reg = registers_.at(name);
    const bool is_own = reg.value.fencing_token == fencing_token_;
    reg.value = {fencing_token_, is_own ? reg.value.sequence + 1 : 1, std::move(text)};
    begin_write(now, name, reg);
}

void RegisterClient::begin_write(double now, const std::string& name, Register& reg) {
    reg.state = State::writing;
    begin_request(now, name, reg);
}

void RegisterClient::begin_request(double now, const std::string& name, Register& reg) {
    reg.request_id = ++last_request_id_;
    reg.answered_by.clear();
    reg.answered_intact_by.clear();
    send_request(now, name, reg);
}

// Sends the request to the acceptors that have not answered it yet.
void RegisterClient::send_request(double now, const std::string& name, Register& reg) {
    using Kind = RegisterMessage::Kind;
    RegisterMessage message;
    message.kind = reg.state == State::reading ? Kind::read : Kind::write;
    message.name = name;
    message.fencing_token = fencing_token_;
    message.request_id = reg.request_id;
    message.epoch = acceptors_.epoch;
    if (reg.state == State::writing) message.value = reg.value;
    for (const std::string& acceptor : acceptors_.members())
        if (!reg.answered_by.contains(acceptor)) outgoing_.push_back({acceptor, message});
    const double jitter = std::uniform_real_distribution<double>(0.8, 1.2)(random_);
    reg.retry_at = now + request_timeout_s(times_) * jitter;
}

void RegisterClient::receive(double now, const std::string& acceptor, const RegisterMessage& message) {
    using Kind = RegisterMessage::Kind;
    if (!has_term() || message.fencing_token != fencing_token_) return;
    const auto found = registers_.find(message.name);
    if (found == registers_.end() || message.request_id != found->second.request_id) return;
    if (!acceptors_.members().contains(acceptor)) return;
    Register& reg = found->second;
    if (message.kind == Kind::superseded)
        superseded_ = true;
    else if (message.kind == Kind::read_reply && reg.state == State::reading)
        on_read_reply(now, acceptor, message, reg);
    else if (message.kind == Kind::write_ack && reg.state == State::writing)
        on_write_ack(acceptor, reg);
}

void RegisterClient::on_read_reply(double now, const std::string& acceptor, const RegisterMessage& message,
                                   Register& reg) {
    reg.answered_by.insert(acceptor);
    if (message.value_intact) reg.answered_intact_by.insert(acceptor);
    if (reg.value.is_older_than(message.value)) reg.value = message.value;
    if (!acceptors_.has_majority(reg.answered_intact_by)) {
        const bool all_answered = reg.answered_by.size() == acceptors_.members().size();
        const bool is_overdue_majority =
            is_read_overdue(now, reg) && acceptors_.has_majority(reg.answered_by);
        if (!all_answered && !is_overdue_majority) return;
        // The value was never written or has been lost, and no further acceptor answers.
        may_have_lost_values_ = true;
    }
    if (reg.value.fencing_token == fencing_token_) reg.value.sequence += kHotRestartSequenceGap;
    reg.state = State::known;
    reg.retry_at = kNeverS;
}

void RegisterClient::on_write_ack(const std::string& acceptor, Register& reg) {
    reg.answered_by.insert(acceptor);
    if (!acceptors_.has_majority(reg.answered_by)) return;
    reg.state = State::known;
    reg.retry_at = kNeverS;
}

bool RegisterClient::is_read_overdue(double now, const Register& reg) const {
    return now >= reg.read_started_at + kReadDeadlineGrantDurations * times_.grant_duration_s;
}

void RegisterClient::on_timer(double now) {
    if (!has_term() || superseded_) return;
    for (auto& [name, reg] : registers_) {
        if (now < reg.retry_at) continue;
        // An overdue read asks all acceptors again, as those that answered may have an intact value by now.
        if (reg.state == State::reading && is_read_overdue(now, reg))
            begin_request(now, name, reg);
        else
            send_request(now, name, reg);
    }
}

double RegisterClient::next_deadline() const {
    double next = kNeverS;
    if (!has_term() || superseded_) return next;
    for (const auto& [name, reg] : registers_) next = std::min(next, reg.retry_at);
    return next;
}

}   // namespace slatejunction::lease
