#include "objects/internal/sourcemap.h"

#include <utility>

namespace geraniumlift::objects::internal {

auto SourceMap::add(std::string Path, SourcePosition Position) -> void {
  m_Positions.emplace(std::move(Path), std::move(Position));
}

auto SourceMap::find(std::string Path) const -> SourcePosition {
  while (true) {
    if (const auto Found = m_Positions.find(Path); Found != m_Positions.end()) {
      return Found->second;
    }
    const auto End = Path.find_last_of(".[");
    if (End == std::string::npos) {
      return {};
    }
    Path.resize(End);
  }
}

} // namespace geraniumlift::objects::internal
