#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace geraniumlift::standins {

/// One event of a completion.
struct EventContent {
  std::string m_RequestId;
  std::uint64_t m_Offset = 0;
  std::uint64_t m_TotalTokens = 0;
  std::uint64_t m_MaxTokens = 0;
  std::uint64_t m_PromptTokens = 0;
};

/// The text as a JSON string with quotes.
auto jsonQuoted(std::string_view Text) -> std::string;

/// Formats a server-sent event; the last one carries "finish_reason" and "usage".
auto formatServerSentEvent(const EventContent &Content) -> std::string;

} // namespace geraniumlift::standins
