#include "fleet_counters.hpp"

#include <rapidjson/document.h>

#include <fstream>
#include <stdexcept>

namespace fakes {

Sums logged(const std::string& path) {
    std::ifstream in(path);
    if (!in) throw std::runtime_error(path + " can't be read");
    Sums sums;
    for (std::string line; std::getline(in, line);) {
        rapidjson::Document json;
        if (json.Parse(line.c_str()).HasParseError() || !json.HasMember("outcome")) continue;
        const std::string key =
            std::string(json["class"].GetString()) + " " + json["plan"].GetString() + " ";
        const std::string outcome = json["outcome"].GetString();
        sums[key + outcome] += 1;
        if (outcome == "refused") sums[key + "(" + json["reason"].GetString() + ")"] += 1;
    }
    return sums;
}

Sums counted(const Recording& recording) {
    Sums sums;
    for (const auto& [key, points] : recording) {
        std::map<std::string, std::string> labels(key.begin(), key.end());
        const std::string& name = labels["__name__"];
        const bool requests = name == "slatejunction_requests_total";
        if (!requests && name != "slatejunction_refusals_total") continue;
        double value = 0;
        for (const Point& point : points)
            if (!is_stale(point.value)) value = point.value;
        const std::string what = requests ? labels["outcome"] : "(" + labels["reason"] + ")";
        if (value > 0) sums[labels["class"] + " " + labels["plan"] + " " + what] += value;
    }
    return sums;
}

}   // namespace fakes
