// A remote write receiver without sockets: decodes requests by the public specifications, with a reader of
// its own, stores their samples and counts every breach of the protocol.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "server.hpp"

namespace fakes {

// name{label="value",...} with the labels in the order in which they came.
using SeriesKey = std::vector<std::pair<std::string, std::string>>;

struct Point {
    std::int64_t at_ms;
    double value;
};

struct Verdict {
    int status = 204;
    std::string fields, text;
    std::size_t samples = 0;
};

class Receiver {
  public:
    using Point = fakes::Point;
    struct Series {
        std::vector<Point> points;
        bool counter = false;
        std::int64_t created_ms = 0;   // as version 2.0 sent it; 0: not sent
    };

    // v1_only: answers 415 to 2.0.
    explicit Receiver(bool v1_only = false) : v1_only_(v1_only) {}
    // What a sound receiver answers; the samples are stored when it takes them.
    Verdict take(const Request& request);

    const std::map<SeriesKey, Series>& series() const { return series_; }
    const std::vector<std::string>& breaches() const { return breaches_; }   // the first hundred
    std::size_t breach_count() const { return breach_count_; }
    std::size_t batches() const { return batches_; }
    std::size_t samples() const { return samples_; }
    std::size_t repeats() const { return repeats_; }   // samples that were there already, the same

  private:
    struct Incoming {
        SeriesKey labels;
        std::vector<Point> points;
        int type = 0;
        std::int64_t created_ms = 0;
    };
    void breach(const std::string& what);
    bool decode_v1(std::string_view bytes, std::vector<Incoming>& series);
    bool decode_v2(std::string_view bytes, std::vector<Incoming>& series);
    void check(const Incoming& one);
    void store(const Incoming& one);

    bool v1_only_;
    std::map<SeriesKey, Series> series_;
    std::vector<std::string> breaches_;
    std::size_t breach_count_ = 0, batches_ = 0, samples_ = 0, repeats_ = 0;
};

std::string to_text(const SeriesKey& key);

}   // namespace fakes
