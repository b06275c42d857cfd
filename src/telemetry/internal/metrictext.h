#pragma once

#include "telemetry/telemetrytypes.h"

#include <string>
#include <string_view>
#include <vector>

namespace geraniumlift::telemetry {

/// The name with characters that the Prometheus text format does not allow replaced by underscores.
auto metricName(std::string_view Name) -> std::string;

/// The labels in the Prometheus text format without braces: sorted by key, with escaped values. Of
/// labels with the same key, only the first is kept. Empty if there are no labels.
auto labelText(const std::vector<Label> &Labels) -> std::string;

/// The text with bytes other than printable ASCII and line feeds replaced by question marks.
auto printableAscii(std::string_view Text) -> std::string;

} // namespace geraniumlift::telemetry
