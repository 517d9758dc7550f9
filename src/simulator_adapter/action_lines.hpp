// Maps the actions of gateway.hpp to the reply lines of the simulator's wire protocol.
//
// The input is actions and the instance of their gateway; the output is the bytes of a reply. Times of
// timers are in seconds with six decimals, durations in seconds with nine significant digits. The owner of
// the writer is simulator_adapter.cpp.
#pragma once

#include <cstdio>
#include <ostream>
#include <string>
#include <string_view>
#include <variant>

#include "simulator_adapter/event_lines.hpp"
#include "slatejunction/gateway.hpp"

namespace slatejunction::simulator {

/// Collects the lines of a reply.
class ReplyWriter {
  public:
    void write(InstanceId instance, const Action& action) {
        std::visit([&](const auto& concrete) { write(instance, concrete); }, action);
    }

    /// Ends the reply and writes it to `out`.
    void flush(std::ostream& out) {
        reply_.append("END\n");
        out << reply_ << std::flush;
        reply_.clear();
    }

  private:
    void write(InstanceId instance, const StartAttempt& action) {
        begin_line("DISPATCH", instance, action.id);
        add_column(action.backend);
        add_number_column(action.timeout_s);
        end_line();
    }
    void write(InstanceId instance, const CancelAttempt& action) {
        begin_line("CALL_OFF", instance, action.id);
        add_column(std::to_string(action.attempt));
        end_line();
    }
    void write(InstanceId instance, const RejectRequest& action) {
        begin_line("REFUSE", instance, action.id);
        add_number_column(action.retry_after_s);
        end_line();
    }
    void write(InstanceId instance, const FailRequest& action) {
        begin_line("ABORT", instance, action.id);
        end_line();
    }
    void write(InstanceId instance, const SetTimer& action) {
        char fire_at[40];
        std::snprintf(fire_at, sizeof fire_at, "%.6f", action.fire_at_s);
        begin_line("SET_TIMER", instance, fire_at);
        add_column(std::to_string(action.tag));
        end_line();
    }
    void write(InstanceId instance, const StartHealthCheck& action) {
        begin_line("SAMPLE", instance, action.backend);
        end_line();
    }
    void write(InstanceId instance, const WatchEndpoints& action) {
        begin_line("LISTEN", instance, action.enabled ? "1" : "0");
        end_line();
    }
    void write(InstanceId instance, const LogMessage& action) {
        begin_line("DEBUG", instance, action.text);
        end_line();
    }
    void write(InstanceId, const ReportAdmittedFraction&) {}   // the protocol has no line for it

    void begin_line(const char* name, InstanceId instance, std::string_view first_column) {
        reply_.append(name);
        add_column(std::to_string(instance));
        add_column(first_column);
    }
    void add_column(std::string_view column) { reply_.append(1, '\t').append(column); }
    void add_number_column(double value) {
        char text[40];
        const int length = std::snprintf(text, sizeof text, "%.9g", value);
        add_column(std::string_view(text, static_cast<std::size_t>(length)));
    }
    void end_line() { reply_.append(1, '\n'); }

    std::string reply_;
};

}   // namespace slatejunction::simulator
