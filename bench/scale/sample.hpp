// Inputs of the sizes that are asked for: lists of backends, settings, routes.
#pragma once

#include <cstddef>
#include <string>

#include "slatejunction/gateway.hpp"

namespace slatejunction::scale {

// The directory's answer as JSON: entries `from` to `to` of a fleet of `backends`, complete or changes.
std::string list_text(std::size_t backends, std::size_t from, std::size_t to, bool complete);

// The same as the module hears it.
EndpointUpdate list_of(std::size_t backends);

// So many classes (services) and plans, each with a quota.
Settings settings_of(std::size_t classes, std::size_t plans);
std::string class_name(std::size_t i);
std::string plan_name(std::size_t i);

// The operator's file with so many routes: each of one class and a path's beginning.
std::string operator_text(std::size_t routes, std::size_t classes);
std::string route_condition(std::size_t i, std::size_t classes);
std::string route_path(std::size_t i);

}   // namespace slatejunction::scale
