#pragma once

#include "base/random.h"
#include "routing/routingtypes.h"
#include "routing/targetview.h"

#include <memory>
#include <vector>

namespace geraniumlift::routing {

/// Chooses one of the targets that may take a request. One instance serves one pool.
class ITargetChooser {
public:
  virtual ~ITargetChooser() = default;

  /// Returns the place of the chosen target in the list, which is not empty and sorted by name.
  virtual auto choose(const std::vector<const TargetView *> &Candidates,
                      const RequestTraits &Request, base::SteadyTime Now,
                      base::RandomEngine &Random) -> std::size_t = 0;
};

/// Creates the chooser of the given strategy.
auto makeTargetChooser(TargetStrategy Strategy, const ChooserSettings &Settings)
    -> std::unique_ptr<ITargetChooser>;

} // namespace geraniumlift::routing
