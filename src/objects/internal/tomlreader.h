#pragma once

#include "objects/internal/sourcemap.h"
#include "objects/objectparser.h"

namespace geraniumlift::objects::internal {

/// Result of reading the files, before the set is checked.
struct ReadResult {
  ObjectSet m_Objects;
  std::vector<ObjectError> m_Errors;
  SourceMap m_Positions;

  /// Whether a file has a syntax error, so that its objects are missing from the set.
  bool m_HasSyntaxError = false;
};

/// Reads one file and adds its objects to the result. Reports syntax errors, unknown keys, wrong
/// types, missing fields, and objects that another file has already defined.
auto readToml(const ObjectFile &File, ReadResult &Result) -> void;

} // namespace geraniumlift::objects::internal
