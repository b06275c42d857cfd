#include "standins/engine/eventformat.h"

#include <fmt/format.h>

namespace geraniumlift::standins {

auto jsonQuoted(std::string_view Text) -> std::string {
  auto Quoted = std::string("\"");
  for (const auto Character : Text) {
    const auto Byte = static_cast<unsigned char>(Character);
    if (Character == '"' || Character == '\\') {
      Quoted += '\\';
      Quoted += Character;
    } else if (Byte < 0x20) {
      Quoted += fmt::format("\\u{:04x}", Byte);
    } else {
      Quoted += Character;
    }
  }
  return Quoted + "\"";
}

namespace {

auto finishReason(const EventContent &Content) -> std::string {
  if (Content.m_Offset + 1 < Content.m_TotalTokens) {
    return "null";
  }
  return Content.m_TotalTokens < Content.m_MaxTokens ? "\"stop\"" : "\"length\"";
}

auto usage(const EventContent &Content) -> std::string {
  if (Content.m_Offset + 1 < Content.m_TotalTokens) {
    return "";
  }
  return fmt::format(R"(,"usage":{{"prompt_tokens":{},"completion_tokens":{},"total_tokens":{}}})",
                     Content.m_PromptTokens, Content.m_TotalTokens,
                     Content.m_PromptTokens + Content.m_TotalTokens);
}

} // namespace

auto formatServerSentEvent(const EventContent &Content) -> std::string {
  return fmt::format("id: {0}\ndata: {{\"id\":{1},\"object\":\"chat.completion.chunk\",\"choices\":"
                     "[{{\"index\":0,\"delta\":{{\"content\":\"t{0} \"}},\"finish_reason\":{2}}}]"
                     "{3}}}\n\n",
                     Content.m_Offset, jsonQuoted(Content.m_RequestId), finishReason(Content),
                     usage(Content));
}

} // namespace geraniumlift::standins
