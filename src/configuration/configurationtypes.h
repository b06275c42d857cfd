#pragma once

#include "objects/objecttypes.h"

#include <cstdint>
#include <memory>
#include <string>

namespace geraniumlift::configuration {

/// Incremented by every accepted publication; 0 means that nothing has been published yet.
using Generation = std::uint64_t;

/// One accepted publication. Immutable once built.
struct Snapshot {
  Generation m_Generation = 0;
  std::string m_PublicationId;
  objects::ObjectSet m_Objects;
};

using SnapshotPointer = std::shared_ptr<const Snapshot>;

} // namespace geraniumlift::configuration
