// Values of expressions at run time: 16 bytes each. Numbers lie in place; texts, lists and maps are views
// into the request, a program's constants or an Arena, and live as long as those.
#pragma once

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace slatejunction::expr {

enum class Kind : std::uint8_t {
    null,
    boolean,
    integer,   // 64 bits, signed
    natural,   // 64 bits, unsigned: CEL's uint
    real,
    text,   // valid UTF-8
    bytes,
    timestamp,   // seconds since 1970 and nanoseconds, years 1 to 9999
    duration,    // seconds and nanoseconds of the same sign, at most 315,576,000,000 s
    list,
    map,
    type,
    ip,
    error,   // with its reason
};
inline constexpr std::size_t kKinds = 14;

struct Pair;

class Value {
  public:
    Value() : Value(Kind::null) {}
    static Value boolean(bool b) {
        return with(Kind::boolean, [&](Value& v) { v.b_ = b; });
    }
    static Value integer(std::int64_t i) {
        return with(Kind::integer, [&](Value& v) { v.i_ = i; });
    }
    static Value natural(std::uint64_t u) {
        return with(Kind::natural, [&](Value& v) { v.u_ = u; });
    }
    static Value real(double d) {
        return with(Kind::real, [&](Value& v) { v.d_ = d; });
    }
    static Value text(std::string_view s) { return of_bytes(Kind::text, s); }
    static Value bytes(std::string_view s) { return of_bytes(Kind::bytes, s); }
    static Value error(std::string_view why) { return of_bytes(Kind::error, why); }
    static Value type(Kind kind) {
        return with(Kind::type, [&](Value& v) { v.size_ = static_cast<std::uint32_t>(kind); });
    }
    static Value timestamp(std::int64_t s, std::int32_t ns) { return of_time(Kind::timestamp, s, ns); }
    static Value duration(std::int64_t s, std::int32_t ns) { return of_time(Kind::duration, s, ns); }
    static Value list(std::span<const Value> items) {
        return with(Kind::list, [&](Value& v) {
            v.items_ = items.data();
            v.size_ = static_cast<std::uint32_t>(items.size());
        });
    }
    static Value map(std::span<const Pair> pairs);
    // 16 bytes in network order, IPv4 as ::ffff:a.b.c.d, that live elsewhere.
    static Value ip(const unsigned char* address, bool v4) {
        return with(Kind::ip, [&](Value& v) {
            v.text_ = reinterpret_cast<const char*>(address);
            v.size_ = v4 ? 4 : 6;
        });
    }

    Kind kind() const { return kind_; }
    bool is(Kind kind) const { return kind_ == kind; }
    bool is_error() const { return kind_ == Kind::error; }
    bool is_number() const {
        return kind_ == Kind::integer || kind_ == Kind::natural || kind_ == Kind::real;
    }
    bool truth() const { return b_; }
    std::int64_t integer() const { return i_; }
    std::uint64_t natural() const { return u_; }
    double real() const { return d_; }
    std::string_view view() const { return {text_, size_}; }   // of text, bytes and error
    Kind type() const { return static_cast<Kind>(size_); }
    std::int64_t seconds() const { return i_; }
    std::int32_t nanos() const { return static_cast<std::int32_t>(size_); }
    std::span<const Value> items() const { return {items_, size_}; }
    std::span<const Pair> pairs() const;
    std::span<const unsigned char, 16> address() const {
        return std::span<const unsigned char, 16>(reinterpret_cast<const unsigned char*>(text_), 16);
    }
    bool v4() const { return size_ == 4; }
    std::uint32_t size() const { return size_; }   // bytes, items or pairs

  private:
    explicit Value(Kind kind) : kind_(kind), i_(0) {}
    template <class Fill>
    static Value with(Kind kind, Fill fill) {
        Value v(kind);
        fill(v);
        return v;
    }
    static Value of_bytes(Kind kind, std::string_view s) {
        return with(kind, [&](Value& v) {
            v.text_ = s.data();
            v.size_ = static_cast<std::uint32_t>(s.size());
        });
    }
    static Value of_time(Kind kind, std::int64_t s, std::int32_t ns) {
        return with(kind, [&](Value& v) {
            v.i_ = s;
            v.size_ = static_cast<std::uint32_t>(ns);
        });
    }

    Kind kind_;
    std::uint32_t size_ = 0;
    union {
        bool b_;
        std::int64_t i_;
        std::uint64_t u_;
        double d_;
        const char* text_;
        const Value* items_;
        const Pair* pairs_;
    };
};
static_assert(sizeof(Value) == 16);

struct Pair {
    Value key, value;
};

inline Value Value::map(std::span<const Pair> pairs) {
    return with(Kind::map, [&](Value& v) {
        v.pairs_ = pairs.data();
        v.size_ = static_cast<std::uint32_t>(pairs.size());
    });
}
inline std::span<const Pair> Value::pairs() const { return {pairs_, size_}; }

// Memory that is given back all at once. Takes from the system only what its first block can't hold.
class Arena {
  public:
    explicit Arena(std::size_t first = std::size_t{16} * 1024) : first_(first) {}
    Arena(Arena&&) noexcept = default;
    Arena& operator=(Arena&&) noexcept = default;
    Arena(const Arena&) = delete;
    Arena& operator=(const Arena&) = delete;
    ~Arena() = default;

    void* take(std::size_t bytes) {
        bytes = (bytes + 15) & ~std::size_t{15};
        if (bytes > left_) refill(bytes);
        left_ -= bytes;
        used_ += bytes;
        return std::exchange(at_, at_ + bytes);
    }
    template <class T>
    std::span<T> array(std::size_t count) {
        T* first = static_cast<T*>(take(count * sizeof(T)));
        for (std::size_t i = 0; i < count; ++i) new (first + i) T();
        return {first, count};
    }
    char* chars(std::size_t count) { return static_cast<char*>(take(count)); }
    std::string_view copy(std::string_view text) {
        if (text.empty()) return {};
        char* to = chars(text.size());
        std::memcpy(to, text.data(), text.size());
        return {to, text.size()};
    }
    void reset();
    std::size_t used() const { return used_; }              // bytes since the last reset
    std::size_t blocks() const { return blocks_.size(); }   // taken from the system and held

  private:
    void refill(std::size_t bytes);
    std::size_t first_, left_ = 0, used_ = 0;
    char* at_ = nullptr;
    std::vector<std::unique_ptr<char[]>> blocks_;
};

std::string_view kind_name(Kind kind);   // as CEL names the type
bool ascii(std::string_view text);
bool valid_utf8(std::string_view text);
std::size_t code_points(std::string_view utf8);
// The byte at which the code point of that number begins; the size of the text beyond its end.
std::size_t byte_of(std::string_view utf8, std::size_t code_point);
void append_utf8(std::string& text, std::uint32_t code_point);

// As text: what the conversion string() gives for scalars; lists and maps in CEL's own form.
std::string to_text(const Value& value);
// Scalars, lists and maps as JSON: int and uint as strings, bytes in base64.
std::string to_json(const Value& value);

}   // namespace slatejunction::expr
