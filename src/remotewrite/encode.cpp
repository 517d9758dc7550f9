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

std::string valid(const std::string& text) {
    const std::unique_ptr<char, decltype(&g_free)> made(
        g_utf8_make_valid(text.data(), static_cast<gssize>(text.size())), &g_free);
    return made.get();
}

template <class Series>
void put_samples(Series& series, std::span<const Frame* const> frames, std::size_t place) {
    for (const Frame* frame : frames) {
        auto& sample = *series.add_samples();
        sample.set_value(frame->values[place]);
        sample.set_timestamp(frame->at_ms);
    }
}

std::string encode_v1(std::span<const Frame* const> frames, std::size_t first, std::size_t last) {
    Arena arena;
    auto& request = *Arena::CreateMessage<v1::WriteRequest>(&arena);
    const Layout& layout = *frames[0]->layout;
    std::string_view family;
    for (std::size_t i = first; i < last; ++i) {
        const Layout::Series& one = layout.series[i];
        auto& series = *request.add_timeseries();
        for (const auto& [name, value] : one.labels) {
            auto& label = *series.add_labels();
            label.set_name(name);
            label.set_value(value);
        }
        put_samples(series, frames, i);
        if (one.family == family) continue;
        family = one.family;
        auto& about = *request.add_metadata();
        about.set_type(static_cast<int>(one.type));
        about.set_metric_family_name(one.family);
        about.set_help(one.help);
        about.set_unit(one.unit);
    }
    return request.SerializeAsString();
}

std::string encode_v2(std::span<const Frame* const> frames, std::size_t first, std::size_t last) {
    Arena arena;
    auto& request = *Arena::CreateMessage<v2::Request>(&arena);
    const Layout& layout = *frames[0]->layout;
    std::unordered_map<std::string_view, std::uint32_t> places;
    const auto symbol = [&](std::string_view text) {
        const auto [at, fresh] = places.emplace(text, places.size());
        if (fresh) request.add_symbols(text.data(), text.size());
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
        put_samples(series, frames, i);
        auto& about = *series.mutable_metadata();
        about.set_type(static_cast<int>(one.type));
        about.set_help_ref(symbol(one.help));
        about.set_unit_ref(symbol(one.unit));
        if (one.type != Layout::Type::gauge) series.set_created_timestamp(layout.created_ms);
    }
    return request.SerializeAsString();
}

}   // namespace

void Layout::add(std::string name, std::vector<std::pair<std::string, std::string>> own,
                 const std::vector<std::pair<std::string, std::string>>& more, Type type,
                 std::string family, std::string help, std::string unit) {
    for (const auto& one : more)
        if (std::none_of(own.begin(), own.end(), [&](const auto& each) { return each.first == one.first; }))
            own.push_back(one);
    own.emplace_back("__name__", std::move(name));
    std::erase_if(own, [](const auto& one) { return one.second.empty(); });
    for (auto& [label, value] : own) value = valid(value);
    std::sort(own.begin(), own.end());
    series.push_back({std::move(own), type, std::move(family), std::move(help), std::move(unit)});
}

double stale_marker() { return std::bit_cast<double>(std::uint64_t{0x7ff0000000000002}); }

std::string encode(std::span<const Frame* const> frames, std::size_t first, std::size_t last,
                   Protocol protocol) {
    const std::string plain =
        protocol == Protocol::v1 ? encode_v1(frames, first, last) : encode_v2(frames, first, last);
    std::string packed;
    snappy::Compress(plain.data(), plain.size(), &packed);
    return packed;
}

}   // namespace slatejunction::remotewrite
