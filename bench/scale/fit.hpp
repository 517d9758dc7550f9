// Which form a measure has by size: flat, log n, n or n*n, by least squares, and whether that form, fitted
// to all sizes but the largest, foretells the largest.
#pragma once

#include <array>
#include <string>
#include <vector>

namespace slatejunction::scale {

enum class Form { flat, log, linear, square };
inline constexpr std::array<const char*, 4> kForms{"flat", "log n", "n", "n*n"};

struct Point {
    double size = 0, value = 0;
};

// value = base + slope * f(size); a flat one has no slope. Weighted by 1/value, so that each size counts by
// its relative error.
struct Fit {
    Form form = Form::flat;
    double base = 0, slope = 0;
    double error = 0;   // root of the mean square of relative errors, over the points that it was fitted to
    double at(double size) const;
};

Fit fit(const std::vector<Point>& points, Form form);

// The simplest form whose error is within kTolerance of the best one's, of those whose slope is above 0.
inline constexpr double kTolerance = 1.25;
inline constexpr double kNoise = 0.05;   // errors under it are alike

struct Judged {
    Fit fit;               // to all sizes but the largest
    double size = 0;       // the largest, left out
    double measured = 0;   // there
    double foretold = 0;
    bool possible = false;   // false: fewer than kPointsLeast sizes beside the largest
};
inline constexpr std::size_t kPointsLeast = 3;

// Points may come in any order; those of one size are averaged.
Judged judge(const std::vector<Point>& points);

}   // namespace slatejunction::scale
