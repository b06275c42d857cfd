#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace geraniumlift::base {

/// Entry of a name table: an enumerator and its name in files, logs and messages.
template <typename Enum>
struct NamedValue {
  Enum m_Value;
  std::string_view m_Name;
};

/// Returns the name of an enumerator, or "unknown" if the table lacks it.
template <typename Enum, std::size_t Size>
constexpr auto nameOf(const std::array<NamedValue<Enum>, Size> &Table, Enum Value)
    -> std::string_view {
  for (const auto &Row : Table) {
    if (Row.m_Value == Value) {
      return Row.m_Name;
    }
  }
  return "unknown";
}

/// Returns the enumerator with the given name, or nothing if the table lacks it.
template <typename Enum, std::size_t Size>
constexpr auto valueOf(const std::array<NamedValue<Enum>, Size> &Table, std::string_view Name)
    -> std::optional<Enum> {
  for (const auto &Row : Table) {
    if (Row.m_Name == Name) {
      return Row.m_Value;
    }
  }
  return std::nullopt;
}

} // namespace geraniumlift::base
