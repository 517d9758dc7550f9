// The interface of the program's components: what Program starts, reloads and stops in order. A component
// joins the ingress by the interfaces of ingress/extensions.hpp.
#pragma once

#include <functional>
#include <string>

#include "config/config.hpp"
#include "operator_config/options.hpp"

namespace slatejunction::app {

class Component {
  public:
    virtual ~Component() = default;
    virtual const char* name() const = 0;   // the INI section that enables it
    virtual void start() {}                 // called when the ingress serves
    /// The ingress has ended. Calls `done` within `most_s` (s) at the latest; a component that does not is
    /// abandoned when the process ends.
    virtual void stop(double most_s, std::function<void()> done) {
        static_cast<void>(most_s);
        done();
    }
    /// First step of a reload, so that a fault changes nothing. Throws std::runtime_error for options that
    /// can't be used; may change the configuration that the ingress receives.
    virtual void prepare(const operator_config::Options&, config::Config&) {}
    /// Second step: applies what was prepared. Returns the sections that apply at the next start only;
    /// empty: none.
    virtual std::string apply(const operator_config::Options&) { return {}; }
};

}   // namespace slatejunction::app
