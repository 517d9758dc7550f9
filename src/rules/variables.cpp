#include "rules/variables.hpp"

#include <algorithm>
#include <cstring>

namespace slatejunction::rules {

using expr::Bound;
using expr::Type;
using expr::Value;
using expr::cost::Units;

namespace {

// Lookups of headers by name; with more, the map of headers is built.
constexpr int kMaxHeaderLookups = 8;

// The cost of checking a text for valid UTF-8.
Units text_cost(std::size_t bytes) { return expr::cost::walk(bytes); }
// The cost of converting names to lower case, comparing each field with those before it, and joining
// values.
Units headers_cost(std::size_t fields, std::size_t bytes) {
    return expr::cost::plus(fields, expr::cost::times(fields, fields) / 2,
                            expr::cost::times(2, expr::cost::walk(bytes)));
}

// The bound of the names, or of the values, of all headers: together they are at most as long as the head.
Bound head_text_bound(HeadBounds bounds) {
    Bound bound = Bound::text(bounds.bytes);
    bound.total = bounds.bytes;
    return bound;
}

// Converts a name to lower case, eight bytes at a time. In `upper`, the high bit of a byte is set if the
// byte is from 'A' to 'Z'; a quarter of that bit (0x20) is the difference between the cases. Bytes over 127
// are not changed.
std::string_view lower_case(std::string_view name, expr::Arena& arena) {
    constexpr std::uint64_t kOnes = 0x0101010101010101, kHigh = 0x80 * kOnes;
    char* const to = arena.chars(name.size() + 8);
    for (std::size_t at = 0; at < name.size(); at += 8) {
        std::uint64_t eight = 0;
        std::memcpy(&eight, name.data() + at, std::min<std::size_t>(8, name.size() - at));
        const std::uint64_t low = eight & ~kHigh;
        const std::uint64_t from_a = low + (0x80 - 'A') * kOnes, past_z = low + (0x7f - 'Z') * kOnes;
        const std::uint64_t upper = from_a & ~past_z & ~eight & kHigh;
        eight += upper >> 2;
        std::memcpy(to + at, &eight, 8);
    }
    return {to, name.size()};
}

}   // namespace

expr::Environment environment(Scope scope, HeadBounds bounds) {
    using Tag = Type::Tag;
    const Type text{Tag::text, {}}, integer{Tag::integer, {}}, real{Tag::real, {}},
        boolean{Tag::boolean, {}};
    const auto text_variable = [&](std::string name, std::size_t max_bytes) {
        return expr::Variable{std::move(name), text, Bound::text(max_bytes), text_cost(max_bytes)};
    };
    const auto scalar_variable = [](std::string name, const Type& type) {
        return expr::Variable{std::move(name), type, {}, 0};
    };
    std::vector<expr::Variable> variables{
        text_variable("request.method", kMaxMethodBytes),
        text_variable("request.path", bounds.bytes),
        text_variable("request.query", bounds.bytes),
        {"request.headers", Type::map(text, text),
         Bound::map(bounds.fields, head_text_bound(bounds), head_text_bound(bounds)),
         headers_cost(bounds.fields, bounds.bytes)},
        text_variable("request.class", kMaxNameBytes),
        text_variable("request.plan", kMaxNameBytes),
        scalar_variable("request.customer", integer),
        scalar_variable("request.units", real),
        scalar_variable("request.deadline_ms", integer),
        scalar_variable("request.retry", boolean),
        text_variable("request.id", bounds.bytes),
        text_variable("gateway.name", kMaxNameBytes),
        text_variable("gateway.zone", kMaxNameBytes),
        text_variable("provider.id", kMaxNameBytes),
        text_variable("provider.locality", kMaxNameBytes),
        text_variable("provider.flavor", kMaxNameBytes),
        scalar_variable("provider.cell", integer),
        scalar_variable("provider.size", real),
        scalar_variable("provider.age_s", real),
    };
    // Variables of other scopes keep their numbers, with an empty name that no expression can use.
    for (std::size_t i = 0; i < variables.size(); ++i) {
        const bool of_request = variables[i].name.starts_with("request.");
        const bool of_backend = i >= kRequestVariableCount;
        if ((scope == Scope::request && of_backend) || (scope == Scope::backend && of_request))
            variables[i].name.clear();
    }
    return {std::move(variables)};
}

void RuleVariables::begin(const RequestFacts* request, const BackendFacts* backend) {
    request_ = request;
    backend_ = backend;
    loaded_ = 0;
    header_lookups_ = 0;
}

Value RuleVariables::text(std::string_view text, std::size_t max_bytes, Units& spent) const {
    if (text.size() > max_bytes) return Value::error("text exceeds its size bound");
    spent = text_cost(text.size());
    return expr::valid_utf8(text) ? Value::text(text) : Value::error("not UTF-8");
}

Value RuleVariables::headers(expr::Arena& arena, Units& spent) {
    const auto fields = request_->headers;
    std::size_t bytes = 0;
    for (const http::Field& field : fields) bytes += field.name.size() + field.value.size() + 2;
    if (fields.size() > bounds_.fields || bytes > bounds_.bytes)
        return Value::error("request head exceeds its bounds");
    spent = headers_cost(fields.size(), bytes);
    const std::span<expr::Pair> pairs = arena.array<expr::Pair>(fields.size());
    std::size_t count = 0;
    for (const http::Field& field : fields) {
        const std::string_view lower = lower_case(field.name, arena);
        const auto end = pairs.begin() + static_cast<std::ptrdiff_t>(count);
        const auto same = std::find_if(pairs.begin(), end,
                                       [&](const expr::Pair& pair) { return pair.key.view() == lower; });
        const bool valid = expr::valid_utf8(field.value) && expr::valid_utf8(lower);
        if (same == end) {
            pairs[count++] = {Value::text(lower),
                              valid ? Value::text(field.value) : Value::error("not UTF-8")};
        } else if (!valid) {
            same->value = Value::error("not UTF-8");
        } else if (!same->value.is_error()) {
            const std::string_view previous = same->value.view();
            char* joined = arena.chars(previous.size() + 2 + field.value.size());
            char* at = std::copy(previous.begin(), previous.end(), joined);
            *at++ = ',';
            *at++ = ' ';
            at = std::copy(field.value.begin(), field.value.end(), at);
            same->value = Value::text({joined, static_cast<std::size_t>(at - joined)});
        }
    }
    return Value::map(pairs.first(count));
}

Value RuleVariables::load(std::uint32_t number, expr::Arena& arena, Units& spent) {
    const std::uint32_t bit = 1U << number;
    if ((loaded_ & bit) == 0) {
        values_[number] = read(number, arena, spent);
        loaded_ |= bit;
    }
    return values_[number];
}

// Looks up a header by name without building the map. A repeated header needs the map, which joins its
// values.
Value RuleVariables::field(std::uint32_t number, const Value& key, bool has, expr::Arena& arena,
                           Units& spent) {
    const auto lookup_in_map = [&] { return Variables::field(number, key, has, arena, spent); };
    if (static_cast<VariableId>(number) != VariableId::request_headers || !request_ ||
        (loaded_ & 1U << number) != 0)
        return lookup_in_map();
    if (++header_lookups_ > kMaxHeaderLookups) return lookup_in_map();
    const http::Field* found = nullptr;
    std::size_t bytes = 0, compared_bytes = 0;
    for (const http::Field& field : request_->headers) {
        bytes += field.name.size() + field.value.size() + 2;
        if (field.name.size() != key.size()) continue;
        compared_bytes += key.size();
        if (!http::equals_ignore_case(field.name, key.view())) continue;
        if (found) return lookup_in_map();
        found = &field;
    }
    if (request_->headers.size() > bounds_.fields || bytes > bounds_.bytes) return lookup_in_map();
    spent = expr::cost::find(request_->headers.size(), compared_bytes);
    if (has) return Value::boolean(found != nullptr);
    if (!found) return Value::error("no such key");
    spent = expr::cost::plus(spent, text_cost(found->value.size()));
    return expr::valid_utf8(found->value) ? Value::text(found->value) : Value::error("not UTF-8");
}

Value RuleVariables::read(std::uint32_t number, expr::Arena& arena, Units& spent) {
    const auto name = static_cast<VariableId>(number);
    if (number >= kRequestVariableCount && !backend_) return Value::error("provider is not available here");
    if (number < static_cast<std::uint32_t>(VariableId::gateway_name) && !request_)
        return Value::error("request is not available here");
    switch (name) {
        case VariableId::request_method:
            return text(request_->method, kMaxMethodBytes, spent);
        case VariableId::request_path:
            return text(request_->path, bounds_.bytes, spent);
        case VariableId::request_query:
            return text(request_->query, bounds_.bytes, spent);
        case VariableId::request_headers:
            return headers(arena, spent);
        case VariableId::request_class:
            return text(request_->service_class, kMaxNameBytes, spent);
        case VariableId::request_plan:
            return text(request_->plan, kMaxNameBytes, spent);
        case VariableId::request_customer:
            return Value::integer(request_->customer);
        case VariableId::request_units:
            return Value::real(request_->units);
        case VariableId::request_deadline_ms:
            return Value::integer(request_->deadline_ms);
        case VariableId::request_retry:
            return Value::boolean(request_->retry);
        case VariableId::request_id:
            return text(request_->id, bounds_.bytes, spent);
        case VariableId::gateway_name:
            return text(gateway_.name, kMaxNameBytes, spent);
        case VariableId::gateway_zone:
            return text(gateway_.zone, kMaxNameBytes, spent);
        case VariableId::backend_id:
            return text(backend_->id, kMaxNameBytes, spent);
        case VariableId::backend_locality:
            return text(backend_->locality, kMaxNameBytes, spent);
        case VariableId::backend_flavor:
            return text(backend_->flavor, kMaxNameBytes, spent);
        case VariableId::backend_cell:
            return Value::integer(backend_->cell);
        case VariableId::backend_size:
            return Value::real(backend_->size);
        case VariableId::backend_age_s:
            return Value::real(backend_->age_s);
    }
    return Value::error("unknown variable");
}

}   // namespace slatejunction::rules
