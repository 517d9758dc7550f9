#include "expr/check.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include "expr/value.hpp"

namespace slatejunction::expr {
namespace {

using Tag = Type::Tag;

const Type kDyn{}, kBool{Tag::boolean, {}}, kInt{Tag::integer, {}}, kText{Tag::text, {}},
    kTypeType{Tag::type, {}};

std::string sign_text(const std::string& name) {   // "_+_" as "+"
    std::string text;
    for (const char c : name)
        if (c != '_' && c != '@') text += c;
    return text;
}

class Checker {
  public:
    Checker(const Tree& tree, const Environment& environment)
        : tree_(tree), environment_(environment), overloads_(overloads()), meanings_(tree.nodes.size()) {}

    std::vector<Meaning> all() {
        look(tree_.root);
        return std::move(meanings_);
    }

  private:
    const Type& look(NodeId id) {
        const Node& node = tree_[id];
        Meaning& meaning = meanings_[id];
        meaning.type = type_of(id, node, meaning);
        if (node.kind != Node::Kind::name && node.kind != Node::Kind::select &&
            node.kind != Node::Kind::macro)
            meaning.constant = std::all_of(node.kids.begin(), node.kids.end(),
                                           [&](NodeId kid) { return meanings_[kid].constant; });
        return meaning.type;
    }

    Type type_of(NodeId id, const Node& node, Meaning& meaning) {
        switch (node.kind) {
            case Node::Kind::null:
                return {Tag::null, {}};
            case Node::Kind::boolean:
                return kBool;
            case Node::Kind::integer:
                return kInt;
            case Node::Kind::natural:
                return {Tag::natural, {}};
            case Node::Kind::real:
                return {Tag::real, {}};
            case Node::Kind::text:
                return kText;
            case Node::Kind::bytes:
                return {Tag::bytes, {}};
            case Node::Kind::name:
            case Node::Kind::select:
                return name(id, node, meaning);
            case Node::Kind::has: {
                const Type& map = look(node.kids[0]);
                if (!map.open() && !map.is(Tag::map))
                    throw LoadError(node.at, "has() asks a map for a key; this is of type " + map.name());
                if (map.is(Tag::map) && !fits(kText, map.of[0]))
                    throw LoadError(node.at, "the keys of this map are of type " + map.of[0].name());
                return kBool;
            }
            case Node::Kind::list: {
                Type item{Tag::none, {}};
                for (const NodeId kid : node.kids) item = either(item, look(kid));
                return Type::list(item);
            }
            case Node::Kind::map: {
                Type key{Tag::none, {}}, value{Tag::none, {}};
                for (std::size_t i = 0; i < node.kids.size(); i += 2) {
                    const Type& one = look(node.kids[i]);
                    if (!one.open() && !one.is(Tag::integer) && !one.is(Tag::natural) &&
                        !one.is(Tag::boolean) && !one.is(Tag::text))
                        throw LoadError(tree_[node.kids[i]].at,
                                        "a map's key is an int, uint, bool or string, not " + one.name());
                    key = either(key, one);
                    value = either(value, look(node.kids[i + 1]));
                }
                return Type::map(key, value);
            }
            case Node::Kind::macro:
                return macro(node);
            case Node::Kind::call:
                return call(node, meaning);
        }
        return kDyn;
    }

