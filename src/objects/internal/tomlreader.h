#pragma once

#include "objects/internal/sourcemap.h"
#include "objects/objectparser.h"

namespace geraniumlift::objects::internal {

/// What reading the files without checking the set gives.
struct ReadResult {
  ObjectSet m_Objects;
  std::vector<ObjectError> m_Errors;
  SourceMap m_Positions;

  /// Whether some file could not be read at all, so that objects are missing from the set.
  bool m_HasSyntaxError = false;
};

/// Reads one file into the result: syntax, unknown keys, types, missing fields, and objects that
/// another file defines as well.
auto readToml(const ObjectFile &File, ReadResult &Result) -> void;

} // namespace geraniumlift::objects::internal
