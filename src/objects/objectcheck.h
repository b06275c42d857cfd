#pragma once

#include "objects/objecttypes.h"

#include <vector>

namespace geraniumlift::objects {

/// Checks a whole set: names, ranges, references, counts. Returns every mistake with its field
/// path, without file and line. The set may be published if the result is empty.
auto checkObjects(const ObjectSet &Objects) -> std::vector<ObjectError>;

} // namespace geraniumlift::objects
