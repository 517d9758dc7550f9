#include "duties.hpp"

#include <algorithm>

namespace slatejunction::scale {

std::vector<std::size_t> Run::sizes(const std::vector<std::size_t>& all, std::size_t quick_most) const {
    std::vector<std::size_t> some;
    std::copy_if(all.begin(), all.end(), std::back_inserter(some),
                 [&](std::size_t one) { return one <= most && (!quick || one <= quick_most); });
    return some;
}

}   // namespace slatejunction::scale
