#pragma once

#include "budget/granttypes.h"

#include <absl/status/statusor.h>
#include <string_view>

namespace geraniumlift::budget::internal {

/// A budget's record as JSON text.
auto encodeTotals(const GrantTotals &Totals) -> std::string;

/// InvalidArgument if the text is no such record. Accepts any input.
auto decodeTotals(std::string_view Text) -> absl::StatusOr<GrantTotals>;

/// The number of parts of each budget as JSON text.
auto encodeLayout(std::int64_t Shards) -> std::string;

/// InvalidArgument if the text is no such record. Accepts any input.
auto decodeLayout(std::string_view Text) -> absl::StatusOr<std::int64_t>;

/// A router's record as JSON text.
auto encodeRouterGrants(const RouterGrants &RouterRecord) -> std::string;

/// InvalidArgument if the text is no such record. Accepts any input.
auto decodeRouterGrants(std::string_view Text) -> absl::StatusOr<RouterGrants>;

} // namespace geraniumlift::budget::internal
