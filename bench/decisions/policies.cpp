#include "decisions/policies.h"

namespace geraniumlift::bench {

auto knownPolicies() -> std::vector<Policy> {
  return {
      {"naive", admission::naiveOptions()},
      {"full", admission::DispatcherOptions()},
  };
}

} // namespace geraniumlift::bench
