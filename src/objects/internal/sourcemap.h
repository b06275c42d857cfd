#pragma once

#include "objects/objecttypes.h"

#include <string>
#include <unordered_map>

namespace geraniumlift::objects::internal {

/// File and line of an object, field or list element. Line 0 if it is unknown.
struct SourcePosition {
  std::string m_File;
  std::int64_t m_Line = 0;
};

/// Maps the field paths of objects, fields and list elements to their source positions.
class SourceMap {
public:
  auto add(std::string Path, SourcePosition Position) -> void;

  /// Returns the position of the path, or else of its longest known prefix, or else an empty one.
  [[nodiscard]] auto find(std::string Path) const -> SourcePosition;

private:
  std::unordered_map<std::string, SourcePosition> m_Positions;
};

} // namespace geraniumlift::objects::internal
