// Who hears whom in a model, and how late: delays by place, loss and cut links. Draws from the model's own
// numbers, so that one seed repeats all of it.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <utility>

class Links {
  public:
    using Place = std::size_t;

    // `random` lives longer. Delays are drawn evenly from `least` to `most` s.
    Links(std::mt19937_64& random, double loss, double least, double most)
        : random_(random), loss_(loss), least_(least), most_(most) {}

    void set_loss(double loss) { loss_ = loss; }   // part of all datagrams
    // s, one way, that a link's length adds to what is drawn.
    void set_distance(std::function<double(Place, Place)> distance) { distance_ = std::move(distance); }
    // Pairs that hear nothing of each other for now, beside single links that are cut.
    void set_apart(std::function<bool(Place, Place)> apart) { apart_ = std::move(apart); }
    void cut(Place from, Place to, bool on) {
        on ? void(cut_.insert({from, to})) : void(cut_.erase({from, to}));
    }

    // s until a datagram that is sent now arrives; none: it does not.
    std::optional<double> delay(Place from, Place to) {
        if ((apart_ && apart_(from, to)) || cut_.contains({from, to})) return std::nullopt;
        if (std::uniform_real_distribution<double>(0, 1)(random_) < loss_) return std::nullopt;
        const double drawn = std::uniform_real_distribution<double>(least_, most_)(random_);
        return drawn + (distance_ ? distance_(from, to) : 0);
    }

  private:
    std::mt19937_64& random_;
    double loss_, least_, most_;
    std::function<double(Place, Place)> distance_;
    std::function<bool(Place, Place)> apart_;
    std::set<std::pair<Place, Place>> cut_;
};
