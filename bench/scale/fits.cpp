// Fits each measure of each table to a form by size, and checks it on the largest size.
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <set>
#include <stdexcept>

#include "duties.hpp"
#include "fit.hpp"
#include "table.hpp"

namespace slatejunction::scale {

void fits(const Run& run) {
    std::set<std::filesystem::path> files;
    for (const auto& one : std::filesystem::directory_iterator(run.directory))
        if (one.path().extension() == ".csv" && one.path().stem() != "fits") files.insert(one.path());
    std::string text =
        "table,measure,by,form,base,slope,fit_error,held_out_size,held_out_measured,held_out_foretold,"
        "held_out_error\n";
    for (const auto& file : files) {
        const Table table = read(file.string());
        for (std::size_t column = 1; column < table.columns.size(); ++column) {
            std::vector<Point> points;
            for (const auto& row : table.rows)
                if (!std::isnan(row[column])) points.push_back({row[0], row[column]});
            const Judged judged = judge(points);
            if (!judged.possible) continue;
            const double off =
                judged.measured != 0 ? (judged.foretold - judged.measured) / judged.measured : 0;
            char line[400];
            std::snprintf(line, sizeof line, "%s,%s,%s,%s,%.5g,%.5g,%.3f,%g,%.5g,%.5g,%.3f\n",
                          table.name.c_str(), table.columns[column].c_str(), table.columns[0].c_str(),
                          kForms[static_cast<std::size_t>(judged.fit.form)], judged.fit.base,
                          judged.fit.slope, judged.fit.error, judged.size, judged.measured, judged.foretold,
                          off);
            text += line;
        }
    }
    std::ofstream out(run.directory + "/fits.csv");
    out << text;
    if (!out.flush()) throw std::runtime_error(run.directory + "/fits.csv can't be written");
    std::printf("%s", text.c_str());
}

}   // namespace slatejunction::scale
