#pragma once

#include "objects/objecttypes.h"

#include <vector>

namespace geraniumlift::objects::internal {

/// Checks the number of objects of each kind, and each object on its own: name, ranges, text rules.
auto checkFields(const ObjectSet &Objects) -> std::vector<ObjectError>;

/// Checks rules across objects or fields: references, cycles, sums, values that must be unique, and
/// fields that must suit the kind of a pool.
auto checkReferences(const ObjectSet &Objects) -> std::vector<ObjectError>;

} // namespace geraniumlift::objects::internal
