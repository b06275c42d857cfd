#pragma once

#include "budget/budgetrecord.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumlift::budget::internal {

/// Packs recent bills into one string, because 4,096 JSON objects would triple the size of the
/// record. Each bill is "hash.tokens.seconds;" with the numbers in hexadecimal.
auto packBills(const std::vector<RecentBill> &Bills) -> std::string;

/// Unpacks the text of packBills; empty optional if the text is malformed.
auto unpackBills(std::string_view Text) -> std::optional<std::vector<RecentBill>>;

} // namespace geraniumlift::budget::internal
