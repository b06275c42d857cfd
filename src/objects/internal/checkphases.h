#pragma once

#include "objects/objecttypes.h"

#include <vector>

namespace geraniumlift::objects::internal {

/// Checks each object on its own: name, ranges, text rules; and the number of objects.
auto checkFields(const ObjectSet &Objects) -> std::vector<ObjectError>;

/// Checks what concerns several objects or fields: references, cycles, sums, values that must be
/// unique, and fields that fit the kind of a pool.
auto checkReferences(const ObjectSet &Objects) -> std::vector<ObjectError>;

} // namespace geraniumlift::objects::internal
