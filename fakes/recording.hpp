// What a receiver has stored, as a text file: for the rule checker, for sums, and to be kept as a test's
// recording. The times of all samples in one line, then one line a series with its figures in that order;
// VALUE*N stands for N equal ones, - for none.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "receiver.hpp"

namespace fakes {

// Points by time. __name__ comes first in each key, so that the series of one name lie together.
using Recording = std::map<SeriesKey, std::vector<Point>>;

Recording recording_of(const Receiver& receiver);
void write_recording(const Recording& recording, const std::string& path);
// Throws std::runtime_error that names the line.
Recording read_recording(const std::string& path);
bool is_stale(double value);   // the marker that ends a series

}   // namespace fakes
