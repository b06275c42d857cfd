#include "base/shallowjson.h"

namespace geraniumlift::base {

namespace {

/// The deepest record nests an object, a list and an object in it.
constexpr auto MaxJsonDepth = 4;

} // namespace

auto isShallowJson(std::string_view Text) -> bool {
  int Depth = 0;
  auto InString = false;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    const auto Symbol = Text[At];
    if (InString) {
      At += Symbol == '\\' ? 1 : 0;
      InString = Symbol != '"';
      continue;
    }
    InString = Symbol == '"';
    Depth += Symbol == '[' || Symbol == '{' ? 1 : 0;
    Depth -= Symbol == ']' || Symbol == '}' ? 1 : 0;
    if (Depth > MaxJsonDepth) {
      return false;
    }
  }
  return true;
}

} // namespace geraniumlift::base
