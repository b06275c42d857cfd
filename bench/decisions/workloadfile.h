#pragma once

#include "decisions/workload.h"

#include <absl/status/statusor.h>

namespace geraniumlift::bench {

/// Reads a workload file. Unknown keys and wrong types are errors that name file, line and field,
/// so that a misspelt key does not silently change a measurement.
auto loadWorkload(const std::string &Path) -> absl::StatusOr<Workload>;

} // namespace geraniumlift::bench
