#pragma once

#include "decisions/runall.h"

#include <string>

namespace geraniumlift::bench {

/// The measures as plain-text tables, one per workload.
auto textReport(const std::vector<WorkloadMeasures> &Measures) -> std::string;

/// The measures as JSON with mean, spread and the value of each seed.
auto jsonReport(const std::vector<WorkloadMeasures> &Measures) -> std::string;

/// The measures as a self-contained HTML page with tables and bars.
auto htmlReport(const std::vector<WorkloadMeasures> &Measures) -> std::string;

} // namespace geraniumlift::bench
