#include "remotewrite/encode.hpp"

#include <glib.h>
#include <google/protobuf/arena.h>
#include <snappy.h>

#include <algorithm>
#include <bit>
#include <string_view>
#include <unordered_map>

#include "v1.pb.h"
#include "v2.pb.h"

namespace slatejunction::remotewrite {
namespace {

using google::protobuf::Arena;

std::string valid_utf8(const std::string& text) {
    const std::unique_ptr<char, decltype(&g_free)> valid(
        g_utf8_make_valid(text.data(), static_cast<gssize>(text.size())), &g_free);
    return valid.get();
}

template <class Request>
void add_samples(Request& request, std::span<const Frame* const> frames, std::size_t first) {
    for (int i = 0; i < request.timeseries_size(); ++i) {
        auto& series = *request.mutable_timeseries(i);
        series.clear_samples();
        for (const Frame* frame : frames) {
            auto& sample = *series.add_samples();
            sample.set_value(frame->values[first + static_cast<std::size_t>(i)]);
            sample.set_timestamp(frame->at_ms);
        }
    }
}

void add_series(v1::WriteRequest& request, const Layout& layout, std::size_t first, std::size_t last) {
    std::string_view family;
    for (std::size_t i = first; i < last; ++i) {
        const Layout::Series& one = layout.series[i];
        auto& series = *request.add_timeseries();
        for (const auto& [name, value] : one.labels) {
            auto& label = *series.add_labels();
            label.set_name(name);
            label.set_value(value);
        }
        if (one.family == family) continue;
        family = one.family;
        auto& metadata = *request.add_metadata();
        metadata.set_type(static_cast<int>(one.type));
        metadata.set_metric_family_name(one.family);
        metadata.set_help(one.help);
        metadata.set_unit(one.unit);
    }
}

void add_series(v2::Request& request, const Layout& layout, std::size_t first, std::size_t last) {
    std::unordered_map<std::string_view, std::uint32_t> symbol_refs;
    const auto symbol = [&](std::string_view text) {
        const auto [at, inserted] = symbol_refs.emplace(text, symbol_refs.size());
        if (inserted) request.add_symbols(text.data(), text.size());
        return at->second;
    };
    symbol("");
    for (std::size_t i = first; i < last; ++i) {
        const Layout::Series& one = layout.series[i];
        auto& series = *request.add_timeseries();
        for (const auto& [name, value] : one.labels) {
            series.add_labels_refs(symbol(name));
            series.add_labels_refs(symbol(value));
        }
        auto& metadata = *series.mutable_metadata();
        metadata.set_type(static_cast<int>(one.type));
        metadata.set_help_ref(symbol(one.help));
        metadata.set_unit_ref(symbol(one.unit));
        if (one.type != Layout::Type::gauge) series.set_created_timestamp(layout.created_ms);
    }
}

}   // namespace

void Layout::add(std::string name, std::vector<std::pair<std::string, std::string>> labels,
                 const std::vector<std::pair<std::string, std::string>>& external_labels, Type type,
                 std::string family, std::string help, std::string unit) {
    for (const auto& one : external_labels)
        if (std::none_of(labels.begin(), labels.end(),
                         [&](const auto& each) { return each.first == one.first; }))
            labels.push_back(one);
    labels.emplace_back("__name__", std::move(name));
    std::erase_if(labels, [](const auto& one) { return one.second.empty(); });
    for (auto& [label, value] : labels) value = valid_utf8(value);
    std::sort(labels.begin(), labels.end());
    series.push_back({std::move(labels), type, std::move(family), std::move(help), std::move(unit)});
}

double stale_marker() { return std::bit_cast<double>(std::uint64_t{0x7ff0000000000002}); }

struct Encoder::Cache {
    Arena arena;
    std::shared_ptr<const Layout> layout;
    std::size_t first = 0, last = 0;
    Protocol protocol = Protocol::v2;
    v1::WriteRequest* v1_request = nullptr;
    v2::Request* v2_request = nullptr;
    std::string uncompressed;
};

Encoder::Encoder() = default;
Encoder::~Encoder() = default;
Encoder::Encoder(Encoder&&) noexcept = default;
Encoder& Encoder::operator=(Encoder&&) noexcept = default;

std::string Encoder::encode(std::span<const Frame* const> frames, std::size_t first, std::size_t last,
                            Protocol protocol) {
    const auto& layout = frames[0]->layout;
    if (!cache_ || cache_->layout != layout || cache_->first != first || cache_->last != last ||
        cache_->protocol != protocol) {
        cache_ = std::make_unique<Cache>();
        cache_->layout = layout;
        cache_->first = first;
        cache_->last = last;
        cache_->protocol = protocol;
        if (protocol == Protocol::v1) {
            cache_->v1_request = Arena::CreateMessage<v1::WriteRequest>(&cache_->arena);
            add_series(*cache_->v1_request, *layout, first, last);
        } else {
            cache_->v2_request = Arena::CreateMessage<v2::Request>(&cache_->arena);
            add_series(*cache_->v2_request, *layout, first, last);
        }
    }
    if (cache_->v1_request) {
        add_samples(*cache_->v1_request, frames, first);
        cache_->v1_request->SerializeToString(&cache_->uncompressed);
    } else {
        add_samples(*cache_->v2_request, frames, first);
        cache_->v2_request->SerializeToString(&cache_->uncompressed);
    }
    std::string compressed;
    snappy::Compress(cache_->uncompressed.data(), cache_->uncompressed.size(), &compressed);
    return compressed;
}

std::string encode(std::span<const Frame* const> frames, std::size_t first, std::size_t last,
                   Protocol protocol) {
    return Encoder().encode(frames, first, last, protocol);
}

}   // namespace slatejunction::remotewrite
