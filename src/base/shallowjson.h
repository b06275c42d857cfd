#pragma once

#include <string_view>

namespace geraniumlift::base {

/// Whether no value of a JSON text is nested deeply. cereal's JSON archives parse by recursion, so
/// that a deeply nested text would overflow the stack; each text from outside is checked first.
auto isShallowJson(std::string_view Text) -> bool;

} // namespace geraniumlift::base
