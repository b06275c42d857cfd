#pragma once

#include "base/random.h"

#include <boost/random/uniform_int_distribution.hpp>
#include <utility>

namespace geraniumlift::routing {

/// Draws two different random indices into a list of the given size, which must not be 0. Returns
/// index 0 twice if the list has one entry.
inline auto drawTwoIndices(std::size_t Size, base::RandomEngine &Random)
    -> std::pair<std::size_t, std::size_t> {
  if (Size == 1) {
    return {0, 0};
  }
  const auto First = boost::random::uniform_int_distribution<std::size_t>(0, Size - 1)(Random);
  const auto Other = boost::random::uniform_int_distribution<std::size_t>(0, Size - 2)(Random);
  return {First, Other < First ? Other : Other + 1};
}

} // namespace geraniumlift::routing
