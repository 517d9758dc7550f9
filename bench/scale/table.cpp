#include "table.hpp"

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <limits>
#include <sstream>
#include <stdexcept>

namespace slatejunction::scale {
namespace {

std::string plain(double value) {
    if (std::isnan(value)) return "";
    char text[40];
    std::snprintf(text, sizeof text, "%.6g", value);
    return text;
}

std::vector<std::string> cells_of(const std::string& line) {
    std::vector<std::string> cells(1);
    for (const char c : line) c == ',' ? void(cells.emplace_back()) : void(cells.back() += c);
    return cells;
}

}   // namespace

void Table::add(const std::vector<double>& row) {
    if (row.size() != columns.size()) throw std::invalid_argument(name + ": a row of another length");
    rows.push_back(row);
}

std::string Table::csv() const {
    std::string text;
    for (std::size_t i = 0; i < columns.size(); ++i) text += (i ? "," : "") + columns[i];
    text += '\n';
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) text += (i ? "," : "") + plain(row[i]);
        text += '\n';
    }
    return text;
}

void write(const std::string& directory, const Table& table) {
    std::ofstream out(directory + "/" + table.name + ".csv");
    out << table.csv();
    if (!out.flush()) throw std::runtime_error(directory + "/" + table.name + ".csv can't be written");
    if (!table.rows.empty())
        std::fprintf(stderr, "%s: %g is done\n", table.name.c_str(), table.rows.back().front());
}

Table read(const std::string& path) {
    std::ifstream in(path);
    std::string line;
    Table table;
    table.name = std::filesystem::path(path).stem().string();
    if (!std::getline(in, line)) throw std::runtime_error(path + " can't be read");
    table.columns = cells_of(line);
    while (std::getline(in, line)) {
        std::vector<double> row;
        for (const std::string& cell : cells_of(line)) {
            char* end = nullptr;
            const double value = std::strtod(cell.c_str(), &end);
            const bool whole = !cell.empty() && *end == '\0';
            row.push_back(whole ? value : std::numeric_limits<double>::quiet_NaN());
        }
        table.add(row);
    }
    return table;
}

}   // namespace slatejunction::scale
