#include "receiver.hpp"

#include <snappy.h>

#include <algorithm>
#include <bit>
#include <cstring>

namespace fakes {
namespace {

// Protocol buffers' wire format, by its public description: fields of varints, 64 bits or bytes.
class Wire {
  public:
    explicit Wire(std::string_view bytes) : bytes_(bytes) {}
    // The next field; false at the end or when the bytes are no message (then bad()).
    bool next() {
        if (bytes_.empty()) return false;
        std::uint64_t key = 0;
        if (!varint(key)) return fail();
        number = static_cast<int>(key >> 3);
        switch (key & 7) {
            case 0:
                return varint(value) || fail();
            case 1:
                return fixed(8) || fail();
            case 5:
                return fixed(4) || fail();
            case 2: {
                std::uint64_t size = 0;
                if (!varint(size) || size > bytes_.size()) return fail();
                bytes = bytes_.substr(0, size);
                bytes_.remove_prefix(size);
                return true;
            }
            default:
                return fail();
        }
    }
    bool bad() const { return bad_; }
    double real() const { return std::bit_cast<double>(value); }

    int number = 0;
    std::uint64_t value = 0;
    std::string_view bytes;

  private:
    bool fail() {
        bad_ = true;
        return false;
    }
    bool varint(std::uint64_t& out) {
        out = 0;
        for (int shift = 0; shift < 64 && !bytes_.empty(); shift += 7) {
            const auto byte = static_cast<unsigned char>(bytes_.front());
            bytes_.remove_prefix(1);
            out |= std::uint64_t{byte & 0x7fu} << shift;
            if (byte < 0x80) return true;
        }
        return false;
    }
    bool fixed(std::size_t size) {
        if (bytes_.size() < size) return false;
        value = 0;
        std::memcpy(&value, bytes_.data(), size);
        bytes_.remove_prefix(size);
        return true;
    }
    std::string_view bytes_;
    bool bad_ = false;
};

bool is_utf8(std::string_view text) {
    for (std::size_t i = 0; i < text.size();) {
        const auto c = static_cast<unsigned char>(text[i]);
        const std::size_t more = c < 0x80 ? 0 : c >= 0xc2 && c < 0xe0 ? 1 : c >= 0xe0 && c < 0xf0 ? 2 : 3;
        if (c >= 0xf5 || (c >= 0x80 && c < 0xc2) || i + more >= text.size() + (more == 0)) return false;
        for (std::size_t k = 1; k <= more; ++k)
            if ((static_cast<unsigned char>(text[i + k]) & 0xc0) != 0x80) return false;
        i += more + 1;
    }
    return true;
}

bool same(double a, double b) { return std::bit_cast<std::uint64_t>(a) == std::bit_cast<std::uint64_t>(b); }

bool read_sample(std::string_view bytes, Receiver::Point& point) {
    Wire wire(bytes);
    point = {0, 0};
    while (wire.next()) {
        if (wire.number == 1) point.value = wire.real();
        if (wire.number == 2) point.at_ms = static_cast<std::int64_t>(wire.value);
    }
    return !wire.bad();
}

}   // namespace

std::string to_text(const SeriesKey& key) {
    std::string name, labels;
    for (const auto& [label, value] : key) {
        if (label == "__name__") {
            name = value;
            continue;
        }
        labels += (labels.empty() ? "" : ",") + label + "=\"";
        for (const char c : value) {
            if (c == '"' || c == '\\') labels += '\\';
            labels += c == '\n' || c == '\t' ? ' ' : c;
        }
        labels += '"';
    }
    return name + "{" + labels + "}";
}

void Receiver::breach(const std::string& what) {
    if (++breach_count_ <= 100) breaches_.push_back(what);
}

Verdict Receiver::take(const Request& request) {
    Verdict bad{400, "", "bad request", 0};
    const std::string type = request.field("content-type");
    const std::string version = request.field("x-prometheus-remote-write-version");
    const bool v2 = type == "application/x-protobuf;proto=io.prometheus.write.v2.Request";
    if (request.method != "POST") breach("method " + request.method);
    if (request.field("content-encoding") != "snappy") breach("no Content-Encoding: snappy");
    if (request.field("user-agent").empty()) breach("no User-Agent");
    if (request.field("host").empty()) breach("no Host");
    if (!v2 && type != "application/x-protobuf" &&
        type != "application/x-protobuf;proto=prometheus.WriteRequest")
        breach("Content-Type '" + type + "'");
    if (version != (v2 ? "2.0.0" : "0.1.0")) breach("version '" + version + "' for " + type);
    if (v2 && v1_only_) return {415, "", "2.0 is not known here", 0};
    std::string plain;
    if (!snappy::Uncompress(request.body.data(), request.body.size(), &plain)) {
        breach("a body that is not snappy's block format");
        return bad;
    }
    std::vector<Incoming> incoming;
    if (!(v2 ? decode_v2(plain, incoming) : decode_v1(plain, incoming))) {
        breach("a body that is no message");
        return bad;
    }
    if (incoming.empty()) breach("a request without series");
    std::size_t samples = 0;
    for (const Incoming& one : incoming) {
        check(one);
        store(one);
        samples += one.points.size();
    }
    ++batches_;
    samples_ += samples;
    Verdict taken;
    taken.samples = samples;
    if (v2)
        taken.fields = "X-Prometheus-Remote-Write-Samples-Written: " + std::to_string(samples) +
                       "\r\nX-Prometheus-Remote-Write-Histograms-Written: 0\r\n"
                       "X-Prometheus-Remote-Write-Exemplars-Written: 0\r\n";
    return taken;
}

bool Receiver::decode_v1(std::string_view bytes, std::vector<Incoming>& series) {
    std::map<std::string, int, std::less<>> types;
    Wire all(bytes);
    while (all.next()) {
        if (all.number == 1) {
            Incoming& one = series.emplace_back();
            Wire wire(all.bytes);
            while (wire.next()) {
                if (wire.number == 1) {
                    auto& label = one.labels.emplace_back();
                    Wire pair(wire.bytes);
                    while (pair.next()) (pair.number == 1 ? label.first : label.second) = pair.bytes;
                    if (pair.bad()) return false;
                } else if (wire.number == 2 && !read_sample(wire.bytes, one.points.emplace_back())) {
                    return false;
                }
            }
            if (wire.bad()) return false;
        } else if (all.number == 3) {
            Wire about(all.bytes);
            int type = 0;
            std::string name;
            while (about.next()) {
                if (about.number == 1) type = static_cast<int>(about.value);
                if (about.number == 2) name = about.bytes;
            }
            if (about.bad() || name.empty()) return false;
            types[name] = type;
        }
    }
    for (Incoming& one : series)
        for (const auto& [label, value] : one.labels)
            if (const auto at = types.find(value); label == "__name__" && at != types.end())
                one.type = at->second;
    return !all.bad();
}

bool Receiver::decode_v2(std::string_view bytes, std::vector<Incoming>& series) {
    std::vector<std::string> symbols;
    std::vector<std::string_view> messages;
    Wire all(bytes);
    while (all.next()) {
        if (all.number == 4) symbols.emplace_back(all.bytes);
        if (all.number == 5) messages.push_back(all.bytes);
    }
    if (all.bad()) return false;
    if (symbols.empty() || !symbols[0].empty()) breach("the first symbol is not empty");
    std::vector<std::string> sorted(symbols);
    std::sort(sorted.begin(), sorted.end());
    if (std::adjacent_find(sorted.begin(), sorted.end()) != sorted.end()) breach("a symbol twice");
    const auto symbol = [&](std::uint64_t place) -> std::string {
        if (place < symbols.size()) return symbols[place];
        breach("a reference beyond the symbols");
        return {};
    };
    for (const std::string_view message : messages) {
        Incoming& one = series.emplace_back();
        std::vector<std::uint64_t> refs;
        Wire wire(message);
        while (wire.next()) {
            if (wire.number == 1 && !wire.bytes.empty()) {   // packed: varints one after another
                std::uint64_t value = 0;
                int shift = 0;
                for (const char c : wire.bytes) {
                    value |= std::uint64_t{static_cast<unsigned char>(c) & 0x7fu} << shift;
                    shift += 7;
                    if (!(c & 0x80)) refs.push_back(value), value = 0, shift = 0;
                }
            } else if (wire.number == 2) {
                if (!read_sample(wire.bytes, one.points.emplace_back())) return false;
            } else if (wire.number == 5) {
                Wire about(wire.bytes);
                while (about.next()) {
                    if (about.number == 1) one.type = static_cast<int>(about.value);
                    if (about.number == 3 || about.number == 4) symbol(about.value);
                }
                if (about.bad()) return false;
            } else if (wire.number == 6) {
                one.created_ms = static_cast<std::int64_t>(wire.value);
            }
        }
        if (wire.bad()) return false;
        if (refs.size() % 2 != 0) breach("label references that are no pairs");
        for (std::size_t i = 0; i + 1 < refs.size(); i += 2)
            one.labels.emplace_back(symbol(refs[i]), symbol(refs[i + 1]));
    }
    return true;
}

void Receiver::check(const Incoming& one) {
    const std::string text = to_text(one.labels);
    if (one.labels.empty()) breach("a series without labels");
    if (one.points.empty()) breach("no samples: " + text);
    bool named = false;
    for (std::size_t i = 0; i < one.labels.size(); ++i) {
        const auto& [name, value] = one.labels[i];
        named = named || name == "__name__";
        if (name.empty() || value.empty()) breach("an empty label: " + text);
        if (!is_utf8(name) || !is_utf8(value)) breach("a label that is no UTF-8: " + text);
        if (i > 0 && !(one.labels[i - 1].first < name)) breach("labels unsorted or twice: " + text);
    }
    if (!named) breach("no __name__: " + text);
    for (std::size_t i = 1; i < one.points.size(); ++i)
        if (one.points[i].at_ms <= one.points[i - 1].at_ms) breach("order within a series: " + text);
}

void Receiver::store(const Incoming& one) {
    Series& series = series_[one.labels];
    series.counter = series.counter || one.type == 1;
    if (one.created_ms != 0) series.created_ms = one.created_ms;
    for (const Point& point : one.points) {
        auto& points = series.points;
        if (points.empty() || points.back().at_ms < point.at_ms) {
            points.push_back(point);
            continue;
        }
        const auto at = std::lower_bound(points.begin(), points.end(), point.at_ms,
                                         [](const Point& a, std::int64_t ms) { return a.at_ms < ms; });
        if (at == points.end() || at->at_ms != point.at_ms)
            breach("out of order: " + to_text(one.labels));
        else if (!same(at->value, point.value))
            breach("another value at the same time: " + to_text(one.labels));
        else
            ++repeats_;
    }
}

}   // namespace fakes
