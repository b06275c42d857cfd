#pragma once

#include "telemetry/telemetrytypes.h"

#include <string>
#include <string_view>
#include <vector>

namespace geraniumlift::telemetry {

/// The name with underscores for characters that the Prometheus text format does not allow.
auto metricName(std::string_view Name) -> std::string;

/// The labels as they appear between braces: sorted by key, the first of equal keys, escaped. Empty
/// without labels.
auto labelText(const std::vector<Label> &Labels) -> std::string;

/// The text with a question mark for each byte that is not printable ASCII, except line feeds.
auto printableAscii(std::string_view Text) -> std::string;

} // namespace geraniumlift::telemetry
