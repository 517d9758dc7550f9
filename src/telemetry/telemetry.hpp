// Updates metrics and writes request records from the ingress's events, samples all metrics at each
// interval and passes the samples to remote write. Observability: the log lines "state: ..." and "reloaded:
// ...".
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
    /// Throws storage::Error when the state directory can't be used, and as remotewrite::Driver.
    Telemetry(const operator_config::Options& options, const config::Config& config, std::string version,
              net::Timers& timers, Log& log);
    ~Telemetry() override;
    Telemetry(const Telemetry&) = delete;
    Telemetry& operator=(const Telemetry&) = delete;

    /// Starts sampling. `gauges` is called at each sample, until stop().
    void start(std::function<ingress::Gauges()> gauges);
    /// Adds a collector, which updates the metrics of another component before each sample.
    void add_collector(std::function<void(metrics::Measures&)> collector) {
        collectors_.push_back(std::move(collector));
    }
    /// Applies new options. Options that apply only after a restart are named in the log.
    void reload(const operator_config::Options& options);
    /// Sets the rules in force, which name the tags of requests.
    void set_rules(const rules::Settings& rules) { options_.rules = rules; }
    /// Takes the last sample and calls `done` once all samples are sent, after `max_wait_s` or kMaxStopS
    /// (s) at the latest.
    void stop(double max_wait_s, std::function<void()> done);

    void on_request_end(const ingress::RequestSummary& summary) override;
    void on_attempt_end(slatejunction::AttemptResult result) override;
    void on_response_event(const backend::ResponseEvent& event) override;
    void on_quota_report() override;
    void on_admitted_fraction(double fraction) override;
    void on_bad_request() override;

    const metrics::Measures::Shape& shape() const { return shape_; }
    const metrics::Measures& measures() const { return *measures_; }

  private:
    void sample();
    void on_timer();
    void add_frame(std::vector<double> values, bool keep);
    void update_delivery_metrics();
    void count_tag(std::size_t index, std::string_view value);
    void build_layout();

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
    remotewrite::Tally tally_;                  // the counts already added to the metrics
    std::uint64_t suppressed_ = 0, lost_ = 0;   // log lines already added to the metrics
    std::vector<std::function<void(metrics::Measures&)>> collectors_;
    metrics::Measures::Shape shape_;
    std::function<ingress::Gauges()> gauges_;
    std::int64_t last_sample_ms_ = 0;   // Unix time
    double started_ = 0, quota_report_at_ = 0;
    double next_sample_at_ = 0;   // s of net::now(), as the times above
};

}   // namespace slatejunction::telemetry
