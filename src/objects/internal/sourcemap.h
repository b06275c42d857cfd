#pragma once

#include "objects/objecttypes.h"

#include <string>
#include <unordered_map>

namespace geraniumlift::objects::internal {

/// Where a field was written.
struct SourcePosition {
  std::string m_File;
  std::int64_t m_Line = 0;
};

/// Remembers where objects, fields and list elements were written, by field path.
class SourceMap {
public:
  auto add(std::string Path, SourcePosition Position) -> void;

  /// The position of the path, or of the closest part of it that is known.
  [[nodiscard]] auto find(std::string Path) const -> SourcePosition;

private:
  std::unordered_map<std::string, SourcePosition> m_Positions;
};

} // namespace geraniumlift::objects::internal
