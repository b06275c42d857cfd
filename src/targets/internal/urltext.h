#pragma once

#include <absl/strings/ascii.h>
#include <fmt/format.h>
#include <string>
#include <string_view>

namespace geraniumlift::targets {

/// Percent-encodes a text as one path segment: all but unreserved characters (RFC 3986).
inline auto encodeSegment(std::string_view Text) -> std::string {
  auto Encoded = std::string();
  for (const auto Character : Text) {
    const auto Byte = static_cast<unsigned char>(Character);
    if (absl::ascii_isalnum(Byte) ||
        std::string_view{"-._~"}.find(Character) != std::string_view::npos) {
      Encoded += Character;
    } else {
      Encoded += fmt::format("%{:02X}", Byte);
    }
  }
  return Encoded;
}

} // namespace geraniumlift::targets
