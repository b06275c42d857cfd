#pragma once

#include "budget/budgetrecord.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumlift::budget::internal {

/// Deepest nesting of a record: object, list of holders, holder. The JSON parser recurses, so that
/// deeper text is refused before it is parsed.
inline constexpr int MaxJsonDepth = 4;

/// Whether the brackets of a JSON text nest no deeper than MaxJsonDepth.
auto isShallowJson(std::string_view Text) -> bool;

/// Recent bills as one line of text, because 4,096 JSON objects would triple the record's size.
/// Each bill is "hash.tokens.seconds;" with the numbers in hexadecimal.
auto packBills(const std::vector<RecentBill> &Bills) -> std::string;

/// Reads packed bills; nothing if the text is malformed.
auto unpackBills(std::string_view Text) -> std::optional<std::vector<RecentBill>>;

} // namespace geraniumlift::budget::internal
