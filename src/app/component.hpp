// What the program does with each of its parts, whatever they are: starts, reloads and stops them in their
// order. A part joins the ingress by the interfaces of ingress/part.hpp.
#pragma once

#include <functional>
#include <string>

#include "config/config.hpp"
#include "operator_config/options.hpp"

namespace slatejunction::app {

class Part {
  public:
    virtual ~Part() = default;
    virtual const char* name() const = 0;   // the section that turns it on
    virtual void start() {}                 // the ingress serves
    // Nothing comes from the ingress any more. Calls `done` within `most_s` (s), whatever it waits for; a
    // part that does not is left behind when the process ends.
    virtual void stop(double most_s, std::function<void()> done) {
        static_cast<void>(most_s);
        done();
    }
    // A reload in two steps, so that a fault changes nothing. prepare() throws std::runtime_error for what
    // can't be used; it may change what the ingress is told of the platform's file.
    virtual void prepare(const operator_config::Options&, config::Config&) {}
    // Takes what was prepared; returns what waits for the next start, empty: nothing does.
    virtual std::string take(const operator_config::Options&) { return {}; }
};

}   // namespace slatejunction::app
