// Counts and records what the ingress tells, samples it at each interval and hands it to remote write.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/config.hpp"
#include "ingress/observer.hpp"
#include "log/log.hpp"
#include "metrics/measures.hpp"
#include "net/timers.hpp"
#include "operator_config/options.hpp"
#include "remotewrite/driver.hpp"
#include "storage/state_directory.hpp"

namespace slatejunction::telemetry {

class Telemetry final : public ingress::RequestObserver {
  public:
    // Throws storage::Error when the state directory can't be used.
    Telemetry(const operator_config::Options& options, const config::Config& config, std::string version,
              net::Timers& timers, Log& log);
    ~Telemetry() override;
    Telemetry(const Telemetry&) = delete;
    Telemetry& operator=(const Telemetry&) = delete;

    // Where the gauges come from: called at each sample, until stop().
    void start(std::function<ingress::Gauges()> gauges);
    // A part that counts for itself brings its figures with each sample.
    void add_collector(std::function<void(metrics::Measures&)> counts) {
        collectors_.push_back(std::move(counts));
    }
    // Takes new options. What waits for the next start is named in the log.
    void reload(const operator_config::Options& options);
    // Rules that are in force from now on, whose tags are counted.
    void set_rules(const rules::Settings& rules) { options_.rules = rules; }
    // The last samples: calls `done` once they have been taken, after `most_s` or kStopMost at the latest.
    void stop(double most_s, std::function<void()> done);

    void on_request_end(const ingress::RequestSummary& finish) override;
    void on_attempt_end(slatejunction::AttemptResult outcome) override;
    void on_quota_report() override;
    void on_admitted_fraction(double fraction) override;
    void on_bad_request() override;

    const metrics::Measures::Shape& shape() const { return shape_; }
    const metrics::Measures& measures() const { return *measures_; }

  private:
    void sample();
    void tick();
    void push(std::vector<double> values, bool keep);
    void count_senders();
    void count_tag(std::size_t number, std::string_view value);
    void lay_out();

    operator_config::Options options_;
    const std::string name_, version_;
    const std::uint64_t seed_;
    Log& log_;
    std::optional<storage::StateDirectory> directory_;
    std::optional<metrics::Measures> measures_;
    net::Timers& timers_;
    net::Timer timer_;
    std::unique_ptr<remotewrite::Driver> driver_;
    std::shared_ptr<const remotewrite::Layout> layout_;
    remotewrite::Tally tally_;   // as far as it has been counted
    std::uint64_t suppressed_ = 0, lost_ = 0;
    std::vector<std::function<void(metrics::Measures&)>> collectors_;
    metrics::Measures::Shape shape_;
    std::function<ingress::Gauges()> gauges_;
    std::int64_t last_ms_ = 0;
    double started_ = 0, quota_report_at_ = 0;
    double next_ = 0;
};

}   // namespace slatejunction::telemetry
