// What the program sees to before anything else of it runs.
#pragma once

namespace slatejunction::app {

// Opens /dev/null for each standard stream that was closed at the start. Guards against a socket, or the
// descriptor for signals, that gets the number of standard error and with it the log's lines.
void open_standard_streams();

}   // namespace slatejunction::app
