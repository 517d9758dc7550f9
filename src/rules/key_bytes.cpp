#include "rules/key_bytes.hpp"

namespace slatejunction::rules {

void append_key(std::string& key, const expr::Value& value) {
    switch (value.kind()) {
        case expr::Kind::boolean:
            append_kind(key, value.kind());
            key += value.truth() ? '\1' : '\0';
            break;
        case expr::Kind::text:
            append_text(key, value.view());
            break;
        case expr::Kind::list:
            append_kind(key, value.kind());
            append_number(key, value.size());
            for (const expr::Value& item : value.items()) append_key(key, item);
            break;
        default:
            append_kind(key, value.kind());
            append_number(key, value.natural());
    }
}

}   // namespace slatejunction::rules
