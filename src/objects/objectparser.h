#pragma once

#include "objects/objecttypes.h"

#include <string>
#include <vector>

namespace geraniumlift::objects {

/// The content of one of the operators' files.
struct ObjectFile {
  /// File name that error reports state.
  std::string m_Name;

  /// TOML text in UTF-8.
  std::string m_Text;
};

struct ParseResult {
  /// Complete only if there are no errors.
  ObjectSet m_Objects;

  /// Every mistake found, ordered by file and line.
  std::vector<ObjectError> m_Errors;
};

/// Limit on the text of all files together, in bytes. The expected set of 15,000 workspaces and
/// 25,000 budgets takes about 7 MB.
inline constexpr std::size_t MaxTotalFileBytes = std::size_t{64} * 1024 * 1024;

/// Parses the files as one set and checks it as a whole. A file with a syntax error contributes no
/// objects; references are then not checked, since the objects they name may be in that file.
auto parseObjects(const std::vector<ObjectFile> &Files) -> ParseResult;

} // namespace geraniumlift::objects
