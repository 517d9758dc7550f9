// Runs any number of gateways behind the simulator's line protocol on standard input and output.
//
// The input is batches of event lines (tab separated, times in seconds). The output is a reply of action
// lines for each batch. Malformed lines are reported on standard error with their line number and otherwise
// ignored. The functions in simulator_adapter/ map each message between the names of the wire protocol and
// the types of gateway.hpp.
//
// The adapter makes no decisions. Each instance has its own Gateway, and instances share nothing. The
// simulator starts this program.
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "simulator_adapter/action_lines.hpp"
#include "simulator_adapter/event_lines.hpp"
#include "slatejunction/gateway.hpp"

namespace slatejunction::simulator {
namespace {

/// Owns the gateways, passes them the events that it reads and writes their actions.
class GatewayHost {
  public:
    void run() {
        std::string line;
        while (std::getline(std::cin, line)) {
            ++line_number_;
            if (!line.empty() && line.back() == '\r') line.pop_back();
            try {
                handle_line(line);
            } catch (const std::exception& error) {
                report_error(error.what());
            }
            if (line == kEndOfBatch) reply_.flush(std::cout);
        }
    }

  private:
    static constexpr const char* kEndOfBatch = "OVER_TO_YOU";
    static constexpr const char* kTruncatedUpdate =
        "endpoint update ended before all of its entries arrived";

    using Gateways = std::map<InstanceId, Gateway>;

    // An endpoint update whose lines have not all been read.
    struct PartialUpdate {
        InstanceId instance = 0;
        std::int64_t missing_lines = 0;
        bool has_malformed_line = false;
        EndpointUpdate update;
    };

    void report_error(const std::string& text) {
        std::cerr << "line " << line_number_ << ": " << text << '\n';
    }

    void handle_line(const std::string& line) {
        if (line.empty() || line == kEndOfBatch) {
            end_update(kTruncatedUpdate);
            return;
        }
        const Columns columns = split(line, '\t');
        const std::string_view name = columns[0];
        if (name == "M") {
            add_endpoint(columns);
            return;
        }
        end_update(kTruncatedUpdate);
        if (name == "BATCH") {
            now_ = ColumnReader(columns, 1).number("the batch time");
            return;
        }
        if (!is_event_name(name)) throw MalformedLine("unknown message type: '" + std::string(name) + "'");
        ColumnReader reader(columns, 1);
        const auto instance = reader.integer<InstanceId>("Who");
        if (name == "BEGIN")
            begin_instance(instance, columns, reader);
        else if (name == "SHUTDOWN")
            gateways_.erase(find_instance(instance));
        else if (name == "DIRECTORY_UPDATE")
            begin_update(instance, reader);
        else
            handle_event(instance, name, reader);
    }

    Gateways::iterator find_instance(InstanceId instance) {
        const auto found = gateways_.find(instance);
        if (found == gateways_.end())
            throw MalformedLine("unknown instance: it has not begun or was shut down");
        return found;
    }

    void begin_instance(InstanceId instance, const Columns& columns, ColumnReader& reader) {
        constexpr std::size_t kFirstSetting = 3;
        const auto seed = reader.integer<std::uint64_t>("Prng");
        gateways_.erase(instance);
        const Settings settings = parse_settings(columns, kFirstSetting);
        const auto added = gateways_.emplace(instance, Gateway(settings, seed));
        handle(instance, added.first->second, Start{});
    }

    void handle_event(InstanceId instance, std::string_view name, const ColumnReader& reader) {
        Gateway& gateway = find_instance(instance)->second;
        const auto event = parse_event(name, reader);
        if (event) handle(instance, gateway, *event);
    }

    // The update of an unknown instance is started as well, so that its lines are skipped.
    void begin_update(InstanceId instance, ColumnReader& reader) {
        PartialUpdate partial;
        partial.instance = instance;
        partial.update.kind = parse_update_kind(reader.string("Form"));
        reader.integer<std::int64_t>("Index");
        partial.missing_lines = reader.integer<std::int64_t>("Elements");
        if (partial.missing_lines < 0) throw MalformedLine("Elements must not be negative");
        partial_update_ = std::move(partial);
        find_instance(instance);
        if (partial_update_->missing_lines == 0) end_update("");
    }

    void add_endpoint(const Columns& columns) {
        if (!partial_update_) throw MalformedLine("endpoint entry outside of an endpoint update");
        --partial_update_->missing_lines;
        try {
            partial_update_->update.endpoints.push_back(parse_endpoint(ColumnReader(columns, 1)));
        } catch (const std::exception& error) {
            partial_update_->has_malformed_line = true;
            report_error(error.what());
        }
        if (partial_update_->missing_lines == 0) end_update("");
    }

    // Passes the update on. A snapshot with missing or malformed lines is handled as a delta: such a line
    // must not remove a backend. `error` is reported if lines are missing.
    void end_update(const char* error) {
        if (!partial_update_) return;
        PartialUpdate partial = std::move(*partial_update_);
        partial_update_.reset();
        if (partial.missing_lines > 0) report_error(error);
        const bool incomplete = partial.missing_lines > 0 || partial.has_malformed_line;
        if (incomplete && partial.update.kind == EndpointUpdateKind::snapshot)
            partial.update.kind = EndpointUpdateKind::delta;
        const auto found = gateways_.find(partial.instance);
        if (found != gateways_.end()) handle(partial.instance, found->second, partial.update);
    }

    void handle(InstanceId instance, Gateway& gateway, const Event& event) {
        actions_.clear();
        gateway.handle(now_, event, actions_);
        for (const Action& action : actions_) reply_.write(instance, action);
    }

    Gateways gateways_;
    std::optional<PartialUpdate> partial_update_;
    std::vector<Action> actions_;
    ReplyWriter reply_;
    double now_ = 0;   // time of the current batch, seconds
    std::uint64_t line_number_ = 0;
};

}   // namespace
}   // namespace slatejunction::simulator

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    slatejunction::simulator::GatewayHost().run();
    return 0;
}
