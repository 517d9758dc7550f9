// Tables of figures, kept as CSV files: the first column is the size, the others are measures of it.
#pragma once

#include <string>
#include <vector>

namespace slatejunction::scale {

// NaN stands for what was not measured, an empty cell of the file.
struct Table {
    std::string name;   // of the file, without .csv
    std::vector<std::string> columns;
    std::vector<std::vector<double>> rows;

    // Throws std::invalid_argument when it has not one figure for each column.
    void add(const std::vector<double>& row);
    std::string csv() const;
};

// Writes DIRECTORY/NAME.csv anew, and says on standard error how far it is. Throws std::runtime_error when
// it can't.
void write(const std::string& directory, const Table& table);
// Reads what write() has written. Throws std::runtime_error for a file that is none.
Table read(const std::string& path);

}   // namespace slatejunction::scale
