#include "backend/response_progress.hpp"

#include <algorithm>
#include <utility>

namespace slatejunction::backend {

void ResponseProgress::on_bytes(double now) {
    if (!std::exchange(begun_, true)) began_at_ = now;
    last_byte_at_ = now;
    stall_reported_ = false;
}

ResponseStep ResponseProgress::next_step(double now, double deadline, const ResponseForm& form) {
    if (now >= deadline) return step_at_deadline(now, form);
    if (!begun_) return ResponseStep::wait;
    const bool may_be_large = form.forwardable && !form.length_known;
    const bool bytes_just_arrived = last_byte_at_ >= now;
    if (may_be_large && bytes_just_arrived && now >= began_at_ + kForwardAfterS)
        return ResponseStep::forward;
    if (may_be_large && now >= began_at_ + kMaxHoldS) return ResponseStep::forward;
    if (now < last_byte_at_ + kResponseStallS) return ResponseStep::wait;
    if (form.status_decides) return ResponseStep::finish;
    return std::exchange(stall_reported_, true) ? ResponseStep::wait : ResponseStep::report_stall;
}

ResponseStep ResponseProgress::step_at_deadline(double now, const ResponseForm& form) const {
    if (!begun_) return ResponseStep::give_up;
    if (form.status_decides) return ResponseStep::finish;
    const bool progresses = now - last_byte_at_ <= kMaxSilenceAtDeadlineS;
    return form.forwardable && progresses ? ResponseStep::forward : ResponseStep::give_up;
}

double ResponseProgress::next_step_at(double deadline, const ResponseForm& form) const {
    if (!begun_) return deadline;
    double at = deadline;
    if (!stall_reported_) at = std::min(at, last_byte_at_ + kResponseStallS);
    if (form.forwardable && !form.length_known) at = std::min(at, began_at_ + kMaxHoldS);
    return at;
}

}   // namespace slatejunction::backend