    // Names. A chain a.b.c is the longest declared name that it begins with, then selections.
    Type name(NodeId id, const Node& node, Meaning& meaning) {
        std::string whole;
        if (dotted(id, whole)) {
            const bool from_top = whole.starts_with('.');
            const std::string path = from_top ? whole.substr(1) : whole;
            const std::string first = path.substr(0, path.find('.'));
            if (!from_top)
                for (std::size_t i = locals_.size(); i-- > 0;)
                    if (locals_[i].first == first) {
                        if (path != first) break;
                        meaning.kind = Meaning::Kind::local;
                        meaning.number = i;
                        return locals_[i].second;
                    }
            if (from_top || !is_local(first)) {
                const auto& known = environment_.variables;
                const auto at = std::find_if(known.begin(), known.end(),
                                             [&](const Variable& one) { return one.name == path; });
                if (at != known.end()) {
                    meaning.kind = Meaning::Kind::variable;
                    meaning.number = static_cast<std::size_t>(at - known.begin());
                    return at->type;
                }
                if (const int kind = type_name(path); kind >= 0) {
                    meaning.kind = Meaning::Kind::type_name;
                    meaning.number = static_cast<std::size_t>(kind);
                    meaning.constant = true;
                    return kTypeType;
                }
                if (node.kind == Node::Kind::name || !begins_declared(id)) throw unknown(node, path);
            }
        }
        if (node.kind == Node::Kind::name) throw unknown(node, node.name);
        const Type map = look(node.kids[0]);
        meaning.constant = meanings_[node.kids[0]].constant;
        if (map.open()) return kDyn;
        if (!map.is(Tag::map))
            throw LoadError(node.at, "type " + map.name() + " has no field '" + node.name + "'");
        if (!fits(kText, map.of[0]))
            throw LoadError(node.at, "the keys of this map are of type " + map.of[0].name());
        return map.of[1];
    }

    bool dotted(NodeId id, std::string& path) const {
        const Node& node = tree_[id];
        if (node.kind == Node::Kind::name) {
            path = node.name;
            return true;
        }
        if (node.kind != Node::Kind::select || !dotted(node.kids[0], path)) return false;
        path += "." + node.name;
        return true;
    }
    bool is_local(const std::string& name) const {
        return std::any_of(locals_.begin(), locals_.end(),
                           [&](const auto& one) { return one.first == name; });
    }
    // Whether a shorter part of this chain is a variable.
    bool begins_declared(NodeId id) const {
        std::string path;
        while (tree_[id].kind == Node::Kind::select) {
            id = tree_[id].kids[0];
            dotted(id, path);
            if (path.starts_with('.')) path.erase(0, 1);
            for (const Variable& one : environment_.variables)
                if (one.name == path) return true;
            if (type_name(path) >= 0) return true;
        }
        return false;
    }
    static int type_name(const std::string& path) {
        if (path == "google.protobuf.Timestamp") return static_cast<int>(Kind::timestamp);
        if (path == "google.protobuf.Duration") return static_cast<int>(Kind::duration);
        for (std::size_t i = 0; i < kKinds; ++i) {
            const Kind kind = static_cast<Kind>(i);
            const bool is_function =
                kind == Kind::timestamp || kind == Kind::duration || kind == Kind::error;
            if (!is_function && kind_name(kind) == path) return static_cast<int>(i);
        }
        return -1;
    }
    LoadError unknown(const Node& node, const std::string& path) const {
        const std::string space = path.substr(0, path.find('.')) + ".";
        std::string has;
        for (const Variable& one : environment_.variables)
            if (one.name.starts_with(space))
                has += (has.empty() ? "" : ", ") + one.name.substr(space.size());
        if (has.empty() || path.find('.') == std::string::npos) {
            std::string all;
            for (const Variable& one : environment_.variables) {
                if (one.name.empty()) continue;
                const std::string first = one.name.substr(0, one.name.find('.'));
                if ((", " + all + ",").find(", " + first + ",") == std::string::npos)
                    all += (all.empty() ? "" : ", ") + first;
            }
            return {node.at, "'" + path + "' is not declared; there is " + (all.empty() ? "nothing" : all)};
        }
        return {node.at, "'" + space.substr(0, space.size() - 1) + "' has no '" +
                             path.substr(space.size()) + "'; it has " + has};
    }

