#pragma once

#include "objects/objecttypes.h"

#include <vector>

namespace geraniumlift::objects {

/// Checks a whole set: names, ranges, references, counts. Returns every mistake with its field
/// path; file and line are not set. An empty result means that the set may be published.
auto checkObjects(const ObjectSet &Objects) -> std::vector<ObjectError>;

} // namespace geraniumlift::objects
