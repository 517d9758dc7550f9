#include "expr/call.hpp"

#include <xxhash.h>

#include <array>
#include <cstring>

#include "expr/convert.hpp"
#include "expr/errors.hpp"
#include "expr/split_join.hpp"
#include "expr/text_functions.hpp"
#include "expr/time_fields.hpp"

namespace slatejunction::expr {
namespace {

// The size of a text in code points, else in bytes, items or pairs.
Value size_of(const Value& value, Context& context) {
    switch (value.kind()) {
        case Kind::text:
            if (!context.spend(cost::walk(value.size()))) return over_bound();
            return Value::integer(static_cast<std::int64_t>(code_points(value.view())));
        case Kind::bytes:
        case Kind::list:
        case Kind::map:
            return Value::integer(value.size());
        default:
            return no_overload();
    }
}

bool is_inside(const Value& ip, const Network& network) {
    if (ip.v4() != network.v4) return false;
    const auto address = ip.address();
    const unsigned whole_bytes = network.bits / 8;
    const unsigned rest = network.bits % 8;
    if (std::memcmp(address.data(), network.address.data(), whole_bytes) != 0) return false;
    if (rest == 0) return true;
    const auto mask = static_cast<unsigned char>(0xff << (8 - rest));
    return ((address[whole_bytes] ^ network.address[whole_bytes]) & mask) == 0;
}

// Of the eight bytes of a number, the least significant first on every machine.
std::uint64_t hash_of_number(std::uint64_t number) {
    std::array<unsigned char, 8> bytes{};
    for (std::size_t i = 0; i < bytes.size(); ++i) bytes[i] = static_cast<unsigned char>(number >> (8 * i));
    return XXH64(bytes.data(), bytes.size(), 0);
}

// XXH64 with seed 0, which is the same for ever. The value must be a text, bytes, an int or a uint.
std::uint64_t hash_of(const Value& value) {
    if (value.is(Kind::integer) || value.is(Kind::natural)) return hash_of_number(value.natural());
    return XXH64(value.view().data(), value.size(), 0);
}

// hash(x) and bucket(x, n).
Value hash_or_bucket(Fn function, Arguments arguments, Context& context) {
    const Value& value = arguments[0];
    if (value.is(Kind::text) || value.is(Kind::bytes)) {
        if (!context.spend(cost::walk(value.size()))) return over_bound();
    } else if (!value.is(Kind::integer) && !value.is(Kind::natural)) {
        return no_overload();
    }
    const std::uint64_t hash = hash_of(value);
    if (function == Fn::hash) return Value::natural(hash);
    if (!argument_is(arguments, 1, Kind::integer)) return no_overload();
    const std::int64_t buckets = arguments[1].integer();
    if (buckets <= 0) return Value::error("bucket() of no buckets");
    return Value::integer(static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(buckets)));
}

}   // namespace

Value call_function(const Program& program, const Instruction& call, Arguments arguments,
                    Context& context) {
    switch (call.fn) {
        case Fn::size:
            return size_of(arguments[0], context);
        case Fn::in_cidr:
            if (!arguments[0].is(Kind::ip)) return no_overload();
            return Value::boolean(is_inside(arguments[0], program.networks[call.a]));
        case Fn::hash:
        case Fn::bucket:
            return hash_or_bucket(call.fn, arguments, context);
        case Fn::to_dyn:
            return arguments[0];
        case Fn::type_of:
            return Value::type(arguments[0].kind());
        case Fn::to_ip:
        case Fn::to_int:
        case Fn::to_uint:
        case Fn::to_double:
        case Fn::to_string:
        case Fn::to_bytes:
        case Fn::to_bool:
        case Fn::to_timestamp:
        case Fn::to_duration:
            return convert(call.fn, arguments[0], context);
        case Fn::full_year:
        case Fn::month:
        case Fn::date:
        case Fn::day_of_month:
        case Fn::day_of_week:
        case Fn::day_of_year:
        case Fn::hours:
        case Fn::minutes:
        case Fn::seconds:
        case Fn::milliseconds:
            return time_field(call.fn, arguments, context);
        case Fn::join:
            return join(arguments, context);
        default:
            break;
    }
    if (!arguments[0].is(Kind::text)) return no_overload();
    if (call.fn == Fn::split) return split(arguments, context);
    if (call.fn == Fn::replace) return replace(arguments, context);
    return call_text_function(program, call, arguments, context);
}

}   // namespace slatejunction::expr
