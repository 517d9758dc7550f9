#include "rules/direct_key.hpp"

#include <optional>

#include "rules/expression_forms.hpp"
#include "rules/key_bytes.hpp"

namespace slatejunction::rules {

using expr::Node;
using expr::NodeId;
using expr::Tree;

DirectKey::DirectKey(const expr::Program& program, RequestView& view) {
    const Tree& tree = program.tree;
    const Node& root = tree[tree.root];
    is_list_ = root.kind == Node::Kind::list;
    for (const NodeId id : is_list_ ? root.kids : std::vector<NodeId>{tree.root}) {
        Part part;
        if (!parse_part(tree, id, view, part)) {
            parts_.clear();
            return;
        }
        parts_.push_back(part);
    }
}

bool DirectKey::parse_part(const Tree& tree, NodeId id, RequestView& view, Part& part) {
    if (const auto name = header_of(tree, id)) {
        part.is_text = true;
        part.is_header = true;
        part.header = view.register_header(*name);
        return true;
    }
    const auto field = field_of(tree, id);
    if (!field) return false;
    part.variable = *field;
    part.is_text = is_text(*field);
    return part.is_text || *field == VariableId::request_customer ||
           *field == VariableId::request_deadline_ms;
}

std::string_view DirectKey::text(const Part& part, RequestView& view) {
    if (!part.is_header)
        return view.is_bounded_ascii(part.variable) ? text_of(view.facts(), part.variable)
                                                    : std::string_view();
    const RequestView::Header& header = view.header(part.header);
    const bool usable = header.occurrence == RequestView::Header::Occurrence::once && !view.over_bound();
    return usable && expr::ascii(header.value) ? header.value : std::string_view();
}

bool DirectKey::append_to(RequestView& view, std::string& key) const {
    if (is_list_) {
        append_kind(key, expr::Kind::list);
        append_number(key, parts_.size());
    }
    for (const Part& part : parts_) {
        if (!part.is_text) {
            append_kind(key, expr::Kind::integer);
            append_number(key, static_cast<std::uint64_t>(integer_of(view.facts(), part.variable)));
            continue;
        }
        const std::string_view bytes = text(part, view);
        if (!bytes.data()) return false;
        append_text(key, bytes);
    }
    return true;
}

std::string_view DirectKey::text(RequestView& view) const {
    return parts_.size() == 1 && !is_list_ && parts_[0].is_text ? text(parts_[0], view)
                                                                : std::string_view();
}

}   // namespace slatejunction::rules
