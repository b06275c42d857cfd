#pragma once

#include "budget/granttypes.h"

#include <absl/status/statusor.h>
#include <string_view>

namespace geraniumlift::budget::internal {

/// A budget's record as JSON text.
auto encodePool(const GrantPool &Pool) -> std::string;

/// InvalidArgument if the text is no such record. Accepts any input.
auto decodePool(std::string_view Text) -> absl::StatusOr<GrantPool>;

/// The number of parts of each budget as JSON text.
auto encodeLayout(std::int64_t Shards) -> std::string;

/// InvalidArgument if the text is no such record. Accepts any input.
auto decodeLayout(std::string_view Text) -> absl::StatusOr<std::int64_t>;

/// A router's record as JSON text.
auto encodeHolder(const HolderRecord &Holder) -> std::string;

/// InvalidArgument if the text is no such record. Accepts any input.
auto decodeHolder(std::string_view Text) -> absl::StatusOr<HolderRecord>;

} // namespace geraniumlift::budget::internal
