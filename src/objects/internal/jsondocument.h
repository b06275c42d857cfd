#pragma once

#include "base/rapidjson.h"

#include <string_view>

namespace geraniumlift::objects::internal {

/// A JSON document whose numbers are parsed by the standard library: integers as 64-bit integers,
/// others as the closest double. RapidJSON's own full-precision parser has undefined behaviour for
/// a zero with an exponent, such as 0e91.
class JsonDocument : public rapidjson::Document {
public:
  /// Parses without recursion, so that deep nesting cannot exhaust the stack. Returns false if the
  /// text is not a JSON object or has a number out of range.
  auto parse(std::string_view Text) -> bool;

  /// Called by RapidJSON's reader with the text of a number; returning false stops the parser.
  // NOLINTNEXTLINE(readability-identifier-naming)
  auto RawNumber(const char *Text, rapidjson::SizeType Size, bool Copy) -> bool;
};

} // namespace geraniumlift::objects::internal