    Type macro(const Node& node) {
        const Type range = look(node.kids[0]);
        if (!range.open() && !range.is(Tag::list) && !range.is(Tag::map))
            throw LoadError(tree_[node.kids[0]].at,
                            node.name + "() goes over a list or a map, not " + range.name());
        const Type item = range.open() ? kDyn : range.of[0];
        locals_.emplace_back(node.variable, item);
        const auto condition = [&](NodeId kid) {
            const Type& type = look(kid);
            if (!type.open() && !type.is(Tag::boolean))
                throw LoadError(tree_[kid].at,
                                "a condition of " + node.name + "() is a bool, not " + type.name());
        };
        Type result = kBool;
        if (node.name == "map") {
            if (node.kids.size() == 3) condition(node.kids[1]);
            result = Type::list(look(node.kids.back()));
        } else {
            condition(node.kids[1]);
            if (node.name == "filter") result = Type::list(item);
        }
        locals_.pop_back();
        return result;
    }

    Type call(const Node& node, Meaning& meaning) {
        std::vector<Type> types;
        for (const NodeId kid : node.kids) types.push_back(look(kid));
        if (!node.member)
            if (const auto made = operation(node, types)) return *made;
        bool named = false;
        Type result;
        std::size_t found = 0;
        std::string forms;
        for (const Overload& one : overloads_) {
            if (one.name != node.name) continue;
            named = true;
            if (one.member == node.member) {
                std::string form;
                for (std::size_t i = one.member; i < one.parameters.size(); ++i)
                    form += (i > std::size_t{one.member} ? ", " : "") + one.parameters[i].name();
                form = (one.member ? one.parameters[0].name() + "." : "") + node.name + "(" + form + ")";
                forms += (forms.empty() ? "" : ", ") + form;
            }
            bool good = one.member == node.member && one.parameters.size() == types.size();
            for (std::size_t i = 0; good && i < types.size(); ++i) good = fits(types[i], one.parameters[i]);
            if (!good) continue;
            result = found++ == 0 ? one.result : either(result, one.result);
            meaning.fn = one.fn;
            meaning.ready = one.ready;
        }
        if (!named)
            throw LoadError(node.at, "there is no function '" + node.name + "'" + left_out(node.name));
        if (found == 0)
            throw LoadError(node.at,
                            forms.empty()
                                ? node.name + (node.member ? "() has no target: write " + node.name + "(x)"
                                                           : "() has a target: write x." + node.name + "()")
                                : given(node, types) + " does not exist; there is " + forms);
        if (meaning.ready && tree_[node.kids[1]].kind != Node::Kind::text)
            throw LoadError(
                tree_[node.kids[1]].at,
                node.name + "() takes a literal here; computed ones are left out of this language");
        return result;
    }

    static std::string left_out(const std::string& name) {
        constexpr std::array<std::string_view, 6> kLeftOut{"format", "quote", "bind",
                                                           "optMap", "of",    "reverse"};
        const bool known = std::find(kLeftOut.begin(), kLeftOut.end(), name) != kLeftOut.end();
        return known ? "; it is left out of this language" : "";
    }
    static std::string given(const Node& node, const std::vector<Type>& types) {
        std::string text;
        for (std::size_t i = node.member; i < types.size(); ++i)
            text += (i > std::size_t{node.member} ? ", " : "") + types[i].name();
        return (node.member ? types[0].name() + "." : "") + node.name + "(" + text + ")";
    }

