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

  /// Returns the index of the chosen target in Candidates, which must not be empty and must be
  /// sorted by target name.
  virtual auto choose(const std::vector<const TargetView *> &Candidates,
                      const RequestTraits &Request, base::SteadyTime Now,
                      base::RandomEngine &Random) -> std::size_t = 0;
};

/// Creates a chooser for the given strategy.
auto makeTargetChooser(TargetStrategy Strategy, const ChooserSettings &Settings)
    -> std::unique_ptr<ITargetChooser>;

} // namespace geraniumlift::routing
