// Lets a test act between a poll(2) of its own process and what follows it.
#pragma once

#include <functional>

namespace polled {

extern std::function<void()> after;   // called after each poll that found something; empty: nothing

}   // namespace polled
