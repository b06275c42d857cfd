#pragma once

#include "budget/granttypes.h"

#include <absl/status/statusor.h>
#include <string_view>

namespace geraniumlift::budget::internal {

/// Encodes the grant totals of a budget as JSON.
auto encodeTotals(const GrantTotals &Totals) -> std::string;

/// InvalidArgument if the text is no such record. Accepts any input.
auto decodeTotals(std::string_view Text) -> absl::StatusOr<GrantTotals>;

/// Encodes the number of shards of each budget as JSON.
auto encodeLayout(std::int64_t Shards) -> std::string;

/// InvalidArgument if the text is no such record. Accepts any input.
auto decodeLayout(std::string_view Text) -> absl::StatusOr<std::int64_t>;

/// Encodes the grants of a router as JSON.
auto encodeRouterGrants(const RouterGrants &RouterRecord) -> std::string;

/// InvalidArgument if the text is no such record. Accepts any input.
auto decodeRouterGrants(std::string_view Text) -> absl::StatusOr<RouterGrants>;

} // namespace geraniumlift::budget::internal
