// Maps the actions of gateway.hpp to the simulator's reply lines.
//
// Inputs: actions and the number of their gateway.
// Output: the bytes of a reply, times in seconds with six decimals.
// It decides nothing. simulator_adapter.cpp owns the writer.
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
        std::visit([&](const auto& a) { write(instance, a); }, action);
    }

    /// Ends the reply and writes it to `out`.
    void flush(std::ostream& out) {
        reply_.append("END\n");
        out << reply_ << std::flush;
        reply_.clear();
    }

  private:
    void write(InstanceId instance, const StartAttempt& a) {
        begin("DISPATCH", instance, a.id);
        add(a.backend);
        add_number(a.timeout_s);
        end();
    }
    void write(InstanceId instance, const CancelAttempt& a) {
        begin("CALL_OFF", instance, a.id);
        add(std::to_string(a.attempt));
        end();
    }
    void write(InstanceId instance, const RejectRequest& a) {
        begin("REFUSE", instance, a.id);
        add_number(a.retry_after_s);
        end();
    }
    void write(InstanceId instance, const FailRequest& a) {
        begin("ABORT", instance, a.id);
        end();
    }
    void write(InstanceId instance, const SetTimer& a) {
        char at[40];
        std::snprintf(at, sizeof at, "%.6f", a.fire_at_s);
        begin("SET_TIMER", instance, at);
        add(std::to_string(a.tag));
        end();
    }
    void write(InstanceId instance, const StartHealthCheck& a) {
        begin("SAMPLE", instance, a.backend);
        end();
    }
    void write(InstanceId instance, const WatchEndpoints& a) {
        begin("LISTEN", instance, a.enabled ? "1" : "0");
        end();
    }
    void write(InstanceId instance, const LogMessage& a) {
        begin("DEBUG", instance, a.text);
        end();
    }
    void write(InstanceId, const ReportAdmittedFraction&) {}   // the wire has no line for it

    void begin(const char* name, InstanceId instance, std::string_view first_column) {
        reply_.append(name);
        add(std::to_string(instance));
        add(first_column);
    }
    void add(std::string_view column) { reply_.append(1, '\t').append(column); }
    void add_number(double value) {
        char text[40];
        const int length = std::snprintf(text, sizeof text, "%.9g", value);
        add(std::string_view(text, static_cast<std::size_t>(length)));
    }
    void end() { reply_.append(1, '\n'); }

    std::string reply_;
};

}   // namespace slatejunction::simulator