    // Operators; nothing for a function.
    std::optional<Type> operation(const Node& node, const std::vector<Type>& types) {
        const std::string& name = node.name;
        const auto wrong = [&]() -> LoadError {
            if (types.size() == 1)
                return {node.at, "'" + sign_text(name) + "' does not take " + types[0].name()};
            return {node.at, "'" + sign_text(name) + "' does not take " + types[0].name() + " and " +
                                 types[1].name()};
        };
        if (name == "_&&_" || name == "_||_") {
            for (std::size_t i = 0; i < types.size(); ++i)
                if (!fits(types[i], kBool))
                    throw LoadError(tree_[node.kids[i]].at,
                                    "'" + sign_text(name) + "' joins bools; this is " + types[i].name());
            return kBool;
        }
        if (name == "_?_:_") {
            if (!fits(types[0], kBool))
                throw LoadError(tree_[node.kids[0]].at, "'?' asks a bool; this is " + types[0].name());
            if (!fits(types[1], types[2]))
                throw LoadError(node.at, "the sides of ':' are of types " + types[1].name() + " and " +
                                             types[2].name());
            return either(types[1], types[2]);
        }
        if (name == "!_") {
            if (!fits(types[0], kBool)) throw wrong();
            return kBool;
        }
        if (name == "-_") {
            if (types[0].open()) return kDyn;
            if (!types[0].is(Tag::integer) && !types[0].is(Tag::real)) throw wrong();
            return types[0];
        }
        if (name == "_[_]") {
            const Type& of = types[0];
            if (of.open()) return kDyn;
            if (!of.is(Tag::list) && !of.is(Tag::map))
                throw LoadError(node.at, "type " + of.name() + " has no elements to index");
            const Type& key = of.is(Tag::list) ? kInt : of.of[0];
            if (!fits(types[1], key))
                throw LoadError(node.at, "the index is of type " + types[1].name() + ", not " + key.name());
            return of.of.back();
        }
        if (name == "@in") {
            if (types[1].open()) return kBool;
            if (!types[1].is(Tag::list) && !types[1].is(Tag::map))
                throw LoadError(node.at, "'in' looks in a list or a map, not " + types[1].name());
            if (!fits(types[0], types[1].of[0])) throw wrong();
            return kBool;
        }
        if (name == "_==_" || name == "_!=_") {
            if (!fits(types[0], types[1])) throw wrong();
            return kBool;
        }
        if (name == "_<_" || name == "_<=_" || name == "_>_" || name == "_>=_") {
            if (types[0].open() || types[1].open()) return kBool;
            const bool ordered =
                types[0].tag == types[1].tag &&
                (types[0].is(Tag::boolean) || types[0].is(Tag::text) || types[0].is(Tag::bytes) ||
                 types[0].is(Tag::timestamp) || types[0].is(Tag::duration));
            if (!ordered && !(types[0].is_number() && types[1].is_number())) throw wrong();
            return kBool;
        }
        return arithmetic(name, types, wrong);
    }

    template <class Wrong>
    static std::optional<Type> arithmetic(const std::string& name, const std::vector<Type>& types,
                                          Wrong wrong) {
        const bool add = name == "_+_", subtract = name == "_-_", rest = name == "_%_";
        if (!add && !subtract && !rest && name != "_*_" && name != "_/_") return std::nullopt;
        const Type &a = types[0], &b = types[1];
        if (a.open() || b.open()) {
            const Type& known = a.open() ? b : a;
            const bool may = known.open() || known.is_number() || time_like(known) || known.is(Tag::text) ||
                             known.is(Tag::bytes) || known.is(Tag::list);
            if (!may) throw wrong();
            return kDyn;
        }
        const Type time{Tag::timestamp, {}}, span{Tag::duration, {}};
        if (a.tag == b.tag) {
            if (a.is_number() && !(rest && a.is(Tag::real))) return a;
            if (add && (a.is(Tag::text) || a.is(Tag::bytes))) return a;
            if (add && a.is(Tag::list)) return either(a, b);
            if ((add || subtract) && a.is(Tag::duration)) return a;
            if (subtract && a.is(Tag::timestamp)) return span;
        }
        if ((add || subtract) && a.is(Tag::timestamp) && b.is(Tag::duration)) return time;
        if (add && a.is(Tag::duration) && b.is(Tag::timestamp)) return time;
        throw wrong();
    }
    static bool time_like(const Type& type) { return type.is(Tag::timestamp) || type.is(Tag::duration); }

    const Tree& tree_;
    const Environment& environment_;
    const std::vector<Overload> overloads_;
    std::vector<Meaning> meanings_;
    std::vector<std::pair<std::string, Type>> locals_;
};

}   // namespace

std::vector<Meaning> check(const Tree& tree, const Environment& environment) {
    return Checker(tree, environment).all();
}

}   // namespace slatejunction::expr
